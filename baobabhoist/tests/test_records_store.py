"""Test transactional changes of records, the change log and the record view."""

import asyncio

from baobabhoist.errors import ErrorKind
from baobabhoist.model import Outcome
from baobabhoist.records.changes import record_from_row
from baobabhoist.records.diff import diff_bodies
from baobabhoist.records.keys import check_key, key_digest
from baobabhoist.records.store import RecordChange, RecordStore, render_record
from baobabhoist.records.view import Record, RecordView
from baobabhoist.tests.memory_table import MemoryTable


def new_store():
    return RecordStore(MemoryTable(), RecordView())


def put(store, kind, name, body, base_revision=0, version=1):
    return asyncio.run(
        store.put(RecordChange(kind, name, version, body, base_revision, "tess"), 5.0)
    )


def delete(store, kind, name, base_revision):
    return asyncio.run(store.delete(RecordChange(kind, name, 0, None, base_revision), 6.0))


def sync_view(store):
    for row in asyncio.run(store.table.scan("log/")):
        store.view.apply(record_from_row(row))


def test_a_change_based_on_an_old_revision_is_a_conflict():
    """Guard against an operator who unknowingly overwrites another operator's change."""
    store = new_store()
    assert put(store, "team", "roster", {"limit": 1}).revision == 1
    assert put(store, "team", "roster", {"limit": 2}, 1).revision == 2
    stale = put(store, "team", "roster", {"limit": 3}, 1)
    assert stale.kind is ErrorKind.CONFLICT
    assert 'If-Match: "2"' in stale.remedy
    assert put(store, "team", "roster", {"limit": 3}).kind is ErrorKind.CONFLICT
    assert put(store, "team", "other", {"limit": 3}, 7).kind is ErrorKind.CONFLICT


def test_a_race_on_the_same_record_is_a_conflict_and_on_another_is_not():
    """Guard against a lost update when two operators commit at the same time."""
    store = new_store()
    put(store, "team", "roster", {"limit": 1})
    other_store = RecordStore(store.table, RecordView())

    def change(name, base_revision):
        async def run():
            await other_store.put(RecordChange("team", name, 1, {"limit": 9}, base_revision), 5.0)

        return run

    store.table.before_commit.append(change("other", 0))
    assert put(store, "team", "roster", {"limit": 2}, 1).revision == 3
    store.table.before_commit.append(change("roster", 3))
    assert put(store, "team", "roster", {"limit": 4}, 3).kind is ErrorKind.CONFLICT
    assert asyncio.run(store.read("team", "roster")).body["limit"] == 9


def test_a_platform_outage_reports_whether_the_change_was_made():
    """Guard against a committed change that is reported as not made."""
    store = new_store()
    store.table.down = True
    refusal = put(store, "team", "roster", {"limit": 1})
    assert (refusal.kind, refusal.outcome) == (ErrorKind.PLATFORM_UNAVAILABLE, Outcome.NOT_RUN)
    store.table.down, store.table.lose_answer = False, True
    assert put(store, "team", "roster", {"limit": 1}).outcome is Outcome.UNKNOWN


def test_records_in_use_are_not_deleted_and_references_must_exist():
    """Guard against references to missing teams and policies, also when the view is stale."""
    store = new_store()
    key = {"team": "roster", "digest": key_digest("k")}
    assert put(store, "key", "k1", key).problems[0].path == "body.team"
    put(store, "team", "roster", {"limit": 1})
    put(store, "key", "k1", key)
    assert put(store, "key", "k2", key).problems[0].path == "body.digest"
    put(store, "policy", "fair", {"objective": "share"})
    put(store, "queue", "entries", {"policy": "fair"})
    assert store.view.revision == 0
    assert "k1" in delete(store, "team", "roster", 1).message
    assert delete(store, "policy", "fair", 3).kind is ErrorKind.IN_USE
    assert delete(store, "key", "k1", 2).body is None
    assert delete(store, "team", "roster", 1).revision == 6
    assert delete(store, "team", "roster", 1).kind is ErrorKind.CONFLICT


def test_history_survives_deletion_and_shows_the_version_as_written():
    """Guard against a history that ends at a deletion or mixes schema versions."""
    store = new_store()
    put(store, "team", "roster", {"limit": 1})
    delete(store, "team", "roster", 1)
    put(store, "team", "roster", {"limits": {"total": 3}}, version=2)
    history = asyncio.run(store.read_history("team", "roster"))
    assert [(record.revision, record.schema_version) for record in history] == [
        (3, 2),
        (2, 1),
        (1, 1),
    ]
    assert history[0].changed_by == "tess"
    assert render_record(history[0])["body"]["limits"] == {"total": 3, "classes": {}}
    assert render_record(history[0], 1)["body"] == {"limit": 3, "share": 1.0}
    first = asyncio.run(store.read_version("team", "roster", 1))
    differences = diff_bodies(first.body, history[0].body)
    assert [(item.path, item.old, item.new) for item in differences] == [("body.limit", 1, 3)]
    assert asyncio.run(store.read_version("team", "other", 1)).kind is ErrorKind.NOT_FOUND


def test_the_view_applies_only_higher_revisions_and_keeps_its_indexes():
    """Guard against a deleted or withdrawn key that is still accepted."""
    view = RecordView()
    key = {"team": "roster", "digest": key_digest("k")}
    assert view.apply(Record("key", "k1", 1, 4, key))
    assert not view.apply(Record("key", "k1", 1, 4, None))
    assert view.team_of_key("k") == "roster"
    view.apply(Record("key", "k1", 1, 5, {**key, "withdrawn": True}))
    assert view.team_of_key("k") is None
    assert "withdrawn" in check_key(view.find_key("k"), 0.0, "H").message
    view.apply(Record("key", "k1", 1, 6, {**key, "offline_grace_s": 2.0}))
    assert check_key(view.find_key("k"), 1.0, "H").team == "roster"
    assert check_key(view.find_key("k"), 3.0, "H").kind is ErrorKind.KEY_REJECTED
    view.apply(Record("key", "k1", 1, 7, {**key, "digest": key_digest("n")}))
    assert (view.find_key("k"), view.team_of_key("n")) == (None, "roster")
    view.apply(Record("key", "k1", 1, 8, None))
    assert view.find_key("n") is None


def test_shards_of_a_data_centre_are_updated_and_unreadable_records_are_isolated():
    """Guard against a stale cache of shards and a malformed row that blocks all records."""
    view = RecordView()
    view.apply(Record("shard", "b", 1, 1, {"data_centre": "north", "workers": []}))
    view.apply(Record("shard", "a", 1, 2, {"data_centre": "south", "workers": []}))
    assert view.shards_in(()) == ("a", "b")
    assert view.shards_in(("south",)) == ("a",)
    view.apply(Record("shard", "c", 1, 3, {"data_centre": "south", "workers": []}))
    assert view.shards_in(("south",)) == ("a", "c")
    assert view.apply(Record("team", "odd", 9, 4, {"unit": "places"}))
    assert view.team("odd") is None
    other = RecordView()
    assert other.restore(view.snapshot(), view.revision)
    assert (other.records, other.shards_in(())) == (view.records, ("a", "b", "c"))
    assert not other.restore((), 4)
    copied = view.copy()
    copied.apply(Record("shard", "c", 1, 5, None))
    assert (copied.shards_in(()), view.shards_in(())) == (("a", "b"), ("a", "b", "c"))
    assert len(view.records_of_kind("shard")) == 3
