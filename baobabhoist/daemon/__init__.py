"""Wire the parts into the daemon and own its tasks."""
