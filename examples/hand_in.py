"""Submit one message to the courier of `booking.toml` and print its answer.

    python examples/hand_in.py CLASS DESTINATION BODY [PORT]

CLASS and DESTINATION are a class of messages and the number of a destination, both from `booking.toml`. The
message may be delivered within 10 s. The courier listens on port 6379 if none is given.
"""

import secrets
import socket
import sys

DEFAULT_PORT = 6379
TIME_LIMIT_MS = 10_000
NO_ORDERING_KEY = "0"


def resp_command(*arguments: str) -> bytes:
    """A command in RESP2: an array of bulk strings."""
    encoded = [argument.encode() for argument in arguments]
    bulk_strings = (b"$%d\r\n%s\r\n" % (len(argument), argument) for argument in encoded)
    return b"*%d\r\n" % len(encoded) + b"".join(bulk_strings)


def enqueue_command(class_name: str, destination: str, body: str) -> bytes:
    """The command that submits a message under a new id and a new idempotency key."""
    message_id, idempotency_key = secrets.token_hex(8), secrets.token_hex(8)
    options = f"c={class_name},t=all,d={TIME_LIMIT_MS},k={idempotency_key},dest={destination}"
    return resp_command("ENQUEUE", NO_ORDERING_KEY, message_id, options, body)


def main() -> None:
    """Submit the message of the command line."""
    class_name, destination, body, *rest = sys.argv[1:]
    port = int(rest[0]) if rest else DEFAULT_PORT
    with socket.create_connection(("127.0.0.1", port)) as connection:
        connection.sendall(enqueue_command(class_name, destination, body))
        print(connection.recv(1024).decode().strip())


if __name__ == "__main__":
    main()
