"""gRPC status codes, as the trailer `grpc-status` carries them."""

from enum import IntEnum


class GrpcStatus(IntEnum):
    """The status codes that the gateway sends or distinguishes; the numbers are gRPC's."""

    OK = 0
    INVALID_ARGUMENT = 3
    DEADLINE_EXCEEDED = 4
    RESOURCE_EXHAUSTED = 8
    UNIMPLEMENTED = 12
    INTERNAL = 13
