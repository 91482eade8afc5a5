"""Keep each team within its upper limit."""
