"""Decide which task runs on which worker and when."""
