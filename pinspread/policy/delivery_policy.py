"""The delivery policy, composed of its parts; pinspread/policy/settings.py has its settings."""

from random import Random

from pinspread.policy import events
from pinspread.policy.actions import Action, SetTimer, Subscribe
from pinspread.policy.discovery import Discovery
from pinspread.policy.dispatch import Dispatcher
from pinspread.policy.load_balancing import LoadBalancer
from pinspread.policy.outlier_detection import OutlierDetector
from pinspread.policy.rate_limit import SMALL_FLEET_SIZE, RateLimitPolicy
from pinspread.policy.settings import Settings
from pinspread.policy.state import NEVER, PolicyContext


class DeliveryPolicy:
    """One sender: `handle` maps events to actions. No I/O, no clock, no state shared with other senders."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.context = PolicyContext(settings, Random(seed))
        self.limits = RateLimitPolicy(self.context)
        self.discovery = Discovery(self.limits)
        self.balancer = LoadBalancer(self.limits, self.discovery.endpoints)
        self.outliers = OutlierDetector(self.balancer)
        self.dispatcher = Dispatcher(self.outliers)
        self.messages = self.dispatcher.messages  # those that have not ended, by request
        self.timer_tag, self.timer_ns = 0, NEVER  # of the timer that is set
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Decide by these settings from now on; messages keep the rules that they came under."""
        self.context.settings = settings
        self.context.fleet_factor = min(1.0, SMALL_FLEET_SIZE / settings.senders)

    def handle(self, now_ns: int, batch: list[events.Event]) -> list[Action]:
        """Take the events of one turn and give the actions, in order; TypeError for an unknown event."""
        self.context.now_ns, self.context.actions = now_ns, []
        for event in batch:
            self._take(event)
        if self.discovery.next_poll_ns <= now_ns:
            self.discovery.next_poll_ns = NEVER  # the answer sets the next one
            self.context.actions.append(Subscribe())
        wake_ns = min(self.dispatcher.dispatch(), self.discovery.next_poll_ns)
        if wake_ns < min(self.timer_ns, NEVER):  # else an earlier wake-up is on its way
            self.timer_tag, self.timer_ns = self.timer_tag + 1, wake_ns
            self.context.actions.append(SetTimer(self.timer_tag, max(1, wake_ns - now_ns)))
        self.balancer.close_unused()
        return self.context.actions

    def _take(self, event: events.Event) -> None:
        match event:
            case events.AttemptCompleted():
                self.dispatcher.complete(event)
            case events.MessageAccepted():
                self.dispatcher.accept(event, self.discovery.destination(event.destination))
            case events.TimerFired():
                self.timer_ns = NEVER if event.tag == self.timer_tag else self.timer_ns
            case events.EndpointsChanged():
                self.discovery.update(event)
            case events.HealthCheckCompleted():
                self.outliers.on_health_check(self.discovery.endpoints[event.endpoint], event)
            case events.ClientCancelled():
                if message := self.dispatcher.messages.get(event.request):
                    self.dispatcher.end(message)
            case events.SettingsChanged():
                self.apply_settings(event.settings)
            case _:
                raise TypeError(f"unknown event {event!r}")
