"""Measure the decisions and the use of the platform."""
