"""Test the packages; the modules mirror theirs."""
