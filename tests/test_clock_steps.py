"""Steps of the wall clock while requests are open: deadlines follow the monotonic clock alone."""

import threading
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import pytest

from tests.stand_ins import Engine, post
from tests.test_web import ROWS, SQL, running

HOUR_NS = 3_600 * 10**9


class SteppedClock:
    """A wall clock that a test can step; the monotonic clock is not affected."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.offset = 0
        real = time.time_ns
        monkeypatch.setattr(time, "time_ns", lambda: real() + self.offset)


class PausedEngine(Engine):
    """An engine that answers no request until `may_answer` is set."""

    def __init__(self) -> None:
        self.may_answer = threading.Event()
        super().__init__()

    def _request(self, sock: Any, words: list[str], statement: str) -> None:
        self._record_command("REQ-begun")
        assert self.may_answer.wait(30)
        super()._request(sock, words, statement)


@pytest.mark.parametrize("step", [-HOUR_NS, HOUR_NS, -2 * 10**9, 2 * 10**9])
def test_step_while_a_request_is_open_leaves_its_deadline_and_its_answer(
    step: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against clients left unanswered after the wall clock is stepped while a request is in flight.

    With timers on the wall clock, a step back by an hour would delay every timer by an hour. Timers and
    deadlines use the monotonic clock, so the request ends at its deadline and the next one is served.
    """
    clock, engine = SteppedClock(monkeypatch), PausedEngine()
    with running(engine) as gateway, ThreadPoolExecutor() as executor:
        began_at = time.monotonic()
        waiting = executor.submit(post, gateway, "lookup", SQL, ttl=1_500)
        assert engine.wait("REQ-begun")
        clock.offset = step
        status, _, _ = waiting.result(10)
        assert status in (429, 500) and 1.2 < time.monotonic() - began_at < 2.0
        engine.may_answer.set()
        assert post(gateway, "lookup", SQL)[1] == {"rows": ROWS}
