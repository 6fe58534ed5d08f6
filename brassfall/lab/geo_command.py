"""The command `lab geo`, by itself so that no other command loads a solver."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer


def add(app: typer.Typer) -> None:
    """Give the command to `lab`."""

    @app.command("geo")
    def geo_(
        out: Annotated[Path, typer.Option(help="The folder of its results.")],
        seeds: Annotated[int, typer.Option(min=1)] = 10,
        workers: Annotated[int, typer.Option(min=1, max=64)] = 4,
    ) -> None:
        """Geo steering against true delays, and in a closed loop; some minutes."""
        from brassfall.lab import geo

        geo.measure(seeds, out, workers, lambda text: typer.echo(text, err=True))
        typer.echo((out / "report.md").read_text())
