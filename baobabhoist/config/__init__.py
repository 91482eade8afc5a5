"""Load and validate the settings of an instance."""
