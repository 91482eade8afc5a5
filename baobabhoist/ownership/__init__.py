"""Elect the owner of each shard and protect the shard by fencing tokens."""
