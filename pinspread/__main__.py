"""The command line: serve, version, and the configuration tool; bare, it serves."""

import argparse
import os
import signal
import sys
from pathlib import Path

import anyio

from pinspread.config import last_good, settings
from pinspread.config.amqp_front import AmqpFile, amqp_file
from pinspread.errors import JournalFormatError, JournalFullError

VERSION = "0.1.0"


def parser():
    """The sub-commands and their arguments."""
    top = argparse.ArgumentParser(prog="pinspread", description="A courier of messages to partners.")
    commands = top.add_subparsers(dest="command")
    serve = commands.add_parser("serve", help="serve: as the platform says, or as an application's file does")
    serve.add_argument("--app", metavar="FILE", help="an application's file; without it, RELAY_CONFIG counts")
    commands.add_parser("version", help="print the version")
    commands.add_parser(
        "fleet", help="the model of the fleet: experiments, comparisons, traces", add_help=False
    )
    commands.add_parser("demo", help="a courier and three stand-in partners, for 20 s", add_help=False)
    commands.add_parser("stage", help="couriers with membership and faults between them", add_help=False)
    for name, text in (
        ("members", "a courier's table of members"),
        ("leases", "who holds what"),
        ("copies", "what is copied"),
    ):
        shown = commands.add_parser(name, help=f"{text}, from its door")
        shown.add_argument("address", help="the door's address, as listen.admin has it")
        shown.add_argument("--json", action="store_true", help="as the door says it")
    config = commands.add_parser("config", help="write, check and show an application's file")
    actions = config.add_subparsers(dest="action", required=True)
    write = actions.add_parser("write", help="make a new application's file")
    write.add_argument("name")
    write.add_argument("--file", help="where to (deploy/NAME.toml)")
    for name, text in (
        (
            "check",
            "name every problem of a file with its place; of a platform's .json, what will count",
        ),
        ("records", "print the courier's own DNS-SD records"),
        ("hops", "print the next hops that the file's discovery finds"),
    ):
        actions.add_parser(name, help=text).add_argument("file")
    return top


def main(arguments=None):
    """Run a sub-command; its exit code."""
    arguments = sys.argv[1:] if arguments is None else arguments
    if arguments[:1] in (["fleet"], ["demo"], ["stage"]):
        return tool(arguments)
    chosen = parser().parse_args(arguments)
    try:
        if chosen.command == "version":
            print(f"pinspread {VERSION}")
        elif chosen.command == "config":
            return config(chosen)
        elif chosen.command in ("members", "leases", "copies"):
            return show(chosen)
        elif getattr(chosen, "app", None):
            serve_application(chosen.app)
        else:
            from pinspread import service as platform

            # Until it can be heeded: noted, for it may come after the file has been read.
            early = []
            signal.signal(signal.SIGHUP, lambda *_: early.append(True))
            options = platform.ServiceOptions(
                last_good.load_at_start(os.environ), amqp_file(), reread, early_sighup=early
            )
            anyio.run(platform.serve, options)
    except settings.SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    except (
        JournalFullError,
        JournalFormatError,
        OSError,
    ) as error:  # no folder to write to, an address in use
        print(f"pinspread: {error}", file=sys.stderr)
        return 1
    return 0


def tool(arguments):
    """The tools on a command line of their own; what they need is loaded only here."""
    try:
        from pinspread.simulation import cli
    except ModuleNotFoundError as error:
        print(f"pinspread: {arguments[0]} needs the extra 'fleet': {error.name} is missing", file=sys.stderr)
        return 2
    program = {"fleet": cli.app, "demo": cli.demo, "stage": cli.stage}[arguments[0]]
    try:
        program(arguments[1:], prog_name=f"pinspread {arguments[0]}")
    except SystemExit as end:  # of the library: its words are said already
        return end.code or 0
    return 0


def show(chosen):
    """Print what a courier's door tells of a part of the fleet; 1 if it cannot."""
    import time

    import orjson

    from pinspread.admin import status_client as show

    try:
        view = show.fetch(chosen.address, chosen.command)
    except (OSError, ValueError) as error:
        print(f"pinspread: {chosen.command}: {error}", file=sys.stderr)
        return 1
    if chosen.json:
        print(orjson.dumps(view).decode())
    else:
        print(*show.FORMATTERS[chosen.command](view, time.monotonic_ns() // 1000), sep="\n")
    return 0


def reread(last):
    """The configuration file by now, where it has discovery, and where it has notices."""
    told = settings.from_environment(os.environ, last)
    from pinspread.service import ReloadedSettings

    return ReloadedSettings(told, told.discovery, told.discovery)


def config(chosen):
    """The configuration tool; what only it needs is loaded only here."""
    from pinspread.config import application, dnssd

    if chosen.action == "write":
        text = application.template(chosen.name)
        found = application.problems(text)
        if found:
            raise settings.SettingsError("\n".join(found))
        path = Path(chosen.file or f"deploy/{chosen.name}.toml")
        try:
            with open(path, "x") as file:  # never over a file that somebody has edited
                file.write(text)
        except OSError as error:
            raise settings.SettingsError(f"{path}: {error.strerror}") from None
        print(path)
        return 0
    if chosen.action == "check" and chosen.file.endswith(".json"):
        from pinspread.config.summary import summary

        told = settings.from_environment({"RELAY_CONFIG": chosen.file})
        print(f"{chosen.file}: no problems", *summary(told), sep="\n")
        return 0
    file = application.load(chosen.file)
    if chosen.action == "check":
        print(f"{chosen.file}: no problems")
    elif chosen.action == "records":
        print(dnssd.own_records(file), end="")
    else:
        found = dnssd.browse(records(file), file.discovery.services, {k: n for n, k in enumerate(file.kinds)})
        for hop, state in found:
            print(f"{hop.destination}\t{hop.scheme}\t{hop.address}\t{state.name.lower()}\t{hop.id}")
    return 0


def records(file):
    """The source of the file's DNS-SD records."""
    from pinspread.config import dnssd

    return dnssd.Records(file.discovery.domain, file.discovery.zone_file, file.discovery.server)


def serve_application(path):
    """Serve off the platform."""
    from pinspread import service as platform
    from pinspread.config import application, dnssd

    early = []
    signal.signal(signal.SIGHUP, lambda *_: early.append(True))
    file = application.load(path)
    Path(file.journal.folder).mkdir(parents=True, exist_ok=True)
    amqp = AmqpFile(file.listen.amqp, file.listen.heartbeat_s)

    def discover(courier):
        wanted = file.discovery
        return dnssd.DnsSd(courier, records(file), wanted.services, wanted.refresh_s)

    def again(_):
        file = application.load(path)
        address = file.notices.address if file.notices else ""
        return platform.ReloadedSettings(application.told(file), records(file), address)

    background_services = []
    if file.members:  # Danger: serving loads membership only where a file turns it on
        from pinspread.membership.service import MembershipService

        background_services.append(MembershipService(file.members.plan(), records(file)))
    if file.leases:
        from pinspread.leases.service import LeaseService

        background_services.append(
            LeaseService(file.leases.plan(file.journal.folder), background_services[0])
        )
    if file.copies:
        from pinspread.replication.service import ReplicationService

        background_services.append(
            ReplicationService(file.copies.plan(file.journal.folder), *background_services[:2])
        )
    told = application.told(file)
    options = platform.ServiceOptions(
        told,
        amqp,
        again,
        make_discovery=discover,
        amqp_login=file.brokers.login(),
        background_services=background_services,
        early_sighup=early,
    )
    anyio.run(platform.serve, options)


if __name__ == "__main__":
    sys.exit(main())
