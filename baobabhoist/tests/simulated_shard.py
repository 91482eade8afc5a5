"""Simulate instances, workers and a table around the real claim, request-key and quota code."""

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
from baobabhoist.ownership import claim as shard_claim
from baobabhoist.ownership import events
from baobabhoist.ownership.fence import Fence
from baobabhoist.ownership.request_keys import RequestKeyLedger, RequestKeyState, RunNew
from baobabhoist.quota import escrow
from baobabhoist.quota.ledger import QuotaLedger

SHARD, TEAM, LIMIT = "rack-1", "roster", 2
TIMES = events.ClaimTiming(membership_lag_s=3.0, max_lease_s=10.0)
# Each clock is off by less than half of the allowed skew, so any two clocks are within it.
CLOCK_OFFSETS_S = (0.0, 0.24, -0.24)


def request(request_id, sent_at, first=False):
    task = Task(request_id, TEAM, "q", WorkKind.REQUEST, Resources(), sent_at + 500, sent_at)
    return Request(request_id, SHARD, sent_at, task, first)


@attrs.define
class SimulatedWorker:
    name: str
    fence: Fence = attrs.Factory(Fence)
    is_up: bool = True
    incarnation: int = 0
    running: dict = attrs.Factory(dict)
    ended: dict = attrs.Factory(dict)
    up_history: list = attrs.Factory(lambda: [(0.0, True)])

    def was_up(self, at):
        return [up for since, up in self.up_history if since <= at][-1]


@attrs.define
class SimulatedInstance:
    index: int
    claim: shard_claim.ShardClaim
    keys: RequestKeyLedger = attrs.Factory(RequestKeyLedger)
    quota: QuotaLedger = attrs.Factory(lambda: QuotaLedger(SHARD))
    queue: dict = attrs.Factory(dict)
    handed_over_queue: tuple | None = None
    refused_at: dict = attrs.Factory(dict)
    is_paused: bool = False


class SimulatedShard:
    """Simulate one shard; each public method is an event in its environment."""

    def __init__(self, instances=2, workers=2):
        self.now = 1000.0
        self.workers = {f"w{index}": SimulatedWorker(f"w{index}") for index in range(workers)}
        self.start_count = 0
        self.instances = [self._new_instance(index) for index in range(instances)]
        self.is_table_up = True
        self.epoch = 0
        self.escrow_row = escrow.initial_row(LIMIT, [SHARD])
        self.messages = []
        # Pairs of an instance index and a worker that cannot reach each other.
        self.unreachable_pairs = set()
        self.first_sent_at = {}
        self.run_counts = {}
        self.reported_not_run = set()
        self.generated_count = 0

    def _new_instance(self, index):
        self.start_count += 1
        name = f"i{index}-{self.start_count}"
        return SimulatedInstance(
            index, shard_claim.ShardClaim(SHARD, name, tuple(self.workers), times=TIMES)
        )

    def clock(self, inst):
        return self.now + CLOCK_OFFSETS_S[inst.index]

    # Claims.

    def request_claim(self, inst):
        event = events.ClaimRequested(self.epoch if self.is_table_up else None)
        self.apply_event(inst, event)

    def apply_event(self, inst, event):
        for action in inst.claim.step(event, self.clock(inst)):
            self._perform(inst, action)

    def _perform(self, inst, action):
        if isinstance(action, events.PresentToken):
            call = (action.token, self.clock(inst), inst.quota.end_watermark())
            self._to_worker(inst, action.worker, "fence", call)
        elif isinstance(action, events.AdvanceEpoch):
            self._advance_epoch(inst, action)
        elif isinstance(action, events.ApplyInventory):
            self._apply_inventory(inst, action)
        elif isinstance(action, events.StateChanged):
            self._state_changed(inst, action.state)

    def _advance_epoch(self, inst, action):
        if not self.is_table_up:
            self.apply_event(inst, events.EpochUnavailable())
        elif self.epoch != action.expected:
            self._to_instance(inst, "event", events.EpochConflict(self.epoch))
        else:
            self.epoch = action.target
            self._to_instance(inst, "event", events.EpochGranted(action.target))

    def _state_changed(self, inst, state):
        if state is events.ClaimState.CLAIMING:
            inst.quota.begin_takeover()
        elif state is events.ClaimState.OWNED:
            inst.keys.begin_ownership(inst.claim.owned_since)
            self._accept_queue(inst)
        elif state in (events.ClaimState.LOST, events.ClaimState.IDLE):
            for request_id, result in inst.keys.settle_open_keys(self.clock(inst)):
                self._record_reply(request_id, result)
            inst.queue.clear()
            inst.refused_at.clear()

    def hand_over(self, inst, successor):
        """Send the queue to the next owner, whose reply may be lost."""
        self.apply_event(inst, events.HandOverRequested(successor.claim.instance_id))
        if inst.claim.state is events.ClaimState.HANDING_OVER:
            content = (inst.claim.token, inst.keys.export_queued(), inst)
            self._to_instance(successor, "queue", content)

    def _on_queue(self, inst, worker, content):
        token, keys, sender = content
        is_accepted = inst.claim.state not in events.ACTIVE_STATES
        if is_accepted:
            inst.handed_over_queue = (token, keys)
        reply = events.HandOverAccepted() if is_accepted else events.HandOverRefused()
        self._to_instance(sender, "event", reply)

    def _accept_queue(self, inst):
        if inst.handed_over_queue is None:
            return
        token, keys = inst.handed_over_queue
        inst.handed_over_queue = None
        if inst.claim.directly_succeeds(token):
            for request_id in inst.keys.import_queued(keys, self.clock(inst)):
                inst.queue[request_id] = True

    def handle_timeouts(self, inst):
        """Time out the call to the table and resend the token to workers without a reply."""
        if inst.claim.awaiting_epoch:
            self.apply_event(inst, events.EpochUnavailable())
        for worker in self.workers.values():
            is_active = inst.claim.state in events.ACTIVE_STATES and not inst.claim.awaiting_epoch
            if worker.is_up and is_active and not inst.claim.can_dispatch_to(worker.name):
                self._perform(inst, events.PresentToken(worker.name, inst.claim.token))

    def read_membership_list(self, inst, lag):
        """Read the membership list, which shows the state `lag` seconds ago."""
        for worker in self.workers.values():
            is_gone = not worker.was_up(self.now - lag)
            event = events.WorkerReportedGone if is_gone else events.WorkerReportedLive
            self.apply_event(inst, event(worker.name))
        self.apply_event(inst, events.Tick())

    def run_until_owned(self, inst, rounds=8):
        """Let one instance claim the shard without faults until it owns it."""
        self.request_claim(inst)
        for _ in range(rounds):
            while self.messages:
                self.deliver(0)
            self.handle_timeouts(inst)
            self.transfer_places(inst, 0)

    # Messages. Each belongs to a connection, which is closed when either side restarts.

    def _to_worker(self, inst, worker, kind, content):
        target = self.workers[worker]
        if target.is_up:
            connection = (inst.claim.instance_id, worker, target.incarnation)
            self.messages.append(("worker", connection, kind, content))

    def _to_instance(self, inst, kind, content, worker=None):
        incarnation = worker.incarnation if worker else 0
        connection = (inst.claim.instance_id, worker.name if worker else "", incarnation)
        self.messages.append(("instance", connection, kind, content))

    def deliver(self, index, duplicate=False):
        """Deliver one message; `duplicate` keeps a copy for a second delivery."""
        message = self.messages[index]
        if not duplicate:
            del self.messages[index]
        receiver, (instance_id, name, incarnation), kind, content = message
        worker = self.workers.get(name)
        inst = next((i for i in self.instances if i.claim.instance_id == instance_id), None)
        if inst is None or (worker and (worker.incarnation != incarnation or not worker.is_up)):
            return
        if (inst.is_paused and receiver == "instance") or (
            inst.index,
            name,
        ) in self.unreachable_pairs:
            if not duplicate:
                self.messages.append(message)
        elif receiver == "worker":
            getattr(self, f"_worker_{kind}")(inst, worker, content)
        else:
            getattr(self, f"_on_{kind}")(inst, worker, content)

    def deliver_all(self, inst, kinds=()):
        """Deliver all messages of one instance in order, with those that they cause."""
        while True:
            index = next(
                (
                    n
                    for n, (receiver, connection, kind, _) in enumerate(self.messages)
                    if connection[0] == inst.claim.instance_id
                    and (not kinds or kind in kinds)
                    and not (inst.is_paused and receiver == "instance")
                    and (inst.index, connection[1]) not in self.unreachable_pairs
                ),
                None,
            )
            if index is None:
                return
            self.deliver(index)

    def _worker_fence(self, inst, worker, call):
        token, sent_at, watermark = call
        previous = worker.fence.highest_token
        if not worker.fence.accept(token):
            self._to_instance(inst, "event", events.FenceRefused(worker.name, previous), worker)
            return
        running = tuple(RunningTask(t, TEAM, Resources()) for t in worker.running)
        event = events.WorkerFenced(
            worker.name, token, running, tuple(worker.ended.values()), previous, sent_at
        )
        self._to_instance(inst, "fenced", (event, watermark), worker)

    def _worker_run(self, inst, worker, call):
        token, task_id = call
        if not worker.fence.allows(token):
            refusal = events.FenceRefused(worker.name, worker.fence.highest_token)
            self._to_instance(inst, "event", refusal, worker)
        elif task_id not in worker.running and task_id not in worker.ended:
            self.run_counts[task_id] = self.run_counts.get(task_id, 0) + 1
            worker.running[task_id] = inst.claim.instance_id

    def _worker_renew(self, inst, worker, call):
        token, sent_at, watermark = call
        if worker.fence.allows(token):
            self._to_instance(inst, "renewed", (token, sent_at, watermark), worker)
        else:
            refusal = events.FenceRefused(worker.name, worker.fence.highest_token)
            self._to_instance(inst, "event", refusal, worker)

    def _on_event(self, inst, worker, event):
        self.apply_event(inst, event)

    def _on_fenced(self, inst, worker, content):
        self.apply_event(inst, content[0])

    def _apply_inventory(self, inst, action):
        inst.quota.adopt(action.worker, action.running)
        inst.keys.apply_inventory(action.worker, action.running, action.ended, self.clock(inst))
        for task in (*action.running, *action.ended):
            inst.queue.pop(task.task_id, None)

    def _on_renewed(self, inst, worker, content):
        token, sent_at, watermark = content
        if token == inst.claim.token:
            inst.quota.confirm_ends(worker.name, watermark)
            self.apply_event(inst, events.WorkerConfirmed(worker.name, token, sent_at))

    def _on_ended(self, inst, worker, content):
        task_id, worker_token = content
        if task_id in inst.quota.running:
            inst.quota.release(task_id, confirmed=worker_token == inst.claim.token)
        entry = inst.keys.entries.get(task_id)
        if entry is not None and entry.state in (
            RequestKeyState.DISPATCHED,
            RequestKeyState.UNKNOWN,
        ):
            inst.keys.record_result(task_id, Answer(task_id, 200, b""))

    def _on_request(self, inst, worker, req):
        if not inst.claim.is_fully_owned and not (
            inst.claim.state is events.ClaimState.PARTIAL and req.first_attempt
        ):
            return
        decision = inst.keys.admit(req, self.clock(inst))
        if isinstance(decision, RunNew):
            inst.queue[req.request_id] = not req.first_attempt

    # Work.

    def send_request(self, inst, request_id=None):
        """Send a request with a generated id once, or one with a key that may be sent again."""
        if request_id is None:
            self.generated_count += 1
            generated = request(f"generated-{self.generated_count}", self.clock(inst), True)
            self._to_instance(inst, "request", generated)
        else:
            sent_at = self.first_sent_at.setdefault(request_id, self.clock(inst))
            self._to_instance(inst, "request", request(request_id, sent_at))

    def dispatch(self, inst):
        """Dispatch the first queued request to the first worker that may run it."""
        for request_id, keyed in list(inst.queue.items()):
            for worker in self.workers.values():
                if request_id in inst.refused_at:
                    continue
                if not inst.claim.can_dispatch_to(worker.name, keyed):
                    continue
                if inst.quota.acquire(TEAM, request_id, worker.name) is None:
                    inst.keys.record_dispatch(request_id, worker.name)
                    del inst.queue[request_id]
                    call = (inst.claim.token, request_id)
                    self._to_worker(inst, worker.name, "run", call)
                    return

    def refuse_queued(self, inst):
        """Refuse queued requests once `not_run` is certain because the ownership is confirmed."""
        for request_id, entry in list(inst.keys.entries.items()):
            if request_id in inst.queue:
                at = inst.refused_at.setdefault(request_id, self.clock(inst))
                if entry.seen_only_here or inst.claim.is_confirmed_since(at):
                    del inst.queue[request_id]
                    refusal = Refusal("queue_full", "full")
                    self._record_reply(request_id, inst.keys.record_not_run(request_id, refusal))

    def _record_reply(self, request_id, result):
        if isinstance(result, Refusal) and result.outcome is Outcome.NOT_RUN:
            self.reported_not_run.add(request_id)

    def renew_leases(self, inst):
        """Send a lease renewal to every fenced worker."""
        for name in sorted(inst.claim.fenced_workers):
            call = (inst.claim.token, self.clock(inst), inst.quota.end_watermark())
            self._to_worker(inst, name, "renew", call)

    def end_task(self, worker):
        """End the oldest task; report it to the instance that started it and the current owner."""
        if not worker.running:
            return
        task_id = next(iter(worker.running))
        starter = worker.running.pop(task_id)
        worker.ended[task_id] = EndedTask(task_id, TEAM, True)
        for inst in self.instances:
            if inst.claim.instance_id in (starter, worker.fence.highest_token.instance_id):
                content = (task_id, worker.fence.highest_token)
                self._to_instance(inst, "ended", content, worker)

    # Quota.

    def transfer_places(self, inst, places):
        """Take the full escrow, give places to the pool or take some from it."""
        is_current = inst.claim.can_use_full_escrow and inst.claim.token.epoch == self.epoch
        if not (self.is_table_up and is_current):
            return
        epoch = inst.claim.token.epoch
        if inst.quota.takeover_cap is not None:
            self.escrow_row = escrow.confirm_epoch(self.escrow_row, SHARD, epoch)
            inst.quota.lift_takeover_cap({TEAM: self.escrow_row.held(SHARD)})
            return
        if places == 0 or (places < 0 and not inst.quota.transferable(TEAM)):
            return
        if places < 0:
            inst.quota.withdraw(TEAM, 1)
        transferred = escrow.apply_moves(
            TEAM, self.escrow_row, [escrow.PlaceMove(SHARD, epoch, places)]
        )
        if isinstance(transferred, Refusal):
            if places < 0:
                inst.quota.deposit(TEAM, 1)
            return
        self.escrow_row = transferred
        if places > 0:
            inst.quota.deposit(TEAM, 1)

    # Faults.

    def crash_instance(self, index):
        self.instances[index] = self._new_instance(index)

    def crash_worker(self, worker):
        """Drop the tasks, records of ids and connections of a worker; its fence persists."""
        if not worker.is_up:
            return
        worker.is_up = False
        worker.incarnation += 1
        worker.running.clear()
        worker.ended.clear()
        worker.up_history.append((self.now, False))
        for inst in self.instances:
            self.apply_event(inst, events.WorkerDisconnected(worker.name))

    def restart_worker(self, worker):
        if worker.is_up:
            return
        worker.is_up = True
        worker.up_history.append((self.now, True))
        for inst in self.instances:
            if not inst.is_paused:
                self.apply_event(inst, events.WorkerConnected(worker.name))

    def check_guarantees(self):
        """Assert the guarantees; places in the pool count as used by other shards."""
        run_twice = [key for key, n in self.run_counts.items() if n > 1]
        assert not run_twice, f"{run_twice} ran more than once"
        assert not self.reported_not_run & set(self.run_counts), (
            "not_run was reported for a request that ran"
        )
        running = sum(len(worker.running) for worker in self.workers.values())
        assert running + self.escrow_row.pool <= LIMIT, "the team exceeds its limit"
        for worker in self.workers.values():
            owners = [
                inst.claim.instance_id
                for inst in self.instances
                if inst.claim.can_dispatch_to(worker.name)
                and worker.fence.allows(inst.claim.token)
            ]
            assert len(owners) <= 1, f"{owners} both own {worker.name}"
