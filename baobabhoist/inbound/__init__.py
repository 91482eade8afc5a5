"""Bound what clients can make a process hold: bodies, connections and time on the event loop."""
