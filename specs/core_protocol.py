"""Specify ownership, request keys and quota escrow as a finite model for minicheck.

Two instances compete for one shard of two workers. Instance 0 owns it at first. The model has
no clock: an action may happen at any time or never, so an undelivered message models one that is
delayed, reordered or lost, and an instance that takes no step models a paused one. Where the
implementation waits for a period of time, the model states the condition that the wait ensures.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

import attrs

INSTANCES = (0, 1)
WORKERS = (0, 1)
ALL_WORKERS = 0b11

IDLE, CLAIMING, OWNED = 0, 1, 2
NO_KEY, QUEUED, SETTLED = 0, 1, 2

# Tokens are numbered in ascending order; instance 0 holds the first one at the start.
FIRST_TOKEN = 1
NO_TOKEN = 0

SINGLE_OWNER = "one effective owner per worker"
KEY_RUNS_ONCE = "the key runs at most once"
NOT_RUN_IS_TRUE = "not_run is true"
TEAM_WITHIN_LIMIT = "the team is within its limit"

Message = tuple[str, int, int, int]
Step = tuple[str, "State"]


@attrs.frozen
class Rules:
    """Enable or disable each protective rule."""

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
    """Limit the model; each count is a total over one execution."""

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
    """Hold a worker's token and number of plain tasks, and whether it is up and ran the key."""

    token: int
    up: bool
    running: int
    key: bool


class Instance(NamedTuple):
    """Hold the local state of an instance; its bit masks have one bit per worker.

    `fenced` workers have confirmed the token, `resolved` ones are fenced or expired, `usable`
    ones are fenced and connected, and `unverified` ones wait until the others have confirmed.
    `confirmed` is true if the epoch of the token is in the table. `places` is the quota escrow
    if `has_full_escrow`, and the takeover cap otherwise. `end_reports` counts the ends of tasks
    that the instance has yet to process, and `unconfirmed` the places of ended tasks that the
    worker has yet to confirm by a later call. `key_is_new` is true if the key was not sent before
    the takeover. `provisional_token` is the token under which the shard was owned before the
    table confirmed it.
    """

    status: int = IDLE
    token: int = NO_TOKEN
    confirmed: bool = False
    resolved: int = 0
    fenced: int = 0
    usable: int = 0
    unverified: int = 0
    places_used: tuple[int, int] = (0, 0)
    end_reports: tuple[int, int] = (0, 0)
    unconfirmed: tuple[int, int] = (0, 0)
    places: int = 0
    has_full_escrow: bool = False
    key: int = NO_KEY
    key_is_new: bool = False
    provisional_token: int = NO_TOKEN


class State(NamedTuple):
    """Hold the state of the system; `budgets` counts the events that may still happen.

    `epoch` is the token whose epoch is in the table, and `highest` the last token issued.
    `given` is the number of places given to other shards.
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


def replace_item(pair: tuple[Any, ...], index: int, value: Any) -> Any:
    """Return the tuple with one item replaced."""
    return (*pair[:index], value, *pair[index + 1 :])


class CoreProtocol:
    """Generate the transitions of the model under the given rules and bounds.

    The methods call a state `s`, the index of an instance `i` and that of a worker `w`.
    """

    def __init__(self, rules: Rules, bounds: Bounds) -> None:
        self.rules = rules
        self.bounds = bounds

    def initial(self) -> State:
        """Return the state in which instance 0 is the full owner."""
        bounds = self.bounds
        first, second = (Worker(FIRST_TOKEN, True, bounds.running[w], False) for w in WORKERS)
        owner = Instance(
            status=OWNED,
            token=FIRST_TOKEN,
            confirmed=bounds.confirmed,
            resolved=ALL_WORKERS,
            fenced=ALL_WORKERS,
            usable=ALL_WORKERS,
            places_used=bounds.running,
            places=bounds.limit,
            has_full_escrow=True,
            key_is_new=True,
        )
        return State(
            epoch=FIRST_TOKEN if bounds.confirmed else NO_TOKEN,
            highest=FIRST_TOKEN,
            given=0,
            workers=(first, second),
            instances=(owner, Instance()),
            messages=frozenset(),
            paused=-1,
            key_sent=False,
            key_runs=0,
            told_not_run=False,
            stale_effect=False,
            budgets=(bounds.claims, bounds.starts, bounds.instance_crashes, bounds.worker_crashes),
        )

    def transitions(self, fields: tuple[Any, ...]) -> list[Step]:
        """Return every next state with its label."""
        s = State._make(fields)
        steps = list(self._environment_steps(s))
        for message in sorted(s.messages):
            steps.append((f"{message} is lost", without_message(s, message)))
            steps.append(self._deliver_step(s, message))
        for i in INSTANCES:
            if i == s.paused:
                continue
            steps.extend(self._claim_steps(s, i))
            inst = s.instances[i]
            if inst.status != IDLE:
                steps.extend(self._worker_call_steps(s, i))
                if self.bounds.limit:
                    steps.extend(self._quota_steps(s, i))
            if inst.status == OWNED and self.bounds.key:
                steps.extend(self._key_steps(s, i))
        return steps

    # Environment: pauses, crashes, completion of tasks, and the caller.

    def _environment_steps(self, s: State) -> Iterator[Step]:
        if s.paused >= 0:
            yield f"instance {s.paused} resumes", s._replace(paused=-1)
        elif self.bounds.pauses:
            for i in INSTANCES:
                if s.instances[i].status != IDLE:
                    yield f"instance {i} pauses", s._replace(paused=i)
        if s.budgets[INSTANCE_CRASHES]:
            for i in INSTANCES:
                if s.instances[i].status != IDLE:
                    crashed = with_instance(spend_budget(s, INSTANCE_CRASHES), i, Instance())
                    yield f"instance {i} crashes", crashed
        for w in WORKERS:
            yield from self._worker_environment_steps(s, w)
        if self.bounds.key and not s.key_sent:
            yield "the caller sends the key", s._replace(key_sent=True)

    def _worker_environment_steps(self, s: State, w: int) -> Iterator[Step]:
        worker = s.workers[w]
        if not worker.up:
            yield f"worker {w} restarts", with_worker(s, w, worker._replace(up=True))
            return
        if s.budgets[WORKER_CRASHES]:
            yield f"worker {w} crashes", self._crash_worker(spend_budget(s, WORKER_CRASHES), w)
        if worker.running:
            after = with_worker(s, w, worker._replace(running=worker.running - 1))
            for i in INSTANCES:
                inst = s.instances[i]
                if inst.places_used[w] > inst.end_reports[w]:
                    end_reports = replace_item(inst.end_reports, w, inst.end_reports[w] + 1)
                    after = with_instance(after, i, inst._replace(end_reports=end_reports))
            yield f"a task ends on worker {w}", after

    def _crash_worker(self, s: State, w: int) -> State:
        """Drop the worker's tasks, records of ids and connections; its token persists."""
        bit = 1 << w
        after = with_worker(s, w, s.workers[w]._replace(up=False, running=0, key=False))
        for i in INSTANCES:
            inst = s.instances[i]
            disconnected = inst._replace(
                usable=inst.usable & ~bit, end_reports=replace_item(inst.end_reports, w, 0)
            )
            after = with_instance(after, i, disconnected)
        return after._replace(messages=frozenset(m for m in s.messages if m[2] != w))

    # Claims. Each access to the table may succeed or fail, independently of the others.

    def _claim_steps(self, s: State, i: int) -> Iterator[Step]:
        inst = s.instances[i]
        if not s.budgets[CLAIMS]:
            return
        token = s.highest + 1
        after = spend_budget(s, CLAIMS)._replace(highest=token)
        granted = after._replace(epoch=token)
        if inst.status == IDLE:
            places = 0 if self.rules.takeover_cap else self.bounds.limit
            claim = Instance(status=CLAIMING, token=token, places=places, key=inst.key)
            confirmed_claim = claim._replace(confirmed=True)
            yield f"instance {i} claims an epoch", with_instance(granted, i, confirmed_claim)
            yield f"instance {i} claims a round in an outage", with_instance(after, i, claim)
            yield (
                f"instance {i} claims a round: the answer to its epoch was lost",
                with_instance(granted, i, claim),
            )
        elif inst.status == OWNED and not inst.confirmed:
            confirmed = inst._replace(
                token=token,
                confirmed=True,
                provisional_token=inst.provisional_token or inst.token,
                fenced=0,
                usable=0,
                unverified=0,
            )
            yield f"the table confirms instance {i}", with_instance(granted, i, confirmed)

    def _lose_shard(self, s: State, i: int) -> State:
        """Lose the shard; a key without a result gets the outcome `unknown`."""
        key = SETTLED if s.instances[i].key else NO_KEY
        return with_instance(s, i, Instance(key=key))

    def _own_if_resolved(self, s: State, i: int) -> State:
        """Make the instance the full owner if every worker is resolved."""
        inst = s.instances[i]
        resolved = inst.resolved == ALL_WORKERS or not self.rules.wait_for_unresolved
        if inst.status != CLAIMING or not resolved:
            return s
        key_is_new = not s.key_sent or not self.rules.keys_after_takeover
        return with_instance(s, i, inst._replace(status=OWNED, key_is_new=key_is_new))

    # Calls that present the token: the reply arrives at once, or the call does not take place.

    def _worker_call_steps(self, s: State, i: int) -> Iterator[Step]:
        inst = s.instances[i]
        for w in WORKERS:
            worker, bit = s.workers[w], 1 << w
            if not worker.up:
                others = ALL_WORKERS & ~bit
                if not inst.resolved & bit and inst.fenced & others == others:
                    expired = inst._replace(resolved=inst.resolved | bit)
                    yield (
                        f"instance {i} counts worker {w} as expired",
                        self._own_if_resolved(with_instance(s, i, expired), i),
                    )
            elif not inst.usable & bit:
                yield from self._fence_steps(s, i, w)
            elif inst.unverified & bit and self._have_others_confirmed(s, i, w):
                verified = inst._replace(unverified=inst.unverified & ~bit)
                yield f"instance {i} verified worker {w}", with_instance(s, i, verified)

    def _fence_steps(self, s: State, i: int, w: int) -> Iterator[Step]:
        inst, worker = s.instances[i], s.workers[w]
        if inst.token < worker.token:
            yield f"worker {w} refuses instance {i}", self._lose_shard(s, i)
            return
        after = with_worker(s, w, worker._replace(token=inst.token))
        if worker.token != inst.token:
            yield f"worker {w} takes the token of instance {i}, its reply is lost", after
        if self._may_have_had_other_owner(inst, w, worker.token):
            yield (
                f"instance {i} finds that another instance may have owned the shard",
                self._lose_shard(after, i),
            )
            return
        fenced_inst = self._apply_inventory(inst, w, worker)
        yield (
            f"instance {i} fences worker {w}",
            self._own_if_resolved(with_instance(after, i, fenced_inst), i),
        )

    def _may_have_had_other_owner(self, inst: Instance, w: int, previous: int) -> bool:
        is_known = inst.fenced & 1 << w or previous == inst.provisional_token
        return self.rules.continuity and inst.provisional_token != NO_TOKEN and not is_known

    def _apply_inventory(self, inst: Instance, w: int, worker: Worker) -> Instance:
        bit = 1 << w
        extra_running = max(0, worker.running - inst.places_used[w])
        extra_places = extra_running if self.rules.takeover_cap and not inst.has_full_escrow else 0
        return inst._replace(
            resolved=inst.resolved | bit,
            fenced=inst.fenced | bit,
            usable=inst.usable | bit,
            unverified=inst.unverified | bit if self.rules.verify_returned else 0,
            places_used=replace_item(
                inst.places_used, w, max(worker.running, inst.places_used[w])
            ),
            places=inst.places + extra_places,
            key=SETTLED if worker.key else inst.key,
        )

    def _have_others_confirmed(self, s: State, i: int, w: int) -> bool:
        inst = s.instances[i]
        return all(
            s.workers[other].up and s.workers[other].token == inst.token
            for other in WORKERS
            if other != w and inst.fenced & 1 << other
        )

    # Request keys: one key, which the caller may send to both instances.

    def _key_steps(self, s: State, i: int) -> Iterator[Step]:
        inst = s.instances[i]
        if s.key_sent and inst.key == NO_KEY:
            key = QUEUED if inst.key_is_new else SETTLED
            yield f"the key reaches instance {i}", with_instance(s, i, inst._replace(key=key))
        if inst.key != QUEUED:
            return
        settled = with_instance(s, i, inst._replace(key=SETTLED))
        usable_workers = inst.usable & ~inst.unverified
        holds_token = any(
            usable_workers & 1 << w and s.workers[w].token == inst.token for w in WORKERS
        )
        if holds_token or not self.rules.confirm_before_not_run:
            yield f"instance {i} answers not_run", settled._replace(told_not_run=True)
        for w in WORKERS:
            if usable_workers & 1 << w and len(s.messages) < self.bounds.in_flight:
                call = ("run_key", i, w, inst.token)
                yield f"instance {i} sends the key to worker {w}", with_message(settled, call)

    def _deliver_step(self, s: State, message: Message) -> Step:
        kind, i, w, token = message
        after, worker = without_message(s, message), s.workers[w]
        if token != worker.token and self.rules.fencing:
            return f"worker {w} refuses {message}", after
        after = after._replace(stale_effect=s.stale_effect or token != worker.token)
        if kind == "run":
            started = worker._replace(running=worker.running + 1)
            return f"worker {w} starts a task of instance {i}", with_worker(after, w, started)
        if worker.key:
            return f"worker {w} refuses a duplicate", after
        after = after._replace(key_runs=s.key_runs + 1)
        return f"worker {w} runs the key", with_worker(after, w, worker._replace(key=True))

    # Quota: plain tasks of one team; places given to other shards count as used there.

    def _quota_steps(self, s: State, i: int) -> Iterator[Step]:
        inst = s.instances[i]
        free = inst.places - sum(inst.places_used) - sum(inst.unconfirmed)
        for w in WORKERS:
            if inst.end_reports[w]:
                yield f"instance {i} learns of an end on worker {w}", self._record_end(s, i, w)
            if not inst.usable & 1 << w:
                continue
            verified = not inst.unverified & 1 << w
            may_start = s.budgets[STARTS] and len(s.messages) < self.bounds.in_flight
            if verified and may_start and (free > 0 or inst.unconfirmed[w]):
                yield f"instance {i} starts a task on worker {w}", self._start_task(s, i, w)
            if inst.unconfirmed[w] and s.workers[w].token == inst.token:
                confirmed = inst._replace(unconfirmed=replace_item(inst.unconfirmed, w, 0))
                yield f"worker {w} accepts a later call", with_instance(s, i, confirmed)
        if inst.status == OWNED and inst.confirmed and inst.token == s.epoch:
            if inst.has_full_escrow and free > 0:
                given_away = with_instance(s, i, inst._replace(places=inst.places - 1))
                yield f"instance {i} gives a place away", given_away._replace(given=s.given + 1)
            elif not inst.has_full_escrow:
                with_escrow = inst._replace(
                    places=self.bounds.limit - s.given, has_full_escrow=True
                )
                yield f"instance {i} takes the full escrow", with_instance(s, i, with_escrow)

    def _record_end(self, s: State, i: int, w: int) -> State:
        inst = s.instances[i]
        unconfirmed = inst.unconfirmed
        if self.rules.confirmed_release:
            unconfirmed = replace_item(unconfirmed, w, unconfirmed[w] + 1)
        return with_instance(
            s,
            i,
            inst._replace(
                places_used=replace_item(inst.places_used, w, inst.places_used[w] - 1),
                end_reports=replace_item(inst.end_reports, w, inst.end_reports[w] - 1),
                unconfirmed=unconfirmed,
            ),
        )

    def _start_task(self, s: State, i: int, w: int) -> State:
        inst = s.instances[i]
        unconfirmed = inst.unconfirmed
        if unconfirmed[w]:
            unconfirmed = replace_item(unconfirmed, w, unconfirmed[w] - 1)
        started = inst._replace(
            places_used=replace_item(inst.places_used, w, inst.places_used[w] + 1),
            unconfirmed=unconfirmed,
        )
        return with_message(
            with_instance(spend_budget(s, STARTS), i, started), ("run", i, w, inst.token)
        )

    # Invariants.

    def invariants(self) -> dict[str, Any]:
        """Return the invariants by name."""
        limit = self.bounds.limit
        invariants: dict[str, Any] = {SINGLE_OWNER: self._has_single_owner}
        if self.bounds.key:
            invariants[KEY_RUNS_ONCE] = lambda fields: fields["key_runs"] <= 1
            invariants[NOT_RUN_IS_TRUE] = lambda fields: (
                not (fields["told_not_run"] and fields["key_runs"])
            )
        if limit:
            invariants[TEAM_WITHIN_LIMIT] = lambda fields: (
                sum(worker.running for worker in fields["workers"]) + fields["given"] <= limit
            )
        return invariants

    def _has_single_owner(self, fields: dict[str, Any]) -> bool:
        """Return whether no call under a stale token took effect and no token is shared."""
        if fields["stale_effect"]:
            return False
        first, second = fields["instances"]
        return first.token != second.token or first.token == NO_TOKEN


def spend_budget(s: State, budget: int) -> State:
    """Return the state with the budget reduced by one event."""
    return s._replace(budgets=replace_item(s.budgets, budget, s.budgets[budget] - 1))


def with_instance(s: State, i: int, value: Instance) -> State:
    """Return the state with one instance replaced."""
    return s._replace(instances=replace_item(s.instances, i, value))


def with_worker(s: State, w: int, value: Worker) -> State:
    """Return the state with one worker replaced."""
    return s._replace(workers=replace_item(s.workers, w, value))


def with_message(s: State, message: tuple[Any, ...]) -> State:
    """Return the state with a message added to those in flight."""
    return s._replace(messages=s.messages | {message})


def without_message(s: State, message: tuple[Any, ...]) -> State:
    """Return the state with a message removed from those in flight."""
    return s._replace(messages=s.messages - {message})
