"""Test the claim, request-key and quota code with faults in any order."""

import hypothesis.strategies as st
from hypothesis import HealthCheck, settings
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from baobabhoist.tests.simulated_shard import SimulatedShard

INSTANCES = st.integers(0, 2)
WORKERS = st.sampled_from(["w0", "w1", "w2"])
FENCING_KINDS = ("fence", "fenced", "event")
MESSAGE_KINDS = st.sampled_from(
    [(), FENCING_KINDS, ("run",), ("ended",), ("renew", "renewed"), ("request",)]
)


class ShardMachine(RuleBasedStateMachine):
    """Generate faults of messages, processes and the table while instances compete for a shard."""

    @initialize(workers=st.integers(1, 3))
    def start(self, workers):
        self.system = SimulatedShard(3, workers)
        self.system.run_until_owned(self.system.instances[0])

    def unpaused_instance(self, index):
        inst = self.system.instances[index]
        return None if inst.is_paused else inst

    def worker(self, name):
        return self.system.workers.get(name)

    def owner(self, index):
        """Prefer an instance with fenced workers, because all others refuse work at once."""
        owners = [
            inst
            for inst in self.system.instances
            if inst.claim.fenced_workers and not inst.is_paused
        ]
        return owners[index % len(owners)] if owners else self.unpaused_instance(index)

    @rule(index=INSTANCES, key=st.integers(-3, 5), send=st.booleans())
    def send_work(self, index, key, send):
        """Send a generated id or a copy of a keyed request to an owner, which dispatches it."""
        inst = self.owner(index)
        if inst is not None:
            self.system.send_request(inst, f"key-{key}" if key >= 0 else None)
            self.system.deliver_all(inst, ("request",))
            self.system.dispatch(inst)
            if send:
                self.system.deliver_all(inst, ("run",))

    @rule(key=st.integers(0, 5))
    def send_key_to_all_instances(self, key):
        for inst in self.system.instances:
            self.system.send_request(inst, f"key-{key}")

    @rule(name=WORKERS, index=INSTANCES)
    def end_task(self, name, index):
        worker = self.worker(name)
        if worker is not None:
            self.system.end_task(worker)
            self.system.deliver_all(self.system.instances[index], ("ended",))

    @rule(index=INSTANCES)
    def take_over(self, index):
        inst = self.unpaused_instance(index)
        if inst is not None:
            self.system.request_claim(inst)
            self.system.deliver_all(inst, FENCING_KINDS)
            self.system.handle_timeouts(inst)
            self.system.deliver_all(inst, FENCING_KINDS)
            self.system.transfer_places(inst, 0)

    @rule(index=INSTANCES, other=INSTANCES)
    def hand_over(self, index, other):
        inst, successor = self.owner(index), self.system.instances[other]
        if inst is not None and inst is not successor:
            self.system.hand_over(inst, successor)
            self.system.deliver_all(successor, ("queue",))

    @rule(index=INSTANCES, kinds=MESSAGE_KINDS)
    def deliver_messages(self, index, kinds):
        self.system.deliver_all(self.system.instances[index], kinds)

    @rule(position=st.integers(0, 30), is_duplicated=st.booleans())
    def deliver_out_of_order(self, position, is_duplicated):
        if self.system.messages:
            self.system.deliver(position % len(self.system.messages), is_duplicated)

    @rule(position=st.integers(0, 30))
    def lose_message(self, position):
        if self.system.messages:
            del self.system.messages[position % len(self.system.messages)]

    @rule(
        index=INSTANCES,
        step=st.sampled_from(["renew_leases", "refuse_queued", "handle_timeouts", "dispatch"]),
    )
    def owner_step(self, index, step):
        inst = self.owner(index)
        if inst is not None:
            getattr(self.system, step)(inst)

    @rule(index=INSTANCES, places=st.sampled_from([-1, 0, 1]))
    def transfer_places(self, index, places):
        inst = self.owner(index)
        if inst is not None:
            self.system.transfer_places(inst, places)

    @rule(seconds=st.sampled_from([0.01, 0.3, 1.0, 5.0]))
    def advance_time(self, seconds):
        self.system.now += seconds

    @rule(index=INSTANCES, lag=st.sampled_from([0.0, 3.0]))
    def read_membership_for_long(self, index, lag):
        inst = self.unpaused_instance(index)
        if inst is not None:
            for pause_s in (14.0, 3.0, 0.0):
                self.system.read_membership_list(inst, lag)
                self.system.now += pause_s

    @rule(index=INSTANCES, is_paused=st.booleans())
    def pause(self, index, is_paused):
        self.system.instances[index].is_paused = is_paused

    @rule(index=INSTANCES, name=WORKERS, is_cut=st.booleans())
    def partition(self, index, name, is_cut):
        if is_cut:
            self.system.unreachable_pairs.add((index, name))
        else:
            self.system.unreachable_pairs.clear()

    @rule(index=INSTANCES)
    def crash_instance(self, index):
        self.system.crash_instance(index)

    @rule(name=WORKERS, up=st.booleans())
    def crash_worker(self, name, up):
        worker = self.worker(name)
        if worker is not None:
            (self.system.restart_worker if up else self.system.crash_worker)(worker)

    @rule()
    def toggle_table(self):
        self.system.is_table_up = not self.system.is_table_up

    @invariant()
    def guarantees_hold(self):
        if hasattr(self, "system"):
            self.system.check_guarantees()


TestShardMachine = ShardMachine.TestCase
TestShardMachine.settings = settings(
    max_examples=60,
    stateful_step_count=50,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
