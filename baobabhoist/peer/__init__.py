"""Speak the inner protocol between instances."""
