"""Specify the core protocol as a model and check it."""
