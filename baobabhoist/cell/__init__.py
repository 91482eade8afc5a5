"""Schedule the jobs of one cell of workers: runs, leases and quotas, without any I/O."""
