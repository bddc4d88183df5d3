"""The command line: serve (the default), version, the configuration tool, views of a running node."""

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
EXIT_UNUSABLE = 2  # a file or a command line is unusable

# Sub-commands that parse their own arguments: their names, with the tool of each in `simulation.cli`.
TOOLS = {"simulate": "app", "fleet": "app", "demo": "demo", "testbed": "stage", "stage": "stage"}
# Sub-commands that show a view of the admin server: their names, with the view's name in its URL path.
VIEWS = {"members": "members", "leases": "leases", "replication": "copies", "copies": "copies"}


def parser() -> argparse.ArgumentParser:
    """The sub-commands and their arguments."""
    root_parser = argparse.ArgumentParser(
        prog="pinspread", description="Accepts messages and delivers each to its destination."
    )
    commands = root_parser.add_subparsers(dest="command")
    serve = commands.add_parser(
        "serve", help="accept and deliver messages, as the platform or an application's file configures"
    )
    serve.add_argument(
        "--app",
        metavar="FILE",
        help="an application's file; without it, RELAY_CONFIG names the platform's file",
    )
    commands.add_parser("version", help="print the version")
    _add_tools(commands)
    _add_views(commands)
    _add_config(commands)
    return root_parser


def _add_tools(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    for name, aliases, text in (
        ("simulate", ["fleet"], "simulate many nodes: experiments, comparisons, traces"),
        ("demo", [], "run a node and three stand-in destinations for 20 s"),
        ("testbed", ["stage"], "run nodes with membership, and inject faults between them"),
    ):
        commands.add_parser(name, aliases=aliases, help=text, add_help=False)


def _add_views(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    for name, aliases, text in (
        ("members", [], "show a node's table of members"),
        ("leases", [], "show which node holds each lease"),
        ("replication", ["copies"], "show the state of replication"),
    ):
        view = commands.add_parser(name, aliases=aliases, help=f"{text}, from its admin server")
        view.add_argument("address", help="the admin server's address (listen.admin of the file)")
        view.add_argument("--json", action="store_true", help="print the admin server's JSON as it is")


def _add_config(commands: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    config = commands.add_parser("config", help="write, check and show configuration files")
    actions = config.add_subparsers(dest="action", required=True)
    write = actions.add_parser("write", help="create a new application's file")
    write.add_argument("name")
    write.add_argument("--file", help="the path of the new file (default: deploy/NAME.toml)")
    for name, aliases, text in (
        (
            "check",
            [],
            "list all problems of a file; of a platform's .json, also print the settings that take effect",
        ),
        ("records", [], "print the node's own DNS-SD records"),
        ("endpoints", ["hops"], "print the endpoints that the file's discovery finds"),
    ):
        actions.add_parser(name, aliases=aliases, help=text).add_argument("file")


def main(arguments: Sequence[str] | None = None) -> int:
    """Run a sub-command; return its exit code."""
    arguments = list(sys.argv[1:] if arguments is None else arguments)
    if arguments and arguments[0] in TOOLS:
        return run_tool(arguments[0], arguments[1:])
    parsed = parser().parse_args(arguments)
    try:
        return _run(parsed)
    except SettingsError as error:
        print(error, file=sys.stderr)
        return EXIT_UNUSABLE
    except (JournalFullError, JournalFormatError, OSError) as error:  # no room, an address in use
        print(f"pinspread: {error}", file=sys.stderr)
        return EXIT_FAILED


def _run(parsed: argparse.Namespace) -> int:
    if parsed.command == "version":
        print(f"pinspread {VERSION}")
        return 0
    if parsed.command == "config":
        return CONFIG_ACTIONS[parsed.action](parsed)
    if parsed.command in VIEWS:
        return show_view(parsed)
    if getattr(parsed, "app", None):
        serve_application(parsed.app)
    else:
        serve_platform()
    return 0


# --- serving --------------------------------------------------------------------------------------


def serve_platform() -> None:
    """Serve as the platform's file configures."""
    from pinspread.config import last_good
    from pinspread.config.amqp_front import amqp_file
    from pinspread.service import ServiceOptions

    early_sighup = _note_sighup()
    effective = last_good.load_at_start(os.environ)
    _serve(ServiceOptions(effective, amqp_file(), reload_platform, early_sighup=early_sighup))


def serve_application(path: str) -> None:
    """Serve without the platform, as the application's file at `path` configures."""
    from pinspread import standalone
    from pinspread.config import application

    early_sighup = _note_sighup()
    _serve(standalone.service_options(path, application.random_seed(), early_sighup))


def _note_sighup() -> list[bool]:
    """Record SIGHUP until the service handles it, since it may arrive after the file has been read."""
    received: list[bool] = []
    signal.signal(signal.SIGHUP, lambda *_: received.append(True))
    return received


def _serve(options: "ServiceOptions") -> None:
    import anyio

    from pinspread import service

    anyio.run(service.serve, options)


def reload_platform(last: EffectiveSettings) -> "ReloadedSettings":
    """Read the platform's file again."""
    from pinspread.service import ReloadedSettings

    effective = settings.from_environment(os.environ, last.key_kinds)
    return ReloadedSettings(effective, effective.discovery, effective.discovery)


# --- tools and views ------------------------------------------------------------------------------


def run_tool(name: str, arguments: list[str]) -> int:
    """Run a tool that parses its own arguments; its modules are imported only here."""
    try:
        from pinspread.simulation import cli
    except ModuleNotFoundError as error:
        print(
            f"pinspread: {name} needs the package's extra 'fleet': module {error.name} is not installed",
            file=sys.stderr,
        )
        return EXIT_UNUSABLE
    program = getattr(cli, TOOLS[name])
    try:
        program(arguments, prog_name=f"pinspread {name}")
    except SystemExit as stop:  # raised by the command-line library, which has printed its message
        return stop.code if isinstance(stop.code, int) else EXIT_FAILED if stop.code else 0
    return 0


def show_view(parsed: argparse.Namespace) -> int:
    """Print a view of a node's admin server."""
    import orjson

    from pinspread.admin import status_client

    name = VIEWS[parsed.command]
    try:
        view = status_client.fetch(parsed.address, name)
    except (OSError, ValueError) as error:
        print(f"pinspread: {parsed.command}: {error}", file=sys.stderr)
        return EXIT_FAILED
    if parsed.json:
        print(orjson.dumps(view).decode())
    else:
        print(*status_client.FORMATTERS[name](view, time.monotonic_ns() // 1000), sep="\n")
    return 0


# --- the configuration tool -----------------------------------------------------------------------


def write_config(parsed: argparse.Namespace) -> int:
    """Create a new application's file; an existing file is never overwritten."""
    from pinspread.config.checks import problems
    from pinspread.config.template import template

    text = template(parsed.name)
    problem_lines = problems(text)
    if problem_lines:
        raise SettingsError("\n".join(problem_lines))
    path = Path(parsed.file or f"deploy/{parsed.name}.toml")
    try:
        with open(path, "x") as file:
            file.write(text)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from None
    print(path)
    return 0


def check_config(parsed: argparse.Namespace) -> int:
    """Check an application's file, or check a platform's file and print the settings that take effect."""
    if parsed.file.endswith(".json"):
        from pinspread.config.summary import summary

        effective = settings.from_environment({"RELAY_CONFIG": parsed.file})
        print(f"{parsed.file}: no problems", *summary(effective), sep="\n")
        return 0
    from pinspread.config import application

    application.load(parsed.file)
    print(f"{parsed.file}: no problems")
    return 0


def print_records(parsed: argparse.Namespace) -> int:
    """Print the DNS-SD records under which others find the node."""
    from pinspread.config import application, dnssd

    print(dnssd.node_records(application.load(parsed.file)), end="")
    return 0


def print_endpoints(parsed: argparse.Namespace) -> int:
    """Print the endpoints that the file's discovery finds."""
    from pinspread import standalone
    from pinspread.config import application, dnssd

    file = application.load(parsed.file)
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
