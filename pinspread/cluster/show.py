"""`pinspread members ADDRESS`: a courier's table of members, as its door tells it."""

import http.client

import orjson

from pinspread.net.sockets import split_address

CALL_S = 5.0


def fetch(address: str) -> dict:
    """The door's `/-/members` as a dict; OSError or ValueError with the reason if it cannot be had."""
    host, port = split_address(address)
    connection = http.client.HTTPConnection(host, port, timeout=CALL_S)
    try:
        connection.request("GET", "/-/members")
        response = connection.getresponse()
        body = response.read()
    finally:
        connection.close()
    if response.status != 200:
        raise ValueError(f"{address}: {response.status} {body.decode('utf-8', 'replace').strip()[:200]}")
    return orjson.loads(body)


def lines(view: dict, now_us: int) -> list[str]:
    """The table as aligned text: id, address, state, incarnation, seconds in that state."""
    rows = [("id", "address", "state", "incarnation", "for s")]
    for m in view["members"]:
        rows.append(
            (
                m["id"],
                m["address"],
                m["state"],
                str(m["incarnation"]),
                f"{(now_us - m['since_us']) / 1e6:.1f}",
            )
        )
    widths = [max(len(r[c]) for r in rows) for c in range(5)]
    text = [f"{view['id']}: incarnation {view['incarnation']}, health {view['health']}"]
    return text + ["  ".join(cell.ljust(w) for cell, w in zip(r, widths, strict=True)).rstrip() for r in rows]
