"""Estimate for how long new jobs would wait while a team is at its limit or a service is full.

Waiting work competes for a pool: the limit of its team, or the workers of its service. The
expected wait is the work that ranks before a new job, divided by the rate at which the pool
ends work. Every figure is a lower bound, so that a job is refused only if it is hopeless.
"""

from __future__ import annotations

import logging

import attrs

from baobabhoist.cell.congestion import Congestion
from baobabhoist.cell.expected_waits import (
    ANY,
    END_WAIT_MS,
    ExpectedWait,
    Shortage,
    WaitTable,
)
from baobabhoist.cell.load_meter import Entitlement, LoadMeter
from baobabhoist.cell.pool_loads import PoolKey, PoolLoad
from baobabhoist.cell.pool_waits import PoolWait
from baobabhoist.cell.ranking import Timeliness
from baobabhoist.cell.state import CellState
from baobabhoist.cell.waiting_rank import WaitingRank
from baobabhoist.observability.events import Event, emit
from baobabhoist.observability.tasks import log_crash

log = logging.getLogger(__name__)

UPDATE_INTERVAL_MS = 500.0
# Only the longest waits are published.
MAX_ROWS = 32

# The team, service and priority of a row.
RowKey = tuple[str, str, int]


@attrs.define
class AdmissionControl:
    """Keep the table of expected waits; call `update` at each tick."""

    state: CellState
    # None if jobs are not ranked by the shares of their teams.
    entitlement: Entitlement | None = None
    table: WaitTable = attrs.Factory(WaitTable)
    _congestions: dict[PoolKey, Congestion] = attrs.Factory(dict)
    _announced: dict[RowKey, ExpectedWait] = attrs.Factory(dict)

    def update(self, now: float) -> None:
        """Compute the table anew if the interval has passed."""
        if now - self.table.computed_ms < UPDATE_INTERVAL_MS:
            return
        try:
            rows = self._compute_rows(now)
        except Exception as exc:
            # Without the figures all jobs are admitted; an error must not end this owner.
            log_crash("computing the expected waits", exc)
            rows = ()
        self.table = WaitTable(rows, now)
        self._announce(rows)

    def _compute_rows(self, now: float) -> tuple[ExpectedWait, ...]:
        loads = LoadMeter(self.state, self.entitlement).measure(now)
        for key in self._congestions.keys() - loads.keys():
            del self._congestions[key]
        beyond_teams = self._teams_beyond(now)
        waits: list[PoolWait] = []
        for key, load in loads.items():
            waits += self._judge_pool(key, load, beyond_teams, now)
        waits.sort(key=lambda wait: -wait.late_ms)
        return tuple(wait.row() for wait in waits[:MAX_ROWS])

    def _teams_beyond(self, now: float) -> set[str]:
        """Return the teams with waiting work whose new jobs would be beyond their entitlement."""
        if self.entitlement is None:
            return set()
        jobs = {step.job.accepted.team: step.job for step in self.state.ready_steps.values()}
        return {
            team
            for team, job in jobs.items()
            if not self.entitlement.has_entitlement_left(
                team, job.accepted.accepted_ms + now - job.accepted_local_ms
            )
        }

    def _judge_pool(
        self, key: PoolKey, load: PoolLoad, beyond_teams: set[str], now: float
    ) -> list[PoolWait]:
        """Return the waits for a pool, none if it is not congested."""
        congestion = self._congestions.setdefault(key, Congestion())
        congestion.update(load, now)
        if not congestion.is_sustained(now):
            congestion.is_on = False
            return []
        shortage, name = key
        is_team = shortage is Shortage.TEAM_LIMIT
        teams_by_standing = {False: [ANY], True: sorted(beyond_teams)}
        if is_team:
            teams_by_standing = {name in beyond_teams: [name]}
        used_part = congestion.expected_used_part
        waits: list[PoolWait] = []
        for is_beyond, teams in teams_by_standing.items():
            for priority in self._priorities(ANY if is_team else name):
                # All teams of one standing wait equally long.
                late_rank = WaitingRank(is_beyond, Timeliness.LATE, priority)
                late_ms = load.wait_ms(late_rank, used_part) if teams else 0.0
                waits += [
                    PoolWait(key, team, late_rank, load, used_part, late_ms) for team in teams
                ]
        longest_ms = max((wait.late_ms for wait in waits), default=0.0)
        if not congestion.judge(longest_ms, now):
            return []
        return [wait for wait in waits if wait.late_ms >= END_WAIT_MS]

    def _priorities(self, service: str) -> set[int]:
        rules = self.state.rules
        if service == ANY:
            return rules.priorities
        return rules.priorities_by_service.get(service, set())

    def _announce(self, rows: tuple[ExpectedWait, ...]) -> None:
        """Log which waits began and which ended."""
        current = {(row.team, row.service, row.priority): row for row in rows}
        for key, row in current.items():
            if key not in self._announced:
                _log_row(Event.LONG_WAIT_BEGAN, row)
        for key, row in self._announced.items():
            if key not in current:
                _log_row(Event.LONG_WAIT_ENDED, row)
        self._announced = current


def _log_row(event: Event, row: ExpectedWait) -> None:
    emit(
        log,
        event,
        team=row.team or "any",
        priority=row.priority,
        service=row.service or "any",
        shortage=row.shortage,
        on_time_ms=round(row.on_time_ms),
        late_ms=round(row.late_ms),
        cpu_rate=round(row.cpu_rate),
    )
