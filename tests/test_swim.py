"""SWIM's decisions on a network in memory.

Dead members are detected, members that pause briefly are not declared dead, and outdated claims do not
make a dead member alive again.
"""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pinspread.membership import message_codec, swim
from pinspread.membership.failure_detector import Probe
from pinspread.membership.members import PRECEDENCE, MemberRecord, MemberState
from pinspread.membership.messages import Ping, Sync, Update
from pinspread.membership.suspicion import suspicion_timeout_us

MS = 1000
FAST = swim.SwimConfig(period_us=200 * MS, timeout_us=80 * MS)


def timeout_us(member, confirmations):
    return suspicion_timeout_us(member.config, member.members.size, confirmations)


class SimulatedNetwork:
    """Members whose messages arrive after 2 ms; a fraction is lost, links can be cut and members stopped."""

    def __init__(self, n, loss=0.0, seed=1, tuning=None):
        self.rng = random.Random(seed)
        self.loss, self.now, self.in_flight = loss, 0, []
        self.members = {}
        for i in range(n):
            self.members[f"m{i}"] = swim.SwimMember(
                f"m{i}", f"a{i}", config=tuning, rng=random.Random(seed * 100 + i)
            )
            self.members[f"m{i}"].set_seeds(["a0"])
        self.stopped, self.cut = set(), set()  # member ids; (sender id, receiver id) pairs

    def member_at(self, address):
        return next(m for m in self.members.values() if m.address == address)

    def send(self, sender, out):
        for address, message in out:
            receiver = self.member_at(address)
            if (sender.id, receiver.id) in self.cut or self.rng.random() < self.loss:
                continue
            self.in_flight.append((self.now + 2 * MS, receiver.id, message))

    def run(self, until_us, step_us=10 * MS):
        while self.now < until_us:
            self.now += step_us
            due = [sent for sent in self.in_flight if sent[0] <= self.now]
            self.in_flight = [sent for sent in self.in_flight if sent[0] > self.now]
            for _, receiver, message in due:
                if receiver not in self.stopped:
                    self.send(self.members[receiver], self.members[receiver].receive(message, self.now))
            for m in self.members.values():
                if m.id not in self.stopped:
                    self.send(m, m.tick(self.now))

    def state(self, observer, subject):
        row = self.members[observer].table.get(subject)
        return row.state if row else None

    def states(self, subject):
        return {self.state(m, subject) for m in self.members if m != subject and m not in self.stopped}


def test_members_join_through_a_seed_and_see_all():
    net = SimulatedNetwork(6)
    net.run(15_000 * MS)
    for m in net.members.values():
        assert len(m.others(MemberState.ALIVE)) == 5, m.view()


def test_a_stopped_member_is_found_dead_by_all():
    net = SimulatedNetwork(6)
    net.run(15_000 * MS)
    net.stopped.add("m3")
    net.run(45_000 * MS)
    assert net.states("m3") == {MemberState.DEAD}


def test_a_short_pause_is_suspected_at_most_and_refuted():
    net = SimulatedNetwork(6)
    net.run(15_000 * MS)
    net.stopped.add("m3")
    net.run(net.now + 1_500 * MS)  # longer than the probe time-out, much shorter than the suspicion time-out
    net.stopped.discard("m3")
    net.run(net.now + 20_000 * MS)
    assert net.states("m3") == {MemberState.ALIVE}
    m3_events = [e for m in net.members.values() for e in m.events if getattr(e, "id", None) == "m3"]
    assert not any(e.state == MemberState.DEAD for e in m3_events)


def test_a_long_pause_is_dead_then_back_with_a_higher_incarnation():
    net = SimulatedNetwork(6)
    net.run(15_000 * MS)
    net.stopped.add("m3")
    net.run(net.now + 60_000 * MS)
    dead_incarnation = net.members["m0"].table["m3"].incarnation
    net.stopped.discard("m3")
    net.run(net.now + 30_000 * MS)
    assert net.states("m3") == {MemberState.ALIVE}
    assert net.members["m3"].incarnation > dead_incarnation


def test_a_one_way_cut_keeps_the_member_alive_by_indirect_probes():
    net = SimulatedNetwork(6)
    net.run(15_000 * MS)
    net.cut |= {("m0", "m3"), ("m3", "m0")}
    net.run(net.now + 60_000 * MS)
    assert net.states("m3") == {MemberState.ALIVE}


def split(net, *groups):
    """Cut the links between groups of member ids until every member holds those of other groups for dead."""
    group_of = {member: number for number, group in enumerate(groups) for member in group}
    net.cut = {(a, b) for a in group_of for b in group_of if group_of[a] != group_of[b]}
    net.run(net.now + 60_000 * MS)
    assert all(net.state(a, b) == MemberState.DEAD for a, b in net.cut)


def all_agree(net):
    return all(net.states(member) == {MemberState.ALIVE} for member in net.members)


def test_two_exchanges_at_once_across_a_healed_partition_do_not_split_the_members_anew():
    """Guards against rows of dead members that are taken over from the other side's table as they are."""
    net = SimulatedNetwork(4, tuning=FAST)
    net.run(15_000 * MS)
    split(net, ["m0", "m1"], ["m2", "m3"])
    net.cut = set()
    net.in_flight.clear()
    for member in net.members.values():  # nothing but the two exchanges is sent meanwhile
        member.next_probe_us = net.now + 100 * MS
        member.table_sync.next_us = net.now + 60_000 * MS
    for sender, receiver in (("m1", "m2"), ("m0", "m3")):
        member = net.members[sender]
        table = tuple(Update.from_record(record, sender) for record in member.table.values())
        message = Sync(sender=sender, sender_address=member.address, incarnation=0, table=table, reply=True)
        net.send(member, [(net.members[receiver].address, message)])
    net.run(net.now + 10_000 * MS)
    assert all_agree(net), {member: net.states(member) for member in net.members}


@pytest.mark.parametrize("seed", range(20))
def test_a_healed_partition_has_one_table_after_one_interval_of_exchanges(seed):
    """Guards against a merge that is left to chance."""
    net = SimulatedNetwork(5, seed=seed, tuning=FAST)
    net.run(15_000 * MS)
    split(net, ["m0", "m1"], ["m2", "m3"], ["m4"])
    net.cut = set()
    net.run(net.now + FAST.sync_us + 5 * FAST.period_us)
    assert all_agree(net), {member: net.states(member) for member in net.members}


def test_a_member_held_for_dead_is_told_so_and_nobody_else_is():
    """Guards against outdated deaths that gossip carries to members that already know of the return."""
    observer, returned = (swim.SwimMember(f"m{i}", f"a{i}", rng=random.Random(i)) for i in (1, 2))
    for state in (MemberState.ALIVE, MemberState.DEAD):
        observer.apply(Update("m2", "a2", 0, state, "m3"), 0)
    observer.cluster.gossip.clear()
    returned.apply(Update("m1", "a1", 0, MemberState.ALIVE, "m1"), 0)
    ping = next(m for _, m in returned.tick(0) if isinstance(m, Ping))
    ((_, ack),) = observer.receive(ping, 1)
    assert ack.updates == (Update("m2", "a2", 0, MemberState.DEAD, "m1"),)
    assert "m2" not in observer.cluster.gossip


def test_tables_are_exchanged_again_soon_when_a_member_returns_while_others_are_dead():
    """Guards against two members that hold each other for dead: they do not probe each other."""
    a = swim.SwimMember("a", "xa")
    for other in ("b", "c"):
        for state in (MemberState.ALIVE, MemberState.DEAD):
            a.apply(Update(other, f"x{other}", 0, state, "d"), 0)
    a.table_sync.next_us = 10**9
    a.receive(Ping(sender="b", sender_address="xb", incarnation=1, sequence=1, target="a"), 5)
    assert a.table_sync.next_us == 5 + a.config.period_us
    assert set(a.table_sync.begin(a.table_sync.next_us)) == {"xb", "xc"}  # a live member and a dead one
    a.table_sync.next_us = 10**9
    a.receive(Ping(sender="c", sender_address="xc", incarnation=1, sequence=2, target="a"), 6)
    assert a.table_sync.next_us == 10**9  # nobody is dead any more


def test_the_table_of_another_member_adds_no_dead_member_that_was_unknown():
    a = swim.SwimMember("a", "xa")
    a.apply(Update("b", "xb", 0, MemberState.DEAD, "c"), 0, from_table=True)
    assert "b" not in a.table


def test_ten_percent_loss_kills_nobody():
    net = SimulatedNetwork(8, loss=0.10, seed=4)
    net.run(90_000 * MS)
    deaths = [
        e for m in net.members.values() for e in m.events if getattr(e, "state", None) == MemberState.DEAD
    ]
    assert deaths == []


def test_a_suspicion_shrinks_with_confirmations():
    m = swim.SwimMember("a", "x")
    for i in range(15):
        m.members.records[f"b{i}"] = MemberRecord(f"b{i}", f"y{i}", 0, MemberState.ALIVE, 0)
    times = [timeout_us(m, c) for c in range(4)]
    assert times == sorted(times, reverse=True) and times[0] > times[-1]
    assert times[-1] == timeout_us(m, 10)  # never below the shortest time-out


claims = st.tuples(
    st.integers(0, 5),
    st.sampled_from([MemberState.ALIVE, MemberState.SUSPECT, MemberState.DEAD, MemberState.LEFT]),
)


@given(st.lists(claims, max_size=30))
def test_no_rumour_of_an_older_incarnation_changes_a_row(updates):
    """In any order of claims a row's incarnation never falls, nor its precedence at the same incarnation."""
    m = swim.SwimMember("a", "x")
    before = None
    for incarnation, state in updates:
        m.apply(Update("b", "y", incarnation, state, "c"), 0)
        row = m.table.get("b")
        if row is None:
            continue
        if before is not None:
            assert (row.incarnation, PRECEDENCE[row.state]) >= before
        before = (row.incarnation, PRECEDENCE[row.state])


@given(
    st.lists(
        st.tuples(st.integers(0, 5), st.sampled_from([MemberState.SUSPECT, MemberState.DEAD])), max_size=20
    )
)
def test_a_member_refutes_every_rumour_of_its_own_end(rumours):
    m = swim.SwimMember("a", "x")
    for incarnation, state in rumours:
        m.apply(Update("a", "x", incarnation, state, "b"), 0)
        assert m.incarnation > incarnation and m.table["a"].state == MemberState.ALIVE


def test_a_failed_probe_of_a_suspect_confirms_the_suspicion_elsewhere():
    a, b = swim.SwimMember("a", "xa"), swim.SwimMember("b", "xb")
    for m in (a, b):
        m.apply(Update("x", "xx", 0, MemberState.ALIVE, "x"), 0)
        m.apply(Update("a" if m is b else "b", "xa" if m is b else "xb", 0, MemberState.ALIVE, "a"), 0)
    a.apply(Update("x", "xx", 0, MemberState.SUSPECT, "a"), 0)  # a's own suspicion
    b.apply(Update("x", "xx", 0, MemberState.SUSPECT, "a"), 0)  # b received the claim
    b.probe_failed(Probe("x", 1, 1, 2, True, 1, nacks=1), 10)  # then b's own probe of x failed as well
    for update in b.cluster.take_updates():
        a.apply(update, 20)
    assert a.cluster.suspicions["x"].confirmers == {"b"}
    assert timeout_us(a, 1) < timeout_us(a, 0)


def test_repeats_of_the_first_suspicion_confirm_nothing():
    a = swim.SwimMember("a", "xa")
    a.apply(Update("x", "xx", 0, MemberState.ALIVE, "x"), 0)
    a.apply(Update("x", "xx", 0, MemberState.SUSPECT, "b"), 0)
    for _ in range(3):
        # The same claim, received through other members.
        a.apply(Update("x", "xx", 0, MemberState.SUSPECT, "b"), 1)
    assert a.cluster.suspicions["x"].confirmers == set()
    a.apply(Update("x", "xx", 0, MemberState.SUSPECT, "c"), 2)
    assert a.cluster.suspicions["x"].confirmers == {"c"}


def test_a_table_of_5000_rows_goes_in_messages_that_fit_a_datagram_and_a_newcomer_gets_all():
    big = swim.SwimMember("big", "10.0.0.1:7946", rng=random.Random(1))
    for n in range(5000):
        big.apply(Update(f"courier-{n}", f"10.1.{n // 250}.{n % 250}:7946", n % 3, MemberState.ALIVE, "x"), 0)
    newcomer = swim.SwimMember("new", "10.0.0.2:7946", rng=random.Random(2))
    newcomer.set_seeds(["10.0.0.1:7946"])
    (address, request), *_ = newcomer.tick(0)
    assert address == "10.0.0.1:7946" and isinstance(request, Sync)
    answers = [m for _, m in big.receive(request, 1)]
    for message in [*answers, *(m for _, m in big.tick(1))]:
        assert len(message_codec.encode_message(message, b"fleet")) <= 60_000
        newcomer.receive(message, 2)
    assert len(newcomer.table) == len(big.table) == 5002
    sampled_ids = set()
    for _ in range(200):  # members that know each other exchange samples, which together cover the table
        sampled_ids |= {record.id for record in big.table_sync.sample()}
    assert len(sampled_ids) == len(big.table)


def test_a_suspected_member_is_notified_in_every_message_to_it_however_often_the_rumour_was_sent():
    suspecting, suspected = (swim.SwimMember(f"m{i}", f"a{i}", rng=random.Random(i)) for i in (1, 2))
    suspecting.apply(Update("m2", "a2", 0, MemberState.ALIVE, "m2"), 0)
    suspecting.apply(Update("m2", "a2", 0, MemberState.SUSPECT, "m3"), 0)
    suspecting.cluster.gossip.clear()  # as if it had been sent its number of times, to other members
    suspected.apply(Update("m1", "a1", 0, MemberState.ALIVE, "m1"), 0)
    ping = next(m for _, m in suspected.tick(0) if isinstance(m, Ping))
    ((_, ack),) = suspecting.receive(ping, 1)
    # m3, which raised the suspicion, is named as its reporter, so that it does not count as a confirmation.
    assert ack.updates == (Update("m2", "a2", 0, MemberState.SUSPECT, "m3"),)
    suspected.receive(ack, 2)
    assert suspected.incarnation == 1
    suspecting.receive(
        next(m for _, m in suspected.tick(swim.SwimConfig().period_us) if isinstance(m, Ping)), 3
    )
    assert suspecting.table["m2"].state == MemberState.ALIVE


def test_only_the_target_acknowledges_a_direct_probe():
    a = swim.SwimMember("a", "xa")
    for other in ("b", "c"):
        a.apply(Update(other, f"x{other}", 0, MemberState.ALIVE, other), 0)
    probe = a.detector.begin_probe("b", 0)
    a.detector.acknowledge(probe.sequence, "c")
    assert not probe.acknowledged
    a.detector.acknowledge(probe.sequence, "b")
    assert probe.acknowledged
    indirect = a.detector.begin_probe("b", 0)
    indirect.indirect_requested = True
    a.detector.acknowledge(indirect.sequence, "c")
    assert indirect.acknowledged
