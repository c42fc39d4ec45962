"""Key quarantine: how long the next query of a key waits after an attempt that may still be running.

    attempt ended by OK, ERROR, or it never ran      no quarantine: nothing of the key can still run
    attempt ended by TIMEOUT, RESET or CANCELLED     quarantine of `Settings.key_quarantine` from then on
    the planner of a key was lost                    the same, for all keys of that planner

Queries of a key run one at a time. An engine that lost its connection may still run its query, and a next one
sent at once could overtake it. The scheduler holds up keys one by one, the forwarder those of a lost
planner together. All functions are pure; times are clock times in nanoseconds.
"""

from typing import Final

from query_gateway.model.events import OutcomeCode
from query_gateway.model.settings import Settings

# Outcomes of an attempt that may still be running at its engine
MAY_STILL_RUN_CODES: Final = (OutcomeCode.TIMEOUT, OutcomeCode.RESET, OutcomeCode.CANCELLED)


def starts_key_quarantine(code: OutcomeCode) -> bool:
    """Whether an attempt that ended so may still be running."""
    return code in MAY_STILL_RUN_CODES


def key_quarantine_end(settings: Settings, ended_at: int) -> int:
    """Until when the next query of a key waits, after an attempt or a planner that ended at `ended_at`."""
    return ended_at + settings.key_quarantine
