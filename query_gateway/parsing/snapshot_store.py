"""A file that holds one value and survives a crash at any moment: a line of header, then JSON.

The header is `mothknot-costs 1 DIGEST LENGTH`, DIGEST the blake2b (16 bytes, hex) of the LENGTH bytes that
follow. A new value is written beside it, synced and put in its place by a rename, so there is always a
whole one or none.
"""

import json
import os
from hashlib import blake2b
from pathlib import Path
from typing import Any

from query_gateway.net.log import log

HEAD = "mothknot-costs 1"
MOST = 16 << 20  # bytes of a file that is read


class SnapshotStore:
    def __init__(self, path: str) -> None:
        self.path = Path(path)

    def save(self, value: Any) -> bool:
        """Replace what is there. A disk that fails costs the snapshot, never the gateway."""
        data = json.dumps(value, separators=(",", ":")).encode()
        head = f"{HEAD} {blake2b(data, digest_size=16).hexdigest()} {len(data)}\n".encode()
        beside = self.path.with_name(f"{self.path.name}.{os.getpid()}")
        try:
            with beside.open("wb") as file:
                file.write(head + data)
                file.flush()
                os.fsync(file.fileno())
            beside.replace(self.path)
        except OSError as bad:
            log("statements", f"{self.path} cannot be written: {bad.strerror}")
            beside.unlink(missing_ok=True)
            return False
        return True

    def load(self) -> Any:
        """The value; None if there is none or it is not whole."""
        try:
            if self.path.stat().st_size > MOST:
                raise ValueError("too long")
            head, mark, data = self.path.read_bytes().partition(b"\n")
            name, version, digest, length = head.decode().split()
            if not mark or f"{name} {version}" != HEAD or len(data) != int(length):
                raise ValueError("not whole")
            if blake2b(data, digest_size=16).hexdigest() != digest:
                raise ValueError("spoilt")
            return json.loads(data)
        except FileNotFoundError:
            return None
        except OSError as bad:
            log("statements", f"{self.path} cannot be read: {bad.strerror}")
        except (ValueError, RecursionError) as bad:
            log("statements", f"{self.path} is {bad}; costs are learned afresh")
        return None
