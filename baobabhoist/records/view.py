"""Apply records by revision and look them up."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from typing import Any

import attrs

from baobabhoist.model import WorkerSpec
from baobabhoist.records.keys import KeyIndex
from baobabhoist.records.keys import key_digest as key_digest
from baobabhoist.records.kinds import Key, Policy, Queue, RecordKind, Shard, Team, TypedRecord
from baobabhoist.records.schema import to_typed_record

log = logging.getLogger(__name__)

DEFAULT_POLICY = Policy()


@attrs.frozen
class Record:
    """Hold one record; revisions grow across all records and no body marks a deletion.

    `schema_version` is the version in which the record was written, while the body has the
    canonical form of `records.schema`. `previous` is the revision that this one replaced (0 for
    none), and `changed_at` is in Unix seconds.
    """

    kind: str
    name: str
    schema_version: int
    revision: int
    body: dict[str, Any] | None
    previous: int = 0
    changed_by: str = ""
    changed_at: float = 0.0


@attrs.define
class RecordView:
    """Hold the records in force; only higher revisions are applied."""

    revision: int = 0
    records: dict[tuple[str, str], Record] = attrs.Factory(dict)
    _typed: dict[str, dict[str, Any]] = attrs.Factory(dict)
    _keys: KeyIndex = attrs.Factory(KeyIndex)
    _sorted: dict[str, list[Record]] = attrs.Factory(dict)
    _homes: dict[tuple[str, ...], tuple[str, ...]] = attrs.Factory(dict)

    def apply(self, record: Record) -> bool:
        """Apply a record unless a later one is in force; tell whether it was applied."""
        if record.revision <= self.revision:
            return False
        self.revision = record.revision
        self._put(record)
        return True

    def snapshot(self) -> tuple[Record, ...]:
        """Return the records in force by revision, for an instance that starts."""
        return tuple(sorted(self.records.values(), key=lambda record: record.revision))

    def restore(self, records: Iterable[Record], revision: int) -> bool:
        """Replace all records by a snapshot of a higher revision; tell whether it was taken."""
        if revision <= self.revision:
            return False
        for record in list(self.records.values()):
            self._drop(record.kind, record.name)
        for record in records:
            self._put(record)
        self.revision = revision
        return True

    def copy(self) -> RecordView:
        """Return an independent view that shares the immutable records with this one."""
        return RecordView(
            self.revision,
            dict(self.records),
            {kind: dict(named) for kind, named in self._typed.items()},
            self._keys.copy(),
            dict(self._sorted),
            dict(self._homes),
        )

    def get(self, kind: str, name: str) -> Record | None:
        """Return a record, or None."""
        return self.records.get((kind, name))

    def records_of_kind(self, kind: str) -> list[Record]:
        """Return the records of a kind, in order of their names; do not change the list."""
        if kind not in self._sorted:
            found = [record for record in self.records.values() if record.kind == kind]
            self._sorted[kind] = sorted(found, key=lambda record: record.name)
        return self._sorted[kind]

    def team(self, name: str) -> Team | None:
        """Return a team, or None."""
        return self._typed.get(RecordKind.TEAM, {}).get(name)

    def teams(self) -> Mapping[str, Team]:
        """Return all teams by name."""
        return self._typed.get(RecordKind.TEAM, {})

    def queue(self, name: str) -> Queue | None:
        """Return a queue, or None."""
        return self._typed.get(RecordKind.QUEUE, {}).get(name)

    def queues(self) -> Mapping[str, Queue]:
        """Return all queues by name."""
        return self._typed.get(RecordKind.QUEUE, {})

    def policy_for_queue(self, queue: str) -> Policy:
        """Return the policy of a queue; queues without one have the default policy."""
        found = self.queue(queue)
        policies = self._typed.get(RecordKind.POLICY, {})
        return policies.get(found.policy, DEFAULT_POLICY) if found else DEFAULT_POLICY

    def shard(self, name: str) -> Shard | None:
        """Return a shard, or None."""
        return self._typed.get(RecordKind.SHARD, {}).get(name)

    def shards(self) -> Mapping[str, Shard]:
        """Return all shards by name."""
        return self._typed.get(RecordKind.SHARD, {})

    def keys(self) -> Mapping[str, Key]:
        """Return all key records by name."""
        return self._typed.get(RecordKind.KEY, {})

    def find_key(self, presented: str) -> Key | None:
        """Return the record of a presented key, withdrawn or not, or None."""
        return self._keys.find(presented)

    def team_of_key(self, key: str) -> str | None:
        """Return the team that a presented key belongs to, or None."""
        found = self.find_key(key)
        return found.team if found is not None and found.team and not found.withdrawn else None

    def shards_in(self, data_centres: tuple[str, ...]) -> tuple[str, ...]:
        """Return the shards in these data centres by name; none given means all of them."""
        if data_centres not in self._homes:
            self._homes[data_centres] = tuple(
                sorted(
                    name
                    for name, shard in self.shards().items()
                    if not data_centres or shard.data_centre in data_centres
                )
            )
        return self._homes[data_centres]

    def workers_in_shard(self, shard: str) -> list[WorkerSpec]:
        """Return the workers that a shard record names."""
        found = self.shard(shard)
        return [worker.to_spec(shard) for worker in found.workers] if found else []

    def drained_workers(self, shard: str) -> frozenset[str]:
        """Return the workers of a shard that must get no new work."""
        found = self.shard(shard)
        return (
            frozenset(worker.name for worker in found.workers if worker.drain)
            if found
            else frozenset()
        )

    def _put(self, record: Record) -> None:
        self._drop(record.kind, record.name)
        if record.body is None:
            return
        self.records[record.kind, record.name] = record
        try:
            found = to_typed_record(record.kind, record.body)
        except (ValueError, TypeError, KeyError, AttributeError):
            # Only a later release can have written it; the rest of the records still apply.
            log.error("record %s/%s cannot be read", record.kind, record.name, exc_info=True)
            return
        self._index(record, found)

    def _index(self, record: Record, found: TypedRecord) -> None:
        self._typed.setdefault(record.kind, {})[record.name] = found
        if isinstance(found, Key):
            self._keys.add(record.name, found)

    def _drop(self, kind: str, name: str) -> None:
        self.records.pop((kind, name), None)
        self._sorted.pop(kind, None)
        found = self._typed.get(kind, {}).pop(name, None)
        if isinstance(found, Key):
            self._keys.remove(name, found)
        if kind == RecordKind.SHARD:
            self._homes.clear()
