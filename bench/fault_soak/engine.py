"""A stand-in engine process that speaks the engines' line protocol, with fault modes.

    python -m bench.fault_soak.engine PORT SEED

Lines on standard input set its mode; each is a value of `EngineMode`.
"""

import asyncio
import contextlib
import random
import sys

from bench.fault_soak.engine_mode import EngineMode, ModeSwitch
from bench.fault_soak.settings import MEAN_WORK_S

PROGRESS_INTERVAL_S = 0.5
DRIP_INTERVAL_S = 0.1
MAX_WORK_S = 2.0


class Engine:
    """Answers requests after a random run time, according to its current mode."""

    def __init__(self, seed: int) -> None:
        """Start with no fault injected."""
        self.random = random.Random(seed)
        self.switch = ModeSwitch()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection: `REQ` starts a request, `STOP` cancels it, `FETCH` reads a result page."""
        running: dict[str, asyncio.Task[None]] = {}
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] == "REQ":
                    await reader.readexactly(int(words[3]) + 2)
                    running[words[1]] = asyncio.create_task(self.run(words[1], writer))
                elif words[0] == "STOP" and words[1] in running:
                    running.pop(words[1]).cancel()
                elif words[0] == "FETCH":
                    self.send(
                        writer, f"{words[1]} batch sheet={words[2]}", self.page(words[1], int(words[2]))
                    )
        for task in running.values():
            task.cancel()
        writer.close()

    @staticmethod
    def page(client_request_id: str, number: int) -> bytes:
        """A result page that holds the identifier of its request, so that clients detect a mix-up."""
        return f"{client_request_id}\t{number}\tx\n".encode()

    @staticmethod
    def send(writer: asyncio.StreamWriter, head: str, body: bytes = b"") -> None:
        """Write one answer line with its body."""
        writer.write(f"{head} {len(body)}\r\n".encode() + (body + b"\r\n" if body else b""))

    async def run(self, client_request_id: str, writer: asyncio.StreamWriter) -> None:
        """Run and answer one request in the mode set at its start; HANG also holds requests in progress."""
        mode = self.switch.mode
        if mode is EngineMode.RESET:
            writer.transport.abort()
            return
        if mode is EngineMode.REFUSE:
            self.send(writer, f"{client_request_id} refused -")
            return
        remaining_s = min(MAX_WORK_S, self.random.expovariate(1 / MEAN_WORK_S))
        while remaining_s > 0:
            step = min(remaining_s, PROGRESS_INTERVAL_S)
            await asyncio.sleep(step)
            await self.switch.recovered.wait()
            remaining_s -= step
            if remaining_s > 0:
                self.send(writer, f"{client_request_id} progress detail=share,val=0.5")
        if mode is EngineMode.ERROR:
            self.send(writer, f"{client_request_id} error -")
        elif mode is EngineMode.TORN:
            writer.write(f"{client_request_id} ok sheets=1 60\r\n{client_request_id}".encode())
        elif mode is EngineMode.DRIP:
            for byte in f"{client_request_id} ok sheets=1 900\r\n":
                writer.write(byte.encode())
                await asyncio.sleep(DRIP_INTERVAL_S)
        else:
            pages = self.random.choice((1, 1, 1, 3))
            self.send(writer, f"{client_request_id} ok sheets={pages}", self.page(client_request_id, 0))


async def main(port: int, seed: int) -> None:
    """Serve until standard input ends."""
    engine = Engine(seed)
    server = await asyncio.start_server(engine.serve, "127.0.0.1", port)
    modes = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(modes), sys.stdin)
    async with server:
        while line := await modes.readline():
            engine.switch.change(EngineMode(line.decode().strip()))


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2])))
