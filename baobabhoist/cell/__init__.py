"""Decide for one cell of workers: jobs, runs, leases and limits, without any I/O."""
