"""Runs versions of the decision module from before it was the package `pinspread.policy`.

Experiments name such versions by git revision. Their three modules (interface, state, decide) are executed
under their old names. `LegacyPolicy` adapts them to the model: it converts current events to the old classes
and old actions to the current ones. Fields that an old version does not have are left out.
"""

import dataclasses
import sys
from collections.abc import Mapping
from enum import Enum
from types import ModuleType
from typing import Any

from pinspread.policy import actions, events, settings
from pinspread.simulation.policy_sources import LEGACY_NAMES

# Current classes, and their names in the old interface.
CLASSES: dict[type, str] = {
    settings.Settings: "Settings",
    settings.TrafficClass: "TrafficClass",
    settings.Tenant: "Tenant",
    settings.DestinationKind: "Kind",
    settings.Idempotency: "Effect",
    settings.DeduplicationScope: "Group",
    events.Outcome: "Verdict",
    events.EndpointState: "ListState",
    events.UpdateScope: "ListScope",
    events.EndpointEntry: "ListEntry",
    events.EndpointsChanged: "ListChanged",
    events.MessageAccepted: "MessageTaken",
    events.AttemptCompleted: "AttemptEnded",
    events.HealthCheckCompleted: "ProbeEnded",
    events.ClientCancelled: "ClientGone",
    events.TimerFired: "TimerDue",
    events.SettingsChanged: "SettingsChanged",
    actions.Send: "Send",
    actions.Reject: "Refuse",
    actions.Fail: "Fail",
    actions.CheckHealth: "Probe",
    actions.Disconnect: "Disconnect",
    actions.SetTimer: "SetTimer",
    actions.Subscribe: "Subscribe",
}

# Old names of current fields, where they differ. They hold for all classes, except for `REJECT_FIELDS`.
FIELDS: dict[str, str] = {
    "latency_objective_ns": "aim_ns",
    "deduplication_window_ns": "window_ns",
    "late_value_share": "late_share",
    "priority_weight": "worth",
    "limits_per_endpoint": "routes_apart",
    "max_bundle_size": "bundle_max",
    "max_concurrent_calls": "calls_out",
    "max_held_messages": "most_held",
    "over_quota_weight": "over_share_worth",
    "value_halves": "halves",
    "health_checks_allowed": "may_probe",
    "cancellation_allowed": "may_cancel",
    "retry_after_allowed": "may_tell_wait",
    "max_retry_after_ns": "max_come_back_ns",
    "slow_start_fraction": "cold_from",
    "slow_start_ns": "cold_ns",
    "overload_multiple": "tip_multiple",
    "ordering_pause_ns": "order_pause_ns",
    "polled_discovery": "list_on_request",
    "max_poll_interval_ns": "must_ask_in_ns",
    "cross_zone_price": "crossing_price",
    "class_index": "cls",
    "traffic_class": "rule",
    "may_have_run_ns": "may_run_ns",
    "may_have_run_zone": "may_run_zone",
    "outcome": "verdict",
    "retry_after_ns": "wait_ns",
    "limit_remaining": "allowance_left",
    "recovered": "owed",
}
REJECT_FIELDS: dict[str, str] = {"retry_after_ns": "come_back_ns"}
# Current actions by their old names.
PRESENT_ACTIONS = {old_name: cls for cls, old_name in CLASSES.items() if cls.__module__ == actions.__name__}


class LegacyPolicy:
    """The sender of an old version, with the interface of `DeliveryPolicy`.

    Args:
        own_settings: Current settings, which are converted to those of the old version.
        seed: Seed of the sender's random numbers.
    """

    def __init__(self, own_settings: settings.Settings, seed: int):
        self._old = sys.modules["pinspread.interface"]
        self._sender = sys.modules["pinspread.decide"].Sender(self._to_old(own_settings), seed)

    def handle(self, now_ns: int, batch: list[Any]) -> list[Any]:
        """Handle the events of one turn and return the actions, in order."""
        chosen = self._sender.handle(now_ns, [self._to_old(event) for event in batch])
        return [self._to_present(action) for action in chosen]

    def _to_old(self, value: Any) -> Any:
        """Return the old version's counterpart of a current object; plain values are returned unchanged."""
        if isinstance(value, list):
            return [self._to_old(item) for item in value]
        name = CLASSES.get(type(value))
        if name is None:
            return value
        old_class = getattr(self._old, name)
        if isinstance(value, Enum):
            return old_class(value.value)
        known = {field.name for field in dataclasses.fields(old_class)}
        arguments = {}
        for field in dataclasses.fields(value):
            old_name = FIELDS.get(field.name, field.name)
            if old_name in known:
                arguments[old_name] = self._to_old(getattr(value, field.name))
        return old_class(**arguments)

    def _to_present(self, action: Any) -> Any:
        """Return the current counterpart of an old action."""
        present = PRESENT_ACTIONS[type(action).__name__]
        names: dict[str, str] = REJECT_FIELDS if present is actions.Reject else {}
        fields = dataclasses.fields(present)
        return present(**{field.name: getattr(action, names.get(field.name, field.name)) for field in fields})


def install(sources: Mapping[str, str]) -> None:
    """Execute an old version's modules, and replace `DeliveryPolicy` by that version.

    Args:
        sources: The source texts of the modules, by module name.
    """
    import pinspread
    from pinspread.policy import delivery_policy

    for name in LEGACY_NAMES:  # in the order of their imports of each other
        module = ModuleType(f"pinspread.{name}")
        module.__file__ = f"<variant>/{name}.py"
        sys.modules[module.__name__] = module
        setattr(pinspread, name, module)
        exec(compile(sources[name], module.__file__, "exec"), module.__dict__)
    delivery_policy.DeliveryPolicy = LegacyPolicy  # type: ignore[misc,assignment]  # the model imports it from there
