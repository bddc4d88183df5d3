"""A toy destination, and the platform's receiver of notifications: prints what reaches it.

    python examples/toy_partner.py [PORT ...]

Listens on the ports of the destination and of the receiver of notifications, 8080 and 8500 if none are given.
One call in ten is answered 503 and one in twenty 429, so that retries and Retry-After can be seen.
"""

import random
import sys
import threading
from collections.abc import Mapping
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

DEFAULT_PORTS = [8080, 8500]
NOTIFICATIONS_PATH = "/v2/finals"
UNAVAILABLE_SHARE = 0.1  # of the calls, answered 503
OVERLOADED_SHARE = 0.05  # of the calls, answered 429 with a Retry-After
RETRY_AFTER_S = "0.5"


class ToyHandler(BaseHTTPRequestHandler):
    """Answers calls with a random status, and notifications always with success."""

    protocol_version = "HTTP/1.1"

    def do_POST(self) -> None:
        """Print a call or a notification, and answer it."""
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.path == NOTIFICATIONS_PATH:
            print("notice ", body.decode().strip(), flush=True)
            self.reply(204)
            return
        status = draw_status()
        print("call   ", self.headers["Request-Id"], status, body[:60], flush=True)
        self.reply(status, {"Retry-After": RETRY_AFTER_S} if status == 429 else {})

    def do_GET(self) -> None:
        """Answer a health check."""
        self.reply(200)

    def reply(self, status: int, headers: Mapping[str, str] | None = None) -> None:
        """Send an answer without a body."""
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        if status != 204:
            self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_: object) -> None:
        """Print nothing more than the lines above."""


def draw_status() -> int:
    """Draw the status of one call at random."""
    drawn = random.random()
    if drawn < UNAVAILABLE_SHARE:
        return 503
    return 429 if drawn < UNAVAILABLE_SHARE + OVERLOADED_SHARE else 200


def main() -> None:
    """Serve until the process is ended."""
    ports = [int(port) for port in sys.argv[1:]] or DEFAULT_PORTS
    for port in ports:
        server = ThreadingHTTPServer(("127.0.0.1", port), ToyHandler)
        threading.Thread(target=server.serve_forever, daemon=True).start()
    print("toy partner on", *ports, flush=True)
    threading.Event().wait()


if __name__ == "__main__":
    main()
