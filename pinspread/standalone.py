"""Serving without the platform: a node that is configured by an application's file.

Membership, leases and replication are imported only if the file has their tables.
"""

import os
from collections.abc import Sequence
from pathlib import Path
from typing import TYPE_CHECKING

from pinspread.config import application
from pinspread.config.amqp_front import AmqpFile
from pinspread.config.dnssd import DnsSdDiscovery, DnsSdSource, Records
from pinspread.config.models import Brokers, Copies, File, Leases, Members
from pinspread.config.settings import EffectiveSettings, SettingsError, check_complete
from pinspread.core.engine import DeliveryEngine
from pinspread.core.ports import BackgroundService
from pinspread.core.time_units import US_PER_MS, US_PER_S
from pinspread.service import ReloadedSettings, ServiceOptions

if TYPE_CHECKING:
    from pinspread.leases.service import LeaseConfig
    from pinspread.membership.service import MembershipConfig
    from pinspread.replication.config import ReplicationConfig


def service_options(path: str, seed: int, early_sighup: Sequence[bool]) -> ServiceOptions:
    """The options of a service that is configured by this file; its state folder is created if missing.

    Raises:
        SettingsError: The file is unusable, or the password file that it names cannot be read.
        OSError: The state folder cannot be created.
    """
    file = application.load(path)
    Path(file.journal.folder).mkdir(parents=True, exist_ok=True)

    def make_discovery(engine: DeliveryEngine) -> DnsSdDiscovery:
        return DnsSdDiscovery(engine, dns_sd_source(file))

    def reload(last: EffectiveSettings) -> ReloadedSettings:
        new = application.load(path)
        effective = application.effective_settings(new, application.random_seed())
        check_complete(effective, last.key_kinds)
        notification_address = application.notification_address(new)
        return ReloadedSettings(effective, dns_sd_source(new), notification_address, amqp_login(new.brokers))

    return ServiceOptions(
        application.effective_settings(file, seed),
        AmqpFile(file.listen.amqp, file.listen.heartbeat_s),
        reload,
        make_discovery=make_discovery,
        amqp_login=amqp_login(file.brokers),
        background_services=background_services(file),
        early_sighup=early_sighup,
    )


def records(file: File) -> Records:
    """The source of DNS-SD records that the file names."""
    return Records(file.discovery.domain, file.discovery.zone_file, file.discovery.server)


def dns_sd_source(file: File) -> DnsSdSource:
    """Where the file has endpoints discovered."""
    return DnsSdSource(records(file), file.discovery.services, file.discovery.refresh_s)


def amqp_login(brokers: Brokers) -> str:
    """The response of AMQP's PLAIN mechanism; SettingsError if the password file cannot be read."""
    if not brokers.password_file:
        return f"\0{brokers.user}\0guest"
    try:
        with open(brokers.password_file) as file:
            return f"\0{brokers.user}\0{file.readline().rstrip()}"
    except OSError as error:
        raise SettingsError(f"brokers.password_file: {error}") from None


def background_services(file: File) -> list[BackgroundService]:
    """Membership, leases and replication, if the file turns them on; each needs those before it."""
    services: list[BackgroundService] = []
    if file.members:
        from pinspread.membership.service import MembershipService

        membership = MembershipService(membership_config(file.members), records(file))
        services.append(membership)
    if file.leases:
        from pinspread.leases.service import LeaseService

        leases = LeaseService(lease_config(file.leases, file.journal.folder), membership)
        services.append(leases)
    if file.copies:
        from pinspread.replication.service import ReplicationService

        config = replication_config(file.copies, file.journal.folder)
        services.append(ReplicationService(config, membership, leases))
    return services


def membership_config(members: Members) -> "MembershipConfig":
    """The configuration of `pinspread.membership`."""
    from pinspread.membership.service import MembershipConfig
    from pinspread.membership.swim import SwimConfig

    swim = SwimConfig(
        period_us=_microseconds(members.period_s),
        timeout_us=_microseconds(members.timeout_s),
        indirect_probes=members.indirect,
        suspicion_alpha=members.suspicion_alpha,
        suspicion_beta=members.suspicion_beta,
        gossip_lambda=members.gossip_lambda,
        sync_us=_microseconds(members.sync_s),
        forget_us=_microseconds(members.forget_s),
        max_health=members.most_health,
    )
    return MembershipConfig(
        id=members.id,
        listen=members.listen,
        advertise=members.advertise or members.listen,
        seeds=tuple(members.seeds),
        fleet_key=members.fleet.encode(),
        tuning=swim,
        clock_offset_us=members.clock_offset_ms * US_PER_MS,
        clock_rate=members.clock_rate,
        service=members.service,
    )


def lease_config(leases: Leases, folder: str) -> "LeaseConfig":
    """The configuration of `pinspread.leases`, which stores its data below `folder`."""
    from pinspread.leases.service import LeaseConfig, LeaseTask
    from pinspread.leases.state_machine import LeaseTerms

    tasks = [LeaseTask(task.name, task.address, _microseconds(task.every_s)) for task in leases.tasks]
    terms = LeaseTerms(
        lease_us=_microseconds(leases.lease_s),
        drift_us=_microseconds(leases.drift_s),
        margin_us=_microseconds(leases.margin_s),
        renew_us=_microseconds(leases.renew_s),
        retry_us=_microseconds(leases.retry_s),
    )
    return LeaseConfig(
        listen=leases.listen,
        advertise=leases.advertise or leases.listen,
        voters={voter.id: voter.address for voter in leases.voters},
        tasks=tuple(tasks),
        terms=terms,
        election_s=leases.election_s,
        folder=os.path.join(folder, "leases"),
        sync=leases.sync,
    )


def replication_config(copies: Copies, folder: str) -> "ReplicationConfig":
    """The configuration of `pinspread.replication`; it stores data below `folder` or where the file says."""
    from pinspread.replication.config import ReplicationConfig

    return ReplicationConfig(
        listen=copies.listen,
        folder=copies.folder or os.path.join(folder, "copies"),
        replica_count=copies.count,
        required_acks=copies.need,
        ack_timeout_us=_microseconds(copies.ack_s),
        allow_unreplicated=copies.alone,
        check_interval_us=_microseconds(copies.check_s),
        takeover_stagger_us=_microseconds(copies.stagger_s),
        incomplete_timeout_us=_microseconds(copies.patience_s),
        absence_timeout_us=_microseconds(copies.absent_s),
        sync_to_disk=copies.sync,
    )


def _microseconds(seconds: float) -> int:
    return int(seconds * US_PER_S)
