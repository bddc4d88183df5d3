"""A toy partner and the platform's side of notices: prints what reaches it.

Start it with the ports of the partner and of the notices, 8080 and 8500 if none are given. One call in
ten is answered 503 and one in twenty 429, so that retries and waits can be seen.
"""

import random
import sys
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer


class Toy(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_POST(self):
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.path == "/v2/finals":
            print("notice ", body.decode().strip(), flush=True)
            self.reply(204)
            return
        draw = random.random()
        status = 503 if draw < 0.1 else 429 if draw < 0.15 else 200
        print("call   ", self.headers["Request-Id"], status, body[:60], flush=True)
        self.reply(status, {"Retry-After": "0.5"} if status == 429 else {})

    def do_GET(self):
        self.reply(200)

    def reply(self, status, headers=()):
        self.send_response(status)
        for name, value in dict(headers).items():
            self.send_header(name, value)
        if status != 204:
            self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_):
        pass


def main():
    ports = [int(port) for port in sys.argv[1:]] or [8080, 8500]
    servers = [ThreadingHTTPServer(("127.0.0.1", port), Toy) for port in ports]
    for server in servers:
        threading.Thread(target=server.serve_forever, daemon=True).start()
    print("toy partner on", *ports, flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    main()
