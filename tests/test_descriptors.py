"""A gateway without a free descriptor goes on accepting clients."""

import copy
import json
import os
import resource
import socket
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any

from tests.stand_ins import SETTINGS, ended_on_exit, endpoint_list_answer, host, log_text
from tests.test_request_arrival import SlowEngine, encoded_request

DESCRIPTORS = 90
CROWD = 30  # clients at once
MIN_ENGINE_CONNECTIONS = 8  # that they lead to
LATER_CLIENTS = 40  # more than descriptors are left for
ANSWER_S = 2.0  # under the idle timeouts of all connections


def limit_descriptors() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


def answered_client(address: tuple[str, int]) -> socket.socket:
    """A client that has its answer, be it a rejection, and keeps its connection."""
    client = socket.create_connection(address)
    client.settimeout(ANSWER_S)
    client.sendall(encoded_request(7_000))
    assert client.recv(65_536).startswith((b"HTTP/1.1 200", b"HTTP/1.1 429"))
    return client


def test_clients_are_accepted_while_idle_connections_hold_all_descriptors(tmp_path: Path) -> None:
    """They waited until some idle connection had timed out, and their time ran."""
    engine = SlowEngine(0.3)
    settings: dict[str, Any] = copy.deepcopy(SETTINGS)
    settings["limits"]["streams-per-conn"] = 1
    configuration = {
        "name": "n1", "listen": "127.0.0.1:0", "seed": "7", "journal": "127.0.0.1:1",
        "settings": settings,
        "known": endpoint_list_answer(1, [host(engine)], snapshot=True),
    }  # fmt: skip
    (tmp_path / "config.json").write_text(json.dumps(configuration))
    environment = os.environ | {"ROUTER_CONFIG": str(tmp_path / "config.json"), "TMPDIR": str(tmp_path)}
    process = subprocess.Popen(
        [sys.executable, "-m", "query_gateway"], env=environment, stderr=subprocess.PIPE, text=True,
        preexec_fn=limit_descriptors,
    )  # fmt: skip
    with ended_on_exit(process):
        assert process.stderr
        started = log_text(process.stderr.readline())
        address = "127.0.0.1", int(started.rpartition(":")[2])
        with ThreadPoolExecutor(CROWD) as executor:
            clients = list(executor.map(answered_client, [address] * CROWD))
        assert engine.connections >= MIN_ENGINE_CONNECTIONS
        engine.seconds = 0.0
        time.sleep(0.2)
        clients += [answered_client(address) for _ in range(LATER_CLIENTS)]
        for client in clients:
            client.close()
    engine.close()
