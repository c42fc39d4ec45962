"""Accepting clients when the process has no free file descriptor."""

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
CONCURRENT_CLIENTS = 30
MIN_ENGINE_CONNECTIONS = 8  # which the gateway must open for the concurrent clients
LATER_CLIENTS = 40  # more than the descriptors that are left
ANSWER_TIMEOUT_S = 2.0  # less than the idle timeout of every connection


def limit_descriptors() -> None:
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


def answered_client(address: tuple[str, int]) -> socket.socket:
    """Send a request and return its open connection once it is answered, served or rejected."""
    client = socket.create_connection(address)
    client.settimeout(ANSWER_TIMEOUT_S)
    client.sendall(encoded_request(7_000))
    assert client.recv(65_536).startswith((b"HTTP/1.1 200", b"HTTP/1.1 429"))
    return client


def test_clients_are_accepted_while_idle_connections_hold_all_descriptors(tmp_path: Path) -> None:
    """Guards against clients whose deadline passes while they wait for an idle connection to time out.

    When idle connections of clients and engines hold all descriptors, the gateway must close some at once.
    """
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
        listening_line = log_text(process.stderr.readline())
        address = "127.0.0.1", int(listening_line.rpartition(":")[2])
        with ThreadPoolExecutor(CONCURRENT_CLIENTS) as executor:
            clients = list(executor.map(answered_client, [address] * CONCURRENT_CLIENTS))
        assert engine.connections >= MIN_ENGINE_CONNECTIONS
        engine.seconds = 0.0
        time.sleep(0.2)
        clients += [answered_client(address) for _ in range(LATER_CLIENTS)]
        for client in clients:
            client.close()
    engine.close()
