"""Access the platform's transactional tables and its membership list."""
