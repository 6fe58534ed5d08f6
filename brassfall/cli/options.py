"""Command-line options and argument checks that several commands use."""

from __future__ import annotations

import asyncio
import sys
from collections.abc import Coroutine
from typing import Annotated, Any, TypeVar

import typer

from brassfall import settings
from brassfall.errors import UsageError

Result = TypeVar("Result")

INTERRUPTED = 130  # Exit status of a command that Ctrl-C ended

At = Annotated[str, typer.Option(help="HOST:PORT of the list service.")]
Json = Annotated[bool, typer.Option("--json", help="Print JSON instead of text.")]
Rounds = Annotated[int, typer.Option(min=1, help="Number of measurements of each kind.")]
Jobs = Annotated[int, typer.Option(min=0, max=256, help="Number of processes; 0: one per processor core.")]
Tier = Annotated[bool, typer.Option(help="Put aggregators between sidecars and the list service.")]


def run(work: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine and return its result; Ctrl-C cancels it and ends the command with `INTERRUPTED`."""
    try:
        return asyncio.run(work)
    except KeyboardInterrupt:
        raise typer.Exit(INTERRUPTED) from None
    except BrokenPipeError:
        sys.stderr.close()  # The process that reads the output has closed the pipe
        raise typer.Exit(0) from None


def progress(text: str) -> None:
    """Print the progress of a command on standard error."""
    typer.echo(text, err=True)


def address(text: str, option: str = "--at") -> str:
    """Return `text` unchanged; raise `UsageError` with the name of the option if `text` is not HOST:PORT."""
    try:
        settings.parse_address(text)
    except ValueError as error:
        raise UsageError(option, str(error), "Give HOST:PORT, as in 127.0.0.1:8500.") from None
    return text


def instance_name(text: str) -> str:
    """Return `text` unchanged; raise `UsageError` if it is not a valid name of an instance."""
    from brassfall.controlplane.registry import entries
    from brassfall.errors import RequestError

    try:
        return entries.check_name(text)
    except RequestError as error:
        raise UsageError(
            error.what, action="Give a name of that form; `registry list` shows the names in use."
        ) from None
