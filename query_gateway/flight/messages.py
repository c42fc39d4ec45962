"""The messages of Arrow Flight and Flight SQL that the gateway reads or writes.

Declared with the field numbers of the public specification, and encoded and decoded by the protobuf package;
callers see plain values only. The FlightData messages of a result are forwarded without being decoded.
"""

from dataclasses import dataclass
from enum import Enum
from typing import Any

from google.protobuf import any_pb2, descriptor_pb2, descriptor_pool, message_factory
from google.protobuf.message import DecodeError

SERVICE_PATH = "/arrow.flight.protocol.FlightService/"
FLIGHT_PACKAGE, SQL_PACKAGE = "arrow.flight.protocol", "arrow.flight.protocol.sql"
TYPE_URL_PREFIX = f"type.googleapis.com/{SQL_PACKAGE}."
FieldProto = descriptor_pb2.FieldDescriptorProto
BYTES, STRING, INT64, MESSAGE = (
    FieldProto.TYPE_BYTES,
    FieldProto.TYPE_STRING,
    FieldProto.TYPE_INT64,
    FieldProto.TYPE_MESSAGE,
)
COMMAND_DESCRIPTOR = 2  # FlightDescriptor.type of a descriptor that holds a command
UNKNOWN_TOTAL = -1  # in FlightInfo: the number of records or bytes is unknown
MAX_TYPE_URL_IN_ERROR = 80  # characters of a type URL that an error message repeats


class FlightMethod(Enum):
    """The methods of the Flight service that the gateway serves and calls, with their names on the wire."""

    GET_FLIGHT_INFO = "GetFlightInfo"
    DO_GET = "DoGet"
    DO_PUT = "DoPut"


class FlightMessageError(Exception):
    """The bytes are not the expected message; if a client sent them, the text is sent to this client."""


@dataclass(slots=True, frozen=True)
class FieldSpec:
    """One field of a message, as declared in the public specification."""

    name: str
    number: int
    type: Any  # a FieldDescriptorProto type; the values of protobuf's enum have no common type
    message: str = ""  # for a field of type MESSAGE: the name of that message
    is_repeated: bool = False


FLIGHT_MESSAGES: dict[str, list[FieldSpec]] = {
    "Location": [FieldSpec("uri", 1, STRING)],
    "Ticket": [FieldSpec("ticket", 1, BYTES)],
    "FlightDescriptor": [FieldSpec("type", 1, FieldProto.TYPE_INT32), FieldSpec("cmd", 2, BYTES)],
    "FlightEndpoint": [
        FieldSpec("ticket", 1, MESSAGE, "Ticket"),
        FieldSpec("location", 2, MESSAGE, "Location", is_repeated=True),
    ],
    "FlightInfo": [
        FieldSpec("schema", 1, BYTES),
        FieldSpec("flight_descriptor", 2, MESSAGE, "FlightDescriptor"),
        FieldSpec("endpoint", 3, MESSAGE, "FlightEndpoint", is_repeated=True),
        FieldSpec("total_records", 4, INT64),
        FieldSpec("total_bytes", 5, INT64),
    ],
    "FlightData": [
        FieldSpec("flight_descriptor", 1, MESSAGE, "FlightDescriptor"),
        FieldSpec("data_header", 2, BYTES),
        FieldSpec("app_metadata", 3, BYTES),
        FieldSpec("data_body", 1000, BYTES),
    ],
}
SQL_MESSAGES: dict[str, list[FieldSpec]] = {
    "CommandStatementQuery": [FieldSpec("query", 1, STRING)],
    "CommandStatementUpdate": [FieldSpec("query", 1, STRING)],
    "TicketStatementQuery": [FieldSpec("statement_handle", 1, BYTES)],
}


def _declare_messages(package: str, messages: dict[str, list[FieldSpec]], pool: Any) -> dict[str, Any]:
    """Declare the messages of one package in the descriptor pool and return their classes by name."""
    file = descriptor_pb2.FileDescriptorProto(
        name=f"mothknot/{package}.proto", package=package, syntax="proto3"
    )
    for name, fields in messages.items():
        message = file.message_type.add(name=name)
        for field in fields:
            label = FieldProto.LABEL_REPEATED if field.is_repeated else FieldProto.LABEL_OPTIONAL
            added = message.field.add(name=field.name, number=field.number, type=field.type, label=label)
            if field.message:
                added.type_name = f".{package}.{field.message}"
    pool.AddSerializedFile(file.SerializeToString())
    descriptors = {name: pool.FindMessageTypeByName(f"{package}.{name}") for name in messages}
    return {name: message_factory.GetMessageClass(descriptor) for name, descriptor in descriptors.items()}


_pool: Any = descriptor_pool.DescriptorPool()  # private: another library may declare the same names
_classes = _declare_messages(FLIGHT_PACKAGE, FLIGHT_MESSAGES, _pool) | _declare_messages(
    SQL_PACKAGE, SQL_MESSAGES, _pool
)


def _parse(name: str, data: bytes) -> Any:
    try:
        return _classes[name].FromString(data)
    except DecodeError:
        raise FlightMessageError(f"not a {name}") from None


def _unpack(data: bytes, name: str) -> Any:
    """Return the message `name` in an encoded protobuf Any; raises FlightMessageError for other content."""
    try:
        outer = any_pb2.Any.FromString(data)
    except DecodeError:
        raise FlightMessageError("not an Any") from None
    if outer.type_url.rpartition("/")[2] != f"{SQL_PACKAGE}.{name}":
        type_url = outer.type_url[:MAX_TYPE_URL_IN_ERROR] or "an unnamed message"
        raise FlightMessageError(f"{type_url} is not supported here")
    return _parse(name, outer.value)


def _pack(name: str, **fields: Any) -> bytes:
    """Return a Flight SQL message, wrapped in an Any and encoded."""
    value = _classes[name](**fields).SerializeToString()
    return any_pb2.Any(type_url=TYPE_URL_PREFIX + name, value=value).SerializeToString()


def encode_query_descriptor(statement: str) -> bytes:
    """Return the encoded FlightDescriptor of a query, the argument of GetFlightInfo."""
    command = _pack("CommandStatementQuery", query=statement)
    descriptor = _classes["FlightDescriptor"](type=COMMAND_DESCRIPTOR, cmd=command)
    return bytes(descriptor.SerializeToString())


def decode_query_descriptor(data: bytes) -> str:
    """Return the statement in the FlightDescriptor of a query; raises FlightMessageError."""
    return str(_unpack(_parse("FlightDescriptor", data).cmd, "CommandStatementQuery").query)


def encode_flight_info(descriptor: bytes, statement: str) -> bytes:
    """Return the FlightInfo of a query: one endpoint, this gateway, with the statement in its ticket.

    `descriptor` is the encoded FlightDescriptor of the query; raises FlightMessageError if it is malformed.
    """
    ticket = _pack("TicketStatementQuery", statement_handle=statement.encode())
    endpoint = _classes["FlightEndpoint"](ticket=_classes["Ticket"](ticket=ticket))
    info = _classes["FlightInfo"](
        flight_descriptor=_parse("FlightDescriptor", descriptor),
        endpoint=[endpoint],
        total_records=UNKNOWN_TOTAL,
        total_bytes=UNKNOWN_TOTAL,
    )
    return bytes(info.SerializeToString())


def decode_flight_info_tickets(data: bytes) -> list[bytes]:
    """Return the encoded tickets of a FlightInfo, in its order; raises FlightMessageError."""
    return [endpoint.ticket.SerializeToString() for endpoint in _parse("FlightInfo", data).endpoint]


def decode_ticket(data: bytes) -> str:
    """Return the statement in a ticket that this gateway issued; raises FlightMessageError for others."""
    handle = _unpack(_parse("Ticket", data).ticket, "TicketStatementQuery").statement_handle
    try:
        return bytes(handle).decode()
    except UnicodeDecodeError:
        raise FlightMessageError("the ticket is none of ours") from None


def encode_update(statement: str) -> bytes:
    """Return the encoded FlightData with which DoPut sends an update statement."""
    command = _pack("CommandStatementUpdate", query=statement)
    descriptor = _classes["FlightDescriptor"](type=COMMAND_DESCRIPTOR, cmd=command)
    return bytes(_classes["FlightData"](flight_descriptor=descriptor).SerializeToString())


def decode_update(data: bytes) -> str:
    """Return the update statement in the first FlightData of DoPut; raises FlightMessageError."""
    return str(_unpack(_parse("FlightData", data).flight_descriptor.cmd, "CommandStatementUpdate").query)
