"""A stand-in discovery service: numbered events over long polling, with a port for each gateway."""

import asyncio
import contextlib
import json
import time
from dataclasses import dataclass
from typing import Any

from bench.loopback_ports import PortReservations

MAX_POLL_WAIT_S = 5.0


@dataclass(frozen=True, slots=True)
class SentEvent:
    """A gateway and the position of an event that was sent to it; the key of `notified_at`."""

    gateway: str
    position: int


class Discovery:
    """Publishes the endpoint list as events; `notified_at` holds when each event was sent to each gateway."""

    def __init__(self, port_reservations: PortReservations) -> None:
        """Start with no event; the gateways' ports come from `port_reservations`."""
        self.port_reservations = port_reservations
        self.events: list[dict[str, Any]] = []  # the event at index N has position N + 1
        self.hosts: dict[str, dict[str, Any]] = {}
        self.notified_at: dict[SentEvent, list[float]] = {}  # seconds of the monotonic clock
        self.servers: dict[str, asyncio.Server] = {}
        self.ports: dict[str, int] = {}
        self.changed = asyncio.Event()
        self.outages = 0  # outages may overlap; gateways are served while there is none
        self.silent = False  # whether polls are accepted but not answered
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def position(self) -> int:
        """The position of the last event."""
        return len(self.events)

    def publish(self, *hosts: dict[str, Any]) -> int:
        """Append an event with the changed engines and return its position."""
        for host in hosts:
            self.hosts[host["host"]] = host
        self.events.append(self._event(len(self.events) + 1, not self.events, list(hosts)))
        self.hosts = {name: host for name, host in self.hosts.items() if host["health"] != "removed"}
        self.changed.set()
        self.changed = asyncio.Event()
        return self.position

    def times_notified(self, gateway: str, position: int) -> list[float]:
        """The times at which a gateway was sent the event at this position or a later one, sorted."""
        return sorted(
            sent_at
            for sent, times in self.notified_at.items()
            if sent.gateway == gateway and sent.position >= position
            for sent_at in times
        )

    @staticmethod
    def _event(position: int, snapshot: bool, hosts: list[dict[str, Any]]) -> dict[str, Any]:
        return {"pos": position, "hosts": {"seq": position, "whole": snapshot, "hosts": hosts}}

    def initial_list(self, gateway: str) -> dict[str, Any]:
        """The endpoint list for a gateway's configuration; counts as a notification of that gateway."""
        self.notified_at.setdefault(SentEvent(gateway, self.position), [time.monotonic()])
        return {
            "pos": self.position,
            "entries": [self._event(self.position, True, list(self.hosts.values()))],
        }

    async def listen(self, gateway: str) -> None:
        """Accept the polls of a gateway, on the same port as before if it already has one."""
        if gateway not in self.ports:
            self.ports[gateway] = self.port_reservations.reserve()
        self.servers[gateway] = await asyncio.start_server(
            lambda reader, writer: self._serve(gateway, reader, writer), "127.0.0.1", self.ports[gateway]
        )

    async def start_outage(self) -> None:
        """Refuse connections and abort the open ones until every outage has been ended with `end_outage`."""
        self.outages += 1
        for server in self.servers.values():
            server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def end_outage(self) -> None:
        """End one outage; serve all gateways again when none is left."""
        self.outages -= 1
        for gateway in list(self.servers) if not self.outages else ():
            await self.listen(gateway)

    async def _serve(self, gateway: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                target = head.split(" ")[1]
                query = dict(pair.split("=") for pair in target.partition("?")[2].split("&"))
                await self._answer(gateway, writer, int(query["tail"]), float(query["max_wait"]) / 1000)
        self.writers.discard(writer)
        writer.close()

    async def _answer(self, gateway: str, writer: asyncio.StreamWriter, tail: int, max_wait_s: float) -> None:
        until = time.monotonic() + min(max_wait_s, MAX_POLL_WAIT_S)
        while self.silent or (tail >= self.position and time.monotonic() < until):
            changed = self.changed
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(changed.wait(), max(0.01, min(0.2, until - time.monotonic())))
        entries = self.events[tail:]
        if tail == 0 and self.events:
            entries = [self._event(self.position, True, list(self.hosts.values()))]
        body = json.dumps({"pos": self.position, "entries": entries}).encode()
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
        await writer.drain()
        for position in range(tail + 1, self.position + 1):
            self.notified_at.setdefault(SentEvent(gateway, position), []).append(time.monotonic())
