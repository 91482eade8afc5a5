"""Maintain the links to workers."""
