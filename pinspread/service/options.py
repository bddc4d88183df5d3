"""The options with which the command line starts a service."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import anyio

from pinspread.amqp.transport import GUEST_LOGIN
from pinspread.config.amqp_front import AmqpFile
from pinspread.config.settings import EffectiveSettings
from pinspread.core.clock import Clock
from pinspread.core.engine import DeliveryEngine
from pinspread.core.ports import BackgroundService, Discovery


class ReloadedSettings(NamedTuple):
    """The result of a reload.

    Attributes:
        settings: The settings.
        discovery_source: The platform's address, or the `DnsSdSource`.
        notification_address: Where the platform is notified of final results.
        amqp_login: The response of the PLAIN mechanism, sent to brokers.
    """

    settings: EffectiveSettings
    discovery_source: Any
    notification_address: str
    amqp_login: str = GUEST_LOGIN


@dataclass(slots=True)
class ServiceOptions:
    """The options of a service.

    Attributes:
        settings: The settings at the start.
        amqp: The AMQP front's address and heartbeat.
        reload: Reads the configuration again, given the settings in force; SettingsError if it is unusable.
        make_discovery: Creates the discovery; None: the platform's is used.
        amqp_login: The response of the PLAIN mechanism, sent to brokers.
        background_services: Services that run next to the engine.
        early_sighup: Not empty if SIGHUP arrived while the process was starting.
        clock: The clock of the process.
        open_signal_receiver: Opens the receiver of signals, which replaces their default actions.
    """

    settings: EffectiveSettings
    amqp: AmqpFile
    reload: Callable[[EffectiveSettings], ReloadedSettings]
    make_discovery: Callable[[DeliveryEngine], Discovery] | None = None
    amqp_login: str = GUEST_LOGIN
    background_services: Sequence[BackgroundService] = ()
    early_sighup: Sequence[bool] = ()
    clock: Clock = field(default_factory=Clock)
    open_signal_receiver: Callable[..., Any] = anyio.open_signal_receiver
