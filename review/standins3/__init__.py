"""Small stand-ins of the users' platform for the cases 11 to 15."""
