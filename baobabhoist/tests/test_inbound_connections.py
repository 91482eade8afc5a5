"""Test which connections are closed when there are too many."""

from baobabhoist.inbound.connections import ConnectionTable
from baobabhoist.inbound.limits import InboundLimits

DEADLINE_S = 10.0


def make_table(*conns: str) -> ConnectionTable[str]:
    """Return a full table."""
    table: ConnectionTable[str] = ConnectionTable(len(conns), len(conns), max_sending=2)
    assert [table.add(conn, DEADLINE_S) for conn in conns] == [[]] * len(conns)
    return table


# Guards against idle connections that take all descriptors of a process.
def test_the_connection_that_waited_longest_is_closed_for_a_new_one():
    table = make_table("a", "b", "c")
    table.wait("a", DEADLINE_S)
    assert table.add("d", DEADLINE_S) == ["b"]
    assert len(table) == 3


# Guards against a complete request that is dropped for a new connection.
def test_a_busy_connection_is_never_closed():
    table = make_table("a", "b")
    for conn in "ab":
        table.work(conn)
    assert table.add("c", DEADLINE_S) == ["c"]
    assert len(table) == 2


# Guards against ordinary callers who are refused because many calls are open.
def test_busy_connections_leave_room_for_waiting_ones():
    table: ConnectionTable[str] = ConnectionTable(10, max_waiting=1, max_sending=1)
    for conn in "abc":
        assert table.add(conn, DEADLINE_S) == []
        table.work(conn)
    assert table.add("d", DEADLINE_S) == []
    for conn in "ab":
        table.wait(conn, DEADLINE_S)
    assert table.add("e", DEADLINE_S) == ["d", "a", "b"]


# Guards against clients that neither send nor read, and keep their connections.
def test_only_waiting_connections_become_overdue():
    table = make_table("a", "b", "c")
    table.work("a")
    table.wait("b", DEADLINE_S + 1)
    assert table.overdue(DEADLINE_S) == ["c"]
    table.wait("a", DEADLINE_S)
    assert set(table.overdue(DEADLINE_S)) == {"a", "c"}


# Guards against answers that their clients don't read, and that fill the memory.
def test_the_number_of_unread_answers_is_bounded():
    table = make_table("a", "b", "c", "d")
    assert table.send("a", DEADLINE_S) is None
    assert table.send("b", DEADLINE_S) is None
    table.wait("a", DEADLINE_S)
    assert table.send("c", DEADLINE_S) is None
    assert table.send("d", DEADLINE_S) == "b"


# Guards against a connection that is closed for another one and counted on.
def test_a_removed_connection_leaves_nothing_behind():
    table = make_table("a", "b")
    table.work("a")
    for conn in "aab":
        table.remove(conn)
        table.wait(conn, DEADLINE_S)
        table.work(conn)
        assert [table.send(conn, DEADLINE_S) for _ in range(3)] == [None] * 3
    assert len(table) == 0


# Guards against limits that a machine of the least size cannot bear.
def test_limits_follow_from_the_machine():
    least = InboundLimits.for_process(memory_mb=160, max_fds=1_638)
    usual = InboundLimits.for_process(memory_mb=300, max_fds=4_100)
    assert least.max_connections < usual.max_connections < 4_100
    assert least.max_waiting < usual.max_waiting < usual.max_connections
    assert least.body_memory_bytes < usual.body_memory_bytes < 300_000_000
    assert least.body_memory_bytes - least.small_reserve_bytes > 8 << 20
