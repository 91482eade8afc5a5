"""Simulate the platform's services and run soak tests of the instances against them."""
