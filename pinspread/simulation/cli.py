"""Command line of the simulation and the test beds: `pinspread fleet …`, `demo` and `stage`.

Exit codes: 0 success, 1 a rule was broken or an expectation failed, 2 unusable input.
"""

import typer

from pinspread.simulation import cli_experiments, cli_loopback, cli_testbed, cli_traffic

app = typer.Typer(
    help="Simulate a fleet: try out settings and versions before they reach a partner.",
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
    help="Run a real courier with traffic for three stand-in partners, one of which goes down;"
    " print a summary of the messages' results.",
)(cli_loopback.demo)

stage = typer.Typer(
    help="Cluster test bed: couriers with membership on loopback, and faults injected between them.",
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)
stage.command("run")(cli_testbed.run)
stage.command("check")(cli_testbed.check)
stage.command("soak")(cli_testbed.soak)
