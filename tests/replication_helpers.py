"""Helpers of the tests of replication: a message for journals, and an owner that sends its journal."""

from pinspread.core.messages import Message
from pinspread.replication.log import matching_prefix

CHUNK_BYTES = 5


def message(number, **more):
    return Message(number, f"id{number}", "payment", "all", 1, 0, "", 10**18, b"body", "resp", **more)


class JournalOwner:
    """The owner "a" of a journal, which sends it in chunks to a replica, as `JournalTransfer` does.

    Args:
        ask: Sends a message in wire form to the replica and returns its answer.
    """

    def __init__(self, ask):
        self.ask = ask
        self.generation, self.data = 1, b"first"
        self.bases = {1: self.data}
        self.acknowledged = (0, 0)  # generation, offset

    def append(self, data):
        self.data += data

    def rewrite(self, data):
        self.generation, self.data = self.generation + 1, data
        self.bases[self.generation] = data

    def send_all(self):
        """Announce, and send what the replica lacks, until a request is refused."""
        header = {"from": "a", "to": "k", "owner": "a", "token": 5}
        have = self.ask(header | {"t": "send", "keepers": ["k"]})
        if have["t"] != "have":
            return
        offset = 0
        if have["generation"] == self.generation:
            offset = matching_prefix(self.data, have["size"], have["sums"])
        base = len(self.bases[self.generation])
        header |= {"t": "data", "generation": self.generation, "base": base}
        while offset < len(self.data):
            chunk = self.data[offset : offset + CHUNK_BYTES]
            if self.ask(header | {"at": offset, "bytes": chunk})["t"] != "ack":
                return
            offset += len(chunk)
            if offset >= base:
                self.acknowledged = (self.generation, offset)

    def check(self, store):
        """Check that a replica holds all that was acknowledged, and no generation without its base."""
        generation, offset = self.acknowledged
        data = store.data()
        assert store.replica.generation >= generation
        if store.replica.generation:
            assert data.startswith(self.bases[store.replica.generation])
        if store.replica.generation == generation == self.generation:
            assert data[:offset] == self.data[:offset]
