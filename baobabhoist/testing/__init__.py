"""Provide stand-ins for outside systems."""
