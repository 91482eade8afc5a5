"""Test the headers of a request that the command-line tool names itself."""

import time

from baobabhoist.cli import jobs


class Recorder:
    """Stand in for the HTTP client."""

    def send(self, method, path, body, headers):
        self.headers = headers
        raise AssertionError("sent")


def headers_sent(given):
    client = Recorder()
    try:
        jobs.submit_request(client, "entries", b"", given, time.time() + 30.0)
    except AssertionError:
        return client.headers


def test_a_new_key_carries_its_time_and_a_given_one_does_not():
    """Guard against `unknown` for new keys after a takeover, and a false age for old ones."""
    assert abs(float(headers_sent({})["Idempotency-First-Sent"]) - time.time()) < 60.0
    assert "Idempotency-First-Sent" not in headers_sent({"Idempotency-Key": "mine"})
