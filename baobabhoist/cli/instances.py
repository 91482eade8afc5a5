"""Implement the commands that monitor and drain instances and check settings files."""

from __future__ import annotations

from typing import Any

from baobabhoist.cli.client import Client, ExitCode, UsageError
from baobabhoist.cli.output import CommandResult, format_table
from baobabhoist.cli.records import format_pending_limit
from baobabhoist.config.load import load_with_warnings
from baobabhoist.config.settings import Settings
from baobabhoist.control.settings import NodeSettings
from baobabhoist.errors import SettingsError

STATUS_HEADINGS = ["INSTANCE", "DATA CENTRE", "LIVE", "DRAINING", "REVISION", "SHARDS"]


def show_status(client: Client) -> CommandResult:
    """Show the instance and its peers, with the revision of the records in force on each."""
    status = client.request_json("GET", "/v1/status")
    rows = [
        _status_row({**status, "live": True}),
        *(_status_row(peer) for peer in status["peers"]),
    ]
    notes = [format_pending_limit(limit) for limit in status.get("pending_limits") or ()]
    return CommandResult(status, [*format_table(STATUS_HEADINGS, rows), *notes])


def _status_row(instance: dict[str, Any]) -> list[Any]:
    return [
        instance["instance_id"],
        instance.get("data_centre"),
        instance["live"],
        instance.get("draining"),
        instance.get("records_revision"),
        instance.get("owned_shards"),
    ]


def start_drain(client: Client) -> CommandResult:
    """Start the drain of the instance."""
    drain = client.request_json("POST", "/v1/drain")
    return CommandResult(
        drain, [f"the instance is draining; {drain['open_requests']} requests are open"]
    )


# The settings classes by the kind of the file; an instance on the users' platform has its own.
SETTINGS_KINDS: dict[str, type[Settings] | type[NodeSettings]] = {
    "daemon": Settings,
    "platform": NodeSettings,
}


def check_config(file: str, kind: str) -> CommandResult:
    """Check a settings file of the given kind without starting an instance."""
    if kind not in SETTINGS_KINDS:
        raise UsageError(f"the kind must be one of {', '.join(SETTINGS_KINDS)}, not {kind}")
    try:
        loaded = load_with_warnings(file, SETTINGS_KINDS[kind])
    except SettingsError as exc:
        problems = str(exc).splitlines()
        return CommandResult({"valid": False, "problems": problems}, problems, ExitCode.REFUSED)
    warnings = [str(problem) for problem in loaded.warnings]
    lines = [f"{file} is valid", *(f"warning: {text}" for text in warnings)]
    return CommandResult({"valid": True, "warnings": warnings}, lines)
