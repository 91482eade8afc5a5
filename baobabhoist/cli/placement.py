"""Show where a job would go now on the users' platform, without sending it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from baobabhoist.cli.client import Client, RefusedError, UsageError
from baobabhoist.cli.jobs import load_job
from baobabhoist.cli.output import CommandResult, format_table

PATH = "/placement-preview"
CPU_UNITS_PER_CORE = 1000.0
NOT_FOUND_STATUS = 404

# What an operator reads for each reason to wait; other reasons are shown by name.
_WAIT_TEXTS = {
    "": "tasks start now",
    "starts_paused": "the owner starts nothing now: its claim or its view is not confirmed",
    "data_centre_emptied": "all usable workers are in data centres that are being emptied",
    "no_usable_worker": "no worker that accepts tasks has the service and label",
    "start_window_full": "waits until workers have answered to starts in progress",
    "team_limit_reserved": "waits behind a gang that waits for the team's limit",
    "team_limit": "waits until runs of the team end: the team is at its limit",
    "workers_reserved": "waits for workers that are reserved for steps that come first",
    "no_room": "waits for room on a worker",
    "no_room_for_gang": "waits for room for all members of the gang at once",
    "no_advice": "starts once the adviser has approved one of the candidates",
}


def preview_placement(client: Client, queue: str, team: str, file: str) -> CommandResult:
    """Show where the job in a file would go if a team sent it to a queue now."""
    body = {"queue": queue, "team": team, "job": load_job(file)}
    try:
        preview = client.request_json("POST", PATH, body)
    except RefusedError as exc:
        if exc.status == NOT_FOUND_STATUS and exc.body.get("kind") != "not_found":
            message = f"{client.base_url} serves no previews: a wrong port, or an earlier version"
            raise UsageError(message) from exc
        raise
    return CommandResult(preview, format_preview(preview))


def format_preview(preview: Mapping[str, Any]) -> list[str]:
    """Return the lines that an operator reads."""
    placement = preview["placement"]
    return [
        f"admission: {_admission_text(preview['refusal'])}",
        f"start:     {_start_text(placement)}",
        f"step:      {placement['step']}, tasks: {placement['tasks']}, service: "
        f"{placement['service']}",
        f"rank:      {_rank_text(placement['position'])}",
        f"team:      {preview['team'] or '(none)'}, {_team_text(placement['team'])}",
        f"workers:   {_workers_text(placement)}",
        *_candidate_lines(placement["candidates"]),
    ]


def _admission_text(refusal: Mapping[str, Any] | None) -> str:
    if refusal is None:
        return "accepted"
    retry_s = refusal["retry_after"]
    retry = f"; retry after {retry_s:g} s" if retry_s is not None else ""
    return f"refused now ({refusal['kind']}): {refusal['message']}{retry}; {refusal['remedy']}"


def _start_text(placement: Mapping[str, Any]) -> str:
    reason = placement["wait_reason"]
    text = _WAIT_TEXTS.get(reason, reason)
    if placement["room_within_ms"] is not None:
        text += f"; room is expected within {placement['room_within_ms'] / 1000:g} s"
    return text


def _rank_text(position: Mapping[str, Any]) -> str:
    return (
        f"{position['position']} (other waiting steps: {position['waiting_steps']}), "
        f"tier {position['tier']}, priority {position['priority']}, "
        f"slack {position['slack_ms'] / 1000:.1f} s"
    )


def _team_text(team: Mapping[str, Any]) -> str:
    parts = [_limit_text(team["used"], team["limit"])]
    if team["share_ratio"] is not None:
        parts.append(f"runs {team['share_ratio']:.2f} of its part of the cell")
        parts.append(f"past use {team['past_use_s']:.0f} s")
    if team["is_beyond_entitlement"]:
        parts.append("sends more than it is entitled to")
    elif team["entitled_jobs"] is not None:
        parts.append(f"entitled to {team['entitled_jobs']:.0f} more jobs now")
    return ", ".join(parts)


def _limit_text(used: Mapping[str, int], limit: Mapping[str, int]) -> str:
    units = {"cpu": ("cores", CPU_UNITS_PER_CORE), "memory_mb": ("MiB", 1.0), "gpu": ("GPUs", 1.0)}
    parts = [
        f"{(limit[name] - used[name]) / factor:g} of {limit[name] / factor:g} {unit}"
        for name, (unit, factor) in units.items()
        if limit[name]
    ]
    return "left of its limit: " + " and ".join(parts) if parts else "no limit"


def _workers_text(placement: Mapping[str, Any]) -> str:
    counts = [f"{entry['reason']} {entry['workers']}" for entry in placement["set_aside"]]
    note = " (a ticket is needed: which the adviser approves is not known)"
    candidates = f"candidates: {placement['candidate_count']}"
    candidates += note if placement["needs_ticket"] else ""
    return f"{candidates}; set aside: {', '.join(counts) or 'none'}"


def _candidate_lines(candidates: list[Mapping[str, Any]]) -> list[str]:
    if not candidates:
        return []
    headings = ("candidate", "data centre", "rack", "free cores", "tasks", "slowdown", "cold")
    rows = [
        (
            worker["worker_id"],
            worker["data_centre"],
            worker["rack"],
            f"{worker['free']['cpu'] / CPU_UNITS_PER_CORE:g}",
            worker["tasks"],
            f"{worker['slowdown']:.2f}",
            "yes" if worker["is_cold"] else "no",
        )
        for worker in candidates
    ]
    return format_table(headings, rows)
