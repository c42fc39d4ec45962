"""The exceptions of this package, with a common base class."""


class RpcError(Exception):
    """A peer violated gRPC over HTTP/2; the text states the invalid value and the reason."""


class FramingError(RpcError):
    """The data of a call is not a sequence of supported length-prefixed gRPC messages."""
