"""What a process is made of, as the command line passes it in."""

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
    """What applies after SIGHUP: the settings, where discovery is, and the notifications' address."""

    settings: EffectiveSettings
    discovery_source: Any  # an address of the platform's, or the records of DNS-SD
    notification_address: str


@dataclass(slots=True)
class ServiceOptions:
    """What a process is made of.

    Attributes:
        settings: The settings at the start.
        amqp: Where the AMQP front listens.
        reload: Reads the configuration again, given the settings in force; SettingsError if it is unusable.
        make_discovery: Makes another discovery than the platform's.
        amqp_login: The PLAIN response for brokers.
        background_services: What runs next to the engine.
        early_sighup: Not empty if SIGHUP came since before the configuration was read.
        clock: The clock of the process.
        open_signal_receiver: Receives signals in place of their default actions.
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
