"""Race conditions of configuration reloads with a second reload, other signals and the start."""

import copy
import json
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from query_gateway.composition import GatewayOptions
from query_gateway.configuration.operator_file import OperatorSettings
from query_gateway.gateway import Gateway
from query_gateway.lifecycle.reload import ConfigurationSources
from query_gateway.lifecycle.request_classes import GRACE_PERIOD_SECONDS
from query_gateway.net.loop import Loop
from tests.stand_ins import SETTINGS, config, ended_on_exit

pytestmark = pytest.mark.usefixtures("reset_log_rate_limit")


def test_second_reload_keeps_each_retired_class_for_its_own_grace_period() -> None:
    """A second reload happens during the grace period of the first one.

    If the timer of the first reload also ended the grace period of classes that the second one has retired,
    late requests for them would be rejected too early. Each retired class has its own grace period.
    """
    names = iter(("audit", "third"))

    def read_next() -> Any:
        raw = copy.deepcopy(SETTINGS)
        raw["services"][1] |= {"name": next(names)}  # type: ignore[index]
        return config([], settings=raw)

    options = GatewayOptions(sources=ConfigurationSources(read_configuration=read_next))
    gateway = Gateway(config([]), OperatorSettings(), signals=False, options=options)
    start = gateway.loop.now()
    retained_classes = []
    for elapsed, reload_now in ((0.0, True), (1.0, True), (1.2, False), (1.6, False), (2.6, False)):
        gateway.loop.now = lambda elapsed=elapsed: start + elapsed  # type: ignore
        if reload_now:
            gateway.reload()
        while gateway.loop.timers and gateway.loop.timers[0][0] <= start + elapsed:
            gateway.loop.turn()
        retained_classes.append(set(gateway.http_server.classes) - {"lookup", "load"})
    assert GRACE_PERIOD_SECONDS == 1.5
    assert retained_classes == [
        {"report", "audit"},
        {"report", "audit", "third"},
        {"report", "audit", "third"},
        {"audit", "third"},
        {"third"},
    ]
    gateway.loop.close()


def test_callback_that_raises_does_not_delay_the_callbacks_behind_it() -> None:
    """A callback raises while another one is queued behind it.

    If the exception ended the run of the queue, a SIGTERM queued behind a reload that raised would not be
    handled until the next signal wakes the loop. The loop counts the fault and runs the remaining callbacks
    in the same turn.
    """
    loop, ran = Loop(), list[str]()
    loop.call_soon(lambda: 1 / 0)
    loop.call_soon(lambda: ran.append("stop"))
    loop.turn()
    assert ran == ["stop"] and loop.faults == 1
    loop.close()


def test_sighup_during_the_start_is_applied_and_ends_no_gateway(tmp_path: Path) -> None:
    """SIGHUP arrives while the gateway is still starting.

    Without a handler, the default action of the signal would end the process. The handler is installed before
    the configuration is read, and the configuration is read again once the gateway runs.
    """
    known = {"pos": 7, "entries": []}
    platform = {"listen": "127.0.0.1:0", "journal": "127.0.0.1:1", "known": known, "settings": SETTINGS}
    config_file = tmp_path / "config.json"
    os.mkfifo(config_file)  # the start blocks where it reads its configuration
    command = [sys.executable, "-m", "query_gateway"]
    environ = os.environ | {"ROUTER_CONFIG": str(config_file)}
    with ended_on_exit(subprocess.Popen(command, env=environ, stderr=subprocess.PIPE, text=True)) as process:
        with config_file.open("w") as config_writer:  # opens once the process reads
            process.send_signal(signal.SIGHUP)
            (tmp_path / "next.json").write_text(json.dumps(platform | {"journal": "127.0.0.1:2"}))
            os.replace(tmp_path / "next.json", config_file)
            config_writer.write(json.dumps(platform))
        assert process.stderr
        log_output = ""
        while "reload journal 127.0.0.1:2" not in log_output:
            line = process.stderr.readline()
            assert line, log_output
            log_output += line
        process.terminate()
        assert process.wait(10) == 0
