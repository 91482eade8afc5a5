"""Stand in for what the platform runs, and soak the instances against it."""
