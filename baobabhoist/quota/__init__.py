"""Limit how many tasks each team runs at the same time."""
