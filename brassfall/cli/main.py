"""The command `python -m brassfall`.

Exit status: 0 for success, 1 for a failure, 2 for wrong usage or an invalid configuration.
"""

from __future__ import annotations

import errno
from pathlib import Path
from typing import Any

import typer
from typer.core import TyperGroup

from brassfall import settings
from brassfall.cli import fleet as fleet_commands
from brassfall.cli import lab as lab_commands
from brassfall.cli import registry as registry_commands
from brassfall.cli.options import run
from brassfall.errors import BrassfallError, OperatingSystemError


class OneLineErrors(TyperGroup):
    """Command group that prints an error as one line and exits with the `exit_status` of its class."""

    def invoke(self, ctx: Any) -> Any:  # noqa: ANN401 - the signature of `TyperGroup`
        """Run the command; on an error, print one line on standard error and raise `typer.Exit`."""
        try:
            return super().invoke(ctx)
        except (BrassfallError, OSError, MemoryError, ExceptionGroup) as error:
            reported = _reported(error)
            if reported is None:
                raise
            typer.echo(str(reported), err=True)
            raise typer.Exit(reported.exit_status) from None


def _reported(error: Exception) -> BrassfallError | None:
    """Return the error to print; None for a defect of the program and for a pipe closed by its reader."""
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    if isinstance(error, BrassfallError):
        return error
    if isinstance(error, MemoryError):
        return OperatingSystemError("the system", "out of memory")
    if isinstance(error, OSError) and error.errno != errno.EPIPE:
        return OperatingSystemError(str(error.filename or "the system"), error.strerror or str(error))
    return None


app = typer.Typer(
    cls=OneLineErrors, no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False
)
app.add_typer(registry_commands.app, name="registry")
app.add_typer(lab_commands.app, name="lab")
app.add_typer(fleet_commands.revisions, name="rules")
app.add_typer(fleet_commands.overrides, name="override")
app.add_typer(fleet_commands.geo, name="geo")


@app.command()
def check(file: Path) -> None:
    """Check a configuration file of a list service or an aggregator, or an experiment file."""
    from brassfall.lab import spec
    from brassfall.lab.revision_chaos import spec as revision_chaos

    if revision_chaos.is_one(file):
        revision_chaos.load(file)
    elif spec.is_experiment(file):
        spec.load(file)
    elif settings.is_aggregator(file):
        settings.load_aggregator(file)
    else:
        settings.load_registry(file)
    typer.echo(f"{file}: good")


@app.command()
def demo() -> None:
    """Run a small fleet on loopback, and send requests through its sidecar while parts of it fail."""
    from brassfall.lab import demo as demo_

    run(demo_.run(typer.echo))


def main() -> None:
    """Run the command line."""
    app()
