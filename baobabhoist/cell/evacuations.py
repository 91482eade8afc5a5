"""Compute which data centres are being emptied: no task may start on their workers."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from baobabhoist.cell.model import WorkerInfo


@attrs.frozen
class EvacuationChange:
    """Describe whether the operator requests that a data centre is emptied."""

    data_centre: str
    is_requested: bool


@attrs.frozen
class Evacuations:
    """Hold the data centres that the operator has asked to empty."""

    data_centres: frozenset[str] = frozenset()

    def with_changes(
        self, changes: Iterable[EvacuationChange], *, is_snapshot: bool
    ) -> Evacuations:
        """Return the requests after changes in order; a snapshot replaces all earlier ones."""
        emptied = set() if is_snapshot else set(self.data_centres)
        for change in changes:
            if change.is_requested:
                emptied.add(change.data_centre)
            else:
                emptied.discard(change.data_centre)
        return Evacuations(frozenset(emptied))

    def cover(self, worker: WorkerInfo) -> bool:
        """Return whether a worker is in a data centre that is being emptied."""
        return worker.data_centre in self.data_centres


NO_EVACUATIONS = Evacuations()
