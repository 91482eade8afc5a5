"""Test the idempotency headers that the command-line tool sends with a request."""

import time

from baobabhoist.cli import jobs


class RecordingClient:
    """Record the headers of a request in place of the HTTP client."""

    def send(self, method, path, body, headers):
        self.headers = headers
        raise AssertionError("sent")


def headers_sent(headers):
    client = RecordingClient()
    try:
        jobs.submit_request(client, "entries", b"", headers, time.time() + 30.0)
    except AssertionError:
        return client.headers


def test_generated_key_is_sent_with_its_time_and_a_given_key_is_not():
    """Guard against `unknown` for new keys after a takeover, and a wrong age of reused keys."""
    assert abs(float(headers_sent({})["Idempotency-First-Sent"]) - time.time()) < 60.0
    assert "Idempotency-First-Sent" not in headers_sent({"Idempotency-Key": "mine"})
