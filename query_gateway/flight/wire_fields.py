"""Reads and writes single fields of encoded protobuf messages without copying their values.

The protobuf package copies a value at each level of nesting, which for a statement of 16 MB exceeds the
memory of the process. Encoding: protobuf.dev/programming-guides/encoding.
"""

VARINT, FIXED_64, LENGTH_DELIMITED, FIXED_32 = 0, 1, 2, 5  # wire types
_SIZE_OF_FIXED = {FIXED_64: 8, FIXED_32: 4}
MAX_VARINT_BYTES = 10
_WIRE_TYPE_BITS = 3


class WireFormatError(ValueError):
    """The bytes are not an encoded message."""


def _read_varint(data: memoryview, position: int) -> tuple[int, int]:
    """Return the value and the position after it."""
    value = 0
    for index, byte in enumerate(data[position : position + MAX_VARINT_BYTES]):
        value |= (byte & 0x7F) << (7 * index)
        if byte < 0x80:
            return value, position + index + 1
    raise WireFormatError("a varint is truncated or too long")


def find_field(data: memoryview, number: int) -> memoryview:
    """Return the last length-delimited value of a field, empty if there is none; raises WireFormatError."""
    found, position = data[:0], 0
    while position < len(data):
        tag, position = _read_varint(data, position)
        wire_type = tag & ((1 << _WIRE_TYPE_BITS) - 1)
        if wire_type == VARINT:
            _, position = _read_varint(data, position)
            continue
        if wire_type == LENGTH_DELIMITED:
            size, position = _read_varint(data, position)
        elif wire_type in _SIZE_OF_FIXED:
            size = _SIZE_OF_FIXED[wire_type]
        else:
            raise WireFormatError(f"wire type {wire_type} is not supported")
        if size > len(data) - position:
            raise WireFormatError("a field is truncated")
        if tag >> _WIRE_TYPE_BITS == number and wire_type == LENGTH_DELIMITED:
            found = data[position : position + size]
        position += size
    return found


def encode_varint(value: int) -> bytes:
    """Return the encoding of a number that is not negative."""
    encoded = bytearray()
    while value > 0x7F:
        encoded.append(value & 0x7F | 0x80)
        value >>= 7
    encoded.append(value)
    return bytes(encoded)


def field_head(number: int, size: int) -> bytes:
    """Return the tag and the length that precede a length-delimited value."""
    return encode_varint(number << _WIRE_TYPE_BITS | LENGTH_DELIMITED) + encode_varint(size)
