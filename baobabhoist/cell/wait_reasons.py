"""Define why a waiting step does not start."""

from __future__ import annotations

import enum


class WaitReason(enum.StrEnum):
    """List why tasks of a ready step were not started in the last scheduling round."""

    # No round has considered the step yet.
    NOT_CONSIDERED = "not_considered"
    # The claim is not confirmed, so that the round may not start tasks.
    STARTS_PAUSED = "starts_paused"
    # As many starts are in progress as the owner can send in time.
    START_WINDOW_FULL = "start_window_full"
    # Summaries replace this reason by one of NO_USABLE_WORKER to TICKET_WORKERS_UNUSABLE.
    NO_STARTABLE_WORKER = "no_startable_worker"
    # No worker of the service, or none with the step's label, accepts tasks.
    NO_USABLE_WORKER = "no_usable_worker"
    # All workers that the step could use are in data centres that are being emptied.
    DATA_CENTRE_EMPTIED = "data_centre_emptied"
    # The adviser has not answered for any worker.
    NO_ADVICE = "no_advice"
    # The adviser refused every worker that it was asked about.
    NOT_APPROVED = "not_approved"
    # All tickets have expired or were rejected.
    TICKETS_EXPIRED = "tickets_expired"
    # Workers with a valid ticket accept no tasks.
    TICKET_WORKERS_UNUSABLE = "ticket_workers_unusable"
    # No worker that accepts tasks has the capacity.
    NO_ROOM = "no_room"
    # Workers with a valid ticket are too full, others may not be.
    NO_ROOM_WITH_TICKET = "no_room_with_ticket"
    # Some members of a gang would fit, but not all at once.
    NO_ROOM_FOR_GANG = "no_room_for_gang"
    # A task that may crash its worker waits for one on which nothing else has just started.
    NO_QUIET_WORKER = "no_quiet_worker"
    TEAM_LIMIT = "team_limit"
    TEAM_LIMIT_RESERVED = "team_limit_reserved"
    WORKERS_RESERVED = "workers_reserved"
    # Members of an earlier run of the gang have not ended.
    GANG_RUN_ENDING = "gang_run_ending"
