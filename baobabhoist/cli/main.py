"""Run the command-line tool."""

from __future__ import annotations

import logging
import sys
import time
from collections.abc import Callable, Mapping, Sequence
from typing import Any

import attrs
from absl import app, flags

from baobabhoist.cli import instances, jobs, logs, options, records
from baobabhoist.cli.client import (
    ExitCode,
    RefusedError,
    UnreachableError,
    UsageError,
    exit_code_for,
)
from baobabhoist.cli.output import CommandResult, format_error, write_result

FLAGS = flags.FLAGS
# The answer to a request may come at its deadline; it needs this long to arrive.
ANSWER_MARGIN_S = 5.0
# Log files that one command merges.
MAX_LOG_FILES = 1_000


@attrs.frozen
class Command:
    """Describe one command: its arguments as shown and how many it takes."""

    arguments: str
    min_args: int
    max_args: int
    run: Callable[[Sequence[str]], CommandResult]


def _put(args: Sequence[str]) -> CommandResult:
    return records.put_records(options.make_admin_client(), args[0])


def _get(args: Sequence[str]) -> CommandResult:
    return records.get_record(options.make_admin_client(), args[0], args[1])


def _list_records(args: Sequence[str]) -> CommandResult:
    return records.list_records(options.make_admin_client(), *args)


def _delete(args: Sequence[str]) -> CommandResult:
    return records.delete_record(options.make_admin_client(), args[0], args[1], FLAGS.revision)


def _history(args: Sequence[str]) -> CommandResult:
    return records.show_history(options.make_admin_client(), args[0], args[1])


def _diff(args: Sequence[str]) -> CommandResult:
    try:
        revisions = [int(arg) for arg in args[2:]]
    except ValueError as exc:
        raise UsageError("a revision is a whole number") from exc
    return records.diff_revisions(options.make_admin_client(), args[0], args[1], *revisions)


def _submit_job(args: Sequence[str]) -> CommandResult:
    return jobs.submit_job(options.make_caller_client(), args[0], FLAGS.idempotency_key)


def _submit_request(args: Sequence[str]) -> CommandResult:
    deadline = time.time() + FLAGS.deadline_s
    client = options.make_caller_client(FLAGS.deadline_s + ANSWER_MARGIN_S)
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


def _wait_job(args: Sequence[str]) -> CommandResult:
    give_up_at = None if FLAGS.wait_s is None else time.time() + FLAGS.wait_s
    try:
        return jobs.wait_for_job(
            options.make_job_client(), args[0], give_up_at, jobs.show_progress
        )
    finally:
        jobs.clear_progress()


def _explain(args: Sequence[str]) -> CommandResult:
    return jobs.explain_job(options.make_job_client(), args[0])


def _status(args: Sequence[str]) -> CommandResult:
    del args
    return instances.show_status(options.make_admin_client())


def _drain(args: Sequence[str]) -> CommandResult:
    del args
    return instances.start_drain(options.make_admin_client())


def _logs(args: Sequence[str]) -> CommandResult:
    return logs.merge_logs(args[0], args[1:])


def _check_config(args: Sequence[str]) -> CommandResult:
    return instances.check_config(args[0], args[1] if len(args) > 1 else "daemon")


COMMANDS: dict[tuple[str, ...], Command] = {
    ("put", "record"): Command("FILE", 1, 1, _put),
    ("get", "record"): Command("KIND NAME", 2, 2, _get),
    ("list", "records"): Command("[KIND]", 0, 1, _list_records),
    ("delete", "record"): Command("KIND NAME", 2, 2, _delete),
    ("history", "record"): Command("KIND NAME", 2, 2, _history),
    ("diff", "record"): Command("KIND NAME FROM [TO]", 3, 4, _diff),
    ("submit", "request"): Command("QUEUE [FILE]", 1, 2, _submit_request),
    ("submit", "job"): Command("FILE", 1, 1, _submit_job),
    ("show", "job"): Command("JOB", 1, 1, _show_job),
    ("list", "jobs"): Command("", 0, 0, _list_jobs),
    ("cancel", "job"): Command("JOB", 1, 1, _cancel_job),
    ("wait", "job"): Command("JOB", 1, 1, _wait_job),
    ("explain", "job"): Command("JOB", 1, 1, _explain),
    ("explain",): Command("JOB", 1, 1, _explain),
    ("status",): Command("", 0, 0, _status),
    ("drain",): Command("", 0, 0, _drain),
    ("logs",): Command("JOB FILE [FILE ...]", 2, MAX_LOG_FILES, _logs),
    ("check-config",): Command("FILE [daemon|platform]", 1, 2, _check_config),
}


def find_command(args: Sequence[str]) -> tuple[Command, Sequence[str]]:
    """Return the command that the arguments name, and its own arguments; raises UsageError."""
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
    """Run a command; refusals and failures become results with their exit codes."""
    try:
        command, rest = find_command(args)
        return command.run(rest)
    except UsageError as exc:
        return _failed({"kind": "usage", "message": str(exc)}, ExitCode.USAGE, [str(exc)])
    except RefusedError as exc:
        return _failed(exc.body, exit_code_for(exc), format_error(exc.body))
    except UnreachableError as exc:
        # A read has no effect, but a change that may have arrived has an unknown outcome.
        unknown = exc.sent and args[0] in CHANGING_VERBS
        code = ExitCode.OUTCOME_UNKNOWN if unknown else ExitCode.UNREACHABLE
        outcome = "unknown" if unknown else "not_run"
        body = {"kind": "unreachable", "message": str(exc), "outcome": outcome}
        return _failed(body, code, format_error(body))


CHANGING_VERBS = frozenset({"put", "delete", "submit", "cancel", "drain"})


def _failed(body: Mapping[str, Any], code: ExitCode, lines: Sequence[str]) -> CommandResult:
    return CommandResult({"error": dict(body)}, lines, code)


def main(argv: list[str]) -> int:
    """Run the command and print its result; errors go to standard error."""
    result = run_command(argv[1:])
    failed = isinstance(result.data, dict) and "error" in result.data
    stream = sys.stderr if failed else sys.stdout
    write_result(result, FLAGS.output, stream.buffer.write)
    stream.flush()
    return result.code


def parse_flags(argv: list[str]) -> list[str]:
    """Return the arguments that are no flags; exits on a flag that cannot be used."""
    try:
        return list(FLAGS(argv))
    except flags.Error as exc:
        print(f"{exc}; baobabhoist --help lists the flags", file=sys.stderr)
        sys.exit(ExitCode.USAGE)


def run() -> None:
    """Be the entry point of the command."""
    # Failures of a connection are part of the result; tornado would print them a second time.
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    app.run(main, flags_parser=parse_flags)


if __name__ == "__main__":
    run()
