"""Speak with the workers of a cell, from the owner itself or through other instances."""
