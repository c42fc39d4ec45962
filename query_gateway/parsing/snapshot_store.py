"""A file that holds one value and survives a crash at any moment: a line of header, then JSON.

The header is `mothknot-costs 1 DIGEST LENGTH`, DIGEST the blake2b (16 bytes, hex) of the LENGTH bytes that
follow. A new value is written beside it, synced and put in its place by a rename, so there is always a
complete one or none.
"""

import json
import os
from hashlib import blake2b
from pathlib import Path
from typing import Any

from query_gateway.net.log import log

HEADER = "mothknot-costs 1"  # name and version, which other versions read and write as well
DIGEST_BYTES = 16
MAX_FILE_BYTES = 16 << 20  # of a file that is read


class SnapshotError(ValueError):
    """A file that is not a complete snapshot; the message says what it is instead."""


class SnapshotStore:
    """The file at one path. Holds nothing open between calls."""

    def __init__(self, path: str) -> None:
        """The file need not exist; its folder has to."""
        self.path = Path(path)

    def save(self, value: Any) -> bool:
        """Replace what is there; whether that worked. A disk that fails costs the snapshot alone."""
        content = _encode(value)
        temporary = self.path.with_name(f"{self.path.name}.{os.getpid()}")
        try:
            with temporary.open("wb") as file:
                file.write(content)
                file.flush()
                os.fsync(file.fileno())
            temporary.replace(self.path)
        except OSError as error:
            log("statements", f"{self.path} cannot be written: {error.strerror}")
            temporary.unlink(missing_ok=True)
            return False
        return True

    def load(self) -> Any:
        """The value; None if there is none or it is not complete, which is logged."""
        try:
            if self.path.stat().st_size > MAX_FILE_BYTES:
                raise SnapshotError("too long")
            return _decode(self.path.read_bytes())
        except FileNotFoundError:
            return None
        except OSError as error:
            log("statements", f"{self.path} cannot be read: {error.strerror}")
        except (ValueError, RecursionError) as error:
            log("statements", f"{self.path} is {error}; costs are learned again")
        return None


def _encode(value: Any) -> bytes:
    data = json.dumps(value, separators=(",", ":")).encode()
    return f"{HEADER} {_digest(data)} {len(data)}\n".encode() + data


def _decode(content: bytes) -> Any:
    """Raises ValueError, of which SnapshotError is one."""
    header, newline, data = content.partition(b"\n")
    name, version, digest, length = header.decode().split()
    if not newline or f"{name} {version}" != HEADER or len(data) != int(length):
        raise SnapshotError("not complete")
    if _digest(data) != digest:
        raise SnapshotError("damaged")
    return json.loads(data)


def _digest(data: bytes) -> str:
    return blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
