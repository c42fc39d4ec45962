"""A stand-in engine process for Flight SQL, which records the events of its own requests.

    python -m bench.fault_soak.flight_engine PORT SEED NAME EVENT_FILE

Lines on standard input set its mode; each is a value of `EngineMode`. `torn` and `drip` have no
effect here, and `refuse` affects only requests for a plan (GetFlightInfo).
"""

import asyncio
import random
import sys
import time

from bench.fault_soak.engine_mode import EngineMode, ModeSwitch
from bench.fault_soak.event_file import EventFile
from bench.fault_soak.grpc_peer import GrpcPeer, PeerCall
from bench.fault_soak.records import EngineEventKind
from bench.fault_soak.settings import MEAN_WORK_S
from query_gateway.flight import messages

TIMEOUT_UNITS_S = {"H": 3600.0, "M": 60.0, "S": 1.0, "m": 1e-3, "u": 1e-6, "n": 1e-9}
OK, REFUSED, INTERNAL = "0", "8", "13"


class FlightEngine:
    """Plans and runs statements with a random run time, according to its current mode."""

    def __init__(self, seed: int, events: EventFile) -> None:
        """Start with no fault injected."""
        self.random, self.events = random.Random(seed), events
        self.switch = ModeSwitch()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; requests open at its end are recorded as broken."""
        peer = GrpcPeer(reader, writer, is_client=False)
        running: dict[int, asyncio.Task[None]] = {}
        open_requests: dict[int, str] = {}
        pending_results: set[str] = set()  # requests that are planned and whose result was not requested yet
        while changed := await peer.receive():
            for stream_id in changed:
                call = peer.calls[stream_id]
                if call.reset and stream_id in running:
                    running.pop(stream_id).cancel()
                    if client_request_id := open_requests.pop(stream_id, ""):
                        self.events.write(EngineEventKind.STOP, client_request_id)
                elif call.ended and stream_id not in running and not call.reset:
                    client_request_id = call.headers.get("x-txn", "")
                    open_requests[stream_id] = client_request_id
                    pending_results.discard(client_request_id)
                    if not call.headers[":path"].endswith(messages.FlightMethod.DO_GET.value):
                        self._write_request_event(client_request_id, call)
                    run = self._run(peer, stream_id, call, open_requests, pending_results)
                    running[stream_id] = asyncio.create_task(run)
        for task in running.values():
            task.cancel()
        for client_request_id in (*open_requests.values(), *pending_results):
            self.events.write(EngineEventKind.BROKEN, client_request_id)
        writer.close()

    def _write_request_event(self, client_request_id: str, call: PeerCall) -> None:
        timeout = call.headers.get("grpc-timeout", "0S")
        self.events.write(
            EngineEventKind.REQUEST,
            client_request_id,
            budget=int(timeout[:-1]) * TIMEOUT_UNITS_S[timeout[-1]],
            idempotency_key=call.headers.get("x-txn-key", ""),
            began_at=time.monotonic(),
        )

    async def _run(
        self,
        peer: GrpcPeer,
        stream_id: int,
        call: PeerCall,
        open_requests: dict[int, str],
        pending_results: set[str],
    ) -> None:
        method, mode = call.headers[":path"].rpartition("/")[2], self.switch.mode
        client_request_id = call.headers.get("x-txn", "")
        if mode is EngineMode.RESET:
            peer.writer.transport.abort()
            return
        if method != messages.FlightMethod.GET_FLIGHT_INFO.value:
            await asyncio.sleep(min(2.0, self.random.expovariate(1 / MEAN_WORK_S)))
        await self.switch.recovered.wait()
        is_plan = method == messages.FlightMethod.GET_FLIGHT_INFO.value
        status = {EngineMode.REFUSE: REFUSED if is_plan else OK, EngineMode.ERROR: INTERNAL}.get(mode, OK)
        answers: list[bytes] = []
        if status == OK and is_plan:
            statement = messages.decode_query_descriptor(call.messages[0])
            answers = [messages.encode_flight_info(call.messages[0], statement)]
        elif status == OK:
            answers = [f"{client_request_id} {number}".encode() for number in range(3)]
        open_requests.pop(stream_id, None)
        if is_plan and status == OK:
            pending_results.add(client_request_id)
        else:
            outcome = {OK: "ok", REFUSED: "refused"}.get(status, "error")
            self.events.write(EngineEventKind.END, client_request_id, outcome=outcome)
        peer.answer(stream_id, answers, [("grpc-status", status)])


async def main() -> None:
    """Serve until standard input ends."""
    port, seed, name, path = int(sys.argv[1]), int(sys.argv[2]), sys.argv[3], sys.argv[4]
    with open(path, "a", buffering=1) as file:
        engine = FlightEngine(seed, EventFile(name, file))
        server = await asyncio.start_server(engine.serve, "127.0.0.1", port)
        modes = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(modes), sys.stdin
        )
        async with server:
            while line := await modes.readline():
                engine.switch.change(EngineMode(line.decode().strip()))


if __name__ == "__main__":
    asyncio.run(main())
