"""Read and validate the daemon's settings."""
