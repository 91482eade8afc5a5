"""Define the interfaces of the shared stores and access the platform's tables and members."""
