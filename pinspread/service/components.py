"""Creates and connects the components of a process, and applies reloaded settings to them."""

from typing import TYPE_CHECKING, cast

from pinspread.amqp.server import FRONT_NAME as AMQP
from pinspread.amqp.server import AmqpFront
from pinspread.amqp.transport import BrokerTransport
from pinspread.config.settings import EffectiveSettings
from pinspread.core.engine import DeliveryEngine
from pinspread.core.folder_lock import FolderLock
from pinspread.core.journal import Journal
from pinspread.core.ports import Discovery, Transport
from pinspread.core.time_base import adopt_offset
from pinspread.discovery.client import DiscoveryClient
from pinspread.http.transport import HttpTransport
from pinspread.policy.delivery_policy import DeliveryPolicy
from pinspread.resp.front import NAME as RESP
from pinspread.resp.front import RespFront
from pinspread.resp.notifications import NotificationSender
from pinspread.service.options import ReloadedSettings, ServiceOptions
from pinspread.sockets import ConnectionLimiter

if TYPE_CHECKING:
    from anyio.abc import TaskGroup


class Components:
    """The components of one process; creating them starts none.

    Attributes:
        folder: The state folder.
        clock: The clock of the process.
        lock: The lock of the state folder, not acquired.
        engine: The engine, with its fronts, transports and background services.
        limiter: Limits client connections; shared by both fronts.
        discovery: Reports endpoints to the engine.
        broker_transport: Publishes to AMQP brokers; None before `connect_brokers`.
        notifications: Notifies the platform of its clients' final results.
    """

    def __init__(self, options: ServiceOptions) -> None:
        settings = options.settings
        self.folder = settings.state
        self.clock = options.clock
        self.lock = FolderLock(settings.state)
        self.engine = _make_engine(options)
        self.notifications = NotificationSender(settings.discovery)
        self.limiter = ConnectionLimiter(self.clock, *_connection_limits(settings))
        self.http_transport = HttpTransport(
            self.clock, settings.connect_timeout_us, settings.load_reports_enabled
        )
        self.broker_transport: BrokerTransport | None = None
        self.resp_front = RespFront(self.engine, self.notifications, self.limiter)
        self.amqp_front = AmqpFront(self.engine, options.amqp.heartbeat_s, self.limiter)
        self.engine.transports["http"] = self.http_transport
        self.engine.fronts[RESP] = self.resp_front
        self.engine.fronts[AMQP] = self.amqp_front
        self.discovery = _make_discovery(options, self.engine)
        self.engine.subscribe = self.discovery.poll
        self.background_services = list(options.background_services)
        for background in self.background_services:
            background.attach(self.engine)

    def connect_brokers(self, tasks: "TaskGroup", connect_timeout_us: int, login: str) -> None:
        """Add the transport to AMQP brokers, whose connections run in `tasks`."""
        transport = BrokerTransport(self.clock, tasks, connect_timeout_us, login)
        self.broker_transport = transport
        self.engine.transports["amqp"] = cast("Transport", transport)  # bundles go by HTTP only

    def adopt_time_base(self) -> None:
        """Go on with the Unix times of the folder's earlier processes, once this process owns the folder.

        Replicas are read on other machines, whose only common time is the wall clock's.
        """
        if self.engine.replication is None:
            self.clock.offset_us = adopt_offset(self.folder, self.clock.offset_us)

    def recover(self) -> None:
        """Restore the endpoint list that was saved last, and recover messages from the journal."""
        self.discovery.start()
        self.engine.recover()

    def apply_settings(self, new: ReloadedSettings) -> None:
        """Apply reloaded settings to all components, in one step between two turns of the engine."""
        settings = new.settings
        self.engine.apply_settings(settings)
        self.http_transport.dial_us = settings.connect_timeout_us
        self.http_transport.reports = settings.load_reports_enabled
        if self.broker_transport is not None:
            self.broker_transport.connect_timeout_us = settings.connect_timeout_us
            self.broker_transport.login = new.amqp_login
        self.limiter.resize(*_connection_limits(settings))
        self.engine.journal.resize(settings.disk_bytes)
        self.discovery.apply_settings(settings)
        self.discovery.change_address(new.discovery_source)
        self.notifications.change_address(new.notification_address)


def _make_engine(options: ServiceOptions) -> DeliveryEngine:
    settings = options.settings
    journal = Journal(settings.state, settings.disk_bytes)
    policy = DeliveryPolicy(settings.policy_settings, settings.seed)
    return DeliveryEngine(policy, settings, options.clock, journal)


def _make_discovery(options: ServiceOptions, engine: DeliveryEngine) -> Discovery:
    """The discovery that the options specify, otherwise the platform's."""
    if options.make_discovery:
        return options.make_discovery(engine)
    return DiscoveryClient(options.settings.discovery, engine, options.settings)


def _connection_limits(settings: EffectiveSettings) -> tuple[int, int]:
    """The limits on client connections: their number, and the bytes of memory for them."""
    return settings.sockets * 5 // 8, settings.memory_bytes // 8
