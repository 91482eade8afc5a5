"""Test that the accounting of bodies never exceeds its bound and gives everything back."""

from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, consumes, invariant, rule

from baobabhoist.inbound.body_memory import Body, BodyMemory

LIMIT_BYTES = 1_000
RESERVE_BYTES = 250
SMALL_BODY_BYTES = 100
MIN_STALL_S = 1.0


class Owner:
    """Hold nothing; the tests keep the bodies themselves."""

    def give_up(self) -> None:
        """Do nothing."""


OWNER = Owner()


def make_memory() -> BodyMemory:
    return BodyMemory(LIMIT_BYTES, RESERVE_BYTES, SMALL_BODY_BYTES, MIN_STALL_S)


def fill(memory: BodyMemory, body_bytes: int, now_s: float) -> list[Body]:
    """Charge bodies until one is not granted; return the granted ones."""
    bodies = []
    while memory.charge(body := Body(OWNER), body_bytes, now_s).granted:
        bodies.append(body)
    return bodies


class BodyMemoryMachine(RuleBasedStateMachine):
    """Compare the accounting with the bodies that their owners hold."""

    incomplete = Bundle("incomplete")
    complete = Bundle("complete")

    def __init__(self) -> None:
        super().__init__()
        self.memory = make_memory()
        self.now_s = 0.0
        self.held: dict[Body, int] = {}
        self.completed: set[Body] = set()

    @rule(target=incomplete)
    def begin(self):
        return Body(OWNER)

    @rule(body=incomplete, size=st.integers(1, 400), passed_s=st.sampled_from((0.0, 0.4, 1.5)))
    def receive(self, body, size, passed_s):
        self.now_s += passed_s
        charge = self.memory.charge(body, size, self.now_s)
        assert body not in charge.given_up
        assert not self.completed.intersection(charge.given_up)
        for stalled in charge.given_up:
            assert self.now_s - stalled.progressed_s >= MIN_STALL_S
            del self.held[stalled]
        held = self.held.pop(body, 0)
        if charge.granted:
            self.held[body] = held + size

    @rule(target=complete, body=consumes(incomplete))
    def complete_body(self, body):
        self.memory.complete(body)
        self.completed.add(body)
        return body

    @rule(body=consumes(complete))
    def serve(self, body):
        self.memory.release(body)
        self.held.pop(body, None)

    @rule(body=consumes(incomplete))
    def disconnect(self, body):
        self.memory.release(body)
        self.memory.release(body)
        self.held.pop(body, None)

    @invariant()
    def is_within_its_bounds(self):
        assert self.memory.used_bytes == sum(self.held.values()) <= LIMIT_BYTES
        large = sum(size for size in self.held.values() if size > SMALL_BODY_BYTES)
        assert self.memory.large_bytes == large <= LIMIT_BYTES - RESERVE_BYTES

    def teardown(self):
        for body in list(self.held):
            self.memory.release(body)
        assert (self.memory.used_bytes, self.memory.large_bytes) == (0, 0)


TestBodyMemory = BodyMemoryMachine.TestCase


# Guards against a crowd of large bodies that shuts ordinary callers out.
def test_small_bodies_have_a_reserve():
    memory = make_memory()
    fill(memory, SMALL_BODY_BYTES + 1, 0.0)
    assert memory.charge(Body(OWNER), SMALL_BODY_BYTES, 0.0).granted


# Guards against stalled bodies that hold the memory until their deadlines.
def test_the_body_that_stalled_longest_is_given_up():
    memory = make_memory()
    first, *others = fill(memory, SMALL_BODY_BYTES, 0.0)
    memory.charge(first, 0, 1.0)
    charge = memory.charge(Body(OWNER), SMALL_BODY_BYTES, MIN_STALL_S)
    assert (charge.granted, charge.given_up) == (True, (others[0],))


# Guards against a request that was received whole and is dropped for another one.
def test_a_complete_body_is_never_given_up():
    memory = make_memory()
    for body in fill(memory, SMALL_BODY_BYTES, 0.0):
        memory.complete(body)
    charge = memory.charge(Body(OWNER), SMALL_BODY_BYTES, 100.0)
    assert (charge.granted, charge.given_up) == (False, ())
