"""Implement the protocol between instances."""
