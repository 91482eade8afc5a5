"""Define log events and metrics."""
