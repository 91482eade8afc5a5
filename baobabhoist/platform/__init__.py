"""Adapt the system to the users' platform; no other package knows its wire format."""
