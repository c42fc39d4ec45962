"""The errors of this package."""


class FramingError(Exception):
    """The bytes of a call are no length-prefixed gRPC messages that can be used here."""
