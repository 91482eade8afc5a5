"""Carry jobs to their end: which task is sent where, retried, cancelled or given up."""
