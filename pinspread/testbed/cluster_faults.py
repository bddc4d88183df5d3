"""Causes the faults of a scenario: of processes, files, clocks, the network, and datagrams of non-members."""

import asyncio
import os
import random
import shutil
from collections.abc import Iterable, Sequence
from pathlib import Path

from pinspread.membership import codec
from pinspread.testbed.cluster_scenario import FaultEvent, FaultKind, ScenarioError
from pinspread.testbed.history import History
from pinspread.testbed.member_configuration import ClockError, ClusterAddresses
from pinspread.testbed.member_process import SIGNALS, MemberProcess
from pinspread.testbed.proxy import LinkRules

LEADER = "@leader"
MAX_GARBAGE_BYTES = 200
OTHER_FLEET = b"another"


class ClusterFaults:
    """Causes faults among the members, and records them in the history."""

    def __init__(
        self,
        members: Sequence[MemberProcess],
        rules: LinkRules,
        history: History,
        addresses: ClusterAddresses,
    ) -> None:
        self.members = {member.id: member for member in members}
        self.rules = rules
        self.history = history
        self.addresses = addresses

    async def cause(self, fault: FaultEvent) -> None:
        """Cause a fault.

        Raises:
            ScenarioError: The fault names a member that the scenario does not have.
        """
        self.history.add("stage", "at", fault=fault.table)
        match fault.kind:
            case FaultKind.SPLIT:
                self.rules.split([self._resolve(group) for group in fault.groups])
            case FaultKind.HEAL:
                self.rules.heal()
            case FaultKind.LOSS | FaultKind.DELAY | FaultKind.DUPLICATE | FaultKind.CUT:
                self._change_rules(fault)
            case FaultKind.GARBAGE | FaultKind.STRANGER:
                await self._send_foreign_datagrams(fault)
            case _:
                for member in self._affected_members(fault):
                    await self._apply(member, fault)

    async def _apply(self, member: MemberProcess, fault: FaultEvent) -> None:
        match fault.kind:
            case FaultKind.WIPE:
                self._wipe(member)
            case FaultKind.FLIP:
                self._flip(member, fault.file)
            case FaultKind.START:
                await self._start(member)
            case FaultKind.OFFSET:
                member.clock = ClockError(fault.offset_ms, fault.clock_rate)
            case kind if kind in SIGNALS:
                member.signal(kind)

    def _wipe(self, member: MemberProcess) -> None:
        """Kill a member and remove its state."""
        member.signal(FaultKind.KILL)
        member.wait()
        shutil.rmtree(member.state_folder, ignore_errors=True)
        self.history.add(member.id, "signalled", do=FaultKind.WIPE)

    def _flip(self, member: MemberProcess, pattern: str) -> None:
        """Flip one bit of a file of a member, if it has such a file that is not empty."""
        path = next(member.state_folder.glob(pattern), None)
        if path is not None and path.stat().st_size:
            offset, size = flip_bit(path)
            self.history.add(member.id, "flipped", at=offset, size=size)

    @staticmethod
    async def _start(member: MemberProcess) -> None:
        if member.ending:  # a supervisor, too, would wait for the old process to end
            await asyncio.to_thread(member.wait_or_kill)
        if not member.running():
            member.start()

    def _change_rules(self, fault: FaultEvent) -> None:
        match fault.kind:
            case FaultKind.LOSS:
                self.rules.change(fault.sources, fault.targets, loss=fault.share)
            case FaultKind.DUPLICATE:
                self.rules.change(fault.sources, fault.targets, duplicate=fault.share)
            case FaultKind.DELAY:
                delays = {"delay_s": fault.delay_s, "jitter_s": fault.jitter_s}
                self.rules.change(fault.sources, fault.targets, **delays)
            case _:
                self.rules.change(fault.sources, fault.targets, cut=True)

    async def _send_foreign_datagrams(self, fault: FaultEvent) -> None:
        """Send datagrams from an address of no member: random bytes, or valid pings of another fleet."""
        rng = random.Random(fault.seed)
        stranger = self.addresses.stranger
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, (stranger, 0))
        try:
            for member in self._affected_members(fault):
                for number in range(fault.count):
                    if fault.kind is FaultKind.GARBAGE:
                        data = rng.randbytes(rng.randrange(1, MAX_GARBAGE_BYTES))
                    else:
                        data = foreign_ping(f"{stranger}:1", member.id, number)
                    transport.sendto(data, (member.real[0], fault.port))
        finally:
            transport.close()

    def _affected_members(self, fault: FaultEvent) -> list[MemberProcess]:
        """The members that a fault affects: those it names, or all if it names none."""
        names = self._resolve(fault.who) if fault.who else list(self.members)
        unknown = [name for name in names if name not in self.members]
        if unknown:
            raise ScenarioError(f"fault {fault.kind}: the scenario has no member {', '.join(unknown)}")
        return [self.members[name] for name in names]

    def _resolve(self, names: Iterable[str]) -> list[str]:
        """The ids of members given by id or by role; a role that no member is known to have is left out."""
        member_ids = [name if not name.startswith("@") else self._member_with_role(name) for name in names]
        return [member_id for member_id in member_ids if member_id]

    def _member_with_role(self, role: str) -> str:
        """The id of the last known `@leader` or `@holder:TASK` in the history; empty if none is known."""
        event, field = ("quorum_leader", "leader") if role == LEADER else ("lease_held", "who")
        task = role.partition(":")[2]
        for line in reversed(self.history.lines()):
            if line.get("event") == event and line.get("task", "") == task and line.get(field):
                return str(line[field])
        return ""


def foreign_ping(sender: str, target: str, number: int) -> bytes:
    """A valid ping of another fleet."""
    ping = {"t": "ping", "from": "x", "from_at": sender, "inc": 0, "up": [], "seq": number, "to": target}
    return codec.encode(ping, OTHER_FLEET)


def flip_bit(path: Path) -> tuple[int, int]:
    """Flip one bit of a file, a third of the way into it.

    Returns:
        The offset of the changed byte, and the file's size, in bytes.
    """
    with open(path, "r+b") as file:
        size = file.seek(0, os.SEEK_END)
        offset = file.seek(size // 3)
        byte = file.read(1)[0]
        file.seek(offset)
        file.write(bytes([byte ^ 1]))
    return offset, size
