"""Mark the tests that are listed in KNOWN-RED.txt as expected to fail, and share fixtures."""

import logging
import pathlib

import pytest
from hypothesis import settings

from baobabhoist.control import owner as owner_module
from baobabhoist.observability.events import EVENT_ATTRIBUTE, FIELDS_ATTRIBUTE

# Each run draws the same examples, so that its verdict depends on the code alone.
settings.register_profile("repeatable", derandomize=True)
settings.load_profile("repeatable")

KNOWN_RED = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"
TEST_PREFIX = "test: "


def listed_tests():
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return {line.removeprefix(TEST_PREFIX) for line in lines if line.startswith(TEST_PREFIX)}


def pytest_collection_modifyitems(items):
    # A listed test that passes fails the run, so that its entry is removed.
    mark = pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=True)
    listed = listed_tests()
    for item in items:
        if item.nodeid in listed:
            item.add_marker(mark)


@pytest.fixture
def fields_of(caplog):
    """Return a function that returns the fields of the lines of an event so far."""
    caplog.set_level(logging.INFO, logger="baobabhoist")

    def read(event):
        records = [r for r in caplog.records if r.__dict__.get(EVENT_ATTRIBUTE) is event]
        return [r.__dict__[FIELDS_ATTRIBUTE] for r in records]

    return read


@pytest.fixture
def short_owner_polls(monkeypatch):
    monkeypatch.setattr(owner_module, "JOBS_POLL_PAUSE_S", 0.01)
    monkeypatch.setattr(owner_module, "DIRECTORY_POLL_PAUSE_S", 0.01)
