"""Authenticate teams and operators by the keys in request headers."""

from __future__ import annotations

from tornado.httputil import HTTPHeaders

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.records.keys import check_key, digests_equal, key_digest
from baobabhoist.records.kinds import PUBLIC_TEAM, Queue
from baobabhoist.records.view import RecordView

TEAM_KEY_HEADER = "X-Team-Key"
OPERATOR_KEY_HEADER = "X-Operator-Key"
BEARER_PREFIX = "Bearer "
# The author of changes that were made with the operator key from the settings.
SETTINGS_OPERATOR = "settings"


def authenticate_team(
    view: RecordView,
    headers: HTTPHeaders,
    records_unconfirmed_s: float,
    queue: Queue | None = None,
) -> str | Refusal:
    """Return the team of the presented key, or the public team on a queue open to all.

    A key is checked even on a queue open to all: a caller with a rejected key must not run
    work for the public team in the belief that it runs for its own.
    """
    presented_key = headers.get(TEAM_KEY_HEADER)
    if presented_key is None and queue is not None and queue.open_to_all:
        return _public_team(view)
    if presented_key is None:
        remedy = f"send the header {TEAM_KEY_HEADER}"
        return Refusal(ErrorKind.KEY_MISSING, "no team key was sent", remedy=remedy)
    key = check_key(view.find_key(presented_key), records_unconfirmed_s, TEAM_KEY_HEADER)
    if isinstance(key, Refusal):
        return key
    if not key.team:
        remedy = "send a team key"
        return Refusal(ErrorKind.KEY_REJECTED, "this is an operator key", remedy=remedy)
    return key.team


def _public_team(view: RecordView) -> str | Refusal:
    if view.team(PUBLIC_TEAM) is not None:
        return PUBLIC_TEAM
    return Refusal(
        ErrorKind.FORBIDDEN,
        f"the queue accepts requests without a key, but their team {PUBLIC_TEAM} does not exist",
        remedy=f"send a team key, or ask an operator to create the team {PUBLIC_TEAM}",
    )


def authenticate_operator(
    view: RecordView, settings_digest: str, headers: HTTPHeaders, records_unconfirmed_s: float
) -> str | Refusal:
    """Return the name that is stored as the author of an operator's changes.

    The key is read from the operator header or from `Authorization: Bearer`, which metrics
    collectors support.
    """
    presented_key = headers.get(OPERATOR_KEY_HEADER)
    bearer = headers.get("Authorization", "")
    if presented_key is None and bearer.startswith(BEARER_PREFIX):
        presented_key = bearer.removeprefix(BEARER_PREFIX)
    if presented_key is None:
        remedy = f"send the header {OPERATOR_KEY_HEADER}"
        return Refusal(ErrorKind.KEY_MISSING, "no operator key was sent", remedy=remedy)
    if digests_equal(key_digest(presented_key), settings_digest):
        return SETTINGS_OPERATOR
    key = check_key(view.find_key(presented_key), records_unconfirmed_s, OPERATOR_KEY_HEADER)
    if isinstance(key, Refusal):
        return key
    if not key.operator:
        remedy = "send an operator key"
        return Refusal(ErrorKind.KEY_REJECTED, "this is a team key", remedy=remedy)
    matching_names = [name for name, candidate in view.keys().items() if candidate is key]
    return matching_names[0] if matching_names else "operator"
