"""The command line: `python -m pinspread [serve|version]`; bare, it serves."""

import argparse
import sys

VERSION = "0.1.0"


def main(arguments=None):
    """Run a sub-command; its exit code."""
    parser = argparse.ArgumentParser(prog="pinspread", description="A courier of messages to partners.")
    commands = parser.add_subparsers(dest="command")
    commands.add_parser("serve", help="serve as the environment and its configuration file say")
    commands.add_parser("version", help="print the version")
    chosen = parser.parse_args(arguments)
    if chosen.command == "version":
        print(f"pinspread {VERSION}")
        return 0
    from pinspread.config.settings import SettingsError
    from pinspread.net import platform

    try:
        platform.main()
    except SettingsError as error:
        print(f"pinspread: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
