"""Specify ownership, request keys and quota escrow as a finite model for minicheck.

Two instances compete for one shard of two workers. Instance 0 owns it at first. The model has
no clock: an action may happen at any time or never, so a message that stays undelivered is
late, overtaken or lost, and an instance that takes no step is paused. Rules that rest on a
period of time appear as the fact that the period guarantees.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

import attrs

INSTANCES = (0, 1)
WORKERS = (0, 1)
ALL = 0b11

IDLE, CLAIMING, OWNED = 0, 1, 2
NO_KEY, QUEUED, SETTLED = 0, 1, 2

# Tokens are numbered in their order; instance 0 holds the first one.
FIRST = 1
NONE = 0

OWNER = "one effective owner per worker"
ONCE = "the key runs at most once"
TRUE_NOT_RUN = "not_run is true"
WITHIN_LIMIT = "the team is within its limit"

Message = tuple[str, int, int, int]
Step = tuple[str, "State"]


@attrs.frozen
class Rules:
    """Switch each protective rule on or off."""

    fencing: bool = True
    wait_for_unresolved: bool = True
    takeover_cap: bool = True
    confirmed_release: bool = True
    keys_after_takeover: bool = True
    verify_returned: bool = True
    confirm_before_not_run: bool = True
    continuity: bool = True


@attrs.frozen
class Bounds:
    """Bound the model; each count is a total over a run."""

    name: str
    key: bool = False
    limit: int = 0
    running: tuple[int, int] = (0, 0)
    claims: int = 1
    starts: int = 0
    instance_crashes: int = 0
    worker_crashes: int = 0
    pauses: bool = False
    confirmed: bool = True
    in_flight: int = 2


class Worker(NamedTuple):
    """Hold a worker: its token, whether it is up, its plain tasks and whether it ran the key."""

    held: int
    up: bool
    running: int
    key: bool


class Instance(NamedTuple):
    """Hold an instance's view; the masks have one bit a worker.

    `resolved` workers are fenced or excused, `fenced` ones confirmed the token, `usable` ones
    are connected too, `unverified` ones wait for the others' confirmation. `confirmed` tells
    that the table holds the token's epoch. `places` is the cap or, when `full`, the escrow.
    `fresh` tells that the key was not sent before the takeover. `continues` is the token under
    which the shard was owned before the table confirmed it.
    """

    status: int = IDLE
    token: int = NONE
    confirmed: bool = False
    resolved: int = 0
    fenced: int = 0
    usable: int = 0
    unverified: int = 0
    used: tuple[int, int] = (0, 0)
    reports: tuple[int, int] = (0, 0)
    unconfirmed: tuple[int, int] = (0, 0)
    places: int = 0
    full: bool = False
    key: int = NO_KEY
    fresh: bool = False
    continues: int = NONE


class State(NamedTuple):
    """Hold the whole system; the budgets count what may still happen.

    `epoch` is the token whose epoch the table holds, `highest` the last token given out.
    """

    epoch: int
    highest: int
    given: int
    workers: tuple[Worker, Worker]
    instances: tuple[Instance, Instance]
    messages: frozenset[Message]
    paused: int
    key_sent: bool
    key_runs: int
    told_not_run: bool
    stale_effect: bool
    budgets: tuple[int, ...]


CLAIMS, STARTS, INSTANCE_CRASHES, WORKER_CRASHES = range(4)


def put(pair: tuple[Any, ...], index: int, value: Any) -> Any:
    """Return the tuple with one member replaced."""
    return (*pair[:index], value, *pair[index + 1 :])


class CoreProtocol:
    """Generate the transitions of the model under some rules and bounds."""

    def __init__(self, rules: Rules, bounds: Bounds) -> None:
        self.rules = rules
        self.bounds = bounds

    def initial(self) -> State:
        """Return the state in which instance 0 is the full owner."""
        b = self.bounds
        first, second = (Worker(FIRST, True, b.running[w], False) for w in WORKERS)
        owner = Instance(
            status=OWNED,
            token=FIRST,
            confirmed=b.confirmed,
            resolved=ALL,
            fenced=ALL,
            usable=ALL,
            used=b.running,
            places=b.limit,
            full=True,
            fresh=True,
        )
        return State(
            epoch=FIRST if b.confirmed else NONE,
            highest=FIRST,
            given=0,
            workers=(first, second),
            instances=(owner, Instance()),
            messages=frozenset(),
            paused=-1,
            key_sent=False,
            key_runs=0,
            told_not_run=False,
            stale_effect=False,
            budgets=(b.claims, b.starts, b.instance_crashes, b.worker_crashes),
        )

    def transitions(self, raw: tuple[Any, ...]) -> list[Step]:
        """Return every labelled next state."""
        s = State._make(raw)
        found = list(self._environment(s))
        for message in sorted(s.messages):
            found.append((f"{message} is lost", receive(s, message)))
            found.append(self._at_worker(s, message))
        for i in INSTANCES:
            if i == s.paused:
                continue
            found.extend(self._claims(s, i))
            own = s.instances[i]
            if own.status != IDLE:
                found.extend(self._worker_calls(s, i))
                if self.bounds.limit:
                    found.extend(self._quota_steps(s, i))
            if own.status == OWNED and self.bounds.key:
                found.extend(self._key_steps(s, i))
        return found

    # The environment: pauses, crashes, ends of tasks and the caller.

    def _environment(self, s: State) -> Iterator[Step]:
        if s.paused >= 0:
            yield f"instance {s.paused} resumes", s._replace(paused=-1)
        elif self.bounds.pauses:
            for i in INSTANCES:
                if s.instances[i].status != IDLE:
                    yield f"instance {i} pauses", s._replace(paused=i)
        if s.budgets[INSTANCE_CRASHES]:
            for i in INSTANCES:
                if s.instances[i].status != IDLE:
                    crashed = instance(spend(s, INSTANCE_CRASHES), i, Instance())
                    yield f"instance {i} crashes", crashed
        for w in WORKERS:
            yield from self._worker_environment(s, w)
        if self.bounds.key and not s.key_sent:
            yield "the caller sends the key", s._replace(key_sent=True)

    def _worker_environment(self, s: State, w: int) -> Iterator[Step]:
        worker = s.workers[w]
        if not worker.up:
            yield f"worker {w} restarts", at(s, w, worker._replace(up=True))
            return
        if s.budgets[WORKER_CRASHES]:
            yield f"worker {w} crashes", self._crash_worker(spend(s, WORKER_CRASHES), w)
        if worker.running:
            after = at(s, w, worker._replace(running=worker.running - 1))
            for i in INSTANCES:
                own = s.instances[i]
                if own.used[w] > own.reports[w]:
                    reports = put(own.reports, w, own.reports[w] + 1)
                    after = instance(after, i, own._replace(reports=reports))
            yield f"a task ends on worker {w}", after

    def _crash_worker(self, s: State, w: int) -> State:
        """Lose the worker's tasks, memory of ids and connections; it keeps its token."""
        bit = 1 << w
        after = at(s, w, s.workers[w]._replace(up=False, running=0, key=False))
        for i in INSTANCES:
            own = s.instances[i]
            cut = own._replace(usable=own.usable & ~bit, reports=put(own.reports, w, 0))
            after = instance(after, i, cut)
        return after._replace(messages=frozenset(m for m in s.messages if m[2] != w))

    # Claims. Whether the table answers is decided at each access, for each instance.

    def _claims(self, s: State, i: int) -> Iterator[Step]:
        own = s.instances[i]
        if not s.budgets[CLAIMS]:
            return
        token = s.highest + 1
        after = spend(s, CLAIMS)._replace(highest=token)
        granted = after._replace(epoch=token)
        if own.status == IDLE:
            places = 0 if self.rules.takeover_cap else self.bounds.limit
            claim = Instance(status=CLAIMING, token=token, places=places, key=own.key)
            by_table = claim._replace(confirmed=True)
            yield f"instance {i} claims an epoch", instance(granted, i, by_table)
            yield f"instance {i} claims a round in an outage", instance(after, i, claim)
            yield (
                f"instance {i} claims a round: the answer to its epoch was lost",
                instance(granted, i, claim),
            )
        elif own.status == OWNED and not own.confirmed:
            confirmed = own._replace(
                token=token,
                confirmed=True,
                continues=own.continues or own.token,
                fenced=0,
                usable=0,
                unverified=0,
            )
            yield f"the table confirms instance {i}", instance(granted, i, confirmed)

    def _lose(self, s: State, i: int) -> State:
        """Drop the shard; an open key is answered `unknown`."""
        key = SETTLED if s.instances[i].key else NO_KEY
        return instance(s, i, Instance(key=key))

    def _settle(self, s: State, i: int) -> State:
        """Become the full owner when every worker is resolved."""
        own = s.instances[i]
        resolved = own.resolved == ALL or not self.rules.wait_for_unresolved
        if own.status != CLAIMING or not resolved:
            return s
        fresh = not s.key_sent or not self.rules.keys_after_takeover
        return instance(s, i, own._replace(status=OWNED, fresh=fresh))

    # Calls that present the token: the reply arrives at once or the call never took place.

    def _worker_calls(self, s: State, i: int) -> Iterator[Step]:
        own = s.instances[i]
        for w in WORKERS:
            worker, bit = s.workers[w], 1 << w
            if not worker.up:
                others = ALL & ~bit
                if not own.resolved & bit and own.fenced & others == others:
                    gone = own._replace(resolved=own.resolved | bit)
                    yield f"instance {i} excuses worker {w}", self._settle(instance(s, i, gone), i)
            elif not own.usable & bit:
                yield from self._fence(s, i, w)
            elif own.unverified & bit and self._others_confirm(s, i, w):
                verified = own._replace(unverified=own.unverified & ~bit)
                yield f"instance {i} verified worker {w}", instance(s, i, verified)

    def _fence(self, s: State, i: int, w: int) -> Iterator[Step]:
        own, worker = s.instances[i], s.workers[w]
        if own.token < worker.held:
            yield f"worker {w} refuses instance {i}", self._lose(s, i)
            return
        after = at(s, w, worker._replace(held=own.token))
        if worker.held != own.token:
            yield f"worker {w} takes the token of instance {i}, its reply is lost", after
        if self._interrupted(own, w, worker.held):
            yield f"instance {i} finds that another owner came between", self._lose(after, i)
            return
        taken = self._take_inventory(own, w, worker)
        yield f"instance {i} fences worker {w}", self._settle(instance(after, i, taken), i)

    def _interrupted(self, own: Instance, w: int, previous: int) -> bool:
        known = own.fenced & 1 << w or previous == own.continues
        return self.rules.continuity and own.continues != NONE and not known

    def _take_inventory(self, own: Instance, w: int, worker: Worker) -> Instance:
        bit = 1 << w
        more = max(0, worker.running - own.used[w])
        adds = more if self.rules.takeover_cap and not own.full else 0
        return own._replace(
            resolved=own.resolved | bit,
            fenced=own.fenced | bit,
            usable=own.usable | bit,
            unverified=own.unverified | bit if self.rules.verify_returned else 0,
            used=put(own.used, w, max(worker.running, own.used[w])),
            places=own.places + adds,
            key=SETTLED if worker.key else own.key,
        )

    def _others_confirm(self, s: State, i: int, w: int) -> bool:
        own = s.instances[i]
        return all(
            s.workers[other].up and s.workers[other].held == own.token
            for other in WORKERS
            if other != w and own.fenced & 1 << other
        )

    # Request keys: one key, of which the caller may send copies to both instances.

    def _key_steps(self, s: State, i: int) -> Iterator[Step]:
        own = s.instances[i]
        if s.key_sent and own.key == NO_KEY:
            key = QUEUED if own.fresh else SETTLED
            yield f"the key reaches instance {i}", instance(s, i, own._replace(key=key))
        if own.key != QUEUED:
            return
        settled = instance(s, i, own._replace(key=SETTLED))
        ready = own.usable & ~own.unverified
        holds = any(ready & 1 << w and s.workers[w].held == own.token for w in WORKERS)
        if holds or not self.rules.confirm_before_not_run:
            yield f"instance {i} answers not_run", settled._replace(told_not_run=True)
        for w in WORKERS:
            if ready & 1 << w and len(s.messages) < self.bounds.in_flight:
                call = ("run_key", i, w, own.token)
                yield f"instance {i} sends the key to worker {w}", send(settled, call)

    def _at_worker(self, s: State, message: Message) -> Step:
        kind, i, w, token = message
        after, worker = receive(s, message), s.workers[w]
        if token != worker.held and self.rules.fencing:
            return f"worker {w} refuses {message}", after
        after = after._replace(stale_effect=s.stale_effect or token != worker.held)
        if kind == "run":
            started = worker._replace(running=worker.running + 1)
            return f"worker {w} starts a task of instance {i}", at(after, w, started)
        if worker.key:
            return f"worker {w} refuses a duplicate", after
        after = after._replace(key_runs=s.key_runs + 1)
        return f"worker {w} runs the key", at(after, w, worker._replace(key=True))

    # Quota: plain tasks of one team; places that left the shard count as used elsewhere.

    def _quota_steps(self, s: State, i: int) -> Iterator[Step]:
        own = s.instances[i]
        free = own.places - sum(own.used) - sum(own.unconfirmed)
        for w in WORKERS:
            if own.reports[w]:
                yield f"instance {i} learns of an end on worker {w}", self._ended(s, i, w)
            if not own.usable & 1 << w:
                continue
            verified = not own.unverified & 1 << w
            may_start = s.budgets[STARTS] and len(s.messages) < self.bounds.in_flight
            if verified and may_start and (free > 0 or own.unconfirmed[w]):
                yield f"instance {i} starts a task on worker {w}", self._start(s, i, w)
            if own.unconfirmed[w] and s.workers[w].held == own.token:
                confirmed = own._replace(unconfirmed=put(own.unconfirmed, w, 0))
                yield f"worker {w} accepts a later call", instance(s, i, confirmed)
        if own.status == OWNED and own.confirmed and own.token == s.epoch:
            if own.full and free > 0:
                gave = instance(s, i, own._replace(places=own.places - 1))
                yield f"instance {i} gives a place away", gave._replace(given=s.given + 1)
            elif not own.full:
                full = own._replace(places=self.bounds.limit - s.given, full=True)
                yield f"instance {i} takes the full escrow", instance(s, i, full)

    def _ended(self, s: State, i: int, w: int) -> State:
        own = s.instances[i]
        bound = own.unconfirmed
        if self.rules.confirmed_release:
            bound = put(bound, w, bound[w] + 1)
        return instance(
            s,
            i,
            own._replace(
                used=put(own.used, w, own.used[w] - 1),
                reports=put(own.reports, w, own.reports[w] - 1),
                unconfirmed=bound,
            ),
        )

    def _start(self, s: State, i: int, w: int) -> State:
        own = s.instances[i]
        bound = own.unconfirmed
        if bound[w]:
            bound = put(bound, w, bound[w] - 1)
        started = own._replace(used=put(own.used, w, own.used[w] + 1), unconfirmed=bound)
        return send(instance(spend(s, STARTS), i, started), ("run", i, w, own.token))

    # Invariants.

    def invariants(self) -> dict[str, Any]:
        """Return the invariants by name."""
        limit = self.bounds.limit
        found: dict[str, Any] = {OWNER: self._one_owner}
        if self.bounds.key:
            found[ONCE] = lambda d: d["key_runs"] <= 1
            found[TRUE_NOT_RUN] = lambda d: not (d["told_not_run"] and d["key_runs"])
        if limit:
            found[WITHIN_LIMIT] = lambda d: (
                sum(worker.running for worker in d["workers"]) + d["given"] <= limit
            )
        return found

    def _one_owner(self, d: dict[str, Any]) -> bool:
        """Tell whether each worker has had an effect of the holder of its token only."""
        if d["stale_effect"]:
            return False
        first, second = d["instances"]
        return first.token != second.token or first.token == NONE


def spend(s: State, budget: int) -> State:
    """Return the state with one event less to come."""
    return s._replace(budgets=put(s.budgets, budget, s.budgets[budget] - 1))


def instance(s: State, i: int, value: Instance) -> State:
    """Return the state with one instance replaced."""
    return s._replace(instances=put(s.instances, i, value))


def at(s: State, w: int, value: Worker) -> State:
    """Return the state with one worker replaced."""
    return s._replace(workers=put(s.workers, w, value))


def send(s: State, message: tuple[Any, ...]) -> State:
    """Return the state with a message more under way."""
    return s._replace(messages=s.messages | {message})


def receive(s: State, message: tuple[Any, ...]) -> State:
    """Return the state with a message less under way."""
    return s._replace(messages=s.messages - {message})
