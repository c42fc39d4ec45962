"""Repetition: whether, until when and where a request may run again, and whether its client may retry it.

    no attempt can have run yet              another attempt may start until the client's deadline
    an attempt may have run, and the class is
        IDEMPOTENT       it may run again
        KEYED            it may run again while engines still drop a duplicate of the first attempt: within
                         `deduplication_window` of its send, at an engine in the same scope
        NON_IDEMPOTENT   it may not run again

The scheduler plans by these rules, and the forwarder's send guard enforces them before the first byte is
sent, as time passes and attempts end in between. All functions are pure. Times are clock times in
nanoseconds.
"""

from typing import Final

from query_gateway.model.endpoints import EndpointInfo
from query_gateway.model.events import OutcomeCode
from query_gateway.model.settings import ClassSettings, DeduplicationScope, Idempotency

# Outcomes of attempts that cannot have run at the engine
NEVER_RAN_CODES: Final = (OutcomeCode.FULL, OutcomeCode.CONNECT_FAILED, OutcomeCode.NOT_SENT)

NO_DEADLINE: Final = 2**62 - 1  # later than any clock time
NEVER: Final = 0  # earlier than any clock time


def may_run_twice(settings: ClassSettings) -> bool:
    """Whether a class can allow another attempt after one that may have run.

    `repeat_deadline` says until when.
    """
    return settings.idempotency is not Idempotency.NON_IDEMPOTENT


def repeat_deadline(settings: ClassSettings, first_executed_at: int | None) -> int:
    """Clock time until which a further attempt may start, regardless of the client's deadline.

    `first_executed_at` is when the first attempt that may have run was sent; None: no attempt can have run.
    """
    if first_executed_at is None or settings.idempotency is Idempotency.IDEMPOTENT:
        return NO_DEADLINE
    if settings.idempotency is Idempotency.KEYED:
        return first_executed_at + settings.deduplication_window
    return NEVER


def may_run_again(settings: ClassSettings, first_executed_at: int | None, now: int) -> bool:
    """Whether a further attempt may start now, regardless of the client's deadline."""
    return now < repeat_deadline(settings, first_executed_at)


def recognises_duplicate(settings: ClassSettings, executed_at: EndpointInfo, other: EndpointInfo) -> bool:
    """Whether `other` recognises an idempotency key that `executed_at` has already processed."""
    match settings.deduplication_scope:
        case DeduplicationScope.ALL:
            return True
        case DeduplicationScope.ZONE:
            return other.zone == executed_at.zone
        case DeduplicationScope.CELL:
            return other.group == executed_at.group


def client_may_retry(
    settings: ClassSettings, client_has_key: bool, first_sent_at: int, retry_at: int
) -> bool:
    """Whether a client's retry at `retry_at` has no further effect, although the request may have run.

    The client's retry may reach any engine, so a request with an idempotency key needs all engines in one
    deduplication scope. They must still remember the first attempt, sent at `first_sent_at`, and the client
    must know the key (`client_has_key`): a retry of a request whose key the gateway made up has another one.
    """
    if settings.idempotency is Idempotency.KEYED:
        is_remembered = retry_at < first_sent_at + settings.deduplication_window
        return client_has_key and is_remembered and settings.deduplication_scope is DeduplicationScope.ALL
    return settings.idempotency is Idempotency.IDEMPOTENT


def may_be_rejected(
    settings: ClassSettings, client_has_key: bool, first_sent_at: int | None, retry_at: int
) -> bool:
    """Whether a request without a result is rejected, which tells its client to retry; otherwise it fails.

    `first_sent_at` is when the first attempt that may have run, or is in flight, was sent; None: there is
    none. `retry_at` is when a client that heeds the rejection may return.
    """
    return first_sent_at is None or client_may_retry(settings, client_has_key, first_sent_at, retry_at)
