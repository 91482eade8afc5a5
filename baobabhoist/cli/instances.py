"""Watch and drain instances, and check settings."""

from __future__ import annotations

from typing import Any

from baobabhoist.cli.client import Client, ExitCode, UsageError
from baobabhoist.cli.output import CommandResult, format_table
from baobabhoist.cli.records import format_pending_limit
from baobabhoist.config.load import load_with_warnings
from baobabhoist.config.settings import Settings
from baobabhoist.control.settings import NodeSettings
from baobabhoist.errors import SettingsError

HEADINGS = ["INSTANCE", "DATA CENTRE", "LIVE", "DRAINING", "REVISION", "SHARDS"]


def show_status(client: Client) -> CommandResult:
    """Show the instance, its peers and the revision of the records in force on each."""
    found = client.request_json("GET", "/v1/status")
    rows = [_row({**found, "live": True}), *(_row(peer) for peer in found["peers"])]
    notes = [format_pending_limit(each) for each in found.get("pending_limits") or ()]
    return CommandResult(found, [*format_table(HEADINGS, rows), *notes])


def _row(each: dict[str, Any]) -> list[Any]:
    return [
        each["instance_id"],
        each.get("data_centre"),
        each["live"],
        each.get("draining"),
        each.get("records_revision"),
        each.get("owned_shards"),
    ]


def start_drain(client: Client) -> CommandResult:
    """Start the drain of the instance."""
    found = client.request_json("POST", "/v1/drain")
    return CommandResult(
        found, [f"the instance drains; {found['open_requests']} requests are open"]
    )


# The kinds of settings files; an instance on the users' platform has its own.
SETTINGS_KINDS: dict[str, type[Settings] | type[NodeSettings]] = {
    "daemon": Settings,
    "platform": NodeSettings,
}


def check_config(file: str, kind: str) -> CommandResult:
    """Check a settings file of a kind without starting a process."""
    if kind not in SETTINGS_KINDS:
        raise UsageError(f"give one of {', '.join(SETTINGS_KINDS)}, not {kind}")
    try:
        loaded = load_with_warnings(file, SETTINGS_KINDS[kind])
    except SettingsError as exc:
        problems = str(exc).splitlines()
        return CommandResult({"valid": False, "problems": problems}, problems, ExitCode.REFUSED)
    warnings = [str(problem) for problem in loaded.warnings]
    lines = [f"{file} is valid", *(f"warning: {text}" for text in warnings)]
    return CommandResult({"valid": True, "warnings": warnings}, lines)
