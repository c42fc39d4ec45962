"""A toy engine and a toy discovery service, to try a gateway with: python example/toy.py"""

import socketserver
import threading
import time

ENGINE_ADDRESS, DISCOVERY_ADDRESS = ("127.0.0.1", 9701), ("127.0.0.1", 9702)
PAGES = 2  # of each result
POLL_S = 1  # that a poll without news takes


class Engine(socketserver.StreamRequestHandler):
    """Answers every request with two pages of one row."""

    def handle(self) -> None:
        """Serve one connection until its end: `REQ id fields length` with a statement, `FETCH id page`."""
        while line := self.rfile.readline():
            words = line.decode().split()
            if words[:1] == ["REQ"]:
                statement = self.rfile.read(int(words[3]) + 2)[:-2].decode()
                print(f"runs {statement!r} with {words[2]}", flush=True)
                self.send(f"{words[1]} ok sheets={PAGES}", "hello\tfrom\tthe toy engine\n")
            elif words[:1] == ["FETCH"]:
                self.send(f"{words[1]} batch sheet={words[2]}", f"page\t{words[2]}\tof {PAGES - 1}\n")

    def send(self, head: str, body: str) -> None:
        """One line of the engine protocol, with the length of its body, and that body."""
        self.wfile.write(f"{head} {len(body)}\r\n{body}\r\n".encode())


class Discovery(socketserver.StreamRequestHandler):
    """Has no news: each poll takes a second."""

    def handle(self) -> None:
        """Serve one connection until its end."""
        while line := self.rfile.readline():
            while self.rfile.readline().strip():
                pass
            position = line.decode().partition("tail=")[2].partition("&")[0] or "0"
            time.sleep(POLL_S)
            body = f'{{"pos":{position},"entries":[]}}'
            self.wfile.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())


class Server(socketserver.ThreadingTCPServer):
    """A thread for each connection."""

    allow_reuse_address = True
    daemon_threads = True


if __name__ == "__main__":
    threading.Thread(target=Server(DISCOVERY_ADDRESS, Discovery).serve_forever, daemon=True).start()
    print(f"engine on {ENGINE_ADDRESS}, discovery service on {DISCOVERY_ADDRESS}", flush=True)
    Server(ENGINE_ADDRESS, Engine).serve_forever()
