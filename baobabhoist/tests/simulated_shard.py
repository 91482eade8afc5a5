"""Drive the real claim, keys and quota code with simulated instances, workers and a table."""

from __future__ import annotations

import attrs

from baobabhoist.errors import Refusal
from baobabhoist.model import (
    Answer,
    EndedTask,
    Outcome,
    Request,
    Resources,
    RunningTask,
    Task,
    WorkKind,
)
from baobabhoist.ownership import claim as oc
from baobabhoist.ownership.fence import Fence
from baobabhoist.ownership.keys import KeyLedger, KeyState, Run
from baobabhoist.quota import escrow
from baobabhoist.quota.ledger import QuotaLedger

SHARD, TEAM, LIMIT = "rack-1", "roster", 2
TIMES = oc.ClaimTimes(membership_lag_s=3.0, longest_lease_s=10.0)
# Half of the allowed skew on each side keeps the clocks of two processes within it.
CLOCK_OFFSETS_S = (0.0, 0.24, -0.24)


def request(request_id, sent_at, first=False):
    task = Task(request_id, TEAM, "q", WorkKind.REQUEST, Resources(), sent_at + 500, sent_at)
    return Request(request_id, SHARD, sent_at, task, first)


@attrs.define
class SimWorker:
    name: str
    fence: Fence = attrs.Factory(Fence)
    up: bool = True
    boot: int = 0
    running: dict = attrs.Factory(dict)
    ended: dict = attrs.Factory(dict)
    history: list = attrs.Factory(lambda: [(0.0, True)])

    def was_up(self, at):
        return [up for since, up in self.history if since <= at][-1]


@attrs.define
class SimInstance:
    index: int
    claim: oc.ShardClaim
    keys: KeyLedger = attrs.Factory(KeyLedger)
    quota: QuotaLedger = attrs.Factory(lambda: QuotaLedger(SHARD))
    queue: dict = attrs.Factory(dict)
    inherited: tuple | None = None
    refused_at: dict = attrs.Factory(dict)
    paused: bool = False


class System:
    """Hold everything; each public method is one event of the environment."""

    def __init__(self, instances=2, workers=2):
        self.now = 1000.0
        self.workers = {f"w{n}": SimWorker(f"w{n}") for n in range(workers)}
        self.starts = 0
        self.instances = [self._new_instance(n) for n in range(instances)]
        self.table_up = True
        self.epoch = 0
        self.row = escrow.initial_row(LIMIT, [SHARD])
        self.messages = []
        # Pairs of an instance's index and a worker that cannot reach each other.
        self.cut = set()
        self.first_sent = {}
        self.runs = {}
        self.told_not_run = set()
        self.tasks = 0

    def _new_instance(self, index):
        self.starts += 1
        name = f"i{index}-{self.starts}"
        return SimInstance(index, oc.ShardClaim(SHARD, name, tuple(self.workers), times=TIMES))

    def clock(self, inst):
        return self.now + CLOCK_OFFSETS_S[inst.index]

    # Claims.

    def want(self, inst):
        event = oc.ClaimWanted(self.epoch if self.table_up else None)
        self.apply(inst, event)

    def apply(self, inst, event):
        for action in inst.claim.step(event, self.clock(inst)):
            self._perform(inst, action)

    def _perform(self, inst, action):
        if isinstance(action, oc.PresentToken):
            call = (action.token, self.clock(inst), inst.quota.end_watermark())
            self._to_worker(inst, action.worker, "fence", call)
        elif isinstance(action, oc.AdvanceEpoch):
            self._advance_epoch(inst, action)
        elif isinstance(action, oc.TakeInventory):
            self._take_inventory(inst, action)
        elif isinstance(action, oc.StateChanged):
            self._state_changed(inst, action.state)

    def _advance_epoch(self, inst, action):
        if not self.table_up:
            self.apply(inst, oc.EpochUnavailable())
        elif self.epoch != action.expected:
            self._to_instance(inst, "event", oc.EpochConflict(self.epoch))
        else:
            self.epoch = action.target
            self._to_instance(inst, "event", oc.EpochGranted(action.target))

    def _state_changed(self, inst, state):
        if state is oc.ShardState.CLAIMING:
            inst.quota.begin_takeover()
        elif state is oc.ShardState.OWNED:
            inst.keys.take_over(inst.claim.owned_since)
            self._accept_queue(inst)
        elif state in (oc.ShardState.LOST, oc.ShardState.IDLE):
            for request_id, result in inst.keys.drop(self.clock(inst)):
                self._answer(request_id, result)
            inst.queue.clear()
            inst.refused_at.clear()

    def hand_over(self, inst, successor):
        """Send the queue to a successor, whose answer may be lost."""
        self.apply(inst, oc.HandOverWanted(successor.claim.instance_id))
        if inst.claim.state is oc.ShardState.HANDING_OVER:
            content = (inst.claim.token, inst.keys.hand_over(), inst)
            self._to_instance(successor, "queue", content)

    def _on_queue(self, inst, worker, content):
        token, keys, sender = content
        taken = inst.claim.state not in oc.ACTIVE
        if taken:
            inst.inherited = (token, keys)
        reply = oc.HandOverTaken() if taken else oc.HandOverRefused()
        self._to_instance(sender, "event", reply)

    def _accept_queue(self, inst):
        if inst.inherited is None:
            return
        token, keys = inst.inherited
        inst.inherited = None
        if inst.claim.follows(token):
            for request_id in inst.keys.accept(keys, self.clock(inst)):
                inst.queue[request_id] = True

    def time_out(self, inst):
        """Give up waiting for the table and present again what was not answered."""
        if inst.claim.awaiting_epoch:
            self.apply(inst, oc.EpochUnavailable())
        for worker in self.workers.values():
            waits = inst.claim.state in oc.ACTIVE and not inst.claim.awaiting_epoch
            if worker.up and waits and not inst.claim.may_dispatch(worker.name):
                self._perform(inst, oc.PresentToken(worker.name, inst.claim.token))

    def read_members(self, inst, lag):
        """Read the membership list, which shows the state of some seconds ago."""
        for worker in self.workers.values():
            gone = not worker.was_up(self.now - lag)
            event = oc.WorkerReportedGone if gone else oc.WorkerReportedLive
            self.apply(inst, event(worker.name))
        self.apply(inst, oc.Tick())

    def settle(self, inst, rounds=8):
        """Let one instance claim and own the shard without any fault."""
        self.want(inst)
        for _ in range(rounds):
            while self.messages:
                self.deliver(0)
            self.time_out(inst)
            self.move_places(inst, 0)

    # Messages. A message belongs to a connection, which ends when either side restarts.

    def _to_worker(self, inst, worker, kind, content):
        target = self.workers[worker]
        if target.up:
            link = (inst.claim.instance_id, worker, target.boot)
            self.messages.append(("worker", link, kind, content))

    def _to_instance(self, inst, kind, content, worker=None):
        boot = worker.boot if worker else 0
        link = (inst.claim.instance_id, worker.name if worker else "", boot)
        self.messages.append(("instance", link, kind, content))

    def deliver(self, index, keep=False):
        """Deliver one message; `keep` leaves a copy that is delivered again later."""
        message = self.messages[index]
        if not keep:
            del self.messages[index]
        to, (instance_id, name, boot), kind, content = message
        worker = self.workers.get(name)
        inst = next((i for i in self.instances if i.claim.instance_id == instance_id), None)
        if inst is None or (worker and (worker.boot != boot or not worker.up)):
            return
        if (inst.paused and to == "instance") or (inst.index, name) in self.cut:
            if not keep:
                self.messages.append(message)
        elif to == "worker":
            getattr(self, f"_worker_{kind}")(inst, worker, content)
        else:
            getattr(self, f"_on_{kind}")(inst, worker, content)

    def exchange(self, inst, kinds=()):
        """Deliver all messages of one instance, in order, until none is left."""
        while True:
            index = next(
                (
                    n
                    for n, (to, link, kind, _) in enumerate(self.messages)
                    if link[0] == inst.claim.instance_id
                    and (not kinds or kind in kinds)
                    and not (inst.paused and to == "instance")
                    and (inst.index, link[1]) not in self.cut
                ),
                None,
            )
            if index is None:
                return
            self.deliver(index)

    def _worker_fence(self, inst, worker, call):
        token, sent_at, watermark = call
        previous = worker.fence.highest
        if not worker.fence.present(token):
            self._to_instance(inst, "event", oc.FenceRefused(worker.name, previous), worker)
            return
        running = tuple(RunningTask(t, TEAM, Resources()) for t in worker.running)
        event = oc.WorkerFenced(
            worker.name, token, running, tuple(worker.ended.values()), previous, sent_at
        )
        self._to_instance(inst, "fenced", (event, watermark), worker)

    def _worker_run(self, inst, worker, call):
        token, task_id = call
        if not worker.fence.allows(token):
            refusal = oc.FenceRefused(worker.name, worker.fence.highest)
            self._to_instance(inst, "event", refusal, worker)
        elif task_id not in worker.running and task_id not in worker.ended:
            self.runs[task_id] = self.runs.get(task_id, 0) + 1
            worker.running[task_id] = inst.claim.instance_id

    def _worker_renew(self, inst, worker, call):
        token, sent_at, watermark = call
        if worker.fence.allows(token):
            self._to_instance(inst, "renewed", (token, sent_at, watermark), worker)
        else:
            refusal = oc.FenceRefused(worker.name, worker.fence.highest)
            self._to_instance(inst, "event", refusal, worker)

    def _on_event(self, inst, worker, event):
        self.apply(inst, event)

    def _on_fenced(self, inst, worker, content):
        self.apply(inst, content[0])

    def _take_inventory(self, inst, action):
        inst.quota.adopt(action.worker, action.running)
        inst.keys.inherit(action.worker, action.running, action.ended, self.clock(inst))
        for task in (*action.running, *action.ended):
            inst.queue.pop(task.task_id, None)

    def _on_renewed(self, inst, worker, content):
        token, sent_at, watermark = content
        if token == inst.claim.token:
            inst.quota.confirm_ends(worker.name, watermark)
            self.apply(inst, oc.WorkerConfirmed(worker.name, token, sent_at))

    def _on_ended(self, inst, worker, content):
        task_id, held = content
        if task_id in inst.quota.running:
            inst.quota.release(task_id, confirmed=held == inst.claim.token)
        entry = inst.keys.entries.get(task_id)
        if entry is not None and entry.state in (KeyState.DISPATCHED, KeyState.UNKNOWN):
            inst.keys.answered(task_id, Answer(task_id, 200, b""))

    def _on_request(self, inst, worker, req):
        if not inst.claim.owns_keys and not (
            inst.claim.state is oc.ShardState.PARTIAL and req.first_attempt
        ):
            return
        decision = inst.keys.admit(req, self.clock(inst))
        if isinstance(decision, Run):
            inst.queue[req.request_id] = not req.first_attempt

    # Work.

    def send_request(self, inst, request_id=None):
        """Send a generated id once, or a caller's key, of which copies may follow."""
        if request_id is None:
            self.tasks += 1
            generated = request(f"generated-{self.tasks}", self.clock(inst), True)
            self._to_instance(inst, "request", generated)
        else:
            sent_at = self.first_sent.setdefault(request_id, self.clock(inst))
            self._to_instance(inst, "request", request(request_id, sent_at))

    def dispatch(self, inst):
        """Send the first queued request to the first worker that may take it."""
        for request_id, keyed in list(inst.queue.items()):
            for worker in self.workers.values():
                if request_id in inst.refused_at:
                    continue
                if not inst.claim.may_dispatch(worker.name, keyed):
                    continue
                if inst.quota.acquire(TEAM, request_id, worker.name) is None:
                    inst.keys.dispatched(request_id, worker.name)
                    del inst.queue[request_id]
                    call = (inst.claim.token, request_id)
                    self._to_worker(inst, worker.name, "run", call)
                    return

    def refuse(self, inst):
        """Refuse queued requests; `not_run` waits until the ownership is confirmed."""
        for request_id, entry in list(inst.keys.entries.items()):
            if request_id in inst.queue:
                at = inst.refused_at.setdefault(request_id, self.clock(inst))
                if entry.sole or inst.claim.confirmed_after(at):
                    del inst.queue[request_id]
                    refusal = Refusal("queue_full", "full")
                    self._answer(request_id, inst.keys.not_run(request_id, refusal))

    def _answer(self, request_id, result):
        if isinstance(result, Refusal) and result.outcome is Outcome.NOT_RUN:
            self.told_not_run.add(request_id)

    def renew(self, inst):
        """Send a call to every fenced worker."""
        for name in sorted(inst.claim.fenced):
            call = (inst.claim.token, self.clock(inst), inst.quota.end_watermark())
            self._to_worker(inst, name, "renew", call)

    def end_task(self, worker):
        """End the oldest task and report it to its starter and to the token's holder."""
        if not worker.running:
            return
        task_id = next(iter(worker.running))
        starter = worker.running.pop(task_id)
        worker.ended[task_id] = EndedTask(task_id, TEAM, True)
        for inst in self.instances:
            if inst.claim.instance_id in (starter, worker.fence.highest.instance_id):
                content = (task_id, worker.fence.highest)
                self._to_instance(inst, "ended", content, worker)

    # Quota.

    def move_places(self, inst, places):
        """Take the full escrow, give a place to the pool or take one from it."""
        current = inst.claim.escrow_usable and inst.claim.token.epoch == self.epoch
        if not (self.table_up and current):
            return
        epoch = inst.claim.token.epoch
        if inst.quota.takeover_cap is not None:
            self.row = escrow.confirm_epoch(self.row, SHARD, epoch)
            inst.quota.lift_takeover_cap({TEAM: self.row.held(SHARD)})
            return
        if places == 0 or (places < 0 and not inst.quota.transferable(TEAM)):
            return
        if places < 0:
            inst.quota.withdraw(TEAM, 1)
        moved = escrow.apply_moves(TEAM, self.row, [escrow.PlaceMove(SHARD, epoch, places)])
        if isinstance(moved, Refusal):
            if places < 0:
                inst.quota.deposit(TEAM, 1)
            return
        self.row = moved
        if places > 0:
            inst.quota.deposit(TEAM, 1)

    # Faults.

    def crash_instance(self, index):
        self.instances[index] = self._new_instance(index)

    def crash_worker(self, worker):
        """Lose tasks, remembered ids and connections; the fence is kept with the leases."""
        if not worker.up:
            return
        worker.up = False
        worker.boot += 1
        worker.running.clear()
        worker.ended.clear()
        worker.history.append((self.now, False))
        for inst in self.instances:
            self.apply(inst, oc.WorkerDisconnected(worker.name))

    def restart_worker(self, worker):
        if worker.up:
            return
        worker.up = True
        worker.history.append((self.now, True))
        for inst in self.instances:
            if not inst.paused:
                self.apply(inst, oc.WorkerConnected(worker.name))

    def check(self):
        """Assert the guarantees; the pool counts as used by other shards."""
        twice = [key for key, n in self.runs.items() if n > 1]
        assert not twice, f"{twice} ran more than once"
        assert not self.told_not_run & set(self.runs), "not_run was told of a request that ran"
        running = sum(len(worker.running) for worker in self.workers.values())
        assert running + self.row.pool <= LIMIT, "the team exceeds its limit"
        for worker in self.workers.values():
            owners = [
                inst.claim.instance_id
                for inst in self.instances
                if inst.claim.may_dispatch(worker.name) and worker.fence.allows(inst.claim.token)
            ]
            assert len(owners) <= 1, f"{owners} both own {worker.name}"
