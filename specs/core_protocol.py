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
ALL_WORKERS = 0b11

IDLE, CLAIMING, OWNED = 0, 1, 2
NO_KEY, QUEUED, SETTLED = 0, 1, 2

# Tokens are numbered in their order; instance 0 holds the first one.
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

    token: int
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
    token: int = NO_TOKEN
    confirmed: bool = False
    resolved: int = 0
    fenced: int = 0
    usable: int = 0
    unverified: int = 0
    used: tuple[int, int] = (0, 0)
    end_reports: tuple[int, int] = (0, 0)
    unconfirmed: tuple[int, int] = (0, 0)
    places: int = 0
    has_full_escrow: bool = False
    key: int = NO_KEY
    key_is_new: bool = False
    provisional_token: int = NO_TOKEN


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


def replace_item(pair: tuple[Any, ...], index: int, value: Any) -> Any:
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
        first, second = (Worker(FIRST_TOKEN, True, b.running[w], False) for w in WORKERS)
        owner = Instance(
            status=OWNED,
            token=FIRST_TOKEN,
            confirmed=b.confirmed,
            resolved=ALL_WORKERS,
            fenced=ALL_WORKERS,
            usable=ALL_WORKERS,
            used=b.running,
            places=b.limit,
            has_full_escrow=True,
            key_is_new=True,
        )
        return State(
            epoch=FIRST_TOKEN if b.confirmed else NO_TOKEN,
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
            budgets=(b.claims, b.starts, b.instance_crashes, b.worker_crashes),
        )

    def transitions(self, raw: tuple[Any, ...]) -> list[Step]:
        """Return every labelled next state."""
        s = State._make(raw)
        found = list(self._environment(s))
        for message in sorted(s.messages):
            found.append((f"{message} is lost", without_message(s, message)))
            found.append(self._at_worker(s, message))
        for i in INSTANCES:
            if i == s.paused:
                continue
            found.extend(self._claims(s, i))
            inst = s.instances[i]
            if inst.status != IDLE:
                found.extend(self._worker_calls(s, i))
                if self.bounds.limit:
                    found.extend(self._quota_steps(s, i))
            if inst.status == OWNED and self.bounds.key:
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
                    crashed = with_instance(spend_budget(s, INSTANCE_CRASHES), i, Instance())
                    yield f"instance {i} crashes", crashed
        for w in WORKERS:
            yield from self._worker_environment(s, w)
        if self.bounds.key and not s.key_sent:
            yield "the caller sends the key", s._replace(key_sent=True)

    def _worker_environment(self, s: State, w: int) -> Iterator[Step]:
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
                if inst.used[w] > inst.end_reports[w]:
                    end_reports = replace_item(inst.end_reports, w, inst.end_reports[w] + 1)
                    after = with_instance(after, i, inst._replace(end_reports=end_reports))
            yield f"a task ends on worker {w}", after

    def _crash_worker(self, s: State, w: int) -> State:
        """Lose the worker's tasks, memory of ids and connections; it keeps its token."""
        bit = 1 << w
        after = with_worker(s, w, s.workers[w]._replace(up=False, running=0, key=False))
        for i in INSTANCES:
            inst = s.instances[i]
            cut = inst._replace(
                usable=inst.usable & ~bit, end_reports=replace_item(inst.end_reports, w, 0)
            )
            after = with_instance(after, i, cut)
        return after._replace(messages=frozenset(m for m in s.messages if m[2] != w))

    # Claims. Whether the table answers is decided at each access, for each instance.

    def _claims(self, s: State, i: int) -> Iterator[Step]:
        inst = s.instances[i]
        if not s.budgets[CLAIMS]:
            return
        token = s.highest + 1
        after = spend_budget(s, CLAIMS)._replace(highest=token)
        granted = after._replace(epoch=token)
        if inst.status == IDLE:
            places = 0 if self.rules.takeover_cap else self.bounds.limit
            claim = Instance(status=CLAIMING, token=token, places=places, key=inst.key)
            by_table = claim._replace(confirmed=True)
            yield f"instance {i} claims an epoch", with_instance(granted, i, by_table)
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

    def _lose(self, s: State, i: int) -> State:
        """Drop the shard; an open key is answered `unknown`."""
        key = SETTLED if s.instances[i].key else NO_KEY
        return with_instance(s, i, Instance(key=key))

    def _settle(self, s: State, i: int) -> State:
        """Become the full owner when every worker is resolved."""
        inst = s.instances[i]
        resolved = inst.resolved == ALL_WORKERS or not self.rules.wait_for_unresolved
        if inst.status != CLAIMING or not resolved:
            return s
        key_is_new = not s.key_sent or not self.rules.keys_after_takeover
        return with_instance(s, i, inst._replace(status=OWNED, key_is_new=key_is_new))

    # Calls that present the token: the reply arrives at once or the call never took place.

    def _worker_calls(self, s: State, i: int) -> Iterator[Step]:
        inst = s.instances[i]
        for w in WORKERS:
            worker, bit = s.workers[w], 1 << w
            if not worker.up:
                others = ALL_WORKERS & ~bit
                if not inst.resolved & bit and inst.fenced & others == others:
                    gone = inst._replace(resolved=inst.resolved | bit)
                    yield (
                        f"instance {i} excuses worker {w}",
                        self._settle(with_instance(s, i, gone), i),
                    )
            elif not inst.usable & bit:
                yield from self._fence(s, i, w)
            elif inst.unverified & bit and self._others_confirm(s, i, w):
                verified = inst._replace(unverified=inst.unverified & ~bit)
                yield f"instance {i} verified worker {w}", with_instance(s, i, verified)

    def _fence(self, s: State, i: int, w: int) -> Iterator[Step]:
        inst, worker = s.instances[i], s.workers[w]
        if inst.token < worker.token:
            yield f"worker {w} refuses instance {i}", self._lose(s, i)
            return
        after = with_worker(s, w, worker._replace(token=inst.token))
        if worker.token != inst.token:
            yield f"worker {w} takes the token of instance {i}, its reply is lost", after
        if self._interrupted(inst, w, worker.token):
            yield f"instance {i} finds that another owner came between", self._lose(after, i)
            return
        taken = self._take_inventory(inst, w, worker)
        yield f"instance {i} fences worker {w}", self._settle(with_instance(after, i, taken), i)

    def _interrupted(self, inst: Instance, w: int, previous: int) -> bool:
        known = inst.fenced & 1 << w or previous == inst.provisional_token
        return self.rules.continuity and inst.provisional_token != NO_TOKEN and not known

    def _take_inventory(self, inst: Instance, w: int, worker: Worker) -> Instance:
        bit = 1 << w
        more = max(0, worker.running - inst.used[w])
        adds = more if self.rules.takeover_cap and not inst.has_full_escrow else 0
        return inst._replace(
            resolved=inst.resolved | bit,
            fenced=inst.fenced | bit,
            usable=inst.usable | bit,
            unverified=inst.unverified | bit if self.rules.verify_returned else 0,
            used=replace_item(inst.used, w, max(worker.running, inst.used[w])),
            places=inst.places + adds,
            key=SETTLED if worker.key else inst.key,
        )

    def _others_confirm(self, s: State, i: int, w: int) -> bool:
        inst = s.instances[i]
        return all(
            s.workers[other].up and s.workers[other].token == inst.token
            for other in WORKERS
            if other != w and inst.fenced & 1 << other
        )

    # Request keys: one key, of which the caller may send copies to both instances.

    def _key_steps(self, s: State, i: int) -> Iterator[Step]:
        inst = s.instances[i]
        if s.key_sent and inst.key == NO_KEY:
            key = QUEUED if inst.key_is_new else SETTLED
            yield f"the key reaches instance {i}", with_instance(s, i, inst._replace(key=key))
        if inst.key != QUEUED:
            return
        settled = with_instance(s, i, inst._replace(key=SETTLED))
        ready = inst.usable & ~inst.unverified
        holds = any(ready & 1 << w and s.workers[w].token == inst.token for w in WORKERS)
        if holds or not self.rules.confirm_before_not_run:
            yield f"instance {i} answers not_run", settled._replace(told_not_run=True)
        for w in WORKERS:
            if ready & 1 << w and len(s.messages) < self.bounds.in_flight:
                call = ("run_key", i, w, inst.token)
                yield f"instance {i} sends the key to worker {w}", with_message(settled, call)

    def _at_worker(self, s: State, message: Message) -> Step:
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

    # Quota: plain tasks of one team; places that left the shard count as used elsewhere.

    def _quota_steps(self, s: State, i: int) -> Iterator[Step]:
        inst = s.instances[i]
        free = inst.places - sum(inst.used) - sum(inst.unconfirmed)
        for w in WORKERS:
            if inst.end_reports[w]:
                yield f"instance {i} learns of an end on worker {w}", self._ended(s, i, w)
            if not inst.usable & 1 << w:
                continue
            verified = not inst.unverified & 1 << w
            may_start = s.budgets[STARTS] and len(s.messages) < self.bounds.in_flight
            if verified and may_start and (free > 0 or inst.unconfirmed[w]):
                yield f"instance {i} starts a task on worker {w}", self._start(s, i, w)
            if inst.unconfirmed[w] and s.workers[w].token == inst.token:
                confirmed = inst._replace(unconfirmed=replace_item(inst.unconfirmed, w, 0))
                yield f"worker {w} accepts a later call", with_instance(s, i, confirmed)
        if inst.status == OWNED and inst.confirmed and inst.token == s.epoch:
            if inst.has_full_escrow and free > 0:
                gave = with_instance(s, i, inst._replace(places=inst.places - 1))
                yield f"instance {i} gives a place away", gave._replace(given=s.given + 1)
            elif not inst.has_full_escrow:
                full = inst._replace(places=self.bounds.limit - s.given, has_full_escrow=True)
                yield f"instance {i} takes the full escrow", with_instance(s, i, full)

    def _ended(self, s: State, i: int, w: int) -> State:
        inst = s.instances[i]
        bound = inst.unconfirmed
        if self.rules.confirmed_release:
            bound = replace_item(bound, w, bound[w] + 1)
        return with_instance(
            s,
            i,
            inst._replace(
                used=replace_item(inst.used, w, inst.used[w] - 1),
                end_reports=replace_item(inst.end_reports, w, inst.end_reports[w] - 1),
                unconfirmed=bound,
            ),
        )

    def _start(self, s: State, i: int, w: int) -> State:
        inst = s.instances[i]
        bound = inst.unconfirmed
        if bound[w]:
            bound = replace_item(bound, w, bound[w] - 1)
        started = inst._replace(
            used=replace_item(inst.used, w, inst.used[w] + 1), unconfirmed=bound
        )
        return with_message(
            with_instance(spend_budget(s, STARTS), i, started), ("run", i, w, inst.token)
        )

    # Invariants.

    def invariants(self) -> dict[str, Any]:
        """Return the invariants by name."""
        limit = self.bounds.limit
        found: dict[str, Any] = {SINGLE_OWNER: self._one_owner}
        if self.bounds.key:
            found[KEY_RUNS_ONCE] = lambda d: d["key_runs"] <= 1
            found[NOT_RUN_IS_TRUE] = lambda d: not (d["told_not_run"] and d["key_runs"])
        if limit:
            found[TEAM_WITHIN_LIMIT] = lambda d: (
                sum(worker.running for worker in d["workers"]) + d["given"] <= limit
            )
        return found

    def _one_owner(self, d: dict[str, Any]) -> bool:
        """Tell whether each worker has had an effect of the holder of its token only."""
        if d["stale_effect"]:
            return False
        first, second = d["instances"]
        return first.token != second.token or first.token == NO_TOKEN


def spend_budget(s: State, budget: int) -> State:
    """Return the state with one event less to come."""
    return s._replace(budgets=replace_item(s.budgets, budget, s.budgets[budget] - 1))


def with_instance(s: State, i: int, value: Instance) -> State:
    """Return the state with one instance replaced."""
    return s._replace(instances=replace_item(s.instances, i, value))


def with_worker(s: State, w: int, value: Worker) -> State:
    """Return the state with one worker replaced."""
    return s._replace(workers=replace_item(s.workers, w, value))


def with_message(s: State, message: tuple[Any, ...]) -> State:
    """Return the state with a message more under way."""
    return s._replace(messages=s.messages | {message})


def without_message(s: State, message: tuple[Any, ...]) -> State:
    """Return the state with a message less under way."""
    return s._replace(messages=s.messages - {message})
