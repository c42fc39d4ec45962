"""Reservation of loopback ports for processes of tests and benchmarks."""

import subprocess
import sys
from pathlib import Path

import pytest

from bench import loopback_ports
from bench.loopback_ports import NoFreePortError, PortReservations

FEW_PORTS = range(20_000, 20_020)
RESERVE_IN_ANOTHER_PROCESS = f"""
from bench import loopback_ports
loopback_ports.PORTS = {FEW_PORTS}
loopback_ports.free_port()
"""


def reserve_all(reservations: PortReservations) -> list[int]:
    ports: list[int] = []
    with pytest.raises(NoFreePortError):
        while len(ports) <= len(FEW_PORTS):
            ports.append(reservations.reserve())
    return ports


def test_a_port_reserved_for_one_process_is_not_given_to_another(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a fault soak gateway that cannot listen because a stand-in was given the same port."""
    monkeypatch.setattr(loopback_ports, "PORTS", FEW_PORTS)
    first, second = PortReservations(), PortReservations()
    ports = reserve_all(first)
    assert len(ports) == len(set(ports)) > 0
    assert reserve_all(second) == []
    command = [sys.executable, "-c", RESERVE_IN_ANOTHER_PROCESS]
    other = subprocess.run(command, cwd=Path(__file__).parents[1], stderr=subprocess.PIPE)
    assert b"NoFreePortError" in other.stderr
    first.close()
    assert second.reserve() in FEW_PORTS
    second.close()
