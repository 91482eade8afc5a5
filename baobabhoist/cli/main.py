"""Parse and run the commands of the command-line tool."""

from __future__ import annotations

import logging
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import attrs
from absl import app, flags

from baobabhoist.cli import instances, jobs, logs, options, placement, records
from baobabhoist.cli.client import (
    ExitCode,
    RefusedError,
    UnreachableError,
    UsageError,
    exit_code_for,
)
from baobabhoist.cli.output import CommandResult, format_error, write_result

FLAGS = flags.FLAGS
# A response may be sent as late as the deadline of its request and needs this long to arrive.
RESPONSE_MARGIN_S = 5.0
# The maximum number of log files that one command merges.
MAX_LOG_FILES = 1_000


@attrs.frozen
class Command:
    """Describe one command: its arguments for the usage text, their number and its function."""

    arguments: str
    min_args: int
    max_args: int
    run: Callable[[Sequence[str]], CommandResult]


def _put_records(args: Sequence[str]) -> CommandResult:
    return records.put_records(options.make_admin_client(), args[0])


def _get_record(args: Sequence[str]) -> CommandResult:
    return records.get_record(options.make_admin_client(), args[0], args[1])


def _list_records(args: Sequence[str]) -> CommandResult:
    return records.list_records(options.make_admin_client(), *args)


def _delete_record(args: Sequence[str]) -> CommandResult:
    return records.delete_record(options.make_admin_client(), args[0], args[1], FLAGS.revision)


def _show_history(args: Sequence[str]) -> CommandResult:
    return records.show_history(options.make_admin_client(), args[0], args[1])


def _diff_revisions(args: Sequence[str]) -> CommandResult:
    try:
        revisions = [int(arg) for arg in args[2:]]
    except ValueError as exc:
        raise UsageError("a revision must be a whole number") from exc
    return records.diff_revisions(options.make_admin_client(), args[0], args[1], *revisions)


def _submit_job(args: Sequence[str]) -> CommandResult:
    return jobs.submit_job(options.make_caller_client(), args[0], FLAGS.idempotency_key)


def _submit_request(args: Sequence[str]) -> CommandResult:
    deadline = time.time() + FLAGS.deadline_s
    client = options.make_caller_client(FLAGS.deadline_s + RESPONSE_MARGIN_S)
    body = options.read_payload(args[1]) if len(args) > 1 else b""
    return jobs.submit_request(
        client, args[0], body, options.request_headers_from_flags(), deadline
    )


def _show_job(args: Sequence[str]) -> CommandResult:
    return jobs.show_job(options.make_job_client(), args[0])


def _list_jobs(args: Sequence[str]) -> CommandResult:
    del args
    return jobs.list_jobs(options.make_job_client())


def _cancel_job(args: Sequence[str]) -> CommandResult:
    return jobs.cancel_job(options.make_job_client(), args[0])


def _wait_for_job(args: Sequence[str]) -> CommandResult:
    wait_deadline = None if FLAGS.wait_s is None else time.time() + FLAGS.wait_s
    try:
        return jobs.wait_for_job(
            options.make_job_client(), args[0], wait_deadline, jobs.show_progress
        )
    finally:
        jobs.clear_progress()


def _explain_job(args: Sequence[str]) -> CommandResult:
    return jobs.explain_job(options.make_job_client(), args[0])


def _preview_placement(args: Sequence[str]) -> CommandResult:
    return placement.preview_placement(options.make_metrics_client(), *args)


def _show_status(args: Sequence[str]) -> CommandResult:
    del args
    return instances.show_status(options.make_admin_client())


def _start_drain(args: Sequence[str]) -> CommandResult:
    del args
    return instances.start_drain(options.make_admin_client())


def _merge_logs(args: Sequence[str]) -> CommandResult:
    return logs.merge_logs(args[0], args[1:])


def _check_config(args: Sequence[str]) -> CommandResult:
    return instances.check_config(args[0], args[1] if len(args) > 1 else "daemon")


COMMANDS: dict[tuple[str, ...], Command] = {
    ("put", "record"): Command("FILE", 1, 1, _put_records),
    ("get", "record"): Command("KIND NAME", 2, 2, _get_record),
    ("list", "records"): Command("[KIND]", 0, 1, _list_records),
    ("delete", "record"): Command("KIND NAME", 2, 2, _delete_record),
    ("history", "record"): Command("KIND NAME", 2, 2, _show_history),
    ("diff", "record"): Command("KIND NAME FROM [TO]", 3, 4, _diff_revisions),
    ("submit", "request"): Command("QUEUE [FILE]", 1, 2, _submit_request),
    ("submit", "job"): Command("FILE", 1, 1, _submit_job),
    ("show", "job"): Command("JOB", 1, 1, _show_job),
    ("list", "jobs"): Command("", 0, 0, _list_jobs),
    ("cancel", "job"): Command("JOB", 1, 1, _cancel_job),
    ("wait", "job"): Command("JOB", 1, 1, _wait_for_job),
    ("explain", "job"): Command("JOB", 1, 1, _explain_job),
    ("explain",): Command("JOB", 1, 1, _explain_job),
    ("preview",): Command("QUEUE TEAM FILE", 3, 3, _preview_placement),
    ("status",): Command("", 0, 0, _show_status),
    ("drain",): Command("", 0, 0, _start_drain),
    ("logs",): Command("JOB FILE [FILE ...]", 2, MAX_LOG_FILES, _merge_logs),
    ("check-config",): Command("FILE [daemon|platform]", 1, 2, _check_config),
}


def find_command(args: Sequence[str]) -> tuple[Command, Sequence[str]]:
    """Return the command that the first words name and its arguments; raises UsageError."""
    for length in (2, 1):
        words, rest = tuple(args[:length]), args[length:]
        command = COMMANDS.get(words)
        if command is None:
            continue
        if command.min_args <= len(rest) <= command.max_args:
            return command, rest
        raise UsageError(f"usage: baobabhoist {' '.join(words)} {command.arguments}".rstrip())
    lines = [
        f"  baobabhoist {' '.join(words)} {command.arguments}".rstrip()
        for words, command in COMMANDS.items()
    ]
    raise UsageError("usage:\n" + "\n".join(lines))


def run_command(args: Sequence[str]) -> CommandResult:
    """Run a command; map refusals and failures to results with their exit codes."""
    try:
        command, rest = find_command(args)
        return command.run(rest)
    except UsageError as exc:
        return _error_result({"kind": "usage", "message": str(exc)}, ExitCode.USAGE, [str(exc)])
    except RefusedError as exc:
        return _error_result(exc.body, exit_code_for(exc), format_error(exc.body))
    except UnreachableError as exc:
        # The outcome of a change is unknown if the instance may have received it; a read has no
        # effect either way.
        outcome_unknown = exc.possibly_received and args[0] in CHANGING_VERBS
        code = ExitCode.OUTCOME_UNKNOWN if outcome_unknown else ExitCode.UNREACHABLE
        outcome = "unknown" if outcome_unknown else "not_run"
        body = {"kind": "unreachable", "message": str(exc), "outcome": outcome}
        return _error_result(body, code, format_error(body))


CHANGING_VERBS = frozenset({"put", "delete", "submit", "cancel", "drain"})


def _error_result(body: Mapping[str, Any], code: ExitCode, lines: Sequence[str]) -> CommandResult:
    return CommandResult({"error": dict(body)}, lines, code)


def main(argv: list[str]) -> int:
    """Run the command and print its result; errors are printed to standard error."""
    result = run_command(argv[1:])
    is_error = isinstance(result.data, dict) and "error" in result.data
    stream = sys.stderr if is_error else sys.stdout
    write_result(result, FLAGS.output, stream.buffer.write)
    stream.flush()
    return result.code


def parse_flags(argv: list[str]) -> list[str]:
    """Return the arguments without flags; exits with a usage error on an invalid flag."""
    try:
        return list(FLAGS(argv))
    except flags.Error as exc:
        print(f"{exc}; baobabhoist --help lists the flags", file=sys.stderr)
        sys.exit(ExitCode.USAGE)


def run() -> None:
    """Run the tool as the entry point of the command."""
    # Connection failures are part of the result; tornado's log would print them a second time.
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    app.run(main, flags_parser=parse_flags)


if __name__ == "__main__":
    run()
