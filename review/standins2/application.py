"""Writes an application's file and its DNS-SD records, as the examples of the project have them."""

import os
import random
import socket
from contextlib import suppress
from pathlib import Path

PORTS = (20_000, 32_000)  # below those of outgoing connections

CLASSES = """
[[class]]
name = "booking-change"
aim_s = 3
deadline_s = 24
effect = "by_key"
window_s = 25
in_order = true

[[class]]
name = "status-update"
aim_s = 4
deadline_s = 16
effect = "repeatable"
worth = 2

[[class]]
name = "payment"
aim_s = 2
deadline_s = 20
effect = "once"
worth = 5
late_share = 0.3

[[tenant]]
name = "north-circuit"
share = 1.0
quota_per_s = 30.0
"""


def free_port() -> int:
    """Return a port that is free on 127.0.0.1, and that no outgoing connection is given meanwhile."""
    while True:
        port = random.randrange(*PORTS)
        with socket.socket() as sock, suppress(OSError):
            sock.bind(("127.0.0.1", port))
            return port


def write_file(folder: Path, resp_port: int, notices_port: int, classes: str = CLASSES) -> Path:
    """Write the application's file; its zone file is `records.zone` in the same folder."""
    path = folder / "application.toml"
    path.write_text(
        f"""
[application]
name = "booking"

[listen]
resp = "127.0.0.1:{resp_port}"

[notices]
address = "127.0.0.1:{notices_port}"

[journal]
folder = "{folder / "state"}"

[discovery]
domain = "partners.example."
zone_file = "{folder / "records.zone"}"
refresh_s = 0.5
{classes}"""
    )
    return path


def write_records(folder: Path, records: str) -> None:
    """Replace the zone file as a whole."""
    new = folder / "records.new"
    new.write_text("$TTL 60\n" + records)
    os.replace(new, folder / "records.zone")
