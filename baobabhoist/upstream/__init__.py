"""Hold the links to workers."""
