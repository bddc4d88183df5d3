"""The second deployment: its settings, and endpoints that drain, go and give their addresses to others."""

import asyncio
from typing import Any

from standins2.case import Case
from standins2.courier import settings
from standins2.http import Endpoint, Platform, Request, response

ENDPOINTS = 20
DESTINATIONS = 10
TOLD_S = 6.0  # a change counts as told by then
GRACE_S = 0.5 + 0.05
SERVICE_S = 0.15
CLASS = {
    "name": "trade-notice",
    "aimNs": 2_000_000_000,
    "deadlineNs": 24_000_000_000,
    "effect": "by_key",
    "group": "all",
    "lateShare": 0.3,
    "streamed": False,
    "value": 1.0,
    "windowNs": 6_000_000_000,
}


def istanbul_settings(couriers: int = 2) -> dict[str, Any]:
    """Return settings of the second deployment, with destinations of its small kind alone."""
    changed = settings(calls_out=16)
    changed["balancers"] = couriers
    changed["membershipMode"] = "on_request"
    changed["lanes"] = [CLASS]
    changed["zones"] = ["hall-a", "hall-b"]
    changed["shapes"] = ["bank-gateway", "owner-system"]
    changed["policyLimits"] |= {"mayDuplicate": True, "probes": False, "sendCap": 8}
    changed["rules"] |= {"coldNs": 13_000_000_000, "drainGraceNs": 500_000_000, "tipAfterNs": 3_000_000_000}
    changed["specifics"] |= {"bundleMax": [5, 1], "kindApart": [True, True], "late": "line"}
    changed["specifics"]["zoneFee"] = [0.0, 0.0]
    del changed["projects"]
    return changed


class Fleet:
    """The endpoints, and what they get."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.entries: list[dict[str, Any]] = []
        self.at_address: dict[str, dict[str, Any]] = {}  # the entry of the endpoint that has the address
        self.destination_of: dict[str, int] = {}  # by message id
        self.told_s = 0.0  # when the drain counts as told
        self.gone = False
        self.calls = 0

    async def start(self) -> None:
        """Listen for each endpoint."""
        for number in range(ENDPOINTS):
            endpoint = Endpoint("", 0, self._on_call)
            address = endpoint.name = await endpoint.start()
            self.at_address[address] = _entry(number, address, number % DESTINATIONS)
        self.entries = list(self.at_address.values())

    def drain(self, platform: Platform, told_s: float) -> None:
        """Let one endpoint of each destination drain, which counts as told at this time of the case."""
        for entry in self.entries[:DESTINATIONS]:
            entry["health"] = "draining"
        self.told_s = told_s
        platform.change([dict(entry) for entry in self.entries[:DESTINATIONS]])
        self.case.log(f"draining: {[entry['host'] for entry in self.entries[:DESTINATIONS]]}")

    def replace(self, platform: Platform) -> None:
        """Let these endpoints go; a new endpoint of another destination takes the address of each."""
        changes = []
        for number, entry in enumerate(self.entries[:DESTINATIONS]):
            entry["health"] = "gone"
            block = (entry["block"] + 1) % DESTINATIONS
            new = self.at_address[entry["dial"]] = _entry(ENDPOINTS + number, entry["dial"], block)
            changes += [dict(entry), dict(new)]
        self.gone = True
        platform.change(changes)
        self.case.log("these are gone, and others have their addresses")

    async def _on_call(self, endpoint: Endpoint, request: Request) -> bytes:
        self.calls += 1
        here, id_ = self.at_address[endpoint.name], request.headers["request-id"]
        destination, after_s = self.destination_of[id_], self.case.now() - self.told_s
        self.case.log(f"call {id_} for {destination} at {here['host']} of {here['block']}")
        if destination != here["block"]:
            self.case.breach(
                f"message {id_} for destination {destination} was sent to {here['host']}, "
                f"an endpoint of destination {here['block']}"
            )
            return response(400, "Bad Request")
        if here["health"] == "draining" and after_s > GRACE_S:
            self.case.breach(f"{here['host']} got a new call {after_s:.2f} s after its drain counts as told")
        await asyncio.sleep(SERVICE_S)
        return response(200, "OK")


def _entry(number: int, address: str, block: int) -> dict[str, Any]:
    return {
        "host": f"s-{number:08x}",
        "dial": address,
        "site": "hall-a",
        "class": "owner-system",
        "block": block,
        "health": "ready",
        "share": 10.0,
        "born_ms": 0,
    }
