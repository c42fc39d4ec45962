"""Key quarantine: how long the next query of a key waits after an attempt that may still be running.

    attempt ended by OK, ERROR, or it never ran      no quarantine: no attempt of the key can still be running
    attempt ended by TIMEOUT, RESET or CANCELLED     `Settings.key_quarantine`, from the end of the attempt
    the planner of a key was lost                    `Settings.key_quarantine`, from then on, for all its keys

Queries of a key run one at a time. An engine whose connection was lost may still be running its query, and
the next query of the key could overtake that one if it were sent at once. The scheduler quarantines single
keys; the forwarder quarantines all keys of a lost planner. All functions are pure; times are clock times in
nanoseconds.
"""

from typing import Final

from query_gateway.model.events import OutcomeCode
from query_gateway.model.settings import Settings

# Outcomes after which the engine may still be running the attempt
MAY_STILL_RUN_CODES: Final = (OutcomeCode.TIMEOUT, OutcomeCode.RESET, OutcomeCode.CANCELLED)


def starts_key_quarantine(code: OutcomeCode) -> bool:
    """Whether an attempt with this outcome may still be running."""
    return code in MAY_STILL_RUN_CODES


def key_quarantine_end(settings: Settings, ended_at: int) -> int:
    """End of the quarantine after an attempt that ended, or a planner that was lost, at `ended_at`."""
    return ended_at + settings.key_quarantine
