"""The few messages of Arrow Flight and Flight SQL that the gateway reads or writes.

Declared here from the public specification's field numbers, for the protobuf package to encode and decode;
each is turned into a plain value at once. A FlightData of a result is not even decoded: it passes as it is.
"""

from typing import Any

from google.protobuf import any_pb2, descriptor_pb2, descriptor_pool, message_factory
from google.protobuf.message import DecodeError

FLIGHT, SQL = "arrow.flight.protocol", "arrow.flight.protocol.sql"
URL = f"type.googleapis.com/{SQL}."
F = descriptor_pb2.FieldDescriptorProto
BYTES, STRING, INT, MESSAGE = F.TYPE_BYTES, F.TYPE_STRING, F.TYPE_INT64, F.TYPE_MESSAGE
CMD = 2  # the descriptor type that holds a command

Field = tuple[str, int, Any, str]  # name, number, type, and the message's name, with "*" if repeated

FLIGHT_MESSAGES: dict[str, list[Field]] = {
    "Location": [("uri", 1, STRING, "")],
    "Ticket": [("ticket", 1, BYTES, "")],
    "FlightDescriptor": [("type", 1, F.TYPE_INT32, ""), ("cmd", 2, BYTES, "")],
    "FlightEndpoint": [("ticket", 1, MESSAGE, "Ticket"), ("location", 2, MESSAGE, "*Location")],
    "FlightInfo": [
        ("schema", 1, BYTES, ""),
        ("flight_descriptor", 2, MESSAGE, "FlightDescriptor"),
        ("endpoint", 3, MESSAGE, "*FlightEndpoint"),
        ("total_records", 4, INT, ""),
        ("total_bytes", 5, INT, ""),
    ],
    "FlightData": [
        ("flight_descriptor", 1, MESSAGE, "FlightDescriptor"),
        ("data_header", 2, BYTES, ""),
        ("app_metadata", 3, BYTES, ""),
        ("data_body", 1000, BYTES, ""),
    ],
}
SQL_MESSAGES: dict[str, list[Field]] = {
    "CommandStatementQuery": [("query", 1, STRING, "")],
    "CommandStatementUpdate": [("query", 1, STRING, "")],
    "TicketStatementQuery": [("statement_handle", 1, BYTES, "")],
}


class BadMessage(Exception):
    """Bytes that are not the message expected."""


def _declare(package: str, messages: dict[str, list[Field]], pool: Any) -> dict[str, Any]:
    name = f"mothknot/{package}.proto"
    file = descriptor_pb2.FileDescriptorProto(name=name, package=package, syntax="proto3")
    for name, fields in messages.items():
        message = file.message_type.add(name=name)
        for field, number, kind, of in fields:
            label = F.LABEL_REPEATED if of.startswith("*") else F.LABEL_OPTIONAL
            added = message.field.add(name=field, number=number, type=kind, label=label)
            if kind == MESSAGE:
                added.type_name = f".{package}.{of.lstrip('*')}"
    pool.AddSerializedFile(file.SerializeToString())
    found = ((name, pool.FindMessageTypeByName(f"{package}.{name}")) for name in messages)
    return {name: message_factory.GetMessageClass(descriptor) for name, descriptor in found}


_pool: Any = descriptor_pool.DescriptorPool()  # our own: another library may declare the same names
_types = _declare(FLIGHT, FLIGHT_MESSAGES, _pool) | _declare(SQL, SQL_MESSAGES, _pool)


def _parse(name: str, data: bytes) -> Any:
    try:
        return _types[name].FromString(data)
    except DecodeError:
        raise BadMessage(f"not a {name}") from None


def _unpack(data: bytes, name: str) -> Any:
    """The message of that name inside an Any."""
    try:
        outer = any_pb2.Any.FromString(data)
    except DecodeError:
        raise BadMessage("not an Any") from None
    if outer.type_url.rpartition("/")[2] != f"{SQL}.{name}":
        raise BadMessage(f"{outer.type_url[:80] or 'an unnamed message'} is not supported here")
    return _parse(name, outer.value)


def _pack(name: str, **fields: Any) -> bytes:
    value = _types[name](**fields).SerializeToString()
    return any_pb2.Any(type_url=URL + name, value=value).SerializeToString()


def query_descriptor(statement: str) -> bytes:
    return bytes(_types["FlightDescriptor"](
        type=CMD, cmd=_pack("CommandStatementQuery", query=statement)
    ).SerializeToString())  # fmt: skip


def statement_of_descriptor(data: bytes) -> str:
    return str(_unpack(_parse("FlightDescriptor", data).cmd, "CommandStatementQuery").query)


def info(descriptor: bytes, statement: str) -> bytes:
    """The answer to GetFlightInfo: one endpoint here, whose ticket carries the statement back to us."""
    ticket = _pack("TicketStatementQuery", statement_handle=statement.encode())
    endpoint = _types["FlightEndpoint"](ticket=_types["Ticket"](ticket=ticket))
    return bytes(_types["FlightInfo"](
        flight_descriptor=_parse("FlightDescriptor", descriptor), endpoint=[endpoint], total_records=-1,
        total_bytes=-1,
    ).SerializeToString())  # fmt: skip


def tickets_of_info(data: bytes) -> list[bytes]:
    return [e.ticket.SerializeToString() for e in _parse("FlightInfo", data).endpoint]


def statement_of_ticket(data: bytes) -> str:
    handle = _unpack(_parse("Ticket", data).ticket, "TicketStatementQuery").statement_handle
    try:
        return bytes(handle).decode()
    except UnicodeDecodeError:
        raise BadMessage("the ticket is none of ours") from None


def update(statement: str) -> bytes:
    cmd = _pack("CommandStatementUpdate", query=statement)
    descriptor = _types["FlightDescriptor"](type=CMD, cmd=cmd)
    return bytes(_types["FlightData"](flight_descriptor=descriptor).SerializeToString())


def statement_of_update(data: bytes) -> str:
    return str(_unpack(_parse("FlightData", data).flight_descriptor.cmd, "CommandStatementUpdate").query)
