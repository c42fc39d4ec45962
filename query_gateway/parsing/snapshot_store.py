"""Crash-safe storage of one JSON value in a file: a header line, then the JSON.

The header is `mothknot-costs 1 DIGEST LENGTH`, where DIGEST is the BLAKE2b digest (16 bytes, in hex) of the
LENGTH bytes that follow. A new value is written to a temporary file, synced and renamed, so that the file is
always complete or absent.
"""

import contextlib
import glob
import json
import os
from hashlib import blake2b
from pathlib import Path
from typing import Any

from query_gateway.net.log import log

HEADER = "mothknot-costs 1"  # format name and version; other versions of the gateway use the same file
DIGEST_BYTES = 16
MAX_FILE_BYTES = 16 << 20  # a longer file is not loaded


class SnapshotError(ValueError):
    """A file is not a valid snapshot; the message completes the sentence "the file is ..."."""


class SnapshotStore:
    """The snapshot file at one path. Keeps no descriptor open between calls."""

    def __init__(self, path: str) -> None:
        """Use the file at `path`, which need not exist; its directory must."""
        self.path = Path(path)

    def save(self, value: Any) -> bool:
        """Replace the stored value. Returns False if the disk fails; the failure is logged."""
        temporary = self.path.with_name(f"{self.path.name}.{os.getpid()}")
        try:
            _write_synced(temporary, _encode(value))
            temporary.replace(self.path)
            _sync_directory(self.path.parent)
        except OSError as error:
            log("statements", f"{self.path} cannot be written: {error.strerror}")
            with contextlib.suppress(OSError):  # the removal may fail for the same reason as the write
                temporary.unlink(missing_ok=True)
            return False
        return True

    def remove_leftovers(self) -> None:
        """Remove the temporary files of processes that were killed during a write."""
        with contextlib.suppress(OSError):
            for leftover in self.path.parent.glob(f"{glob.escape(self.path.name)}.[0-9]*"):
                if not Path(f"/proc/{leftover.suffix[1:]}").exists():
                    leftover.unlink(missing_ok=True)

    def load(self) -> Any:
        """Return the stored value; None if there is none, or if it is unreadable or invalid (logged)."""
        try:
            if self.path.stat().st_size > MAX_FILE_BYTES:
                raise SnapshotError("too long")
            return _decode(self.path.read_bytes())
        except FileNotFoundError:
            return None
        except OSError as error:
            log("statements", f"{self.path} cannot be read: {error.strerror}")
        except (ValueError, RecursionError) as error:
            log("statements", f"{self.path} is {error}; starting without cost estimates")
        return None


def _write_synced(path: Path, content: bytes) -> None:
    with path.open("wb") as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())


def _sync_directory(directory: Path) -> None:
    """Sync the directory, so that a rename in it survives a loss of power."""
    descriptor = os.open(directory, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def _encode(value: Any) -> bytes:
    data = json.dumps(value, separators=(",", ":")).encode()
    return f"{HEADER} {_digest(data)} {len(data)}\n".encode() + data


def _decode(content: bytes) -> Any:
    """Return the value in a file's content; raises ValueError, or its subclass SnapshotError, if invalid."""
    header, newline, data = content.partition(b"\n")
    name, version, digest, length = header.decode().split()
    if not newline or f"{name} {version}" != HEADER or len(data) != int(length):
        raise SnapshotError("not complete")
    if _digest(data) != digest:
        raise SnapshotError("damaged")
    return json.loads(data)


def _digest(data: bytes) -> str:
    return blake2b(data, digest_size=DIGEST_BYTES).hexdigest()
