"""Define the command-line flags and create clients from them."""

from __future__ import annotations

import os
import ssl
import sys
from pathlib import Path

from absl import flags

from baobabhoist.cli.client import DEFAULT_TIMEOUT_S, Client, UsageError
from baobabhoist.gateway.auth import OPERATOR_KEY_HEADER, TEAM_KEY_HEADER

FLAGS = flags.FLAGS
flags.DEFINE_string("admin_url", "http://127.0.0.1:7001", "URL of the admin API.")
flags.DEFINE_string("caller_url", "http://127.0.0.1:7000", "URL of the caller API.")
flags.DEFINE_string(
    "metrics_url", "http://127.0.0.1:9464", "URL of the metrics port of a platform instance."
)
flags.DEFINE_string("operator_key", "", "Operator key; other users can see it in process lists.")
flags.DEFINE_string("operator_key_file", "", "File with the operator key.")
flags.DEFINE_string("team_key", "", "Team key; other users can see it in process lists.")
flags.DEFINE_string("team_key_file", "", "File with the team key.")
flags.DEFINE_string("ca_file", "", "CA certificates to verify the server with.")
flags.DEFINE_string("client_certificate", "", "Client certificate to present to the server.")
flags.DEFINE_string("client_key", "", "Private key of the client certificate.")
flags.DEFINE_enum("output", "table", ["table", "json"], "Output format.")
flags.DEFINE_float("timeout_s", DEFAULT_TIMEOUT_S, "Timeout of a response in seconds.", 0.1)
flags.DEFINE_integer("revision", None, "Expected revision of the record to delete.", 1)
flags.DEFINE_string("idempotency_key", "", "Key with which a job or request runs only once.")
flags.DEFINE_float("deadline_s", 30.0, "Deadline of a request in seconds from now.", 0.1)
flags.DEFINE_bool("idempotent", False, "Whether a request may run again if its response is lost.")
flags.DEFINE_enum("urgency", "normal", ["normal", "urgent"], "Urgency of a request.")
flags.DEFINE_integer("cpu_milli", 0, "CPU in millicores that a request needs.", 0)
flags.DEFINE_integer("memory_mb", 0, "Memory in MiB that a request needs.", 0)
flags.DEFINE_integer("accelerators", 0, "Number of accelerators that a request needs.", 0)
flags.DEFINE_float(
    "wait_s", None, "Maximum wait for the end of a job in seconds; no limit if unset.", 0.0
)

OPERATOR_KEY_VARIABLE = "BAOBABHOIST_OPERATOR_KEY"
TEAM_KEY_VARIABLE = "BAOBABHOIST_TEAM_KEY"


def read_key(flag: str, variable: str) -> str:
    """Return a key from its flag, its file or an environment variable, in this order."""
    flag_value = str(FLAGS[flag].value or "")
    file = str(FLAGS[f"{flag}_file"].value or "")
    if flag_value or not file:
        return flag_value or os.environ.get(variable, "")
    try:
        return Path(file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as exc:
        raise UsageError(f"cannot read the key from {file}: {exc}") from exc


def make_tls_context() -> ssl.SSLContext | None:
    """Return a TLS context with the certificates that the flags name, or None for the defaults."""
    if not (FLAGS.ca_file or FLAGS.client_certificate):
        return None
    try:
        context = ssl.create_default_context(cafile=FLAGS.ca_file or None)
        if FLAGS.client_certificate:
            context.load_cert_chain(FLAGS.client_certificate, FLAGS.client_key or None)
    except (OSError, ssl.SSLError) as exc:
        raise UsageError(f"cannot use the certificates: {exc}") from exc
    return context


def make_admin_client() -> Client:
    """Return a client of the admin API."""
    key = read_key("operator_key", OPERATOR_KEY_VARIABLE)
    return Client(FLAGS.admin_url, OPERATOR_KEY_HEADER, key, make_tls_context(), FLAGS.timeout_s)


def make_caller_client(timeout_s: float | None = None) -> Client:
    """Return a client of the caller API."""
    key = read_key("team_key", TEAM_KEY_VARIABLE)
    response_timeout_s = FLAGS.timeout_s if timeout_s is None else timeout_s
    return Client(FLAGS.caller_url, TEAM_KEY_HEADER, key, make_tls_context(), response_timeout_s)


def make_metrics_client() -> Client:
    """Return a client of the metrics port of a platform instance, which takes no key."""
    return Client(FLAGS.metrics_url, "", tls=make_tls_context(), timeout_s=FLAGS.timeout_s)


def make_job_client() -> Client:
    """Return a client for existing jobs: of the caller API with a team key, else of the admin API.

    Without any key, it can reach only the jobs of queues that are open to all.
    """
    if read_key("team_key", TEAM_KEY_VARIABLE):
        return make_caller_client()
    if read_key("operator_key", OPERATOR_KEY_VARIABLE):
        return make_admin_client()
    return make_caller_client()


def request_headers_from_flags() -> dict[str, str]:
    """Return the request headers that the flags set."""
    headers = {
        "X-Idempotent": "true" if FLAGS.idempotent else "false",
        "X-Urgency": FLAGS.urgency,
        "X-Cpu-Milli": str(FLAGS.cpu_milli),
        "X-Memory-MB": str(FLAGS.memory_mb),
        "X-Accelerators": str(FLAGS.accelerators),
    }
    if FLAGS.idempotency_key:
        headers["Idempotency-Key"] = FLAGS.idempotency_key
    return headers


def read_payload(file: str) -> bytes:
    """Return the contents of a file, or of standard input for `-`."""
    try:
        return sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
    except OSError as exc:
        raise UsageError(f"cannot read {file}: {exc}") from exc
