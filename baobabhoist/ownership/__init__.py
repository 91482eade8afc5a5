"""Decide which instance owns a shard, with fencing tokens."""
