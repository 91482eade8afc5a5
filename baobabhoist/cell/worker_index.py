"""Index the workers of a cell for one round, so that a step looks only at those it can use."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from baobabhoist.cell.jobs import StepState
from baobabhoist.cell.model import Resources
from baobabhoist.cell.room_forecast import Room, RoomForecast, Rooms
from baobabhoist.cell.workers import WorkerState


@attrs.define
class WorkerGroup:
    """Hold the staying workers of one service with equal capacity and labels."""

    capacity: Resources
    labels: tuple[str, ...]
    workers: list[WorkerState] = attrs.Factory(list)


class WorkerIndex:
    """Index workers by service, capacity and labels; built for each scheduling round."""

    def __init__(
        self, workers: Iterable[WorkerState], now: float, start_delay_ms: float = 0.0
    ) -> None:
        # When starts that are decided in this round will be sent.
        self._sent_ms = now + start_delay_ms
        self._workers = list(workers)
        self.forecast = RoomForecast(self._workers, now)
        self._usable: dict[str, dict[str, WorkerState]] = {}
        self._groups: dict[str, list[WorkerGroup]] | None = None
        self._ids_by_groups: dict[tuple[int, ...], list[str]] = {}
        self._rooms_by_groups: dict[tuple[int, ...], Rooms] = {}
        self._max_free_cpu: dict[str, int] = {}
        self._has_usable: dict[tuple[str, str], bool] = {}
        for worker in self._workers:
            if worker.can_start_tasks(now):
                service = worker.info.service
                self._usable.setdefault(service, {})[worker.info.worker_id] = worker
                free = worker.free_cpu
                if free > self._max_free_cpu.get(service, -1):
                    self._max_free_cpu[service] = free

    def max_free_cpu(self, service: str) -> int:
        """Return the largest `free_cpu` of the usable workers at the start of the round, or -1."""
        return self._max_free_cpu.get(service, -1)

    def usable_workers(self, service: str, label: str) -> list[WorkerState]:
        """Return the workers of a service that accept tasks now; `label` is ignored if empty."""
        found = self._usable.get(service, {}).values()
        return [worker for worker in found if worker.info.has_label(label)]

    def withdraw(self, worker: WorkerState) -> None:
        """Treat a worker as not usable for the rest of the round."""
        self._usable.get(worker.info.service, {}).pop(worker.worker_id, None)

    def has_usable_worker(self, service: str, label: str) -> bool:
        """Return whether any worker of a service with the label accepts tasks now."""
        key = (service, label)
        if key not in self._has_usable:
            self._has_usable[key] = bool(self.usable_workers(service, label))
        return self._has_usable[key]

    def approved_workers(self, step: StepState, service: str, label: str) -> list[WorkerState]:
        """Return the usable workers that the adviser approved for a step."""
        return self._filter_usable(step.approvals.tickets, service, label)

    def workers_with_ticket(self, step: StepState, service: str, label: str) -> list[WorkerState]:
        """Return the usable workers whose ticket for a step is valid until its starts are sent."""
        sent_ms = self._sent_ms
        valid = [w for w, t in step.approvals.tickets.items() if t.is_valid_at(sent_ms)]
        return self._filter_usable(valid, service, label)

    def _filter_usable(self, ids: Iterable[str], service: str, label: str) -> list[WorkerState]:
        usable = self._usable.get(service, {})
        found = [usable[worker_id] for worker_id in ids if worker_id in usable]
        return [worker for worker in found if worker.info.has_label(label)]

    def capable_worker_ids(self, service: str, label: str, need: Resources) -> list[str]:
        """Return the ids of the staying workers that could run a task once they are free."""
        groups = self._capable_groups(service, label, need)
        key = tuple(map(id, groups))
        if key not in self._ids_by_groups:
            self._ids_by_groups[key] = [
                worker.worker_id for group in groups for worker in group.workers
            ]
        return self._ids_by_groups[key]

    def rooms_when_free(self, service: str, label: str, need: Resources) -> Rooms:
        """Return the staying workers that could run a task, with all that they have."""
        groups = self._capable_groups(service, label, need)
        key = tuple(map(id, groups))
        if key not in self._rooms_by_groups:
            self._rooms_by_groups[key] = Rooms.of(
                Room(worker, worker.info.capacity) for group in groups for worker in group.workers
            )
        return self._rooms_by_groups[key]

    def _capable_groups(self, service: str, label: str, need: Resources) -> list[WorkerGroup]:
        if self._groups is None:
            self._groups = self._group_workers()
        return [
            group
            for group in self._groups.get(service, ())
            if need.fits_into(group.capacity) and (not label or label in group.labels)
        ]

    def _group_workers(self) -> dict[str, list[WorkerGroup]]:
        groups: dict[tuple[str, Resources, tuple[str, ...]], WorkerGroup] = {}
        for worker in self._workers:
            info = worker.info
            if worker.is_staying:
                key = (info.service, info.capacity, info.labels)
                if key not in groups:
                    groups[key] = WorkerGroup(info.capacity, info.labels)
                groups[key].workers.append(worker)
        by_service: dict[str, list[WorkerGroup]] = {}
        for (service, _, _), group in groups.items():
            by_service.setdefault(service, []).append(group)
        return by_service
