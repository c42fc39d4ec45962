"""The BGP speaker: fragmented and malformed messages, and a session with a peer on loopback."""

import socket
from ipaddress import IPv4Address, IPv4Network

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from query_gateway.bgp import messages as m
from query_gateway.bgp.session import BgpSession
from query_gateway.bgp.settings import BgpSettings
from query_gateway.net.loop import Loop

NETWORKS = (IPv4Network("10.9.0.1/32"), IPv4Network("10.8.0.0/15"))
NEXT_HOP = IPv4Address("127.0.0.1")
VALID = (
    m.encode_open(65_001, 9, NEXT_HOP),
    m.encode_keepalive(),
    m.encode_announcement(NETWORKS, 65_001, NEXT_HOP, four_octet_asn=True, internal=False),
    m.encode_withdrawal(NETWORKS),
    m.encode_notification(6, 2, b"x"),
)
derandomized = hypothesis_settings(derandomize=True, deadline=None, max_examples=150)


@derandomized
@given(st.lists(st.sampled_from(VALID), max_size=6), st.lists(st.integers(1, 40), max_size=20))
def test_messages_are_decoded_however_the_bytes_are_cut(parts: list[bytes], cuts: list[int]) -> None:
    data, decoder, messages = b"".join(parts), m.MessageDecoder(), []
    for cut in [*cuts, len(data)]:
        messages += decoder.feed(data[:cut])
        data = data[cut:]
    assert messages == [message for part in parts for message in m.MessageDecoder().feed(part)]
    assert len(messages) == len(parts)


@derandomized
@given(st.binary(max_size=80), st.sampled_from(VALID), st.integers(0, 200))
def test_garbage_is_an_error_or_an_incomplete_message(noise: bytes, valid: bytes, at: int) -> None:
    data = valid[: at % len(valid)] + noise
    decoder = m.MessageDecoder()
    try:
        decoder.feed(data)
    except m.BgpProtocolError as error:
        assert 1 <= error.code <= 3
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
def test_each_malformed_message_has_its_notification(data: bytes, code: tuple[int, int]) -> None:
    with pytest.raises(m.BgpProtocolError) as error:
        m.MessageDecoder().feed(data)
    assert (error.value.code, error.value.subcode) == code


class Peer:
    """A BGP peer on a plain socket. The test runs the session's loop turn by turn."""

    def __init__(self, hold_time: int = 9) -> None:
        self.server = socket.create_server(("127.0.0.1", 0))
        self.loop = Loop()
        settings = BgpSettings(
            peer=self.server.getsockname(), asn=65_001, peer_asn=65_002, identifier=IPv4Address("127.0.0.2"),
            next_hop=NEXT_HOP, networks=NETWORKS, hold_time=hold_time, reconnect_delay=0.01,
        )  # fmt: skip
        self.session = BgpSession(self.loop, settings)
        self.accept()

    def accept(self) -> None:
        self.loop.turn()
        self.sock, _ = self.server.accept()
        self.sock.settimeout(0.01)
        self.decoder = m.MessageDecoder()
        self.received: list[m.Message] = []

    def send(self, *messages: bytes) -> None:
        self.sock.sendall(b"".join(messages))

    def expect(self, message_type: type) -> m.Message:
        """Run the loop until a message of this type is received; return it, and drop all earlier ones."""
        for _ in range(1_000):
            for position, message in enumerate(self.received):
                if isinstance(message, message_type):
                    del self.received[: position + 1]
                    return message
            self.loop.call_at(self.loop.now() + 0.01, lambda: None)
            self.loop.turn()
            try:
                self.received += self.decoder.feed(self.sock.recv(4096))
            except TimeoutError:
                continue
        raise AssertionError(f"no {message_type.__name__} received")

    def establish(self) -> None:
        assert self.expect(m.Open) == m.Open(65_001, 9, IPv4Address("127.0.0.2"), True)
        self.send(m.encode_open(65_002, 9, NEXT_HOP), m.encode_keepalive())
        self.expect(m.Keepalive)

    def close(self) -> None:
        self.sock.close()
        self.server.close()
        self.loop.close()


def test_session_announces_when_ready_withdraws_when_draining_and_ceases_when_stopped() -> None:
    peer = Peer()
    peer.establish()
    peer.session.announce(True)
    assert peer.expect(m.Update) == m.Update((), NETWORKS)
    peer.session.announce(False)
    assert peer.expect(m.Update) == m.Update(NETWORKS, ())
    peer.session.announce(True)
    peer.expect(m.Update)
    peer.session.stop()
    assert peer.expect(m.Update) == m.Update(NETWORKS, ())
    assert peer.expect(m.Notification) == m.Notification(m.ErrorCode.CEASE, 2)
    peer.close()


def test_a_broken_session_is_restarted_and_announces_again() -> None:
    peer = Peer()
    peer.session.announce(True)
    peer.establish()
    peer.expect(m.Update)
    peer.sock.close()
    peer.loop.turn()
    while not peer.session.is_established and peer.session.announced:
        peer.loop.turn()
    peer.loop.call_at(peer.loop.now() + 0.05, lambda: None)
    for _ in range(5):
        peer.loop.call_at(peer.loop.now() + 0.02, lambda: None)
        peer.loop.turn()
    peer.accept()
    peer.establish()
    assert peer.expect(m.Update) == m.Update((), NETWORKS)
    peer.close()


@pytest.mark.parametrize(
    ("sent", "code"),
    [
        ([b"\0" * 19], (1, 1)),
        ([m.encode_keepalive()], (5, 0)),
        ([m.encode_open(65_009, 9, NEXT_HOP)], (2, 2)),
        ([m.encode_open(65_002, 9, IPv4Address("127.0.0.2"))], (2, 3)),
        ([m.encode_open(65_002, 9, NEXT_HOP), m.encode_withdrawal(NETWORKS)], (5, 0)),
        ([m.encode_open(65_002, 3, NEXT_HOP)], (4, 0)),  # no KEEPALIVE follows, so the hold time expires
    ],
)
def test_a_protocol_error_of_the_peer_is_answered_with_its_notification(
    sent: list[bytes], code: tuple[int, int]
) -> None:
    peer = Peer()
    peer.send(*sent)
    notification = peer.expect(m.Notification)
    assert isinstance(notification, m.Notification) and (notification.code, notification.subcode) == code
    peer.close()
