"""Provide fakes of the outside systems, a demo and a soak test with fault injection."""
