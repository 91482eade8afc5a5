"""Run one instance: accept jobs, elect the cell's owner, drive workers and answer callers."""
