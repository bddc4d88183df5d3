"""What the sub-commands of the simulation share: arguments, and the exit for unusable input."""

import sys
from pathlib import Path
from typing import Annotated, NoReturn

import typer

EXIT_FAILED = 1
EXIT_UNUSABLE = 2

File = Annotated[Path, typer.Argument(metavar="FILE", show_default=False)]
Out = Annotated[
    Path, typer.Option("--out", help="the folder for results; runs that are there are not run again")
]


def fail(error: object) -> NoReturn:
    """Print what is wrong, a line a problem, on standard error, and exit with code 2."""
    print(error, file=sys.stderr)
    raise typer.Exit(EXIT_UNUSABLE)
