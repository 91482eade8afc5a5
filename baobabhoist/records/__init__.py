"""Store the operators' records, their schemas and their change log."""
