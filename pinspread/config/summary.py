"""The summary that `pinspread config check` prints of a platform's file: the settings that take effect."""

from collections.abc import Iterator

from pinspread.config.settings import EffectiveSettings
from pinspread.core.messages import DeliveryRules
from pinspread.core.time_units import NS_PER_MS
from pinspread.policy.settings import Settings


def summary(effective: EffectiveSettings) -> Iterator[str]:
    """Yield the lines of the summary, for the operator who checks a deployment before it starts."""
    policy = effective.policy_settings
    for name, rules in effective.delivery_rules.items():
        yield _class_line(name, rules)
    for name, index in effective.kinds.items():
        yield _kind_line(name, index, policy)
    price = f"a call to another costs {policy.cross_zone_price:g} of a message"
    yield f"zones: {', '.join(effective.zones)}; {price}"
    slots = f"{policy.max_concurrent_calls} calls out, {policy.max_held_messages} messages held"
    yield f"slots: {slots}, {policy.senders} couriers"
    grace_ms, slow_start_ms = policy.drain_grace_ns // NS_PER_MS, policy.slow_start_ns // NS_PER_MS
    yield f"rules: nothing new {grace_ms} ms after a drain; cold for {slow_start_ms} ms"
    yield _list_line(policy)
    health_checks = _yes_or_no(policy.health_checks_allowed)
    reports = _yes_or_no(effective.load_reports_enabled)
    admin = effective.admin or "off"
    yield f"probes: {health_checks}; reports of limits in answers: {reports}; door: {admin}"


def _class_line(name: str, rules: DeliveryRules) -> str:
    traffic_class = rules.traffic_class
    window_ms = traffic_class.deduplication_window_ns // NS_PER_MS
    window = f", repeats dropped for {window_ms} ms" if traffic_class.deduplication_window_ns else ""
    order = "in order for each key" if traffic_class.in_order else "in any order"
    objective_ms = traffic_class.latency_objective_ns // NS_PER_MS
    deadline_ms = traffic_class.deadline_ns // NS_PER_MS
    times = f"wanted in {objective_ms} ms, given up at {deadline_ms} ms"
    return (
        f"class {name}: {traffic_class.effect.value}{window}; {order}; {times}; {rules.max_attempts} attempts"
    )


def _kind_line(name: str, index: int, policy: Settings) -> str:
    kind = policy.kind(index)
    routes = "each endpoint a route apart" if kind.limits_per_endpoint else "endpoints share one limit"
    return f"kind {name}: {kind.max_bundle_size} messages a call at most; {routes}"


def _list_line(policy: Settings) -> str:
    interval_ms = policy.max_poll_interval_ns // NS_PER_MS
    source = f"asked, at least every {interval_ms} ms" if policy.polled_discovery else "pushed"
    return f"list: {source}; limits {'listed' if policy.weights_known else 'not listed'}"


def _yes_or_no(on: bool) -> str:
    return "yes" if on else "no"
