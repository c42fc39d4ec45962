"""The errors of this package, under one base."""


class RpcError(Exception):
    """A peer broke gRPC over HTTP/2; the text says what was wrong with which value."""


class FramingError(RpcError):
    """The bytes of a call are no length-prefixed gRPC messages that can be used here."""
