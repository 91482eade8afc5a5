"""Test the event catalogue and the text and JSON formats of log lines."""

import io
import json
import logging

import pytest

from baobabhoist.observability.events import Event, configure_logging, emit


@pytest.fixture
def root_logger():
    root = logging.getLogger()
    saved = root.handlers[:], root.level
    yield root
    root.handlers[:], root.level = saved


def test_events_page_lists_exactly_the_catalogue(pytestconfig):
    """Guard against undocumented events, outdated documentation and reused numbers."""
    page = (pytestconfig.rootpath / "docs" / "events.md").read_text(encoding="utf-8")
    rows = [line for line in page.splitlines() if line.startswith("| ") and line[2].isdigit()]
    expected = [
        f"| {e.number} | {e.name.lower()} | {logging.getLevelName(e.level).lower()} "
        f"| {e.template} |"
        for e in Event
    ]
    assert rows == expected
    assert len({e.number for e in Event}) == len(list(Event))


def test_every_event_of_the_catalogue_is_emitted(pytestconfig):
    """Guard against documented events that the program never logs."""
    package = pytestconfig.rootpath / "baobabhoist"
    modules = [path for path in package.rglob("*.py") if "tests" not in path.parts]
    source = "".join(path.read_text(encoding="utf-8") for path in modules)
    assert [e.name for e in Event if f"Event.{e.name}" not in source] == []


def test_json_lines_carry_number_and_fields(root_logger):
    """Guard against JSON lines that log collectors cannot parse or filter by event number."""
    stream = io.StringIO()
    configure_logging("json", "info", stream)
    emit(
        logging.getLogger("a.b"),
        Event.SHARD_STATE,
        shard="r1",
        state="owned",
        token=(1, 2),
        extra=b"\n",
    )
    entry = json.loads(stream.getvalue())
    assert (entry["event"], entry["name"], entry["level"]) == (2001, "shard_state", "info")
    assert entry["fields"]["shard"] == "r1"
    assert entry["message"] == "shard r1 is owned under token (1, 2)"


def test_text_format_escapes_line_breaks_and_tolerates_missing_fields(root_logger):
    """Guard against forged log lines and against an exception for a missing field."""
    stream = io.StringIO()
    configure_logging("text", "info", stream)
    emit(logging.getLogger("a.b"), Event.RECORD_APPLIED, kind="x\n2026 ERROR forged", name="y")
    line = stream.getvalue()
    assert line.count("\n") == 1
    assert "[4002] x\\n2026 ERROR forged y is at revision <no revision>" in line


def test_events_below_the_level_are_not_written(root_logger):
    """Guard against an ignored log level."""
    stream = io.StringIO()
    configure_logging("text", "error", stream)
    emit(logging.getLogger("a.b"), Event.DAEMON_READY)
    assert stream.getvalue() == ""
