"""A toy engine and a toy journal service, to try a gateway with: python example/toy.py"""

import socketserver
import threading
import time

ENGINE, JOURNAL = ("127.0.0.1", 9701), ("127.0.0.1", 9702)
PAGES = 2


class Engine(socketserver.StreamRequestHandler):
    """Answers every request with two pages of one row."""

    def handle(self) -> None:
        while line := self.rfile.readline():
            words = line.decode().split()
            if words[:1] == ["REQ"]:
                statement = self.rfile.read(int(words[3]) + 2)[:-2].decode()
                print(f"runs {statement!r} with {words[2]}", flush=True)
                self.say(f"{words[1]} ok sheets={PAGES}", "hello\tfrom\tthe toy engine\n")
            elif words[:1] == ["FETCH"]:
                self.say(f"{words[1]} batch sheet={words[2]}", f"page\t{words[2]}\tof {PAGES - 1}\n")

    def say(self, head: str, body: str) -> None:
        self.wfile.write(f"{head} {len(body)}\r\n{body}\r\n".encode())


class Journal(socketserver.StreamRequestHandler):
    """Has no news: each call is held for a second."""

    def handle(self) -> None:
        while line := self.rfile.readline():
            while self.rfile.readline().strip():
                pass
            tail = line.decode().partition("tail=")[2].partition("&")[0] or "0"
            time.sleep(1)
            body = f'{{"pos":{tail},"entries":[]}}'
            self.wfile.write(f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n{body}".encode())


class Server(socketserver.ThreadingTCPServer):
    allow_reuse_address = True
    daemon_threads = True


if __name__ == "__main__":
    threading.Thread(target=Server(JOURNAL, Journal).serve_forever, daemon=True).start()
    print(f"engine on {ENGINE}, journal on {JOURNAL}", flush=True)
    Server(ENGINE, Engine).serve_forever()
