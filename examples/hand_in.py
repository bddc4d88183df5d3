"""Hand one message to the courier: hand_in.py CLASS DEST BODY [PORT]. Prints what the courier answers."""

import secrets
import socket
import sys


def main():
    cls, dest, body, *port = sys.argv[1:]
    options = f"c={cls},t=all,d=10000,k={secrets.token_hex(8)},dest={dest}"
    words = [w.encode() for w in ("ENQUEUE", "0", secrets.token_hex(8), options, body)]
    with socket.create_connection(("127.0.0.1", int(port[0]) if port else 6379)) as sock:
        sock.sendall(b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words))
        print(sock.recv(1024).decode().strip())


if __name__ == "__main__":
    main()
