"""The state that one process hands the next: what its shape covers, and what a reader lets in."""

import pickle
from collections import OrderedDict
from types import SimpleNamespace

import pytest
from standins import configuration, engine

from pinspread.config import settings
from pinspread.discovery.client import DiscoveryClient
from pinspread.hot_restart import state_codec
from pinspread.hot_restart.link import HandoverFormatError
from pinspread.policy.delivery_policy import DeliveryPolicy


@pytest.fixture
def policy(tmp_path):
    effective_settings = settings.read(configuration(tmp_path), {})
    return DeliveryPolicy(effective_settings.policy_settings, effective_settings.seed)


def test_another_process_of_this_version_has_the_same_shape(policy):
    assert state_codec.shape(policy) == state_codec.shape(pickle.loads(pickle.dumps(policy)))


@pytest.mark.parametrize("cls", state_codec.SENT)
def test_a_class_of_another_module_gives_another_shape(policy, monkeypatch, cls):
    before = state_codec.shape(policy)
    moved = SimpleNamespace(__module__=f"{cls.__module__}_moved", __qualname__=cls.__qualname__)
    path_of = state_codec._path
    monkeypatch.setattr(state_codec, "_path", lambda one: path_of(moved if one is cls else one))
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
    for n in range(len(state_codec.SENT)):
        with monkeypatch.context() as patch:
            patch.setattr(state_codec, "SENT", state_codec.SENT[:n] + state_codec.SENT[n + 1 :])
            assert state_codec.shape(policy) != before


@pytest.mark.anyio
async def test_the_keys_that_the_shape_covers_are_those_that_a_state_has(tmp_path):
    async with engine(tmp_path) as rig:
        state = rig.engine.pause_for_handover(SimpleNamespace())
        assert {*state, "discovery"} == set(state_codec.STATE_KEYS)
        assert state[state_codec.POLICY_KEY] is rig.engine.policy
        found = DiscoveryClient("127.0.0.1:1", rig.engine, rig.engine.settings).snapshot()
        assert set(found) == set(state_codec.DISCOVERY_STATE_KEYS)
        rig.engine.cancel_handover()


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
