"""Encodes the state that one process sends to the next: a pickle that may contain only listed classes.

Two processes exchange state only if both compute the same `shape`, a digest of its format; otherwise the old
process ends and the new one recovers from the journal. The digest must therefore cover everything that
reading the state depends on.
"""

import io
import pickle
from collections import deque
from dataclasses import fields, is_dataclass
from hashlib import blake2b
from random import Random
from types import ModuleType
from typing import Any

import orjson

from pinspread.core.messages import Endpoint
from pinspread.core.ownership import EngineState
from pinspread.hot_restart.link import HandoverFormatError
from pinspread.policy import actions, events, settings, state
from pinspread.policy.delivery_policy import DeliveryPolicy
from pinspread.policy.discovery import Discovery
from pinspread.policy.dispatch import Dispatcher
from pinspread.policy.load_balancing import LoadBalancer
from pinspread.policy.outlier_detection import OutlierDetector
from pinspread.policy.rate_limit import RateLimitPolicy
from pinspread.policy.retry_budget import RetryBudget

POLICY_KEY = "policy"  # the delivery policy's key in the state
STATE_KEYS = (*EngineState.__annotations__, "discovery")  # with discovery's own state
DISCOVERY_STATE_KEYS = ("address", "seq")

_SHAPE_BYTES = 16


def _classes_of(module: ModuleType) -> tuple[type, ...]:
    """The classes that a module defines, in the order of their definition."""
    members = vars(module).values()
    return tuple(
        member for member in members if isinstance(member, type) and member.__module__ == module.__name__
    )


# The classes that a state may contain. Their order is part of the digest.
STATE_CLASSES: tuple[type, ...] = (
    *_classes_of(state),
    *_classes_of(settings),
    *_classes_of(events),
    *_classes_of(actions),
    DeliveryPolicy,
    RateLimitPolicy,
    Discovery,
    LoadBalancer,
    OutlierDetector,
    Dispatcher,
    RetryBudget,
    Endpoint,
    deque,
    Random,
)


class _StateUnpickler(pickle.Unpickler):
    """Unpickles a state; refuses all classes but `STATE_CLASSES`."""

    allowed = {(cls.__module__, cls.__name__): cls for cls in STATE_CLASSES}

    def find_class(self, module: str, name: str) -> type:
        """The class of that name; HandoverFormatError if it is not listed.

        Unpickling calls whatever a pickle names, with arguments that its author chose. Without this
        restriction it could run any code.
        """
        if (module, name) not in self.allowed:
            raise HandoverFormatError(f"a state may not contain {module}.{name}")
        return self.allowed[module, name]


def shape(policy: DeliveryPolicy) -> str:
    """A digest of the format of this version's state.

    It covers the keys of the state, the attributes of the policy and of its components, and the path and the
    fields of each class that a state may contain.
    """
    parts: list[list[str]] = [["keys", *STATE_KEYS], ["discovery", *DISCOVERY_STATE_KEYS]]
    parts += [_attributes(instance) for instance in _instances(policy)]
    parts += [[_path(cls), *_field_names(cls)] for cls in STATE_CLASSES]
    return blake2b(orjson.dumps(parts), digest_size=_SHAPE_BYTES).hexdigest()


def _instances(policy: DeliveryPolicy) -> list[object]:
    """The policy, and those of its components whose attributes are not declared as fields or slots."""
    components = [
        attribute
        for attribute in vars(policy).values()
        if type(attribute) in STATE_CLASSES and _has_undeclared_attributes(attribute)
    ]
    return [policy, *sorted(components, key=lambda part: _path(type(part)))]


def _has_undeclared_attributes(component: object) -> bool:
    cls = type(component)
    return cls is not Random and hasattr(component, "__dict__") and not is_dataclass(cls)


def _attributes(instance: object) -> list[str]:
    return [_path(type(instance)), *sorted(vars(instance))]


def _path(cls: type) -> str:
    return f"{cls.__module__}.{cls.__qualname__}"


def _field_names(cls: type) -> list[str]:
    if is_dataclass(cls):
        return [field.name for field in fields(cls)]
    return [str(name) for name in getattr(cls, "__slots__", ())]


def pack_state(contents: dict[str, Any]) -> bytes:
    """Encode a state."""
    return pickle.dumps(contents, protocol=5)


def read_state(data: bytes) -> dict[str, Any]:
    """Decode the state that the old process has sent; HandoverFormatError if it is not a valid one."""
    try:
        loaded = _StateUnpickler(io.BytesIO(data)).load()
    except HandoverFormatError:
        raise
    except Exception as error:  # malformed bytes can make the unpickler raise any exception
        raise HandoverFormatError(f"the state cannot be read: {error!r}") from None
    return _checked(loaded)


def _checked(loaded: object) -> dict[str, Any]:
    if not isinstance(loaded, dict):
        raise HandoverFormatError(f"the state is of type {type(loaded).__name__}, not dict")
    if POLICY_KEY not in loaded:
        raise HandoverFormatError(f"the state has no key {POLICY_KEY!r}")
    if type(loaded[POLICY_KEY]) is not DeliveryPolicy:
        raise HandoverFormatError(f"the state's policy is of type {type(loaded[POLICY_KEY]).__name__}")
    return loaded
