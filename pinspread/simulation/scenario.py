"""A day: one draw from a world. Arrays of what arrives, partners as they are, troubles at their times."""

from dataclasses import dataclass, field

import numpy as np

from pinspread.simulation.engine import MS, SECOND
from pinspread.simulation.random_streams import random_stream

ATTEMPT_DRAWS = 8  # attempts of a message that have random numbers of their own; later ones start over
# What the uniform random numbers of an attempt decide, in the last axis of `Scenario.attempt_draws`.
OUTBOUND_DELAY_DRAW, RETURN_DELAY_DRAW, ERROR_DRAW, RETRY_AFTER_DRAW = range(4)


@dataclass(slots=True)
class DestinationSpec:
    """What a partner is, drawn once."""

    number: int
    traffic_share: float
    large: bool
    work_factor: float  # times the work of a class
    cores: list  # of each endpoint
    queue_limits: list
    connection_limits: list  # connections that each endpoint takes; 0: any number
    capacity_per_s: float  # messages a second that it can do, or that its limit lets through
    limit_window_ns: int = 0  # of the limit's count; 0: no limit but its capacity
    limit_calls: int = 0  # calls in a window
    rejections_count: bool = False  # whether rejected calls use the limit up too
    retry_after_share: float = 0.0  # share of its rejections that carry a Retry-After
    weight: float = 1.0  # as listed, calls a second


START_DRAWS = 8  # draws for a courier's starts; they come again after so many


@dataclass(slots=True)
class ScheduledFault:
    """A trouble with its figures drawn."""

    kind: str
    at_ns: int
    until_ns: int
    magnitude: float
    targets: list  # partners, couriers or endpoints, by kind
    batch: float = 0.0
    down_ns: int = 0
    slow_start: bool = True

    @property
    def ends_in_slow_start(self) -> bool:
        """Whether partners return cold: where most calls went through there was no outage."""
        return self.slow_start and (self.kind != "errors" or self.magnitude > 0.5)

    def restart_times(self, couriers: int):
        """(courier, time) of each restart: a batch at a time, spread over the trouble."""
        groups = max(1, round(len(self.targets) / max(1, self.batch * couriers)))
        for n, number in enumerate(self.targets):
            yield number, self.at_ns + (self.until_ns - self.at_ns) * (n % groups) // groups


@dataclass(slots=True)
class Scenario:
    """All that a run needs. Message arrays have one row a message, in order of arrival."""

    seed: int
    length_ns: int
    destinations: list
    faults: list
    arrival_ns: np.ndarray  # int64
    class_index: np.ndarray  # int16
    tenant_index: np.ndarray
    destination: np.ndarray  # int32
    ordering_key: np.ndarray  # int64; 0: none
    within_quota: np.ndarray  # bool: within its tenant's quota
    work_ns: np.ndarray  # [messages, DRAWS] at a partner of usual pace
    attempt_draws: np.ndarray  # [messages, DRAWS, 4], uniform: net there, net back, error or loss, told wait
    client_draws: np.ndarray  # [messages, 4], uniform: courier, heeds, backoff, spare
    instance_share: np.ndarray
    start_draws: np.ndarray  # [couriers, BOOTS], uniform: how long each start takes
    max_concurrent_calls: int = 2
    max_held_messages: int = 8
    delay_ns: np.ndarray = field(default_factory=lambda: np.zeros(0))  # one way, of each partner
    submit_delay_ns: np.ndarray | None = (
        None  # how late each message is handed in, where a real generator is followed
    )
    size_bytes: np.ndarray | None = None  # bytes of the bodies, where recorded


def tenant_quotas(model) -> list:
    """Messages a second that each team may ask for: together 81% of capacity (the brief says 74 to 88%)."""
    traffic = model.traffic
    return [t.share * traffic.rate_per_s / traffic.load * 0.81 for t in model.teams]


def draw_scenario(model, seed: int) -> Scenario:
    """The day of a world and a seed; the same for every variant."""
    rng = random_stream(seed, "world")
    partners = _partners(model, rng)
    shares = np.array([p.traffic_share for p in partners])
    troubles = _troubles(model, random_stream(seed, "troubles"), shares)
    traffic = model.traffic
    length = model.length_s
    at, dest = _arrivals(model, random_stream(seed, "arrivals"), partners, troubles)
    n = len(at)
    rng = random_stream(seed, "messages")
    classes, teams = model.classes, model.teams
    cls = rng.choice(len(classes), n, p=_normal([c.share for c in classes])).astype(np.int16)
    offers = [t.share if t.offers is None else t.offers for t in teams]
    team = rng.choice(len(teams), n, p=_normal(offers)).astype(np.int16)
    key = _keys(model, random_stream(seed, "keys"), at, cls, dest)
    low = np.array([c.work_ms[0] for c in classes])[cls]
    high = np.array([c.work_ms[1] for c in classes])[cls]
    mean = (low + (high - low) * rng.random(n)) * MS
    work = _work(model, random_stream(seed, "work"), mean)
    within = _within(at, team, tenant_quotas(model))
    skew = _draw(random_stream(seed, "skew"), traffic.courier_skew)
    weights = (
        random_stream(seed, "couriers").gamma(1 / max(skew, 0.01) ** 2, size=model.couriers.count) + 1e-9
    )
    full = traffic.rate_per_s / traffic.load
    rng = random_stream(seed, "slots")
    busy = full / model.couriers.count * float(np.mean(mean) / SECOND if n else 0.15)
    pace = float(np.dot(shares, [p.work_factor for p in partners]))
    slots = max(model.couriers.least_slots, round(busy * pace * _draw(rng, model.couriers.slots)))
    held = max(
        model.couriers.least_held, round(full / model.couriers.count * _draw(rng, model.couriers.hold_s))
    )
    low, high = model.network.delay_ms
    delay = (low + (high - low) * random_stream(seed, "delay").random(len(partners))) * MS
    return Scenario(
        seed=seed,
        length_ns=int(length * SECOND),
        destinations=partners,
        faults=troubles,
        arrival_ns=at,
        class_index=cls,
        tenant_index=team,
        destination=dest,
        ordering_key=key,
        within_quota=within,
        work_ns=work,
        attempt_draws=random_stream(seed, "chance").random((n, ATTEMPT_DRAWS, 4), dtype=np.float32),
        client_draws=random_stream(seed, "habits").random((n, 4), dtype=np.float32),
        instance_share=weights / weights.sum(),
        start_draws=random_stream(seed, "boot").random((model.couriers.count, START_DRAWS)),
        max_concurrent_calls=slots,
        max_held_messages=held,
        delay_ns=delay,
    )


def _draw(rng, bounds):
    return float(rng.uniform(*bounds))


def _normal(shares):
    total = np.array(shares, dtype=float)
    return total / total.sum()


def _work(model, rng, mean):
    """Work of each message and attempt, in nanoseconds, with the given means."""
    shape = (len(mean), ATTEMPT_DRAWS)
    if model.partners.work == "exponential":
        factor = rng.standard_exponential(shape)
    else:
        sigma = model.partners.work_spread
        factor = rng.lognormal(-(sigma**2) / 2, sigma, shape)  # of mean 1
    return (mean[:, None] * factor).astype(np.int64) + 1


def _partners(model, rng):
    """Partners until the endpoints are used up; busier ones have more of them."""
    p, traffic = model.partners, model.traffic
    counts, left = [], p.endpoints
    while left:
        extra = min(rng.poisson(max(0.0, p.mean_per_partner - p.per_partner[0])), p.per_partner[1] - 1)
        counts.append(min(left, int(p.per_partner[0] + extra)))
        left -= counts[-1]
    counts.sort(reverse=True)
    ranks = np.arange(1, len(counts) + 1, dtype=float)
    shares = _normal(ranks ** -_draw(rng, traffic.zipf))
    refused = bool(rng.random() < p.refused_count)
    full = traffic.rate_per_s / traffic.load
    work_s = sum(c.share * sum(c.work_ms) / 2000 for c in model.classes)
    found = []
    for number, (count, share) in enumerate(zip(counts, shares, strict=True), 1):
        # Big partners are found among the busy ones first.
        big = bool(rng.random() < p.big_share * (1.8 if number <= len(counts) / 3 else 0.6))
        pace = _draw(rng, p.pace)
        calls = full * share
        room = max(calls * _draw(rng, p.headroom), _draw(rng, p.least_per_s))
        limit = max(calls * _draw(rng, p.big_headroom), _draw(rng, p.big_least_per_s))
        per_s = max(room, 1.25 * limit) if big else room
        cores = max(1, p.least_cores if count == 1 else 1, round(per_s * work_s * pace / count))
        per_s = cores * count / (work_s * pace)
        queue = max(2, round(p.queue_s * per_s / count))
        spec = DestinationSpec(
            number, float(share), big, pace, [cores] * count, [queue] * count, [0] * count, per_s
        )
        if big:
            span = _draw(rng, p.big_span_s)
            spec.limit_window_ns, spec.limit_calls = int(span * SECOND), max(1, round(limit * span))
            spec.capacity_per_s = min(per_s, spec.limit_calls / span)
            spec.retry_after_share, spec.rejections_count = _draw(rng, p.big_tells), refused
        else:
            spec.retry_after_share = _draw(rng, p.small_tells)
            table = max(_draw(rng, p.least_table), cores * _draw(rng, p.table))
            spec.connection_limits = [round(table)] * count
        spec.weight = spec.capacity_per_s * float(rng.uniform(1 - p.weights, 1 + p.weights))
        found.append(spec)
    return found


def _arrivals(model, rng, partners, troubles):
    """Times and partners: a wave with bursts on it, and clumps for one partner each."""
    traffic, length = model.traffic, model.length_s
    swing = _draw(rng, traffic.swing)
    phase, turns = rng.uniform(0, 2 * np.pi), rng.uniform(0.7, 2.0)
    clumps = _draw(rng, traffic.clump_share)
    bursts = [t for t in troubles if t.kind == "burst"]
    most = 1 + swing
    for b in bursts:
        most *= b.magnitude
    shares = np.array([p.traffic_share for p in partners])
    rate = traffic.rate_per_s * (1 - clumps)
    count = rng.poisson(rate * most * length)
    at = np.sort(rng.uniform(0, length, count))
    level = 1 + swing * np.sin(phase + 2 * np.pi * turns * at / length)
    for b in bursts:
        level = np.where((at >= b.at_ns / SECOND) & (at < b.until_ns / SECOND), level * b.magnitude, level)
    at = at[rng.random(count) * most < level]
    dest = rng.choice(len(partners), len(at), p=shares) + 1
    owed = traffic.rate_per_s * clumps * length
    times, dests = [at], [dest]
    while owed >= 1:
        partner = partners[rng.choice(len(partners), p=shares)]
        size = max(1, round(partner.capacity_per_s * _draw(rng, traffic.clump_s)))
        start = rng.uniform(0, length)
        inside = start + np.sort(rng.uniform(0, 0.3, size))
        times.append(inside[inside < length])
        dests.append(np.full(len(times[-1]), partner.number))
        owed -= size
    at, dest = np.concatenate(times), np.concatenate(dests)
    order = np.argsort(at, kind="stable")
    return (at[order] * SECOND).astype(np.int64), dest[order].astype(np.int32)


def _keys(model, rng, at, cls, dest):
    """Keys of the messages that keep their order: each lives for some seconds at one partner."""
    key = np.zeros(len(at), dtype=np.int64)
    ordered = np.array([c.in_order for c in model.classes])[cls]
    alive, serial = {}, 0
    for n in np.flatnonzero(ordered):
        mine = alive.setdefault(int(dest[n]), [])
        now = at[n] / SECOND
        mine[:] = [k for k in mine if k[1] > now]
        rested = [k for k in mine if k[2] <= now]
        if rested and rng.random() < 0.7:
            one = rested[int(rng.integers(len(rested)))]
        else:
            serial += 1
            one = [serial, now + _draw(rng, model.traffic.key_life_s), now]
            mine.append(one)
        one[2] = now + _draw(rng, model.traffic.key_gap_s)
        key[n] = one[0]
    return key


def _within(at, team, rates):
    """Whether each message is within its team's share: a bucket of two seconds of it."""
    level = [2 * r for r in rates]
    last = [0] * len(rates)
    found = np.ones(len(at), dtype=bool)
    for n, (now, one) in enumerate(zip(at.tolist(), team.tolist(), strict=True)):
        level[one] = min(2 * rates[one], level[one] + (now - last[one]) / SECOND * rates[one])
        last[one] = now
        if level[one] >= 1:
            level[one] -= 1
        else:
            found[n] = False
    return found


def _troubles(model, rng, shares):
    """Troubles with their figures; outages strike partners of some share of the traffic."""
    found = []
    for t in model.troubles:
        at, length = _draw(rng, t.at_s), _draw(rng, t.length_s)
        share, size = _draw(rng, t.share), _draw(rng, t.size)
        targets = []
        if t.kind in ("crash", "silent", "errors", "shut"):
            struck = 0.0
            for n in rng.permutation(len(shares)).tolist():
                if not targets or struck + shares[n] <= share:
                    targets.append(n + 1)
                    struck += shares[n]
        elif t.kind in ("restart", "kill"):
            count = max(1, round(share * model.couriers.count))
            targets = rng.permutation(model.couriers.count)[:count].tolist()
        elif t.kind in ("drain", "replace"):
            count = max(1, round(share * model.partners.endpoints))
            targets = rng.permutation(model.partners.endpoints)[:count].tolist()
        found.append(
            ScheduledFault(t.kind, int(at * SECOND), int((at + length) * SECOND), size, targets, t.batch,
                   int(_draw(rng, t.down_s) * SECOND), t.clear == "cold")
        )  # fmt: skip
    return found
