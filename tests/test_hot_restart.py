"""The state that one process hands over to the next: what its digest covers, and what the reader accepts."""

import gc
import os
import pickle
import socket
from collections import OrderedDict
from contextlib import suppress
from types import SimpleNamespace

import anyio
import pytest
from standins import Client, HttpStandIn, configuration, running_courier, serve_on_loopback, wait_until

from pinspread.config import settings
from pinspread.discovery.client import DiscoveryClient
from pinspread.hot_restart import source, state_codec, target
from pinspread.hot_restart.link import HandoverFormatError, Link, Packet, PacketKind
from pinspread.policy.delivery_policy import DeliveryPolicy


@pytest.fixture
def policy(tmp_path):
    effective_settings = settings.read(configuration(tmp_path), {})
    return DeliveryPolicy(effective_settings.policy_settings, effective_settings.seed)


def test_another_process_of_this_version_has_the_same_shape(policy):
    assert state_codec.shape(policy) == state_codec.shape(pickle.loads(pickle.dumps(policy)))


@pytest.mark.parametrize("cls", state_codec.STATE_CLASSES)
def test_a_class_of_another_module_gives_another_shape(policy, monkeypatch, cls):
    before = state_codec.shape(policy)
    moved = SimpleNamespace(__module__=f"{cls.__module__}_moved", __qualname__=cls.__qualname__)
    path_of = state_codec._path
    monkeypatch.setattr(state_codec, "_path", lambda other: path_of(moved if other is cls else other))
    assert state_codec.shape(policy) != before


@pytest.mark.parametrize("name", ["STATE_KEYS", "DISCOVERY_STATE_KEYS"])
def test_another_key_of_the_state_gives_another_shape(policy, monkeypatch, name):
    before = state_codec.shape(policy)
    keys = getattr(state_codec, name)
    for n in range(len(keys)):
        monkeypatch.setattr(state_codec, name, (*keys[:n], f"{keys[n]}_renamed", *keys[n + 1 :]))
        assert state_codec.shape(policy) != before


def test_another_attribute_of_the_policy_gives_another_shape(policy):
    before = state_codec.shape(policy)
    policy.of_a_newer_version = 0
    assert state_codec.shape(policy) != before


def test_another_field_or_class_gives_another_shape(policy, monkeypatch):
    before = state_codec.shape(policy)
    for n in range(len(state_codec.STATE_CLASSES)):
        with monkeypatch.context() as patch:
            patch.setattr(
                state_codec,
                "STATE_CLASSES",
                state_codec.STATE_CLASSES[:n] + state_codec.STATE_CLASSES[n + 1 :],
            )
            assert state_codec.shape(policy) != before


@pytest.mark.anyio
async def test_the_keys_that_the_shape_covers_are_those_that_a_state_has(tmp_path):
    async with running_courier(tmp_path) as courier:
        state = courier.engine.pause_for_handover(SimpleNamespace())
        assert {*state, "discovery"} == set(state_codec.STATE_KEYS)
        assert state[state_codec.POLICY_KEY] is courier.engine.policy
        discovery_state = DiscoveryClient("127.0.0.1:1", courier.engine, courier.engine.settings).snapshot()
        assert set(discovery_state) == set(state_codec.DISCOVERY_STATE_KEYS)
        courier.engine.cancel_handover()


@pytest.mark.anyio
async def test_no_number_is_given_twice_though_the_journal_has_forgotten_the_last_messages(tmp_path):
    answers = [(200, [], b""), anyio.sleep_forever()]
    endpoint = HttpStandIn(lambda request: answers.pop(0))
    async with (
        serve_on_loopback(endpoint) as address,
        running_courier(tmp_path, endpoints=[(address,)]) as courier,
    ):
        client = Client(courier.address)
        await client.enqueue(id_="before")
        number = courier.engine.messages_by_id["before"].number
        # The message has ended, and its final result was acknowledged.
        await wait_until(lambda: not courier.engine.messages_by_id)
        state = courier.engine.pause_for_handover(SimpleNamespace())
        courier.engine.cancel_handover()
        courier.engine.resume_from_handover(state)
        await client.enqueue(id_="after")
        assert courier.engine.messages_by_id["after"].number > number


def open_descriptors():
    gc.collect()
    return len(os.listdir("/proc/self/fd"))


@pytest.mark.parametrize("kind", [*PacketKind, 99])
def test_the_descriptor_of_a_malformed_packet_is_closed(kind):
    transferred, before = target.TransferredState(), open_descriptors()
    ours, theirs = socket.socketpair()
    for data in (b"", b"{}", b"[]", b"\xff"):
        for descriptor in (os.dup(ours.fileno()), os.open(os.devnull, os.O_RDONLY)):
            with suppress(Exception):
                transferred.add(Packet(kind, data, descriptor))
    transferred.close()  # closes the sockets of well-formed packets
    ours.close()
    theirs.close()
    assert open_descriptors() == before


@pytest.mark.anyio
@pytest.mark.parametrize("kind", [PacketKind.HELLO, PacketKind.LOCK, PacketKind.TAKEN_OVER])
async def test_a_descriptor_that_the_new_process_sends_is_closed(tmp_path, kind):
    old_link, new_link = (Link(end) for end in socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET))
    handover = source.HandoverListener(SimpleNamespace(), str(tmp_path))
    before = open_descriptors()
    await new_link.send(kind, b"another shape", old_link.sock.fileno())
    assert not await handover._negotiate(old_link)
    assert open_descriptors() == before
    old_link.close()
    new_link.close()


def test_a_state_is_read_as_it_was_packed(policy):
    read = state_codec.read_state(state_codec.pack_state({state_codec.POLICY_KEY: policy, "next": 7}))
    assert type(read[state_codec.POLICY_KEY]) is DeliveryPolicy and read["next"] == 7


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"noise",
        pickle.dumps(["no", "dict"]),
        pickle.dumps({"next": 7}),
        pickle.dumps({state_codec.POLICY_KEY: "no policy"}),
        pickle.dumps({state_codec.POLICY_KEY: OrderedDict()}),  # a class that is not listed
        pickle.dumps(print),
    ],
)
def test_what_is_no_state_is_rejected(data):
    with pytest.raises(HandoverFormatError):
        state_codec.read_state(data)
