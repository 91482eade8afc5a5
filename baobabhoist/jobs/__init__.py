"""Run jobs to completion: send, retry and cancel their tasks."""
