"""The command line of the simulation and the test beds: `pinspread fleet …`, `demo` and `stage`.

Exit codes: 0 done, 1 a rule was broken or an expectation failed, 2 unusable input.
"""

import typer

from pinspread.simulation import cli_experiments, cli_loopback, cli_testbed, cli_traffic

app = typer.Typer(
    help="A model of the fleet: try settings and versions before a partner sees them.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
for command in (
    cli_experiments.check,
    cli_traffic.losses,
    cli_experiments.run,
    cli_loopback.loopback,
    cli_experiments.compare,
    cli_experiments.report,
    cli_traffic.record,
    cli_traffic.inspect,
):
    app.command()(command)

demo = typer.Typer(add_completion=False, pretty_exceptions_enable=False, rich_markup_mode=None)
demo.command(
    "play",
    help="A real courier, three stand-in partners of which one goes down, and traffic;"
    " prints what became of it.",
)(cli_loopback.demo)

stage = typer.Typer(
    help="The fault stage: couriers with membership on loopback, faults between them.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
stage.command("run")(cli_testbed.run)
stage.command("check")(cli_testbed.check)
