"""Records the events and actions of one policy in a file of `tests/data/decisions/`."""

import gzip

import decision_recordings

from pinspread.policy.delivery_policy import DeliveryPolicy


class Recorder:
    """A policy that records its events and actions for up to `max_turns` turns."""

    def __init__(self, name, settings, seed, max_turns):
        self.name, self.max_turns = name, max_turns
        self.policy = DeliveryPolicy(settings, seed)
        self.lines = [decision_recordings.text([seed, decision_recordings.SETTINGS.write(settings)])]
        self.now = self.actions = 0
        self.digest = ""

    @property
    def turns(self):
        """Number of recorded turns."""
        return len(self.lines) - 1

    def handle(self, now_ns, events):
        """Pass a turn's events to the policy, and return its actions."""
        if self.turns >= self.max_turns:
            self.digest = self.digest or decision_recordings.random_digest(self.policy)
            return self.policy.handle(now_ns, events)
        event_text = decision_recordings.text(decision_recordings.rows_of(decision_recordings.EVENTS, events))
        actions = self.policy.handle(now_ns, events)
        action_text = decision_recordings.text(
            decision_recordings.rows_of(decision_recordings.ACTIONS, actions)
        )
        self.lines.append(f"{now_ns - self.now}\t{event_text}\t{action_text}")
        self.now = now_ns
        self.actions += len(actions)
        return actions

    def save(self):
        """Write the file and replay it; return the numbers of turns, actions and bytes."""
        lines = [*self.lines, self.digest or decision_recordings.random_digest(self.policy)]
        packed = gzip.compress("\n".join(lines).encode(), 9, mtime=0)
        (decision_recordings.RECORDINGS / f"{self.name}.gz").write_bytes(packed)
        decision_recordings.replay(self.name)
        print(
            f"{self.name:32} {self.turns:6} turns {self.actions:6} actions {len(packed):8} bytes", flush=True
        )
        return self.turns, self.actions, len(packed)
