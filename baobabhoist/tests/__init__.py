"""Test the packages; test modules are named after the modules they test."""
