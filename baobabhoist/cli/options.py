"""Define the flags and turn them into clients."""

from __future__ import annotations

import os
import ssl
import sys
from pathlib import Path

from absl import flags

from baobabhoist.cli.client import DEFAULT_TIMEOUT_S, Client, UsageError
from baobabhoist.gateway.auth import OPERATOR_KEY_HEADER, TEAM_KEY_HEADER

FLAGS = flags.FLAGS
flags.DEFINE_string("admin_url", "http://127.0.0.1:7001", "Address of the API for operators.")
flags.DEFINE_string("caller_url", "http://127.0.0.1:7000", "Address of the API for callers.")
flags.DEFINE_string("operator_key", "", "Operator key; other users can see it in process lists.")
flags.DEFINE_string("operator_key_file", "", "File that holds the operator key.")
flags.DEFINE_string("team_key", "", "Team key; other users can see it in process lists.")
flags.DEFINE_string("team_key_file", "", "File that holds the team key.")
flags.DEFINE_string("ca_file", "", "Certificates of the authorities that sign the servers'.")
flags.DEFINE_string("client_certificate", "", "Certificate to present to the server.")
flags.DEFINE_string("client_key", "", "Private key of the certificate to present.")
flags.DEFINE_enum("output", "table", ["table", "json"], "Form of what is printed.")
flags.DEFINE_float("timeout_s", DEFAULT_TIMEOUT_S, "Longest wait for an answer.", 0.1)
flags.DEFINE_integer("revision", None, "Revision that a deletion is based on.", 1)
flags.DEFINE_string("idempotency_key", "", "Key under which a job or request runs only once.")
flags.DEFINE_float("deadline_s", 30.0, "Seconds until the answer to a request is of no use.", 0.1)
flags.DEFINE_bool("idempotent", False, "Whether a request may run again after a lost answer.")
flags.DEFINE_enum("urgency", "normal", ["normal", "urgent"], "Urgency of a request.")
flags.DEFINE_integer("cpu_milli", 0, "Thousandths of a processor that a request needs.", 0)
flags.DEFINE_integer("memory_mb", 0, "Memory that a request needs.", 0)
flags.DEFINE_integer("accelerators", 0, "Accelerators that a request needs.", 0)
flags.DEFINE_float("wait_s", None, "Longest wait for the end of a job; no limit by default.", 0.0)

OPERATOR_KEY_VARIABLE = "BAOBABHOIST_OPERATOR_KEY"
TEAM_KEY_VARIABLE = "BAOBABHOIST_TEAM_KEY"


def read_key(flag: str, variable: str) -> str:
    """Return a key from its flag, its file or the environment, in this order."""
    given = str(FLAGS[flag].value or "")
    file = str(FLAGS[f"{flag}_file"].value or "")
    if given or not file:
        return given or os.environ.get(variable, "")
    try:
        return Path(file).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as exc:
        raise UsageError(f"cannot read the key in {file}: {exc}") from exc


def make_tls_context() -> ssl.SSLContext | None:
    """Return the TLS context that the flags ask for, None for the defaults."""
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
    """Return a client of the API for operators."""
    key = read_key("operator_key", OPERATOR_KEY_VARIABLE)
    return Client(FLAGS.admin_url, OPERATOR_KEY_HEADER, key, make_tls_context(), FLAGS.timeout_s)


def make_caller_client(timeout_s: float | None = None) -> Client:
    """Return a client of the API for callers."""
    key = read_key("team_key", TEAM_KEY_VARIABLE)
    wait_s = FLAGS.timeout_s if timeout_s is None else timeout_s
    return Client(FLAGS.caller_url, TEAM_KEY_HEADER, key, make_tls_context(), wait_s)


def make_job_client() -> Client:
    """Return a client for existing jobs: as the team, if its key is given, or as an operator.

    Without any key, only jobs of queues open to all can be reached.
    """
    if read_key("team_key", TEAM_KEY_VARIABLE):
        return make_caller_client()
    if read_key("operator_key", OPERATOR_KEY_VARIABLE):
        return make_admin_client()
    return make_caller_client()


def request_headers_from_flags() -> dict[str, str]:
    """Return the headers of a request that the flags ask for."""
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
    """Return the bytes of a file, or of standard input for `-`."""
    try:
        return sys.stdin.buffer.read() if file == "-" else Path(file).read_bytes()
    except OSError as exc:
        raise UsageError(f"cannot read {file}: {exc}") from exc
