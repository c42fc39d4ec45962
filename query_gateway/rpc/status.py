"""gRPC status codes, as sent in the trailer `grpc-status`."""

from enum import IntEnum


class GrpcStatus(IntEnum):
    """The status codes that the gateway sends or distinguishes, with gRPC's numbers."""

    OK = 0
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    RESOURCE_EXHAUSTED = 8
    UNIMPLEMENTED = 12
    INTERNAL = 13
