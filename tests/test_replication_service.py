"""The replication service: what a replica stores, acknowledges and refuses, and what an owner waits for."""

import os
import random
from dataclasses import replace
from pathlib import Path

import anyio
import pytest
from failing_os import FailingOs
from replication_helpers import JournalOwner

from pinspread.membership import codec
from pinspread.membership.members import MemberState
from pinspread.membership.messages import Update
from pinspread.membership.service import MembershipConfig, MembershipService
from pinspread.membership.swim import SwimConfig
from pinspread.replication import protocol
from pinspread.replication import store as store_module
from pinspread.replication.config import ReplicationConfig
from pinspread.replication.replica import Replica
from pinspread.replication.service import ReplicationService
from pinspread.replication.store import ReplicaStore


class HeldLeases:
    """The leases of a node that holds all of them, under token 5."""

    def fencing_token(self, task):
        return 5


@pytest.fixture
def service(tmp_path):
    membership = MembershipService(
        MembershipConfig("k", "127.0.0.1:1", "127.0.0.1:1", (), b"fleet", SwimConfig())
    )
    membership.member.apply(Update("a", "127.0.0.2:1", 0, MemberState.ALIVE, "a"), 0)
    membership.member.apply(Update("b", "127.0.0.3:1", 0, MemberState.ALIVE, "b"), 0)
    return ReplicationService(ReplicationConfig("127.0.0.1:0", str(tmp_path)), membership, HeldLeases())


def answer(service, message):
    return anyio.run(service.server.handle, message)


SEND = {"t": "send", "from": "a", "to": "k", "owner": "a", "token": 5, "keepers": ["k"]}
DATA = {"t": "data", "from": "a", "to": "k", "owner": "a", "token": 5, "generation": 7, "base": 4, "at": 0}


def test_a_replica_outlasts_a_restart_and_fences(service, tmp_path):
    assert answer(service, SEND)["generation"] == 0
    assert answer(service, DATA | {"bytes": b"base"}) == {"t": "ack", "generation": 7, "size": 4}
    assert answer(service, DATA | {"bytes": b"more", "at": 4})["size"] == 8
    reopened = ReplicaStore(tmp_path, "a")
    assert reopened.data() == b"basemore" and (
        reopened.replica.generation,
        reopened.replica.fencing_token,
    ) == (7, 5)
    snapshot = answer(service, {"t": "fetch", "from": "b", "to": "k", "owner": "a", "token": 6})
    assert snapshot["bytes"] == b"basemore" and snapshot["tried"] == ["b"]
    assert answer(service, DATA | {"bytes": b"late", "at": 8})["why"].startswith("fenced")
    assert answer(service, SEND)["why"].startswith("fenced")
    assert answer(service, {"t": "done", "from": "b", "to": "k", "owner": "a", "token": 6})["t"] == "ack"
    assert ReplicaStore(tmp_path, "a").replica.takeover_token == 6


@pytest.mark.parametrize(
    ("meta", "read"),
    [
        (b"{", {}),
        (b"[1]", {}),
        (b'{"token": "6", "tried": ["b"]}', {"takeover_candidates": ["b"]}),
        (b'{"token": -1}', {}),
        (b'{"token": 4, "keepers": 5}', {"fencing_token": 4}),
        (b'{"token": 4, "tried": [1]}', {"fencing_token": 4}),
        (b'{"token": 4, "adopted": true}', {"fencing_token": 4}),
    ],
)
def test_valid_fields_of_a_damaged_meta_file_are_kept(service, tmp_path, capfd, meta, read):
    (tmp_path / "a").mkdir()
    (tmp_path / "a" / "meta").write_bytes(meta)
    service.stores.open()
    assert service.stores["a"].replica == Replica("a", **read)
    assert capfd.readouterr().out.count('"event":"copies_meta_damaged"') == 1
    assert answer(service, SEND)["t"] == "have"


@pytest.mark.parametrize("seed", range(12))
def test_what_a_replica_acknowledged_is_there_whatever_calls_failed(service, tmp_path, monkeypatch, seed):
    """Guards against bytes that count though they were not written, and generations without their data."""
    failing_os = FailingOs(("pwrite", "ftruncate", "open", "replace", "close"), seed, share=0.3)
    monkeypatch.setattr(store_module, "os", failing_os)
    owner, draw = JournalOwner(lambda message: answer(service, message)), random.Random(seed)
    for _ in range(60):
        (owner.rewrite if draw.random() < 0.3 else owner.append)(draw.randbytes(draw.randint(1, 12)))
        failing_os.failing = draw.random() < 0.6
        owner.send_all()
        failing_os.failing = False
        owner.check(service.stores.get_or_create("a"))
        owner.check(ReplicaStore(tmp_path, "a"))  # as after a kill
    owner.send_all()
    assert service.stores["a"].data() == owner.data


def test_a_replica_whose_file_cannot_be_removed_keeps_its_generation_with_its_data(
    service, tmp_path, monkeypatch
):
    answer(service, SEND)
    answer(service, DATA | {"bytes": b"base"})
    store = service.stores["a"]
    (store.folder / "coming").write_bytes(b"part")
    unlink = Path.unlink

    def unlink_or_fail(path, missing_ok=False):
        if path.name == "coming":
            raise OSError("injected")
        unlink(path, missing_ok)

    with monkeypatch.context() as patch:
        patch.setattr(Path, "unlink", unlink_or_fail)
        with pytest.raises(OSError, match="injected"):
            store.clear()
    assert (store.replica.generation, store.data()) == (7, b"base")
    store.clear()
    assert store.replica.generation == 0 and not list(store.folder.glob("journal*"))


def test_a_replica_removes_its_data_but_not_the_token_when_the_owner_says_so(service, tmp_path):
    answer(service, SEND)
    answer(service, DATA | {"bytes": b"base"})
    service.stores.get_or_create("a").clear()
    assert ReplicaStore(tmp_path, "a").replica.fencing_token == 5 and not list(
        (tmp_path / "a").glob("journal*")
    )
    assert answer(service, DATA | {"bytes": b"more", "at": 4})["why"].startswith("out of order")
    assert answer(service, SEND)["size"] == 0  # if chosen again, it gets all data again
    removal_request = {"t": "spare", "from": "b", "to": "k", "owner": "k"}
    assert answer(service, removal_request)["why"] == "not yet"
    service.node.ownership.confirmed_fencing_token = 5
    service.primary.replicas, service.primary.connected = ["a"], {"a"}
    service.primary.log.rewrite(b"x", 1)
    service.primary.log.acknowledged = {"a": (1, 1)}
    assert (
        answer(service, removal_request)["t"] == "ack"
        and answer(service, removal_request | {"from": "a"})["t"] == "no"
    )


def test_what_is_acknowledged_is_synced_to_the_disk_if_the_settings_ask_for_that(service, monkeypatch):
    synced = []
    monkeypatch.setattr(os, "fdatasync", lambda fd: synced.append(os.fstat(fd).st_size))
    answer(service, SEND)
    answer(service, DATA | {"bytes": b"base"})
    assert synced == []
    monkeypatch.setattr(service.node, "config", replace(service.node.config, sync_to_disk=True))
    assert answer(service, DATA | {"bytes": b"more", "at": 4})["t"] == "ack" and synced == [8]


@pytest.mark.parametrize(
    ("message", "why"),
    [
        (SEND | {"from": "x", "owner": "x"}, "not a member"),
        (SEND | {"to": "z"}, "not a member"),
        (SEND | {"from": "b"}, "does not own"),
        (DATA | {"bytes": b"x", "at": 3}, "out of order"),
        (DATA | {"bytes": b"x", "base": -1}, "below 0"),
    ],
)
def test_a_replica_refuses_with_a_reason_and_applies_nothing(service, message, why):
    answer(service, SEND)
    assert why in answer(service, message)["why"]
    assert (
        service.stores.get_or_create("a").data() == b"" and not service.stores.get_or_create("a").replica.size
    )


@pytest.mark.parametrize(
    "message",
    [
        {},
        {"t": "steal"},
        {"t": []},
        SEND | {"t": {"send": 1}},
        SEND | {"token": "5"},
        DATA | {"bytes": "text"},
    ],
)
def test_a_message_that_is_not_well_formed_ends_its_stream(service, message):
    with pytest.raises(codec.DatagramError):
        answer(service, message)


HAVE = {"t": "have", "generation": 7, "size": 4, "sums": [1]}
COPY = {"t": "copy", "generation": 7, "bytes": b"x", "keepers": ["k"], "tried": [], "adopted": 0}


@pytest.mark.parametrize(
    ("request_", "message"),
    [
        *(
            (protocol.FetchSnapshot("a", 5), {k: v for k, v in COPY.items() if k != key})
            for key in COPY
            if key != "t"
        ),
        (protocol.FetchSnapshot("a", 5), COPY | {"bytes": "text"}),
        (protocol.FetchSnapshot("a", 5), COPY | {"keepers": [["k"]]}),
        (protocol.ReadSnapshot("a"), COPY | {"tried": [1]}),
        (protocol.ReadSnapshot("a"), COPY | {"generation": -1}),
        (protocol.ReadSnapshot("a"), COPY | {"adopted": True}),
        (protocol.AnnounceReplicas("a", 5, ["k"]), HAVE | {"sums": ["1"]}),
        (protocol.AnnounceReplicas("a", 5, ["k"]), HAVE | {"size": -1}),
        (protocol.AppendData("a", 5, 7, 4, 0, b"x"), {"t": "ack", "generation": 7, "size": -1}),
        (protocol.AppendData("a", 5, 7, 4, 0, b"x"), {"t": "ack", "generation": 7}),
    ],
)
def test_an_answer_that_is_not_well_formed_is_refused(request_, message):
    with pytest.raises(codec.DatagramError):
        protocol.decode_answer(request_, message)


def test_waiting_for_replicas_is_bounded_and_one_disk_is_enough_only_where_allowed(service, monkeypatch):
    service.primary.replicas = ["a", "b"]
    service.primary.announced = {"a": ["a", "b"], "b": ["a", "c"]}
    service.primary.log.rewrite(b"x", 1)

    async def scenario():
        assert not await service.wait_replicated()
        service.primary.log.acknowledged = {"b": (1, 1)}
        assert not await service.wait_replicated()  # "b" does not know the current replica set
        service.primary.log.acknowledged = {"a": (1, 1)}
        assert await service.wait_replicated()
        service.primary.log.append(b"y")
        short_timeout = ReplicationConfig("127.0.0.1:0", "", ack_timeout_us=1000, allow_unreplicated=True)
        monkeypatch.setattr(service.node, "config", short_timeout)
        assert await service.wait_replicated()

    anyio.run(scenario)
    assert "not known yet" in service.blocked_reason()
    service.node.ownership.confirmed_fencing_token = 5
    assert service.blocked_reason() == ""
    monkeypatch.setattr(service.node, "config", ReplicationConfig("127.0.0.1:0", ""))
    assert "copies" in service.blocked_reason()
    monkeypatch.setattr(HeldLeases, "fencing_token", lambda self, task: 0)
    assert "lease" in service.blocked_reason()


def test_the_commands_show_leases_and_copies_as_aligned_text(service):
    from pinspread.admin import status_client

    service.primary.replicas = ["a"]
    service.primary.log.rewrite(b"four", 9)
    lines = status_client.FORMATTERS["copies"](service.view(), 0)
    assert lines[0].startswith("k: 0 records, 4 bytes, generation 9, 1 copies needed; ")
    assert lines[2].split() == ["a", "no", "0", "4", "0"]
    view = {"id": "k", "voter": True, "leader": "a", "term": 3, "tasks": [{"task": "t", "mine": 0}]}
    view["tasks"].append(
        {"task": "u", "mine": 7, "acts_for_ms": 1500, "holder": "k", "token": 7, "binds_for_ms": 2000}
    )
    lines = status_client.FORMATTERS["leases"](view, 0)
    assert lines[0] == "k: a voter, leader a, term 3"
    assert lines[2].split() == ["t", "-", "?", "?", "-"] and lines[3].split() == [
        "u",
        "k",
        "7",
        "2.0",
        "7,",
        "1.5",
    ]
