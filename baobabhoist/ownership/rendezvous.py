"""Choose shard owners and home shards by rendezvous hashing."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Sequence

import attrs

HASH_RANGE = float(2**64)


@attrs.frozen
class OwnerCandidate:
    """Describe an instance that may own shards; `weight` grows with the size of its VM."""

    instance_id: str
    data_centre: str
    weight: float = 1.0


def rank_owners(shard: str, data_centre: str, candidates: Sequence[OwnerCandidate]) -> list[str]:
    """Return instance ids from best to worst owner, those in the shard's data centre first."""

    def sort_key(candidate: OwnerCandidate) -> tuple[bool, float, str]:
        is_remote = candidate.data_centre != data_centre
        return is_remote, -_score(shard, candidate), candidate.instance_id

    return [candidate.instance_id for candidate in sorted(candidates, key=sort_key)]


def home_shard(key: str, shards: Sequence[str]) -> str:
    """Return the shard that keeps the state of a request key or a job."""
    return max(shards, key=lambda shard: (_hash_to_unit_interval(f"{key}\x00{shard}"), shard))


def _score(shard: str, candidate: OwnerCandidate) -> float:
    return -candidate.weight / math.log(
        _hash_to_unit_interval(f"{shard}\x00{candidate.instance_id}")
    )


def _hash_to_unit_interval(text: str) -> float:
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return (int.from_bytes(digest) + 1) / (HASH_RANGE + 2)
