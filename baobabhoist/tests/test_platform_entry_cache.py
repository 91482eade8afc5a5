"""Test that the unchanged routes of a configuration are decoded once, and changed ones anew."""

import orjson
from hypothesis import given, settings
from hypothesis import strategies as st

from baobabhoist.platform.decode import PlatformDecoder
from baobabhoist.platform.entry_cache import EntryCache

# Values that Python takes for equal, although some of them are no valid field.
LOOKALIKES = st.sampled_from([0, 0.0, -0.0, False, 1, 1.0, True, None, "", "1", {}, []])
FIELDS = ["name", "hostname", "prefix", "service", "priority", "slackFactor", "public", "advice"]
ENTRIES = st.dictionaries(st.sampled_from(FIELDS), LOOKALIKES, max_size=3)


def make_body(version, routes):
    return orjson.dumps({"version": version, "routes": routes})


def make_routes(count):
    return [{"name": f"q{n}", "hostname": "h", "prefix": f"/q{n}/"} for n in range(count)]


def test_a_change_of_one_route_does_not_decode_the_others_again():
    """Guard against an instance that stalls for each change of a configuration of many routes."""
    decoder, routes = PlatformDecoder(), make_routes(100)
    before = decoder.decode_config(make_body(1, routes))
    routes[7]["priority"] = 3
    after = decoder.decode_config(make_body(2, routes))
    pairs = zip(before.routes, after.routes, strict=True)
    assert [n for n, (old, new) in enumerate(pairs) if old is not new] == [7]
    assert after.rules.queues["q7"].priority == 3


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(st.lists(ENTRIES, max_size=3), min_size=2, max_size=4))
def test_a_configuration_does_not_depend_on_those_decoded_before(versions):
    """Guard against a stale route that survives a change, and an invalid one that is accepted."""
    decoder = PlatformDecoder()
    for number, routes in enumerate(versions):
        body = make_body(number, routes)
        # Compared as texts, which differ for 1, 1.0 and True.
        assert repr(decoder.decode_config(body)) == repr(PlatformDecoder().decode_config(body))


def test_entries_that_are_gone_are_forgotten():
    """Guard against memory that grows with each route that there has ever been."""
    parsed = []
    cache = EntryCache(lambda entry: parsed.append(entry["name"]) or entry["name"])
    for name in ("a", "b", "a", "a"):
        cache.decode([{"name": name}])
    assert parsed == ["a", "b", "a"]


def test_a_route_with_a_deeply_nested_unknown_field_is_usable():
    """Guard against a configuration that is rejected for a field that nobody reads."""
    deep = b"[" * 500 + b"]" * 500
    body = make_body(1, [make_routes(1)[0] | {"unknown": "(here)"}]).replace(b'"(here)"', deep)
    decoder = PlatformDecoder()
    for _ in range(2):
        assert decoder.decode_config(body).find_route("h", "/q0/1").queue.name == "q0"
