"""Forecast where there will be room when the answer to an advice request arrives.

A ticket is of use only if its task can start before it expires, so requests name workers that are
free by then: now, or because runs on them are about to end.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from baobabhoist.cell.model import NO_RESOURCES, Resources
from baobabhoist.cell.run_forecast import probable_end_ms
from baobabhoist.cell.workers import REPORT_TIMEOUT_MS, WorkerState


@attrs.frozen
class Room:
    """Hold the resources of a worker that will be free."""

    worker: WorkerState
    free: Resources


@attrs.define
class Rooms:
    """Hold the workers of one service that accept tasks by some time, most free ones first."""

    most_free_first: list[Room] = attrs.Factory(list)
    by_worker: dict[str, Room] = attrs.Factory(dict)
    # Of the processors of all these workers.
    free_fraction: float = 1.0

    @classmethod
    def of(cls, rooms: Iterable[Room]) -> Rooms:
        """Return the rooms in order and by worker."""
        ordered = sorted(rooms, key=lambda room: room.free.cpu, reverse=True)
        by_worker = {room.worker.worker_id: room for room in ordered}
        return cls(ordered, by_worker, _free_fraction(ordered))


def _free_fraction(rooms: Iterable[Room]) -> float:
    """Return which fraction of the processors of some workers is free; 1 if there are none."""
    free = capacity = 0
    for room in rooms:
        free += room.free.cpu
        capacity += room.worker.info.capacity.cpu
    return max(0.0, free / capacity) if capacity else 1.0


NO_ROOMS = Rooms()


@attrs.define
class Forecast:
    """Hold the rooms of each service at one time, and what each team's runs free by then."""

    rooms: dict[str, Rooms]
    ending_by_team: dict[str, Resources]


class RoomForecast:
    """Forecast the free resources of all workers; built for each scheduling round."""

    def __init__(self, workers: Iterable[WorkerState], now: float) -> None:
        self._now = now
        self._workers = list(workers)
        self._forecasts: dict[float, Forecast] = {}

    def rooms_now(self, service: str) -> Rooms:
        """Return the workers of a service with what is free on them now."""
        return self._forecast(self._now).rooms.get(service, NO_ROOMS)

    def rooms(self, service: str, by_ms: float) -> Rooms:
        """Return the workers of a service with what will be free on them by a time."""
        return self._forecast(by_ms).rooms.get(service, NO_ROOMS)

    def ending_of_team(self, team: str, by_ms: float) -> Resources:
        """Return what the runs of a team use that will have ended by a time."""
        return self._forecast(by_ms).ending_by_team.get(team, NO_RESOURCES)

    def _forecast(self, by_ms: float) -> Forecast:
        forecast = self._forecasts.get(by_ms)
        if forecast is None:
            forecast = self._forecasts[by_ms] = self._make_forecast(by_ms)
        return forecast

    def _make_forecast(self, by_ms: float) -> Forecast:
        rooms: dict[str, list[Room]] = {}
        ending_by_team: dict[str, Resources] = {}
        for worker in self._workers:
            free = worker.free
            for run in worker.runs.values() if by_ms > self._now else ():
                if probable_end_ms(run, self._now) > by_ms:
                    continue
                free = free.plus(run.allocation)
                team = run.task.step.job.accepted.team
                ending = ending_by_team.get(team, NO_RESOURCES)
                ending_by_team[team] = ending.plus(run.task.step.spec.need)
            if _accepts_tasks_by(worker, by_ms, self._now):
                rooms.setdefault(worker.info.service, []).append(Room(worker, free))
        by_service = {service: Rooms.of(found) for service, found in rooms.items()}
        return Forecast(by_service, ending_by_team)


def _accepts_tasks_by(worker: WorkerState, by_ms: float, now: float) -> bool:
    """Return whether a worker will accept tasks by a time, as far as is known now.

    A worker that has not reported to this owner yet counts as one that will, until it is silent.
    """
    heard_ms = max(worker.last_report_ms, worker.known_since_ms)
    return (
        worker.is_sound
        and now - heard_ms < REPORT_TIMEOUT_MS
        and by_ms >= worker.backoff_until_ms
        and worker.health.accepts_task(by_ms, len(worker.runs))
    )
