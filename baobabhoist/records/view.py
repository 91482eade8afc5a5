"""Apply records by revision and look them up."""

from __future__ import annotations

import hashlib
import hmac
from typing import Any

import attrs

from baobabhoist.model import Resources, WorkerSpec


@attrs.frozen
class Record:
    """Hold one record as operators wrote it; revisions grow across all records."""

    kind: str
    name: str
    schema_version: int
    revision: int
    body: dict[str, Any] | None


def digest(key: str) -> str:
    """Return the digest under which a key is stored."""
    return hashlib.sha256(key.encode()).hexdigest()


@attrs.define
class RecordView:
    """Hold the records in force; only higher revisions are applied."""

    revision: int = 0
    records: dict[tuple[str, str], Record] = attrs.Factory(dict)

    def apply(self, record: Record) -> bool:
        """Apply a record unless a later one is in force; tell whether it was applied."""
        if record.revision <= self.revision:
            return False
        self.revision = record.revision
        if record.body is None:
            self.records.pop((record.kind, record.name), None)
        else:
            self.records[record.kind, record.name] = record
        return True

    def get(self, kind: str, name: str) -> Record | None:
        """Return a record, or None."""
        return self.records.get((kind, name))

    def of_kind(self, kind: str) -> list[Record]:
        """Return the records of a kind, in order of their names."""
        found = [record for record in self.records.values() if record.kind == kind]
        return sorted(found, key=lambda record: record.name)

    def team_of_key(self, key: str) -> str | None:
        """Return the team that a presented key belongs to, or None."""
        presented = digest(key)
        team = None
        for record in self.of_kind("key"):
            body = record.body or {}
            if hmac.compare_digest(presented, str(body.get("digest", ""))):
                team = str(body["team"])
        return team

    def workers_of(self, shard: str) -> list[WorkerSpec]:
        """Return the workers that a shard record names."""
        record = self.get("shard", shard)
        if record is None or record.body is None:
            return []
        return [
            WorkerSpec(
                name=worker["name"],
                host=worker["host"],
                port=worker["port"],
                rack=worker.get("rack", shard),
                capacity=Resources(
                    worker["cpu_milli"],
                    worker["memory_mb"],
                    worker.get("accelerators", 0),
                    worker["slots"],
                ),
            )
            for worker in record.body["workers"]
        ]
