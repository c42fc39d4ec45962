"""The BGP speaker: its messages cut and garbled, and a session against a stand-in peer on loopback."""

import socket
from ipaddress import IPv4Address, IPv4Network

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from query_gateway.bgp import messages as m
from query_gateway.bgp.session import Session, Settings
from query_gateway.net.loop import Loop

NET = (IPv4Network("10.9.0.1/32"), IPv4Network("10.8.0.0/15"))
HOP = IPv4Address("127.0.0.1")
VALID = (
    m.open_(65_001, 9, HOP), m.keepalive(), m.announce(NET, 65_001, HOP, True, False), m.withdraw(NET),
    m.notification(6, 2, b"x"),
)  # fmt: skip
steady = settings(derandomize=True, deadline=None, max_examples=150)


@steady
@given(st.lists(st.sampled_from(VALID), max_size=6), st.lists(st.integers(1, 40), max_size=20))
def test_cuts_change_nothing(parts: list[bytes], cuts: list[int]) -> None:
    data, decoder, got = b"".join(parts), m.Decoder(), []
    for cut in [*cuts, len(data)]:
        got += decoder.feed(data[:cut])
        data = data[cut:]
    assert got == [message for part in parts for message in m.Decoder().feed(part)]
    assert len(got) == len(parts)


@steady
@given(st.binary(max_size=80), st.sampled_from(VALID), st.integers(0, 200))
def test_garbage_is_malformed_or_waits(noise: bytes, valid: bytes, at: int) -> None:
    data = valid[: at % len(valid)] + noise
    decoder = m.Decoder()
    try:
        decoder.feed(data)
    except m.Malformed as bad:
        assert 1 <= bad.code <= 3
    assert len(decoder.buffer) <= len(data)


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"\0" * 19, (1, 1)),
        (m.MARKER + b"\x00\x12\x04", (1, 2)),
        (m.MARKER + b"\x10\x01\x02", (1, 2)),
        (m.MARKER + b"\x00\x13\x09", (1, 3)),
        (m.MARKER + b"\x00\x1d\x01\x03\xfd\xe9\0\x09\x7f\0\0\1\0", (2, 1)),
        (m.MARKER + b"\x00\x1d\x01\x04\0\0\0\x09\x7f\0\0\1\0", (2, 2)),
        (m.MARKER + b"\x00\x1d\x01\x04\xfd\xe9\0\x09\0\0\0\0\0", (2, 3)),
        (m.MARKER + b"\x00\x1d\x01\x04\xfd\xe9\0\x02\x7f\0\0\1\0", (2, 6)),
        (m.MARKER + b"\x00\x17\x02\0\x09\0\0", (3, 1)),
        (m.MARKER + b"\x00\x18\x02\0\0\0\0\x21", (3, 10)),
    ],
)
def test_each_fault_has_its_notification(data: bytes, code: tuple[int, int]) -> None:
    with pytest.raises(m.Malformed) as bad:
        m.Decoder().feed(data)
    assert (bad.value.code, bad.value.subcode) == code


class Peer:
    """A stand-in BGP peer, driven step by step together with the loop."""

    def __init__(self, hold: int = 9) -> None:
        self.server = socket.create_server(("127.0.0.1", 0))
        self.loop = Loop()
        us = Settings(
            peer=self.server.getsockname(), asn=65_001, peer_asn=65_002, identifier=IPv4Address("127.0.0.2"),
            next_hop=HOP, networks=NET, hold=hold, again=0.01,
        )  # fmt: skip
        self.session = Session(self.loop, us)
        self.accept()

    def accept(self) -> None:
        self.loop.turn()
        self.sock, _ = self.server.accept()
        self.sock.settimeout(0.01)
        self.decoder = m.Decoder()
        self.got: list[m.Message] = []

    def say(self, *messages: bytes) -> None:
        self.sock.sendall(b"".join(messages))

    def expect(self, kind: type) -> m.Message:
        """Run the loop until a message of that kind has come."""
        for _ in range(1_000):
            for at, message in enumerate(self.got):
                if isinstance(message, kind):
                    del self.got[: at + 1]
                    return message
            self.loop.call_at(self.loop.now() + 0.01, lambda: None)
            self.loop.turn()
            try:
                self.got += self.decoder.feed(self.sock.recv(4096))
            except TimeoutError:
                continue
        raise AssertionError(f"no {kind.__name__} came")

    def establish(self) -> None:
        assert self.expect(m.Open) == m.Open(65_001, 9, IPv4Address("127.0.0.2"), True)
        self.say(m.open_(65_002, 9, HOP), m.keepalive())
        self.expect(m.Keepalive)

    def close(self) -> None:
        self.sock.close()
        self.server.close()
        self.loop.close()


def test_announces_when_ready_withdraws_at_drain_and_ceases_at_the_stop() -> None:
    peer = Peer()
    peer.establish()
    peer.session.announce(True)
    assert peer.expect(m.Update) == m.Update((), NET)
    peer.session.announce(False)
    assert peer.expect(m.Update) == m.Update(NET, ())
    peer.session.announce(True)
    peer.expect(m.Update)
    peer.session.stop()
    assert peer.expect(m.Update) == m.Update(NET, ())
    assert peer.expect(m.Notification) == m.Notification(m.CEASE, 2)
    peer.close()


def test_a_session_that_breaks_is_begun_anew_and_announces_again() -> None:
    peer = Peer()
    peer.session.announce(True)
    peer.establish()
    peer.expect(m.Update)
    peer.sock.close()
    peer.loop.turn()
    while not peer.session.up and peer.session.announced:
        peer.loop.turn()
    peer.loop.call_at(peer.loop.now() + 0.05, lambda: None)
    for _ in range(5):
        peer.loop.call_at(peer.loop.now() + 0.02, lambda: None)
        peer.loop.turn()
    peer.accept()
    peer.establish()
    assert peer.expect(m.Update) == m.Update((), NET)
    peer.close()


@pytest.mark.parametrize(
    ("said", "code"),
    [
        ([b"\0" * 19], (1, 1)),
        ([m.keepalive()], (5, 0)),
        ([m.open_(65_009, 9, HOP)], (2, 2)),
        ([m.open_(65_002, 9, IPv4Address("127.0.0.2"))], (2, 3)),
        ([m.open_(65_002, 9, HOP), m.withdraw(NET)], (5, 0)),
        ([m.open_(65_002, 3, HOP)], (4, 0)),  # and then silence: its hold time runs out
    ],
)
def test_a_peer_that_errs_gets_the_right_notification(said: list[bytes], code: tuple[int, int]) -> None:
    peer = Peer()
    peer.say(*said)
    got = peer.expect(m.Notification)
    assert isinstance(got, m.Notification) and (got.code, got.subcode) == code
    peer.close()
