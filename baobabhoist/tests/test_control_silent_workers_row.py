"""Test the row that names silent workers, also when another release or a fault has written it."""

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from baobabhoist.cell.silent_workers import SilentWorker
from baobabhoist.control.silent_workers_row import (
    MAX_TIME_MS,
    SilentWorkersRow,
    decode_silent_workers,
    encode_silent_workers,
    limit_silent_workers,
)

TIMES = st.tuples(st.integers(0, MAX_TIME_MS), st.integers(0, MAX_TIME_MS)).map(sorted)
WORKERS = st.dictionaries(st.text(max_size=20), TIMES.map(lambda times: SilentWorker(*times)))


@given(WORKERS)
def test_a_row_is_read_as_it_was_written(workers):
    """Guard against times of silent workers that change from owner to owner."""
    assert decode_silent_workers(encode_silent_workers(workers)) == SilentWorkersRow(workers)


@given(WORKERS, st.integers(30, 400))
def test_a_row_holds_as_many_workers_as_fit(workers, max_bytes):
    """Guard against a row that the store rejects, and all progress with it."""
    limited = limit_silent_workers(workers, max_bytes)
    assert len(encode_silent_workers(limited)) <= max_bytes
    assert list(limited) == list(workers)[: len(limited)]


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"\xff",
        b"[]",
        b'{"workers":{}}',
        b'{"schema":2,"workers":{}}',
        b'{"schema":1}',
        b'{"schema":1,"workers":[["w0",[1,2]]]}',
    ],
)
def test_an_odd_row_is_not_read(value):
    """Guard against times that are taken from a row which means something else."""
    with pytest.raises(ValueError):
        decode_silent_workers(value)


@pytest.mark.parametrize(
    "entry",
    [
        None,
        7,
        [],
        [1],
        [1, 2, 3],
        ["1", 2],
        [1.0, 2.0],
        [True, 2],
        [-1, 2],
        [1, MAX_TIME_MS + 1],
        # The longest lease can't end first.
        [2, 1],
        {"lease": 1, "longest": 2},
    ],
)
def test_an_odd_entry_costs_itself_alone(entry):
    """Guard against one odd entry for which all silent workers are waited for anew."""
    value = orjson.dumps({"schema": 1, "workers": {"odd": entry, "w0": [1, 2]}})
    assert decode_silent_workers(value) == SilentWorkersRow({"w0": SilentWorker(1, 2)}, ("odd",))
