"""Decide for which team, or as which operator, a request is made."""

from __future__ import annotations

from tornado.httputil import HTTPHeaders

from baobabhoist.errors import ErrorKind, Refusal
from baobabhoist.records.keys import check_key, digests_equal, key_digest
from baobabhoist.records.kinds import PUBLIC_TEAM, Queue
from baobabhoist.records.view import RecordView

KEY_HEADER = "X-Team-Key"
OPERATOR_KEY_HEADER = "X-Operator-Key"
BEARER = "Bearer "
# Changes made with the key from the settings are logged under this name.
SETTINGS_OPERATOR = "settings"


def team_of(
    view: RecordView, headers: HTTPHeaders, cut_off_s: float, queue: Queue | None = None
) -> str | Refusal:
    """Return the team of the presented key, or the public team on a queue open to all.

    A key that is presented is always checked, so that a caller never runs for another team
    than it believes.
    """
    presented = headers.get(KEY_HEADER)
    if presented is None and queue is not None and queue.open_to_all:
        return _public_team(view)
    if presented is None:
        remedy = f"send the header {KEY_HEADER}"
        return Refusal(ErrorKind.KEY_MISSING, "no team key was sent", remedy=remedy)
    key = check_key(view.find_key(presented), cut_off_s, KEY_HEADER)
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
        f"the queue is open to all, but there is no team {PUBLIC_TEAM} to run for",
        remedy=f"send a team key, or ask an operator to create the team {PUBLIC_TEAM}",
    )


def operator_of(
    view: RecordView, settings_digest: str, headers: HTTPHeaders, cut_off_s: float
) -> str | Refusal:
    """Return the name under which an operator's changes are logged.

    The key is taken from the operators' header or from `Authorization: Bearer`, which
    collectors of metrics can send.
    """
    presented = headers.get(OPERATOR_KEY_HEADER)
    bearer = headers.get("Authorization", "")
    if presented is None and bearer.startswith(BEARER):
        presented = bearer.removeprefix(BEARER)
    if presented is None:
        remedy = f"send the header {OPERATOR_KEY_HEADER}"
        return Refusal(ErrorKind.KEY_MISSING, "no operator key was sent", remedy=remedy)
    if digests_equal(key_digest(presented), settings_digest):
        return SETTINGS_OPERATOR
    key = check_key(view.find_key(presented), cut_off_s, OPERATOR_KEY_HEADER)
    if isinstance(key, Refusal):
        return key
    if not key.operator:
        remedy = "send an operator key"
        return Refusal(ErrorKind.KEY_REJECTED, "this is a team key", remedy=remedy)
    names = [name for name, other in view.keys().items() if other is key]
    return names[0] if names else "operator"
