"""Talk to the platform's table, object store and membership list."""
