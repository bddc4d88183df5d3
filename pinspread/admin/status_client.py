"""The client for `pinspread members ADDRESS` and the like: formats an admin server's views as text."""

import http.client
from collections.abc import Callable, Sequence
from typing import Any

import orjson

from pinspread.core.time_units import US_PER_S
from pinspread.sockets import split_address

REQUEST_TIMEOUT_S = 5.0
MAX_SHOWN_BODY = 200  # characters of an error response that are shown
HTTP_OK = 200

View = dict[str, Any]  # the decoded JSON of a service's view
Row = Sequence[str]


def fetch(address: str, name: str = "members") -> View:
    """Fetch the view of a background service.

    Args:
        address: The address of the admin server, host:port.
        name: The service: members, leases or copies.

    Raises:
        OSError: The server cannot be reached.
        ValueError: The address is malformed, the status is not 200, or the response is not JSON.
    """
    host, port = split_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=REQUEST_TIMEOUT_S)
    try:
        connection.request("GET", f"/-/{name}")
        response = connection.getresponse()
        body = response.read()
    finally:
        connection.close()
    if response.status != HTTP_OK:
        text = body.decode("utf-8", "replace").strip()[:MAX_SHOWN_BODY]
        raise ValueError(f"{address}: {response.status} {text}")
    view: View = orjson.loads(body)
    return view


def align(rows: Sequence[Row]) -> list[str]:
    """Format rows of text with aligned columns."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in rows
    ]


def format_members(view: View, now_us: int) -> list[str]:
    """Format the members: id, address, state, incarnation, seconds in that state."""
    rows = [("id", "address", "state", "incarnation", "for s")]
    for member in view["members"]:
        age = f"{(now_us - member['since_us']) / US_PER_S:.1f}"
        rows.append((member["id"], member["address"], member["state"], str(member["incarnation"]), age))
    return [f"{view['id']}: incarnation {view['incarnation']}, health {view['health']}", *align(rows)]


def format_leases(view: View, now_us: int) -> list[str]:
    """Format the leases: task, holder, token, seconds that bind this voter, and this instance's own lease."""
    rows = [("task", "holder", "token", "binds for s", "mine, for s")]
    for task in view["tasks"]:
        mine = f"{task['mine']}, {task['acts_for_ms'] / 1000:.1f}" if task["mine"] else "-"
        binds = f"{task['binds_for_ms'] / 1000:.1f}" if "binds_for_ms" in task else "?"
        rows.append((task["task"], task.get("holder") or "-", str(task.get("token", "?")), binds, mine))
    head = f"{view['id']}: " + ("a voter" if view["voter"] else "no voter")
    if view["voter"]:
        head += f", leader {view['leader'] or 'unknown'}, term {view['term']}"
    return [head, *align(rows)]


def format_copies(view: View, now_us: int) -> list[str]:
    """Format the replication state: the lag of each replica, and what this instance stores for others."""
    head = f"{view['id']}: {view['records']} records, {view['bytes']} bytes, generation {view['generation']}"
    head += f", {view['need']} copies needed"
    if view["barred"]:
        head += f"; {view['barred']}"
    replicas = [("copy at", "connected", "behind: records", "bytes", "ms")]
    for replica in view["copies"]:
        lag = (str(replica[f"behind_{unit}"]) for unit in ("records", "bytes", "ms"))
        replicas.append((replica["at"], "yes" if replica["connected"] else "no", *lag))
    stored = [("keeps of", "bytes", "records", "taken over")]
    for owner in view["keeps"]:
        taken_over = "yes" if owner["adopted"] else "no"
        stored.append((owner["owner"], str(owner["bytes"]), str(owner["records"]), taken_over))
    return [head, *align(replicas), *align(stored)]


# Sub-command and service -> formatter of its view; the second argument is the time in microseconds on the
# monotonic clock.
FORMATTERS: dict[str, Callable[[View, int], list[str]]] = {
    "members": format_members,
    "leases": format_leases,
    "copies": format_copies,
}
