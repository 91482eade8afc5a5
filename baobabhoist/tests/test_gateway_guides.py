"""Check the examples and tables of the guides against the code."""

import re
from pathlib import Path

import pytest
import yaml

from baobabhoist.cli.client import ExitCode
from baobabhoist.cli.main import find_command
from baobabhoist.errors import HTTP_STATUS, ErrorKind, Refusal
from baobabhoist.gateway.bodies import JobSubmission, parse_job
from baobabhoist.gateway.server import HttpLimits
from baobabhoist.records.kinds import RecordKind
from baobabhoist.records.schema import parse_body
from baobabhoist.records.view import Record, RecordView

DOCS = Path(__file__).parents[2] / "docs"
CALLERS_GUIDE = (DOCS / "callers-guide.md").read_text(encoding="utf-8")
OPERATORS_GUIDE = (DOCS / "operators-guide.md").read_text(encoding="utf-8")


def code_blocks(text):
    """Return the indented code blocks of a page."""
    blocks = re.findall(r"(?:^(?: {4}.*)?\n)+", text, re.MULTILINE)
    lines = [re.sub(r"^ {4}", "", block, flags=re.MULTILINE).strip("\n") for block in blocks]
    return [block for block in lines if block]


def command_words(text):
    for line in text.splitlines():
        words = line.split()
        if line.startswith("    ") and "baobabhoist" in words[:1]:
            line = re.sub(r"[<>] \S+", "", line.replace("[", "").replace("]", ""))
            yield [word for word in line.split()[1:] if not word.startswith("--")]


def test_records_of_the_operators_guide_are_accepted():
    """Guard against an example in the guide that the API refuses."""
    (block,) = [block for block in code_blocks(OPERATORS_GUIDE) if block.startswith("kind:")]
    text, _, _ = block.partition("\nbaobabhoist")
    view = RecordView()
    for revision, record in enumerate(yaml.safe_load_all(text), 1):
        kind = RecordKind(record["kind"])
        parsed = parse_body(kind, record["schema_version"], record["body"])
        assert not isinstance(parsed, Refusal), parsed
        view.apply(Record(kind, record["name"], 1, revision, {}))
    assert {kind for kind, _ in view.records} == set(RecordKind)


def test_jobs_of_the_callers_guide_are_accepted():
    """Guard against an example in the guide that the API refuses."""
    jobs = re.findall(
        r'^\{\s*"queue".*?^\}$|^\{"queue".*\}$', "\n".join(code_blocks(CALLERS_GUIDE)), re.M | re.S
    )
    assert len(jobs) == 2
    assert all(isinstance(parse_job(job.encode()), JobSubmission) for job in jobs)


@pytest.mark.parametrize(
    "words", [*command_words(CALLERS_GUIDE), *command_words(OPERATORS_GUIDE)], ids=" ".join
)
def test_commands_of_the_guides_exist(words):
    """Guard against a documented command that the tool rejects as a usage error."""
    find_command(words)


def test_tables_and_limits_of_the_callers_guide_match_the_code():
    """Guard against an undocumented kind of error or exit code, and against wrong limits."""
    statuses = {}
    for status, kinds in re.findall(r"^\| (\d{3}) \| (.*) \|$", CALLERS_GUIDE, re.MULTILINE):
        statuses.update({kind: int(status) for kind in re.findall(r"`([a-z_]+)`", kinds)})
    assert statuses == {kind.value: HTTP_STATUS[kind] for kind in ErrorKind}
    codes = re.findall(r"^\| (\d) \| ", CALLERS_GUIDE, re.MULTILINE)
    assert [int(code) for code in codes] == [code.value for code in ExitCode]
    limits = HttpLimits()
    assert f"within {limits.idle_timeout_s:g} s is closed" in CALLERS_GUIDE
    assert f"arrive within {limits.body_timeout_s:g} s" in CALLERS_GUIDE
    assert f"be read within {limits.write_timeout_s:g} s" in CALLERS_GUIDE
