"""The messages of Arrow Flight and Flight SQL that the gateway reads or writes.

Declared with the field numbers of the public specification, and encoded and decoded by the protobuf package;
callers see plain values only. The FlightData messages of a result are forwarded without being decoded.
Statements, which may be long, are found in a client's message and written to an engine's by `wire_fields`,
which copies them only once.
"""

import codecs
from dataclasses import dataclass
from enum import Enum
from typing import Any

from google.protobuf import any_pb2, descriptor_pb2, descriptor_pool, message_factory
from google.protobuf.message import DecodeError

from query_gateway.flight.wire_fields import WireFormatError, field_head, find_field

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
# Fields on the way to a statement; the messages are declared below
TICKET_FIELD = 1  # of Ticket
FLIGHT_DESCRIPTOR_FIELD = 1  # of FlightData
COMMAND_FIELD = 2  # of FlightDescriptor
TYPE_URL_FIELD, ANY_VALUE_FIELD = 1, 2  # of google.protobuf.Any
STATEMENT_FIELD = 1  # of CommandStatementQuery, CommandStatementUpdate and TicketStatementQuery
UTF8_STEP_BYTES = 65_536  # decoded at a time to check the encoding of a statement
COMMAND_DESCRIPTOR = 2  # FlightDescriptor.type of a descriptor that holds a command
DESCRIPTOR_TYPE = b"\x08\x02"  # the encoded field FlightDescriptor.type
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


def _field(name: str, data: memoryview, number: int) -> memoryview:
    """Return a field of the message `name` without copying it; raises FlightMessageError."""
    try:
        return find_field(data, number)
    except WireFormatError:
        raise FlightMessageError(f"not a {name}") from None


def _statement_in(packed: memoryview, name: str) -> bytes:
    """Return the statement of the message `name` in an encoded Any; raises FlightMessageError."""
    type_url = bytes(_field("Any", packed, TYPE_URL_FIELD)).decode(errors="replace")
    if type_url.rpartition("/")[2] != f"{SQL_PACKAGE}.{name}":
        shown = type_url[:MAX_TYPE_URL_IN_ERROR] or "an unnamed message"
        raise FlightMessageError(f"{shown} is not supported here")
    return bytes(_field(name, _field("Any", packed, ANY_VALUE_FIELD), STATEMENT_FIELD))


def _is_utf8(statement: bytes) -> bool:
    """Whether the statement is valid UTF-8; decoded in steps, as a str takes up to four times its memory."""
    decoder = codecs.getincrementaldecoder("utf-8")()
    try:
        for start in range(0, len(statement), UTF8_STEP_BYTES):
            decoder.decode(statement[start : start + UTF8_STEP_BYTES])
        decoder.decode(b"", final=True)
    except UnicodeDecodeError:
        return False
    return True


def _wrap(number: int, parts: list[bytes]) -> list[bytes]:
    """Return the parts of a length-delimited field whose value consists of `parts`."""
    return [field_head(number, sum(len(part) for part in parts)), *parts]


def _encode_command(name: str, statement: str | bytes) -> list[bytes]:
    """Return the parts of the encoded FlightDescriptor with a command that has this statement."""
    encoded = statement.encode() if isinstance(statement, str) else statement
    type_url = (TYPE_URL_PREFIX + name).encode()
    packed = [*_wrap(TYPE_URL_FIELD, [type_url]), *_wrap(ANY_VALUE_FIELD, _wrap(STATEMENT_FIELD, [encoded]))]
    return [DESCRIPTOR_TYPE, *_wrap(COMMAND_FIELD, packed)]


def encode_query_descriptor(statement: str | bytes) -> bytes:
    """Return the encoded FlightDescriptor of a query, the argument of GetFlightInfo."""
    return b"".join(_encode_command("CommandStatementQuery", statement))


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


def read_ticket(data: bytes) -> bytes:
    """Return the statement in a ticket that this gateway issued; raises FlightMessageError for others."""
    ticket = _field("Ticket", memoryview(data), TICKET_FIELD)
    statement = _statement_in(ticket, "TicketStatementQuery")
    if not _is_utf8(statement):
        raise FlightMessageError("the ticket is none of ours")
    return statement


def decode_ticket(data: bytes) -> str:
    """Return the statement in a ticket as text; see `read_ticket`."""
    return read_ticket(data).decode()


def encode_update(statement: str | bytes) -> bytes:
    """Return the encoded FlightData with which DoPut sends an update statement."""
    return b"".join(_wrap(FLIGHT_DESCRIPTOR_FIELD, _encode_command("CommandStatementUpdate", statement)))


def read_update(data: bytes) -> bytes:
    """Return the update statement in the first FlightData of DoPut; raises FlightMessageError."""
    descriptor = _field("FlightData", memoryview(data), FLIGHT_DESCRIPTOR_FIELD)
    statement = _statement_in(_field("FlightDescriptor", descriptor, COMMAND_FIELD), "CommandStatementUpdate")
    if not _is_utf8(statement):
        raise FlightMessageError("not a CommandStatementUpdate")
    return statement


def decode_update(data: bytes) -> str:
    """Return the update statement as text; see `read_update`."""
    return read_update(data).decode()
