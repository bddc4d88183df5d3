"""`pinspread members ADDRESS`, `pinspread leases ADDRESS`: what a courier's door tells, as aligned text."""

import http.client

import orjson

from pinspread.sockets import split_address

CALL_S = 5.0


def fetch(address: str, what: str = "members") -> dict:
    """The door's `/-/members` or the like as a dict; OSError or ValueError with why it cannot be had."""
    host, port = split_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=CALL_S)
    try:
        connection.request("GET", f"/-/{what}")
        response = connection.getresponse()
        body = response.read()
    finally:
        connection.close()
    if response.status != 200:
        raise ValueError(f"{address}: {response.status} {body.decode('utf-8', 'replace').strip()[:200]}")
    return orjson.loads(body)


def table(rows) -> list[str]:
    """Rows of text with aligned columns."""
    widths = [max(len(r[c]) for r in rows) for c in range(len(rows[0]))]
    return ["  ".join(cell.ljust(w) for cell, w in zip(r, widths, strict=True)).rstrip() for r in rows]


def members(view: dict, now_us: int) -> list[str]:
    """Id, address, state, incarnation, seconds in that state."""
    rows = [("id", "address", "state", "incarnation", "for s")]
    for m in view["members"]:
        age = f"{(now_us - m['since_us']) / 1e6:.1f}"
        rows.append((m["id"], m["address"], m["state"], str(m["incarnation"]), age))
    return [f"{view['id']}: incarnation {view['incarnation']}, health {view['health']}", *table(rows)]


def leases(view: dict, now_us: int) -> list[str]:
    """Task, holder, token, how long that binds this voter, and what this courier may do itself."""
    rows = [("task", "holder", "token", "binds for s", "mine, for s")]
    for t in view["tasks"]:
        mine = f"{t['mine']}, {t['acts_for_ms'] / 1000:.1f}" if t["mine"] else "-"
        binds = f"{t['binds_for_ms'] / 1000:.1f}" if "binds_for_ms" in t else "?"
        rows.append((t["task"], t.get("holder") or "-", str(t.get("token", "?")), binds, mine))
    head = f"{view['id']}: " + ("a voter" if view["voter"] else "no voter")
    if view["voter"]:
        head += f", leader {view['leader'] or 'unknown'}, term {view['term']}"
    return [head, *table(rows)]


def copies(view: dict, now_us: int) -> list[str]:
    """What this courier's own copies lack, and what it keeps of others."""
    head = f"{view['id']}: {view['records']} records, {view['bytes']} bytes, generation {view['generation']}"
    head += f", {view['need']} copies needed"
    rows = [("copy at", "connected", "behind: records", "bytes", "ms")]
    for c in view["copies"]:
        behind = (str(c[f"behind_{what}"]) for what in ("records", "bytes", "ms"))
        rows.append((c["at"], "yes" if c["connected"] else "no", *behind))
    kept = [("keeps of", "bytes", "records", "taken over")]
    for k in view["keeps"]:
        kept.append((k["owner"], str(k["bytes"]), str(k["records"]), "yes" if k["adopted"] else "no"))
    return [head + (f"; {view['barred']}" if view["barred"] else ""), *table(rows), *table(kept)]


LINES = {"members": members, "leases": leases, "copies": copies}
