"""Run one instance: take work in, elect the cell's owner, drive workers, answer callers."""
