"""Arguments, exit codes and error handling that the sub-commands of the simulation share."""

import sys
from pathlib import Path
from typing import Annotated, NoReturn

import typer

EXIT_FAILED = 1
EXIT_UNUSABLE = 2

File = Annotated[Path, typer.Argument(metavar="FILE", show_default=False)]
Out = Annotated[
    Path,
    typer.Option("--out", help="folder for results; runs whose results it already holds are not repeated"),
]


def fail(error: object) -> NoReturn:
    """Print an error, one problem per line, to standard error, and exit with code 2."""
    print(error, file=sys.stderr)
    raise typer.Exit(EXIT_UNUSABLE)
