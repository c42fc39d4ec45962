"""Exchanges of a forwarder on a test clock: one attempt in flight at a time, and answers without delay."""

from collections.abc import Callable
from dataclasses import replace

import pytest

from query_gateway.configuration.settings_parser import parse_settings
from query_gateway.forwarder.engine_side import CANCEL_PROPAGATION_NS
from query_gateway.forwarder.exchange import PLANNER_GRACE_NS
from query_gateway.forwarder.forwarder import Forwarder
from query_gateway.forwarder.messages import Answer, AttemptHandle, ClientRequest, Endpoint, Verdict
from query_gateway.model.actions import Cancel, Forward, Reject
from query_gateway.model.endpoints import EndpointInfo, EndpointState
from query_gateway.model.events import AttemptOutcome, Event, OutcomeCode, Request
from query_gateway.model.settings import ClassSettings
from tests.stand_ins import SETTINGS, flatten_settings


class PendingTimer:
    def cancel(self) -> None: ...


class RecordingEngineClient:
    streams_results = False

    def __init__(self) -> None:
        self.calls: list[tuple[str, str]] = []

    def start(self, attempt: AttemptHandle) -> None:
        self.calls.append(("start", attempt.endpoint))

    def withdraw(self, attempt: AttemptHandle) -> bool:
        return False

    def cancel(self, attempt: AttemptHandle) -> None:
        self.calls.append(("cancel", attempt.endpoint))

    def set_priority(self, attempt: AttemptHandle) -> None: ...

    def update_endpoints(self, endpoints: list[Endpoint], is_snapshot: bool) -> None: ...


class RecordingClient:
    def __init__(self) -> None:
        self.answers: list[Answer] = []

    def has_left(self) -> bool:
        return False

    def send_page(self, page: bytes, on_sent: Callable[[], None]) -> None: ...

    def send_answer(self, answer: Answer) -> None:
        self.answers.append(answer)


class ForwarderHarness:
    """A forwarder with one planner, one engine client, two endpoints, and an open request for "lookup"."""

    def __init__(self) -> None:
        self.now = 0
        self.timers: list[tuple[int, Callable[[], None]]] = []
        self.events: list[Event] = []
        self.engine_client, self.client = RecordingEngineClient(), RecordingClient()
        settings = parse_settings(flatten_settings(SETTINGS))
        self.forwarder = Forwarder(settings, lambda: self.now, self.call_at, max_exchanges=10)
        self.forwarder.engine_clients["web"] = self.engine_client
        self.forwarder.add_planner(self.events.append, True)
        entries = [EndpointInfo(name, EndpointState.UP, 0, 0, 0, 0, 1.0) for name in "ab"]
        self.forwarder.update_endpoints([Endpoint(entry, {"web": "127.0.0.1:1"}) for entry in entries], True)
        self.request_id = self.accept(
            ClientRequest(
                "1" * 16,
                0,
                "lookup",
                b"x",
                5_000_000_000,
                False,
                None,
                None,
                None,
                0.0,
                None,
                settings.classes[0],
            ),
            self.client,
        )

    def class_settings(self, class_index: int) -> ClassSettings:
        return self.forwarder.settings.classes[class_index]

    def new_load(self, deadline: int) -> ClientRequest:
        """A load with an idempotency key of its client and no ordering key."""
        settings = self.class_settings(2)
        return ClientRequest("2" * 16, 2, "load", b"x", deadline, False, None, "u", None, 0.0, None, settings)

    def accept(self, request: ClientRequest, client: RecordingClient) -> int:
        return self.forwarder.accept(request, client, "web").request_id

    def call_at(self, due_at: int, callback: Callable[[], None]) -> PendingTimer:
        self.timers.append((due_at, callback))
        return PendingTimer()

    def pass_time(self, until: int) -> None:
        self.now = until
        due = [callback for due_at, callback in self.timers if due_at <= until]
        self.timers = [(due_at, callback) for due_at, callback in self.timers if due_at > until]
        for callback in due:
            callback()

    def outcomes(self) -> list[AttemptOutcome]:
        return [event for event in self.events if isinstance(event, AttemptOutcome)]

    def outcome_codes(self) -> list[OutcomeCode]:
        return [outcome.code for outcome in self.outcomes()]

    def keyed_requests(self) -> list[int]:
        return [event.request_id for event in self.events if isinstance(event, Request) and event.key]

    def end_last_attempt(self, code: OutcomeCode, request_id: int | None = None) -> None:
        exchange = self.forwarder.exchanges[request_id or self.request_id]
        exchange.engine_side.attempts[-1].on_ended(code)


def test_a_cancelled_attempt_counts_as_ended_when_its_cancellation_has_arrived() -> None:
    """A planner that forwards again right after a cancellation must not cause two attempts at the same time.

    The next attempt could overtake the cancellation. It is refused until `CANCEL_PROPAGATION_NS` has passed,
    after which the cancellation is assumed to have arrived.
    """
    harness = ForwarderHarness()
    harness.forwarder.apply(Forward(harness.request_id, "a", 0))
    harness.forwarder.apply(Cancel(harness.request_id, 0))
    assert harness.engine_client.calls == [("start", "a"), ("cancel", "a")] and harness.outcome_codes() == []
    harness.forwarder.apply(Forward(harness.request_id, "b", 0))  # refused: the cancellation has not arrived
    assert harness.outcome_codes() == [OutcomeCode.NOT_SENT] and len(harness.engine_client.calls) == 2
    harness.pass_time(CANCEL_PROPAGATION_NS)
    assert harness.outcome_codes() == [OutcomeCode.NOT_SENT, OutcomeCode.CANCELLED]
    harness.forwarder.apply(Forward(harness.request_id, "b", 0))
    assert harness.engine_client.calls[-1] == ("start", "b")


def test_a_rejection_is_sent_at_once_while_an_attempt_is_in_flight() -> None:
    """A rejection must not wait until a cancelled attempt no longer counts as in flight."""
    harness = ForwarderHarness()
    harness.forwarder.apply(Forward(harness.request_id, "a", 0))
    harness.forwarder.apply(Cancel(harness.request_id, 0))
    harness.forwarder.apply(Reject(harness.request_id, 7))
    assert harness.client.answers == [Answer(Verdict.REJECTED, retry_after_ns=7)]
    harness.pass_time(CANCEL_PROPAGATION_NS)
    harness.forwarder.apply(Reject(harness.request_id, 7))
    assert len(harness.client.answers) == 1 and not harness.forwarder.exchanges


def test_a_deadline_that_the_planner_ignores_still_ends_in_one_answer() -> None:
    """A planner that decides nothing by the deadline must not leave the client without an answer."""
    harness = ForwarderHarness()
    harness.forwarder.apply(Forward(harness.request_id, "a", 0))
    harness.pass_time(5_000_000_000)
    assert harness.outcome_codes() == [OutcomeCode.TIMEOUT] and harness.client.answers == []
    harness.pass_time(5_010_000_000)
    verdicts = [answer.verdict for answer in harness.client.answers]
    assert verdicts == [Verdict.FAILED] and not harness.forwarder.exchanges


def test_requests_that_come_as_their_key_quarantine_ends_keep_their_order() -> None:
    """A request must not overtake earlier ones that wait in a key quarantine, even if its timer is late.

    A second restart of the planner extends the quarantine; a timer set before it must release nothing.
    """
    harness = ForwarderHarness()
    forwarder = harness.forwarder

    def restart_planner() -> None:
        forwarder.on_planner_lost(0)
        forwarder.on_planner_connected(0)

    def accept_load(digit: str) -> int:
        request = ClientRequest(
            digit * 16,
            2,
            "load",
            b"x",
            9_000_000_000,
            False,
            "k",
            "u",
            None,
            0.0,
            None,
            harness.class_settings(2),
        )
        return harness.accept(request, RecordingClient())

    restart_planner()
    first, second = accept_load("2"), accept_load("3")
    # The quarantine has ended, and its timer has not run yet
    harness.now = forwarder.key_quarantine.ends_at[0]
    third = accept_load("4")
    harness.pass_time(harness.now)
    assert harness.keyed_requests() == [first, second, third]
    restart_planner()
    accept_load("5")
    harness.now += 1
    restart_planner()  # rejects the waiting request, and extends the quarantine
    last = accept_load("6")
    harness.pass_time(forwarder.key_quarantine.ends_at[0] - 1)
    assert harness.keyed_requests() == [first, second, third]
    harness.pass_time(forwarder.key_quarantine.ends_at[0])
    assert harness.keyed_requests() == [first, second, third, last]


class StalledWatermark:
    """An arrival watermark that stays at clock time 0, so that requests that arrive later wait for ever."""

    read_through = 0

    def await_progress(self, is_awaited: bool) -> None: ...

    def release_soon(self) -> None: ...


@pytest.mark.parametrize("delayed_by", ["quarantine", "order"])
def test_a_load_that_was_held_up_to_its_deadline_is_rejected(delayed_by: str) -> None:
    """A load that waits in quarantine or for arrival order until its deadline must be rejected, not failed.

    Nothing of it has run and no planner knows of it, so its client may send it again.
    """
    harness = ForwarderHarness()
    order = harness.forwarder.keep_arrival_order(StalledWatermark())
    received_at = 1 if delayed_by == "order" else 0
    deadline = 100_000_000
    if delayed_by == "quarantine":
        harness.forwarder.on_planner_lost(0)
        harness.forwarder.on_planner_connected(0)
        assert harness.forwarder.key_quarantine.ends_at[0] > deadline + PLANNER_GRACE_NS
    request = ClientRequest(
        "2" * 16,
        2,
        "load",
        b"x",
        deadline,
        False,
        "k",
        "u",
        None,
        0.0,
        None,
        harness.class_settings(2),
        received_at,
    )
    client = RecordingClient()
    harness.accept(request, client)
    order.release()
    for now in (deadline, deadline + PLANNER_GRACE_NS):
        assert not client.answers
        harness.pass_time(now)
    assert client.answers == [Answer(Verdict.REJECTED)] and not harness.keyed_requests()


@pytest.mark.parametrize(
    ("client_has_key", "elapsed", "expected"),
    [
        (True, 10**9, Verdict.REJECTED),
        (False, 10**9, Verdict.FAILED),
        (True, 25 * 10**9, Verdict.FAILED),
    ],
)
def test_a_load_in_flight_is_rejected_by_a_stop_only_while_its_clients_retry_is_known(
    client_has_key: bool, elapsed: int, expected: Verdict
) -> None:
    """Guards against a stop or a lost planner that calls a retry harmless which engines cannot recognize.

    The load may have run. Its key was made up by the gateway, or the engines have forgotten it.
    """
    harness = ForwarderHarness()
    request = replace(harness.new_load(deadline=60 * 10**9), client_has_key=client_has_key)
    client = RecordingClient()
    request_id = harness.accept(request, client)
    harness.forwarder.apply(Forward(request_id, "a", 0))
    harness.now = elapsed
    harness.forwarder.on_planner_lost(0)
    assert [answer.verdict for answer in client.answers] == [expected]


def test_a_retry_is_not_sent_once_engines_have_forgotten_the_first_attempt() -> None:
    """A planner process that was suspended may forward a retry after the deduplication window.

    Engines no longer recognize it as a duplicate then, and the load could run twice.
    """
    harness = ForwarderHarness()
    request = harness.new_load(deadline=60 * 10**9)
    request_id = harness.accept(request, harness.client)
    harness.forwarder.apply(Forward(request_id, "a", 0))
    harness.end_last_attempt(OutcomeCode.RESET, request_id)
    harness.now = 24_999_999_999
    harness.forwarder.apply(Forward(request_id, "b", 0))
    harness.end_last_attempt(OutcomeCode.FULL, request_id)
    harness.now = 25_000_000_000
    harness.forwarder.apply(Forward(request_id, "a", 0))
    assert harness.outcome_codes() == [OutcomeCode.RESET, OutcomeCode.FULL, OutcomeCode.NOT_SENT]
    assert harness.engine_client.calls == [("start", "a"), ("start", "b")]


def test_attempts_after_one_that_was_not_sent_keep_the_planners_numbers() -> None:
    """An attempt that is not sent, here because its engine has no "web" address, must still be numbered.

    Otherwise the outcome of the next attempt would have another number than the planner gave it.
    """
    harness = ForwarderHarness()
    entry = EndpointInfo("a", EndpointState.UP, 0, 0, 0, 0, 1.0)
    harness.forwarder.update_endpoints([Endpoint(entry, {"flight": "127.0.0.1:1"})], False)
    harness.forwarder.apply(Forward(harness.request_id, "a", 0))
    harness.forwarder.apply(Forward(harness.request_id, "b", 0))
    harness.end_last_attempt(OutcomeCode.ERROR)
    outcomes = [(outcome.endpoint, outcome.attempt_number, outcome.code) for outcome in harness.outcomes()]
    assert outcomes == [("a", 0, OutcomeCode.NOT_SENT), ("b", 1, OutcomeCode.ERROR)]
