"""Assemble the scheduler daemon and run its background tasks."""
