"""What the idempotency of a request's class permits once an attempt of it may have run."""

from query_gateway.model.settings import ClassSettings, DeduplicationScope, Idempotency


def send_deadline(settings: ClassSettings, deadline: int, first_executed_at: int | None) -> int:
    """Until when an attempt may be sent, as a clock time.

    `first_executed_at` is when the first attempt that may have run was sent. Engines drop a duplicate of a
    request with an idempotency key only while they know the first one.
    """
    if first_executed_at is None or settings.idempotency is not Idempotency.KEYED:
        return deadline
    return min(deadline, first_executed_at + settings.deduplication_window)


def client_may_retry(settings: ClassSettings) -> bool:
    """Whether a client's retry has no second effect, although the request may have run.

    A retry may reach any engine, so one with an idempotency key needs engines that deduplicate together.
    """
    if settings.idempotency is Idempotency.KEYED:
        return settings.deduplication_scope is DeduplicationScope.ALL
    return settings.idempotency is Idempotency.IDEMPOTENT
