"""Hold the model specifications of the core protocol."""
