"""Run an owner, holders of sessions and fake workers in simulated time, with seeded faults."""

import asyncio
import random
from collections import defaultdict
from types import SimpleNamespace

import attrs

from baobabhoist.cell import progress_rows
from baobabhoist.cell.model import (
    CommandOutcome,
    JobPhase,
    Resources,
    RunOutcome,
    StartTask,
    Step,
    StopTask,
)
from baobabhoist.cell.scheduler import CellScheduler, Takeover
from baobabhoist.cell.workers import lease_duration_ms
from baobabhoist.control import clock
from baobabhoist.control.claim import CONFIRMATION_VALID_MS
from baobabhoist.control.interfaces import CommandResponse
from baobabhoist.control.machine_size import MachineSize
from baobabhoist.control.sessions import messages
from baobabhoist.control.sessions.assignment import Holder, LinkedInstance
from baobabhoist.control.sessions.holder import SessionHolder
from baobabhoist.control.sessions.pool import PoolDependencies, SessionPool
from baobabhoist.control.silent_workers import SilentWorkers
from baobabhoist.errors import LinkClosedError
from baobabhoist.store.row_store import StoredRow
from baobabhoist.testing.cell_worker import FakeCellWorker
from baobabhoist.testing.simulated_loop import SimulatedLoop, run_simulated
from baobabhoist.tests.cell_harness import LEASE_MS, MAX_LEASE_MS, make_job, make_rules

LATENCY_S = 0.002
CALL_TIMEOUT_S = 0.7
POLL_INTERVAL_S = 0.02
TICK_S = 0.1
LEASE_CHECK_S = 0.05
ROW_MAX_BYTES = 65_536
# How long the store may take to confirm a write.
STORE_DELAYS_S = (0.0, 0.005, 0.02, 0.5)
# A start that was decided before its task was shown or noted to be done may be sent for this long.
START_AFTER_DONE_S = 1.0
TASK = Resources(1000, 512, 0)
# So small that the owner holds no sessions itself as long as there are holders.
OWNER_SIZE = MachineSize(0.01, 100.0)
HOLDER_SIZE = MachineSize(0.5, 100.0)


@attrs.define(eq=False)
class SimulatedLink:
    """Deliver messages in order, unless the link is closed before."""

    network: "Network"
    receiver: object
    node: str
    closed: bool = False
    _last_s: float = 0.0

    async def notify(self, message):
        if self.closed:
            raise LinkClosedError("closed")
        self.network.spawn(self._deliver(message))
        await asyncio.sleep(0)

    async def call(self, message, timeout_s):
        if self.closed:
            raise LinkClosedError("closed")
        async with asyncio.timeout(timeout_s):
            reply = await self._deliver(message)
            await self.network.pass_link(self)
        if self.closed:
            raise LinkClosedError("closed")
        return reply

    async def _deliver(self, message):
        await self.network.pass_link(self)
        if self.closed:
            return None
        return self.receiver(message)


@attrs.define(eq=False)
class Network:
    """Delay what passes a node that is paused or a link that is stalled."""

    loop: SimulatedLoop
    paused_until_s: dict = attrs.Factory(dict)
    stalled_until_s: dict = attrs.Factory(dict)
    # Pairs of node and worker that can't reach each other, and until when.
    cut_until_s: dict = attrs.Factory(dict)
    # How late the starts that are sent now are carried out, without an answer, by worker.
    start_delays_s: dict = attrs.Factory(dict)
    background: set = attrs.Factory(set)

    def spawn(self, coro):
        task = asyncio.create_task(coro)
        self.background.add(task)
        task.add_done_callback(self.background.discard)

    async def pass_link(self, link):
        """Wait until a message has passed a link; messages keep their order."""
        due_s = max(
            self.loop.time() + LATENCY_S,
            self.paused_until_s.get(link.node, 0.0),
            self.stalled_until_s.get(link.node, 0.0),
            link._last_s + 1e-6,
        )
        link._last_s = due_s
        await asyncio.sleep(due_s - self.loop.time())

    async def wait_while_paused(self, node):
        await asyncio.sleep(max(0.0, self.paused_until_s.get(node, 0.0) - self.loop.time()))

    def is_cut(self, node, worker_id):
        now = self.loop.time()
        return (
            max(self.cut_until_s.get((node, worker_id), 0.0), self.cut_until_s.get(worker_id, 0.0))
            > now
        )


@attrs.define(eq=False)
class SimulatedDriver:
    """Make the calls of one node to the workers; a paused node makes them late."""

    world: "World"
    node: str

    async def renew(self, info, token, acked_end, deadline_ms, wait_ms):
        if not await self._reach(info.worker_id):
            return CommandOutcome.UNKNOWN
        report = self.world.renew(info.worker_id, token, acked_end, deadline_ms)
        waited_s = 0.0
        while waited_s * 1000 < wait_ms and not getattr(report, "ended", True):
            await asyncio.sleep(POLL_INTERVAL_S)
            waited_s += POLL_INTERVAL_S
            report = self.world.renew(info.worker_id, token, acked_end, None)
        if not await self._reach(info.worker_id):
            return CommandOutcome.UNKNOWN
        return report

    async def start(self, info, token, command, deadline_ms):
        self.world.record_order(command)
        if not await self._reach(info.worker_id):
            return CommandResponse(CommandOutcome.UNKNOWN)
        late_s = self.world.network.start_delays_s.get(info.worker_id, 0.0)
        if late_s:
            self.world.loop.call_later(late_s, self.world.start, token, command, deadline_ms)
            await asyncio.sleep(CALL_TIMEOUT_S)
            return CommandResponse(CommandOutcome.UNKNOWN)
        outcome = self.world.start(token, command, deadline_ms)
        return await self._answer(info.worker_id, outcome)

    async def stop(self, info, token, command):
        if not await self._reach(info.worker_id):
            return CommandResponse(CommandOutcome.UNKNOWN)
        outcome = self.world.worker_now(info.worker_id).stop(token, command)
        return await self._answer(info.worker_id, outcome)

    async def _reach(self, worker_id):
        """Wait for the way to a worker; return whether it is open."""
        await self.world.network.wait_while_paused(self.node)
        if self.world.network.is_cut(self.node, worker_id):
            await asyncio.sleep(CALL_TIMEOUT_S)
            return False
        await asyncio.sleep(LATENCY_S)
        return True

    async def _answer(self, worker_id, outcome):
        if not await self._reach(worker_id):
            return CommandResponse(CommandOutcome.UNKNOWN)
        return CommandResponse(outcome)


@attrs.define(eq=False)
class SimulatedOwner:
    """Own the cell: decide, store at once, and send through the pool."""

    world: "World"
    token: int
    generation: int
    cell: CellScheduler = None
    pool: SessionPool = None
    silent_workers: SilentWorkers = None
    # The version of the newest write.
    newest_token: int = 0
    # Set when a later owner has claimed the cell, which this one does not notice.
    authority_until_ms: float = float("inf")
    _tasks: set = attrs.Factory(set)
    _is_writing_row: bool = False

    def __attrs_post_init__(self):
        world, now = self.world, self.world.loop.now_ms()
        self.newest_token = self.token
        last_ms = now + CONFIRMATION_VALID_MS
        expire_ms = [
            last_ms + lease_duration_ms(lease_ms) for lease_ms in (LEASE_MS, MAX_LEASE_MS)
        ]
        self.silent_workers = SilentWorkers(clock.StoreClock(), ROW_MAX_BYTES)
        self.silent_workers.load(world.silent_rows, now)
        inherited = self.silent_workers.inherited()
        takeover = Takeover(self.generation, self.token, *expire_ms, inherited)
        rules = make_rules(max_attempts=50)
        self.cell = CellScheduler(rules, takeover, LEASE_MS, max_lease_ms=MAX_LEASE_MS)
        self.cell.sync_directory(world.listed_entries(), now)
        for job in world.jobs:
            self.cell.add_job(job, now, now, now)
        for job_id, progress in world.stored.items():
            self.cell.restore_job(job_id, progress_rows.decode(progress), now)
        self.pool = SessionPool(
            PoolDependencies(
                SimulatedDriver(world, "owner"),
                self,
                self.token,
                LEASE_MS,
                OWNER_SIZE,
                lambda: world.linked_instances(self),
                self.silent_workers,
                lambda: self.newest_token,
            )
        )
        self.silent_workers.gate = self.pool

    def authority_ends_ms(self):
        return min(self.authority_until_ms, self.world.loop.now_ms() + CONFIRMATION_VALID_MS)

    def may_renew(self):
        return self.world.loop.now_ms() < self.authority_ends_ms()

    def request_flush(self):
        self._store()

    def request_scheduling_round(self):
        self._decide()

    def _store(self):
        """Store the progress, unless a later owner has claimed the cell; return whether it is."""
        if self.world.owner is not self:
            return False
        self._store_silent_workers()
        unsaved = self.cell.take_unsaved_progress()
        for job_id, progress in unsaved.items():
            self.world.stored[job_id] = progress_rows.encode(progress)
        self.cell.record_stored(unsaved)
        self.newest_token = self.world.next_version()
        for worker in self.cell.state.workers.values():
            if worker.last_seen_end > worker.last_acked_end:
                worker.last_acked_end = worker.last_seen_end
                self.pool.acknowledge(worker)
        return True

    def _store_silent_workers(self):
        """Store the row of silent workers; its answer may be late, or never come."""
        world = self.world
        if self._is_writing_row:
            return
        changes = self.silent_workers.changes(self.cell.state.workers, world.loop.now_ms())
        for key, value in changes.items():
            self._is_writing_row = True
            world.silent_rows = [StoredRow(key, value, world.next_version())]
            world.loop.call_later(
                world.store_rng.choice(STORE_DELAYS_S), self._confirm_silent_workers
            )

    def _confirm_silent_workers(self):
        self._is_writing_row = False
        if self.world.owner is self:
            self.silent_workers.record_stored()

    def _decide(self):
        now = self.world.loop.now_ms()
        commands = self.cell.schedule(now, self.may_renew())
        is_stored = self._store()
        self.world.record_shown_jobs(self.cell)
        for command in commands:
            if isinstance(command, StopTask) or is_stored:
                task = asyncio.create_task(self._send(command))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _send(self, command):
        if isinstance(command, StartTask):
            if self.cell.should_send_start(command, self.world.loop.now_ms()):
                outcome = await self.pool.start_task(command)
                self.cell.handle_start_result(command, outcome, self.world.loop.now_ms())
        else:
            outcome = await self.pool.stop_task(command)
            self.cell.handle_stop_result(command, outcome, self.world.loop.now_ms())
        self._decide()

    def receive(self, message):
        if isinstance(message, messages.PermitQuery):
            return self.pool.handle_permit_query(message)
        return self.pool.handle_events(message)

    async def check_leases(self):
        """Compare what this owner knows of the leases with what the workers hold."""
        while self.world.owner is self:
            for worker_id, state in self.cell.state.workers.items():
                expiries_ms = (state.run_expiry_ms(run, False) for run in state.runs.values())
                self.world.compare_lease(worker_id, max((state.lease_expiry_ms(), *expiries_ms)))
            await asyncio.sleep(LEASE_CHECK_S)

    async def run(self):
        self.world.network.spawn(self.check_leases())
        while self.world.owner is self or self.may_renew():
            now = self.world.loop.now_ms()
            self.cell.confirm_directory(now)
            self.cell.tick(now, now)
            self.pool.sync(self.cell.state.workers)
            self._decide()
            await asyncio.sleep(TICK_S)
        self.pool.stop()


@attrs.define(eq=False)
class SimulatedInstance:
    """Hold sessions; linked to the current owner, if the link is up."""

    world: "World"
    node: str
    holder: SessionHolder = None
    # The link to the owner, and that of the owner to this instance.
    to_owner: SimulatedLink = None
    from_owner: SimulatedLink = None
    owner: SimulatedOwner = None
    # Speaks as a release that knows only the token of the owner's claim.
    is_earlier_release: bool = False

    def __attrs_post_init__(self):
        driver = SimulatedDriver(self.world, self.node)
        self.holder = SessionHolder(self.node, driver, self._call_owner, self._notify_owner)

    def connect(self, owner):
        self.disconnect()
        network = self.world.network
        self.owner = owner
        self.to_owner = SimulatedLink(network, owner.receive, self.node)
        self.from_owner = SimulatedLink(network, self._receive, self.node)

    def disconnect(self):
        for link in (self.to_owner, self.from_owner):
            if link is not None:
                link.closed = True
        self.owner = self.to_owner = self.from_owner = None

    def _receive(self, message):
        if isinstance(message, messages.SessionAssignment):
            if self.is_earlier_release:
                workers = (attrs.evolve(worker, token=0) for worker in message.workers)
                message = attrs.evolve(message, workers=tuple(workers), number=0)
            self.holder.handle_assignment(message)
        else:
            self.holder.handle_orders(message)

    async def _call_owner(self, message, timeout_s):
        await self.world.network.wait_while_paused(self.node)
        if self.to_owner is None:
            raise LinkClosedError("no link")
        reply = await self.to_owner.call(message, timeout_s)
        return attrs.evolve(reply, token=0) if self.is_earlier_release else reply

    async def _notify_owner(self, message):
        await self.world.network.wait_while_paused(self.node)
        if self.to_owner is None:
            raise LinkClosedError("no link")
        if self.is_earlier_release:
            silences = (attrs.evolve(silence, token=0) for silence in message.silences)
            results = (attrs.evolve(result, token=0) for result in message.results)
            message = attrs.evolve(message, silences=tuple(silences), results=tuple(results))
        await self.to_owner.notify(message)


def move_session(pool, worker_id, node, workers):
    """Give the session with a worker to another instance."""
    nodes = {w: session.holder.node for w, session in pool._remote.items()}
    pool._distribution = {**nodes, worker_id: node}
    pool.sync(workers)


class World:
    """Hold everything of one simulated run, and judge it by what the workers saw."""

    def __init__(self, seed, worker_count=6, instance_count=3, job_count=30):
        self.rng = random.Random(seed)
        self.store_rng = random.Random(seed)
        self.loop = SimulatedLoop()
        self.network = Network(self.loop)
        self.workers = {f"w{n}": FakeCellWorker(f"w{n}") for n in range(worker_count)}
        self.jobs = [
            make_job(f"{n:016x}", Step(self.rng.randint(1, 4), TASK, 500), version=0)
            for n in range(job_count)
        ]
        self.stored = {}
        # Workers that the directory does not list.
        self.unlisted = set()
        # The row of silent workers, if there is one.
        self.silent_rows = []
        self.version = 0
        self.owner = None
        self.instances = [SimulatedInstance(self, f"n{n}") for n in range(instance_count)]
        # When each worker has restarted last.
        self.restarted_ms = {}
        self.order_counts = {}
        self.double_runs = []
        self.started_after_done = []
        # Leases that an owner expected to end earlier than they did: time, worker, ms too early.
        self.short_leases = []
        # The start and the duration of each run.
        self.run_times_s = {}
        # The longest durations of runs; some outlast a lease, so that one that is given up too
        # early runs twice.
        self.longest_runs_s = (1.0, 1.0, 12.0)
        # The starts of each task, and when a caller could first see that its job is completed.
        self.starts_s = defaultdict(list)
        self.shown_s = {}
        # When the runs ended, and when the worker of each task last lost its lease.
        self.ended_s = {}
        self.lapsed_s = {}
        # When an end was acknowledged for the first time.
        self.noted_s = {}

    def run(self, scenario, seconds, monkeypatch):
        """Run a scenario, a coroutine function of this world, for some time."""
        fake_time = SimpleNamespace(
            clock_gettime=lambda _: self.loop.time(), CLOCK_BOOTTIME=0, time=self.loop.time
        )
        monkeypatch.setattr(clock, "time", fake_time)
        run_simulated(self.loop, self._run(scenario, seconds))

    async def _run(self, scenario, seconds):
        await asyncio.sleep(1.0)
        self.take_over()
        await scenario(self)
        await asyncio.sleep(max(0.0, seconds - self.loop.time()))

    def take_over(self):
        """Let a new owner claim the cell; the one before does not notice for some seconds."""
        previous, now = self.owner, self.loop.now_ms()
        token = self.next_version()
        generation = previous.generation + 1 if previous is not None else 0
        if previous is not None:
            previous.authority_until_ms = now + CONFIRMATION_VALID_MS
        self.owner = SimulatedOwner(self, token, generation)
        for instance in self.instances:
            instance.connect(self.owner)
        self.network.spawn(self.owner.run())

    def add_worker(self, worker_id):
        """List a new worker at the current owner."""
        worker = self.workers[worker_id] = FakeCellWorker(worker_id)
        self.worker_now(worker_id)
        self.owner.cell.update_worker(worker.info(), self.loop.now_ms())

    def unlist_worker(self, worker_id):
        """Remove a worker from the directory."""
        self.unlisted.add(worker_id)
        self.owner.cell.unlist_worker(worker_id, self.loop.now_ms())

    def listed_entries(self):
        return [w.info() for w in self.workers.values() if w.worker_id not in self.unlisted]

    def cut_off(self, node, worker_ids, until_s):
        """Cut off an instance and workers that still reach each other, as a data centre is."""
        self.network.stalled_until_s[node] = until_s
        others = ["owner", *(i.node for i in self.instances if i.node != node)]
        for other in others:
            for worker_id in worker_ids:
                self.network.cut_until_s[other, worker_id] = until_s

    def linked_instances(self, owner):
        return {
            i.node: LinkedInstance(Holder(i.node, "dc", HOLDER_SIZE), i.from_owner)
            for i in self.instances
            if i.owner is owner
        }

    def next_version(self):
        """Return the version of a write to the store."""
        self.version += 1
        return self.version

    # What the workers see.

    def start(self, token, command, deadline_ms):
        outcome = self.worker_now(command.worker_id).start(token, command, deadline_ms)
        if outcome is CommandOutcome.OK:
            self.record_start(command)
        return outcome

    def restart_worker(self, worker_id):
        """Let a worker start again under its id, with a clock that begins at 0."""
        self.workers[worker_id].restart()
        self.restarted_ms[worker_id] = self.loop.now_ms()
        self.owner.cell.update_worker(self.workers[worker_id].info(), self.loop.now_ms())

    def worker_now(self, worker_id):
        worker = self.workers[worker_id]
        own_ms = self.loop.now_ms() - self.restarted_ms.get(worker_id, 0.0)
        worker.advance(max(0.0, own_ms - worker.now_ms))
        if worker.now_ms >= worker.lease_expires_ms:
            self.lapsed_s[worker_id] = self.loop.time()
        for task, run in worker.runs.items():
            started_s, duration_s = self.run_times_s.get((task, run.number), (0.0, 1.0))
            run.progress_percent = 100.0 * (self.loop.time() - started_s) / duration_s
        return worker

    def compare_lease(self, worker_id, expected_end_ms):
        """Record a lease that goes on after its owner takes it for ended."""
        worker = self.worker_now(worker_id)
        left_ms = worker.lease_expires_ms - worker.now_ms
        early_ms = self.loop.now_ms() + left_ms - expected_end_ms
        if left_ms > 0.0 and early_ms > 1.0:
            self.short_leases.append((self.loop.time(), worker_id, round(early_ms)))

    def renew(self, worker_id, token, acked_end, deadline_ms):
        worker = self.worker_now(worker_id)
        listed = worker.unacked_ends
        report = worker.renew(token, acked_end, deadline_ms)
        for end in listed:
            if end not in worker.unacked_ends and end.outcome is RunOutcome.DONE:
                self._record_noted(worker_id, end)
        return report

    def _record_noted(self, worker_id, end):
        """Record an acknowledged end, unless the lease lapsed between the end and now."""
        ended_s = self.ended_s[end.task, end.run]
        if self.lapsed_s.get(worker_id, 0.0) < ended_s:
            self.noted_s.setdefault(end.task, self.loop.time())
            self.started_after_done += [
                (started_s, end.task)
                for started_s in self.starts_s[end.task]
                if started_s > ended_s
            ]

    def record_shown_jobs(self, cell):
        for job in cell.state.jobs.values():
            if job.confirmed_phase is JobPhase.COMPLETED:
                self.shown_s.setdefault(job.job_id, self.loop.time())

    def record_order(self, command):
        known_s = min(
            self.noted_s.get(command.task, float("inf")),
            self.shown_s.get(command.task.job_id, float("inf")),
        )
        if self.loop.time() > known_s + START_AFTER_DONE_S:
            self.started_after_done.append((self.loop.time(), command.task))
        key = (command.task, command.run)
        self.order_counts[key] = self.order_counts.get(key, 0) + 1

    def record_start(self, command):
        task = command.task
        running = [name for name in self.workers if task in self.worker_now(name).runs]
        if len(running) > 1:
            self.double_runs.append((self.loop.time(), task, running))
        self.starts_s[task].append(self.loop.time())
        if task in self.noted_s:
            self.started_after_done.append((self.loop.time(), task))
        longest_s = self.rng.choice(self.longest_runs_s)
        duration_s = self.rng.uniform(0.2, longest_s)
        self.run_times_s[task, command.run] = (self.loop.time(), duration_s)
        self.loop.call_later(duration_s, self._end_run, command)

    def _end_run(self, command):
        worker = self.worker_now(command.worker_id)
        run = worker.runs.get(command.task)
        if run is not None and run.number == command.run:
            worker.end_run(command.task, RunOutcome.DONE)
            self.ended_s[command.task, command.run] = self.loop.time()

    # Results.

    def all_ends(self):
        """Return the ends that no owner has acknowledged."""
        return [end for name in self.workers for end in self.worker_now(name).unacked_ends]

    def count_unfinished(self):
        phases = [self.owner.cell.find_job(job.job_id).phase for job in self.jobs]
        return sum(phase is not JobPhase.COMPLETED for phase in phases)

    def sent_twice(self):
        return [key for key, count in self.order_counts.items() if count > 1]
