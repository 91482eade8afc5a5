"""Adapt the users' platform: the only package that knows the names on its wire."""
