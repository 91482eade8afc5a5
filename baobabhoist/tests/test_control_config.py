"""Test that calls find their routes, also among thousands."""

from hypothesis import given, settings
from hypothesis import strategies as st

from baobabhoist.cell.model import CellRules, Queue
from baobabhoist.control.config import CellConfig, Route

HOSTS = st.sampled_from(["", "a", "b"])
PATHS = st.text("/ab", max_size=5)


class ComparedHost(str):
    """Count the comparisons with a host."""

    __slots__ = ("comparisons",)
    __hash__ = str.__hash__

    def __new__(cls, value):
        host = super().__new__(cls, value)
        host.comparisons = 0
        return host

    def __eq__(self, other):
        self.comparisons += 1
        return str.__eq__(self, other)


def make_config(*routes):
    return CellConfig(1, CellRules(1, {}, {}), routes, {}, 1_000)


def longest_match(routes, host, path):
    """Return the first route of those with the longest matching prefix, or None."""
    matching = [r for r in routes if r.host == host and path.startswith(r.prefix)]
    return max(matching, key=lambda route: len(route.prefix), default=None)


@settings(max_examples=500, deadline=None, derandomize=True)
@given(st.lists(st.tuples(HOSTS, PATHS), max_size=12), HOSTS, PATHS)
def test_the_route_with_the_longest_matching_prefix_is_found(prefixes, host, path):
    """Guard against a call that reaches the queue of a shorter or a later prefix."""
    routes = [Route(*prefix, Queue(str(index), "svc")) for index, prefix in enumerate(prefixes)]
    assert make_config(*routes).find_route(host, path) is longest_match(routes, host, path)


def test_a_call_is_not_compared_with_each_of_many_routes():
    """Guard against calls that take longer with each route that an operator adds."""
    routes = [Route("h", f"/queue-{n}/", Queue(f"queue-{n}", "svc")) for n in range(4_000)]
    cfg, host = make_config(*routes), ComparedHost("h")
    assert cfg.find_route(host, "/queue-77/0123456789abcdef") is routes[77]
    assert host.comparisons <= 1
