"""The application file and zone file of a courier with both fronts, for the soak."""

from collections.abc import Iterable
from pathlib import Path
from typing import Any

ZONE_HEAD = "$ORIGIN partners.example.\n$TTL 60\n"
ZONE_ENTRY = """\
_http._tcp PTR {name}._http._tcp
{name}._http._tcp SRV 0 0 {port} {name}
{name}._http._tcp TXT "dest={destination}"
{name} A {host}
"""
APPLICATION = """\
[application]
name = "soak"
[listen]
resp = "{resp}"
amqp = "{amqp}"
[notices]
address = "{platform}"
[journal]
folder = "{folder}/state"
[discovery]
domain = "partners.example."
zone_file = "{folder}/partners.zone"
[limits]
calls_out = 64
[[class]]
name = "booking-change"
aim_s = 3
deadline_s = 24
effect = "by_key"
window_s = 25
in_order = true
[[class]]
name = "status-update"
aim_s = 3
deadline_s = 24
effect = "repeatable"
[[class]]
name = "payment"
aim_s = 3
deadline_s = 24
effect = "once"
[[tenant]]
name = "north"
share = 1.0
quota_per_s = 100.0
"""


def write_application(
    folder: Path, resp: str, amqp: str, platform: str, hosts: Iterable[dict[str, Any]]
) -> list[str]:
    """Write the files of an application whose endpoints are those of an endpoint list.

    Args:
        folder: Where the files are written; its subfolder `state` is the state folder.
        resp: Where the RESP2 front listens, host:port.
        amqp: Where the AMQP front listens, host:port.
        platform: Where final results of RESP2 messages are sent, host:port.
        hosts: The entries of the endpoint list.

    Returns:
        The arguments of pinspread that serve the application.
    """
    entries = [_zone_entry(entry) for entry in hosts]
    (folder / "partners.zone").write_text(ZONE_HEAD + "".join(entries))
    file = folder / "soak.toml"
    file.write_text(APPLICATION.format(resp=resp, amqp=amqp, platform=platform, folder=folder))
    return ["serve", "--app", str(file)]


def _zone_entry(entry: dict[str, Any]) -> str:
    host, port = entry["dial"].split(":")
    return ZONE_ENTRY.format(name=entry["host"], host=host, port=port, destination=entry["block"])
