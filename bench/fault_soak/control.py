"""Builds and controls the shim (shim.c), a library that is preloaded into gateways and injects faults.

A control file states which system calls of a gateway fail and how often, and the offset of its wall clock.
"""

import mmap
import os
import struct
import subprocess
from dataclasses import dataclass, field, fields
from pathlib import Path

SOURCE = Path(__file__).with_name("shim.c")
LAYOUT = struct.Struct("=q 12I 4I")  # the same as `struct control` in shim.c
CONTROL_VARIABLE = "SOAK_SHIM_CONTROL"


@dataclass(slots=True)
class CallFault:
    """How often one kind of system call fails: `rate` of a thousand calls, with the errno `error`."""

    rate: int = 0
    error: int = 0


@dataclass(slots=True)
class ShimState:
    """The faults that the shim injects, none if all fields are zero. Rates are in parts per thousand."""

    clock_offset_ns: int = 0
    accept: CallFault = field(default_factory=CallFault)
    socket: CallFault = field(default_factory=CallFault)
    connect: CallFault = field(default_factory=CallFault)
    read: CallFault = field(default_factory=CallFault)
    write: CallFault = field(default_factory=CallFault)
    disk: CallFault = field(default_factory=CallFault)
    short_io_rate: int = 0
    interrupt_rate: int = 0
    close_interrupt_rate: int = 0

    def pack(self) -> bytes:
        """Encode the state as `struct control` of shim.c."""
        values = [getattr(self, item.name) for item in fields(self)]
        faults = [value for value in values if isinstance(value, CallFault)]
        pairs = [number for fault in faults for number in (fault.rate, fault.error)]
        rates = (self.short_io_rate, self.interrupt_rate, self.close_interrupt_rate, 0)
        return LAYOUT.pack(self.clock_offset_ns, *pairs, *rates)


class ShimControl:
    """The memory-mapped control file of a gateway; `apply` takes effect at once in all its processes."""

    def __init__(self, path: Path) -> None:
        """Create the file with no fault set."""
        self.path, self.state = path, ShimState()
        path.write_bytes(self.state.pack())
        with path.open("r+b") as file:
            self._mapped = mmap.mmap(file.fileno(), LAYOUT.size)

    def apply(self) -> None:
        """Write `state` to the control file."""
        self._mapped[:] = self.state.pack()

    def environment(self, library: Path) -> dict[str, str]:
        """The environment variables that load the shim into a process."""
        return {"LD_PRELOAD": str(library), CONTROL_VARIABLE: str(self.path)}


def build_shim(folder: Path) -> Path:
    """Compile the shim into the folder; raises CalledProcessError."""
    library = folder / "shim.so"
    compiler = os.environ.get("CC", "cc")
    command = [
        compiler,
        "-O1",
        "-Wall",
        "-Wextra",
        "-shared",
        "-fPIC",
        "-o",
        str(library),
        str(SOURCE),
        "-ldl",
    ]
    subprocess.run(command, check=True)
    return library
