"""The state that one process sends the next, as bytes: a pickle that may name only listed classes.

Two processes exchange it only if both compute the same `shape`; otherwise the old one ends and the new one
recovers from the journal. So whatever a reader depends on belongs into the shape.
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

POLICY_KEY = "policy"  # of the delivery policy in the state
STATE_KEYS = (*EngineState.__annotations__, "discovery")  # the engine's state, and discovery's beside it
DISCOVERY_STATE_KEYS = ("address", "seq")

_SHAPE_BYTES = 16


def _classes_of(module: ModuleType) -> tuple[type, ...]:
    """The classes that a module defines, in the order of its text."""
    members = vars(module).values()
    return tuple(
        member for member in members if isinstance(member, type) and member.__module__ == module.__name__
    )


# All that a state may be made of; the order counts for the shape.
SENT: tuple[type, ...] = (
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
    """Reads nothing but what a state is made of."""

    allowed = {(cls.__module__, cls.__name__): cls for cls in SENT}

    def find_class(self, module: str, name: str) -> type:
        """The class of that name.

        Whatever else a pickle named would be called, with arguments of its author's choice: it could run any
        code.
        """
        if (module, name) not in self.allowed:
            raise HandoverFormatError(f"{module}.{name} is no part of a node's state")
        return self.allowed[module, name]


def shape(policy: DeliveryPolicy) -> str:
    """A digest of what a state of this version looks like.

    It covers the keys of the state, the attributes of the policy and of its parts, the path and fields
    of each class that is sent.
    """
    parts: list[list[str]] = [["keys", *STATE_KEYS], ["discovery", *DISCOVERY_STATE_KEYS]]
    parts += [_attributes(instance) for instance in _instances(policy)]
    parts += [[_path(cls), *_field_names(cls)] for cls in SENT]
    return blake2b(orjson.dumps(parts), digest_size=_SHAPE_BYTES).hexdigest()


def _instances(policy: DeliveryPolicy) -> list[object]:
    """The policy, and those of its parts whose attributes no declaration names."""
    components = [one for one in vars(policy).values() if type(one) in SENT and _is_undeclared(one)]
    return [policy, *sorted(components, key=lambda one: _path(type(one)))]


def _is_undeclared(component: object) -> bool:
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


def pack_state(sent: dict[str, Any]) -> bytes:
    """The bytes of a state."""
    return pickle.dumps(sent, protocol=5)


def read_state(data: bytes) -> dict[str, Any]:
    """The state that the process before has sent; HandoverFormatError if it is none."""
    try:
        found = _StateUnpickler(io.BytesIO(data)).load()
    except HandoverFormatError:
        raise
    except Exception as error:  # whatever the bytes make of a reader
        raise HandoverFormatError(f"the state cannot be read: {error!r}") from None
    return _checked(found)


def _checked(found: object) -> dict[str, Any]:
    if not isinstance(found, dict):
        raise HandoverFormatError("no state")
    if POLICY_KEY not in found:
        raise HandoverFormatError(f"the state cannot be read: {KeyError(POLICY_KEY)!r}")
    if type(found[POLICY_KEY]) is not DeliveryPolicy:
        raise HandoverFormatError("no state")
    return found
