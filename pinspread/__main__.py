"""The command line: serve, version, the configuration tool, views of a running node; bare, it serves."""

import argparse
import os
import signal
import sys
import time
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TYPE_CHECKING

from pinspread.config import settings
from pinspread.config.settings import EffectiveSettings, SettingsError
from pinspread.errors import JournalFormatError, JournalFullError

if TYPE_CHECKING:
    from pinspread.service import ReloadedSettings, ServiceOptions

VERSION = "0.1.0"

EXIT_FAILED = 1
EXIT_UNUSABLE = 2  # a file or a command line that cannot be used

# Sub-commands with a command line of their own: the names they answer to, and the tool in `simulation.cli`.
TOOLS = {"simulate": "app", "fleet": "app", "demo": "demo", "testbed": "stage", "stage": "stage"}
# Views of the admin server: the names of the sub-commands, and the view's own name in its path.
VIEWS = {"members": "members", "leases": "leases", "replication": "copies", "copies": "copies"}


def parser() -> argparse.ArgumentParser:
    """The sub-commands and their arguments."""
    top = argparse.ArgumentParser(
        prog="pinspread", description="Accepts messages and delivers each to its destination."
    )
    commands = top.add_subparsers(dest="command")
    serve = commands.add_parser("serve", help="serve: as the platform says, or as an application's file does")
    serve.add_argument("--app", metavar="FILE", help="an application's file; without it, RELAY_CONFIG counts")
    commands.add_parser("version", help="print the version")
    _add_tools(commands)
    _add_views(commands)
    _add_config(commands)
    return top


def _add_tools(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    for name, aliases, text in (
        ("simulate", ["fleet"], "the model of many nodes: experiments, comparisons, traces"),
        ("demo", [], "a node and three stand-in destinations, for 20 s"),
        ("testbed", ["stage"], "nodes with membership and faults between them"),
    ):
        commands.add_parser(name, aliases=aliases, help=text, add_help=False)


def _add_views(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    for name, aliases, text in (
        ("members", [], "a node's table of members"),
        ("leases", [], "who holds what"),
        ("replication", ["copies"], "what is replicated"),
    ):
        view = commands.add_parser(name, aliases=aliases, help=f"{text}, from its admin server")
        view.add_argument("address", help="the admin server's address, as listen.admin has it")
        view.add_argument("--json", action="store_true", help="as the admin server says it")


def _add_config(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    config = commands.add_parser("config", help="write, check and show an application's file")
    actions = config.add_subparsers(dest="action", required=True)
    write = actions.add_parser("write", help="make a new application's file")
    write.add_argument("name")
    write.add_argument("--file", help="where to (deploy/NAME.toml)")
    for name, aliases, text in (
        ("check", [], "name every problem of a file with its place; of a platform's .json, what will count"),
        ("records", [], "print the node's own DNS-SD records"),
        ("endpoints", ["hops"], "print the endpoints that the file's discovery finds"),
    ):
        actions.add_parser(name, aliases=aliases, help=text).add_argument("file")


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a sub-command; its exit code."""
    arguments = list(sys.argv[1:] if arguments is None else arguments)
    if arguments and arguments[0] in TOOLS:
        return run_tool(arguments[0], arguments[1:])
    chosen = parser().parse_args(arguments)
    try:
        return _run(chosen)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_UNUSABLE
    except (JournalFullError, JournalFormatError, OSError) as error:  # no room, an address in use
        print(f"pinspread: {error}", file=sys.stderr)
        return EXIT_FAILED


def _run(chosen: argparse.Namespace) -> int:
    if chosen.command == "version":
        print(f"pinspread {VERSION}")
        return 0
    if chosen.command == "config":
        return CONFIG_ACTIONS[chosen.action](chosen)
    if chosen.command in VIEWS:
        return show_view(chosen)
    if getattr(chosen, "app", None):
        serve_application(chosen.app)
    else:
        serve_platform()
    return 0


# --- serving --------------------------------------------------------------------------------------


def serve_platform() -> None:
    """Serve as the platform's file says."""
    from pinspread.config import last_good
    from pinspread.config.amqp_front import amqp_file
    from pinspread.service import ServiceOptions

    early_sighup = _note_sighup()
    effective = last_good.load_at_start(os.environ)
    _serve(ServiceOptions(effective, amqp_file(), reload_platform, early_sighup=early_sighup))


def serve_application(path: str) -> None:
    """Serve off the platform."""
    from pinspread import standalone
    from pinspread.config import application

    early_sighup = _note_sighup()
    _serve(standalone.service_options(path, application.random_seed(), early_sighup))


def _note_sighup() -> list[bool]:
    """Record SIGHUP until it can be handled, for it may come after the file has been read."""
    received: list[bool] = []
    signal.signal(signal.SIGHUP, lambda *_: received.append(True))
    return received


def _serve(options: "ServiceOptions") -> None:
    import anyio

    from pinspread import service

    anyio.run(service.serve, options)


def reload_platform(last: EffectiveSettings) -> "ReloadedSettings":
    """The platform's file as it is now."""
    from pinspread.service import ReloadedSettings

    effective = settings.from_environment(os.environ, last)
    return ReloadedSettings(effective, effective.discovery, effective.discovery)


# --- tools and views ------------------------------------------------------------------------------


def run_tool(name: str, arguments: list[str]) -> int:
    """A tool on a command line of its own; what it needs is loaded only here."""
    try:
        from pinspread.simulation import cli
    except ModuleNotFoundError as error:
        print(f"pinspread: {name} needs the extra 'fleet': {error.name} is missing", file=sys.stderr)
        return EXIT_UNUSABLE
    program = getattr(cli, TOOLS[name])
    try:
        program(arguments, prog_name=f"pinspread {name}")
    except SystemExit as end:  # of the library: its words are said already
        return end.code if isinstance(end.code, int) else EXIT_FAILED if end.code else 0
    return 0


def show_view(chosen: argparse.Namespace) -> int:
    """Print what a node's admin server shows of a part of the fleet."""
    import orjson

    from pinspread.admin import status_client

    name = VIEWS[chosen.command]
    try:
        view = status_client.fetch(chosen.address, name)
    except (OSError, ValueError) as error:
        print(f"pinspread: {chosen.command}: {error}", file=sys.stderr)
        return EXIT_FAILED
    if chosen.json:
        print(orjson.dumps(view).decode())
    else:
        print(*status_client.FORMATTERS[name](view, time.monotonic_ns() // 1000), sep="\n")
    return 0


# --- the configuration tool -----------------------------------------------------------------------


def write_config(chosen: argparse.Namespace) -> int:
    """Make a new application's file, but never over one that is there."""
    from pinspread.config.checks import problems
    from pinspread.config.template import template

    text = template(chosen.name)
    found = problems(text)
    if found:
        raise SettingsError("\n".join(found))
    path = Path(chosen.file or f"deploy/{chosen.name}.toml")
    try:
        with open(path, "x") as file:
            file.write(text)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    print(path)
    return 0


def check_config(chosen: argparse.Namespace) -> int:
    """Check an application's file, or a platform's and show what will count."""
    if chosen.file.endswith(".json"):
        from pinspread.config.summary import summary

        effective = settings.from_environment({"RELAY_CONFIG": chosen.file})
        print(f"{chosen.file}: no problems", *summary(effective), sep="\n")
        return 0
    from pinspread.config import application

    application.load(chosen.file)
    print(f"{chosen.file}: no problems")
    return 0


def print_records(chosen: argparse.Namespace) -> int:
    """Print the DNS-SD records under which others find the node."""
    from pinspread.config import application, dnssd

    print(dnssd.node_records(application.load(chosen.file)), end="")
    return 0


def print_endpoints(chosen: argparse.Namespace) -> int:
    """Print the endpoints that the file's discovery finds."""
    from pinspread import standalone
    from pinspread.config import application, dnssd

    file = application.load(chosen.file)
    kinds = {name: index for index, name in enumerate(file.kinds)}
    for endpoint, state in dnssd.browse(standalone.records(file), file.discovery.services, kinds):
        fields = (endpoint.destination, endpoint.scheme, endpoint.address, state.name.lower(), endpoint.id)
        print(*fields, sep="\t")
    return 0


CONFIG_ACTIONS: dict[str, Callable[[argparse.Namespace], int]] = {
    "write": write_config,
    "check": check_config,
    "records": print_records,
    "endpoints": print_endpoints,
    "hops": print_endpoints,
}


if __name__ == "__main__":
    sys.exit(main())
