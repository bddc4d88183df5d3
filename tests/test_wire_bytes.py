"""What goes over wires, byte for byte as the version before the code was renamed said it."""

import json
from pathlib import Path

import anyio
import pytest
import stored
import stored_cluster as cluster


def recorded(name):
    return json.loads((stored.DATA / "wire" / f"{name}.json").read_bytes())


def as_json(value):
    return json.loads(json.dumps(value))


# --- members ----------------------------------------------------------------------------------------


def test_members_say_what_they_said_byte_for_byte():
    found, before = as_json(cluster.members()), recorded("members")
    assert found["datagrams"] == before["datagrams"] and found["count"] == before["count"]
    assert {d["message"]["t"] for d in before["datagrams"]} == {"ping", "ack", "nack", "ask", "sync"}


def test_members_show_what_they_showed():
    found, before = as_json(cluster.members()), recorded("members")
    assert found["views"] == before["views"] and found["events"] == before["events"]


@pytest.mark.parametrize("at", range(len(recorded("members")["datagrams"])))
def test_a_members_datagram_is_read_to_what_was_said(at):
    one = recorded("members")["datagrams"][at]
    assert cluster.unpack_member(bytes.fromhex(one["bytes"]), cluster.KEY) == one["message"]


# --- leases -----------------------------------------------------------------------------------------


def test_leases_are_asked_for_and_given_byte_for_byte_as_before():
    """The exchange plays on what it reads: a field that is misread changes what is said next."""
    found, before = as_json(anyio.run(cluster.lease_exchange)), recorded("leases")
    assert found["datagrams"] == before["datagrams"]
    assert found["views"] == before["views"]


# --- copies -----------------------------------------------------------------------------------------


def test_copies_are_sent_and_asked_for_byte_for_byte_as_before(tmp_path):
    found, before = anyio.run(cluster.copy_exchange, tmp_path, stored.copied()), recorded("copies")
    assert [cluster.words_of(f) for f in found["frames"]] == [cluster.words_of(f) for f in before["frames"]]
    assert found["frames"] == before["frames"]
    assert as_json(found["views"]) == before["views"] and as_json(found["fetched"]) == before["fetched"]
    kinds = {cluster.words_of(f)["t"] for f in before["frames"]}
    assert kinds == {"send", "have", "data", "ack", "fetch", "copy", "read", "done", "no", "spare"}


# --- voters -----------------------------------------------------------------------------------------


def test_voters_say_and_understand_byte_for_byte_what_they_did(tmp_path: Path):
    assert as_json(anyio.run(cluster.voter_exchange, tmp_path / "x")) == recorded("voters")
