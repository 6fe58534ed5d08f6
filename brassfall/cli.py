"""The one command, `python -m brassfall`. Exit status: 0 done, 1 failed, 2 wrong usage or configuration."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Annotated

import typer

from brassfall import logs, settings

app = typer.Typer(no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False)
registry = typer.Typer(no_args_is_help=True, help="The list service and its callers.")
app.add_typer(registry, name="registry")

Config = Annotated[Path, typer.Option(help="A TOML file.")]


def _load(path: Path) -> settings.RegistrySettings:
    try:
        return settings.load(path)
    except settings.SettingsError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(2) from None


@app.command()
def check(file: Path) -> None:
    """Is this configuration good?"""
    _load(file)
    typer.echo(f"{file}: good")


@registry.command()
def serve(config: Config) -> None:
    """Run one list service, until SIGTERM."""
    import uvloop

    from brassfall.registry import server

    told = _load(config)
    logs.set_up()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        raise typer.Exit(runner.run(server.serve(told)))


def main() -> None:
    """The entry point."""
    app()
