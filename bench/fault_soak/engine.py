"""A stand-in engine as a process: the engines' line protocol, with moods in which it misbehaves.

    python -m bench.fault_soak.engine PORT SEED

Moods come as lines on standard input: `ok`, `hang`, `error`, `refuse`, `reset`, `torn`, `drip`.
"""

import asyncio
import contextlib
import random
import sys

from bench.fault_soak.moods import Mood
from bench.fault_soak.settings import MEAN_WORK_S

PROGRESS_INTERVAL_S = 0.5
MOODS = ("ok", "hang", "error", "refuse", "reset", "torn", "drip")


class Engine:
    """Answers requests after a random time, in the mood of the moment."""

    def __init__(self, seed: int) -> None:
        """Begin in the mood `ok`."""
        self.random = random.Random(seed)
        self.mood = Mood()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One connection."""
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
                    self.say(writer, f"{words[1]} batch sheet={words[2]}", self.page(words[1], int(words[2])))
        for task in running.values():
            task.cancel()
        writer.close()

    @staticmethod
    def page(client_request_id: str, number: int) -> bytes:
        """A page that names the request it belongs to."""
        return f"{client_request_id}\t{number}\tx\n".encode()

    @staticmethod
    def say(writer: asyncio.StreamWriter, head: str, body: bytes = b"") -> None:
        """One answer line with its body."""
        writer.write(f"{head} {len(body)}\r\n".encode() + (body + b"\r\n" if body else b""))

    async def run(self, client_request_id: str, writer: asyncio.StreamWriter) -> None:
        """One request to its end."""
        mood = self.mood.name
        if mood == "reset":
            writer.transport.abort()
            return
        if mood == "refuse":
            self.say(writer, f"{client_request_id} refused -")
            return
        left = min(2.0, self.random.expovariate(1 / MEAN_WORK_S))
        while left > 0:
            step = min(left, PROGRESS_INTERVAL_S)
            await asyncio.sleep(step)
            await self.mood.recovered.wait()
            left -= step
            if left > 0:
                self.say(writer, f"{client_request_id} progress detail=share,val=0.5")
        if mood == "error":
            self.say(writer, f"{client_request_id} error -")
        elif mood == "torn":
            writer.write(f"{client_request_id} ok sheets=1 60\r\n{client_request_id}".encode())
        elif mood == "drip":
            for byte in f"{client_request_id} ok sheets=1 900\r\n":
                writer.write(byte.encode())
                await asyncio.sleep(0.1)
        else:
            pages = self.random.choice((1, 1, 1, 3))
            self.say(writer, f"{client_request_id} ok sheets={pages}", self.page(client_request_id, 0))


async def main(port: int, seed: int) -> None:
    """Serve until standard input ends."""
    engine = Engine(seed)
    server = await asyncio.start_server(engine.serve, "127.0.0.1", port)
    moods = asyncio.StreamReader()
    await asyncio.get_running_loop().connect_read_pipe(lambda: asyncio.StreamReaderProtocol(moods), sys.stdin)
    async with server:
        while line := await moods.readline():
            engine.mood.change(line.decode().strip())


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2])))
