"""Stand-ins of the platform for the cases 6 to 10; the standard library is enough for them."""
