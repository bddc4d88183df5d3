"""The bytes sent on each wire, compared with recordings of an earlier version.

The recordings guard against changes of the wire formats, for example by a renamed field.
"""

import json
from pathlib import Path

import anyio
import pytest
import stored
import stored_cluster
import stored_courier


def recorded(name):
    return json.loads((stored.DATA / "wire" / f"{name}.json").read_bytes())


def as_json(value):
    return json.loads(json.dumps(value))


# --- membership -------------------------------------------------------------------------------------


def test_membership_datagrams_are_sent_byte_for_byte_as_before():
    actual, before = as_json(stored_cluster.members()), recorded("members")
    assert actual["datagrams"] == before["datagrams"] and actual["count"] == before["count"]
    assert {d["message"]["t"] for d in before["datagrams"]} == {"ping", "ack", "nack", "ask", "sync"}


def test_membership_views_and_events_are_as_before():
    actual, before = as_json(stored_cluster.members()), recorded("members")
    assert actual["views"] == before["views"] and actual["events"] == before["events"]


@pytest.mark.parametrize("index", range(len(recorded("members")["datagrams"])))
def test_a_membership_datagram_is_decoded_to_its_message(index):
    datagram = recorded("members")["datagrams"][index]
    assert (
        stored_cluster.unpack_member(bytes.fromhex(datagram["bytes"]), stored_cluster.KEY)
        == datagram["message"]
    )


# --- leases -----------------------------------------------------------------------------------------


def test_lease_datagrams_are_sent_byte_for_byte_as_before():
    """The exchange continues from the datagrams that it reads, so a misread field changes the later ones."""
    actual, before = as_json(anyio.run(stored_cluster.lease_exchange)), recorded("leases")
    assert actual["datagrams"] == before["datagrams"]
    assert actual["views"] == before["views"]


# --- replication ------------------------------------------------------------------------------------


def test_replicas_are_sent_and_fetched_byte_for_byte_as_before(tmp_path):
    actual, before = (
        anyio.run(stored_cluster.replication_exchange, tmp_path, stored.replica_journals()),
        recorded("copies"),
    )
    assert [stored_cluster.frame_body(f) for f in actual["frames"]] == [
        stored_cluster.frame_body(f) for f in before["frames"]
    ]
    assert actual["frames"] == before["frames"]
    assert as_json(actual["views"]) == before["views"] and as_json(actual["fetched"]) == before["fetched"]
    kinds = {stored_cluster.frame_body(f)["t"] for f in before["frames"]}
    assert kinds == {"send", "have", "data", "ack", "fetch", "copy", "read", "done", "no", "spare"}


# --- voters -----------------------------------------------------------------------------------------


def test_voter_messages_are_sent_and_read_byte_for_byte_as_before(tmp_path: Path):
    assert as_json(anyio.run(stored_cluster.voter_exchange, tmp_path / "x")) == recorded("voters")


# --- the admin server -------------------------------------------------------------------------------


def test_the_admin_server_answers_as_before():
    before = recorded("door")
    views = {name: before["views"][name] for name in ("members", "leases", "copies")}
    assert stored_courier.members_view() == views["members"]
    actual = anyio.run(stored_courier.calls, views)
    for call, answer in before["calls"].items():
        # The recording has the keys of views sorted, so views are compared as JSON.
        if call.startswith("GET /-/") and call.rpartition("/")[2] in views:
            head, body = answer.split("\r\n\r\n")
            actual_head, actual_body = actual.pop(call).split("\r\n\r\n")
            assert (actual_head, json.loads(actual_body)) == (head, json.loads(body))
        else:
            assert actual.pop(call) == answer, call
    assert not actual


def test_the_settings_summary_is_as_before():
    assert stored_courier.summary() == recorded("door")["summary"]


# --- packets of a hot restart -----------------------------------------------------------------------


def test_packets_of_a_hand_over_are_sent_byte_for_byte_as_before():
    before = recorded("packets")
    assert before["kinds"] == stored_courier.PACKETS
    assert anyio.run(stored_courier.packets) == before["packets"]


def test_packets_of_a_hand_over_are_read_as_before():
    before = recorded("packets")
    assert anyio.run(stored_courier.handed_over) == before["handed_over"]
    reports = [json.loads(data) for kind, _, data, _ in before["packets"] if kind in (9, 11)]
    for report in reports:
        assert stored_courier.outcome_as_stored(dict(report[-1])) == report[-1]
