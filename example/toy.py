"""A minimal engine and discovery service for trying out a gateway: python example/toy.py"""

import socketserver
import threading
import time

ENGINE_ADDRESS, DISCOVERY_ADDRESS = ("127.0.0.1", 9701), ("127.0.0.1", 9702)
PAGES = 2  # per result
POLL_DURATION_S = 1  # of a poll without changes


class Engine(socketserver.StreamRequestHandler):
    """Answers every request with two pages of one row each."""

    def handle(self) -> None:
        """Serve one connection until it closes: `REQ id fields length` with a statement, `FETCH id page`."""
        while line := self.rfile.readline():
            words = line.decode().split()
            if words[:1] == ["REQ"]:
                statement = self.rfile.read(int(words[3]) + 2)[:-2].decode()
                print(f"runs {statement!r} with {words[2]}", flush=True)
                self.send(f"{words[1]} ok sheets={PAGES}", "hello\tfrom\tthe toy engine\n")
            elif words[:1] == ["FETCH"]:
                self.send(f"{words[1]} batch sheet={words[2]}", f"page\t{words[2]}\tof {PAGES - 1}\n")

    def send(self, head: str, body: str) -> None:
        """Write a line of the engine protocol, which ends with the length of the body, and the body."""
        self.wfile.write(f"{head} {len(body)}\r\n{body}\r\n".encode())


class Discovery(socketserver.StreamRequestHandler):
    """Answers each poll after one second, without changes."""

    def handle(self) -> None:
        """Serve one connection until it closes."""
        while line := self.rfile.readline():
            while self.rfile.readline().strip():
                pass
            position = line.decode().partition("tail=")[2].partition("&")[0] or "0"
            time.sleep(POLL_DURATION_S)
            body = f'{{"pos":{position},"entries":[]}}'
            self.wfile.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())


class Server(socketserver.ThreadingTCPServer):
    """A server with a thread for each connection."""

    allow_reuse_address = True
    daemon_threads = True


if __name__ == "__main__":
    threading.Thread(target=Server(DISCOVERY_ADDRESS, Discovery).serve_forever, daemon=True).start()
    print(f"engine on {ENGINE_ADDRESS}, discovery service on {DISCOVERY_ADDRESS}", flush=True)
    Server(ENGINE_ADDRESS, Engine).serve_forever()
