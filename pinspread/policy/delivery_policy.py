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
    """The policy of one sender: `handle` maps events to actions, without I/O, a clock or shared state."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.context = PolicyContext(settings, Random(seed))
        self.limits = RateLimitPolicy(self.context)
        self.discovery = Discovery(self.limits)
        self.balancer = LoadBalancer(self.limits, self.discovery.endpoints)
        self.outliers = OutlierDetector(self.balancer)
        self.dispatcher = Dispatcher(self.outliers)
        self.messages = self.dispatcher.messages  # messages that have not ended, by request
        self.timer_tag, self.timer_ns = 0, NEVER  # tag and time of the timer that is set
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Decide by these settings from now on; messages keep the rules that they were accepted under."""
        self.context.settings = settings
        self.context.fleet_factor = min(1.0, SMALL_FLEET_SIZE / settings.senders)

    def handle(self, now_ns: int, batch: list[events.Event]) -> list[Action]:
        """Apply the events of one turn and return the actions, in order.

        Raises:
            TypeError: An event is of an unknown type.
        """
        self.context.now_ns, self.context.actions = now_ns, []
        for event in batch:
            self._apply_event(event)
        if self.discovery.next_poll_ns <= now_ns:
            self.discovery.next_poll_ns = NEVER  # the answer schedules the next poll
            self.context.actions.append(Subscribe())
        wake_ns = min(self.dispatcher.dispatch(), self.discovery.next_poll_ns)
        if wake_ns < min(self.timer_ns, NEVER):  # else the timer that is set fires in time
            self.timer_tag, self.timer_ns = self.timer_tag + 1, wake_ns
            self.context.actions.append(SetTimer(self.timer_tag, max(1, wake_ns - now_ns)))
        self.balancer.close_unused()
        return self.context.actions

    def _apply_event(self, event: events.Event) -> None:
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
