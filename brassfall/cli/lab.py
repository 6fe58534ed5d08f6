"""The commands `lab ...`, which run experiments, simulated fault tests and measurements."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from brassfall import logs
from brassfall.cli.options import Jobs, Json, Rounds, Tier, address, instance_name, progress, run
from brassfall.lab import geo_command

app = typer.Typer(no_args_is_help=True, help="Experiments, simulated fault tests, and measurements.")
geo_command.add(app)


@app.command("run")
def run_experiment(
    file: Annotated[Path, typer.Argument(help="TOML file of the experiment.")],
    out: Annotated[
        Path, typer.Option(help="Folder of the results; a second run resumes an interrupted experiment.")
    ],
) -> None:
    """Run an experiment and write its report."""
    from brassfall.lab import runner

    raise typer.Exit(run(runner.run(file, out, progress)))


@app.command("compare")
def compare_(
    folders: Annotated[list[Path], typer.Argument(help="Folders of results, of the same simulated days.")],
    *,
    json: Json = False,
) -> None:
    """Compare versions in pairs of runs with the same seed, and show the differences beyond noise."""
    from brassfall.lab import compare

    compared = compare.compare(folders)
    typer.echo(msgspec.json.encode(compared).decode() if json else compare.table(compared))


@app.command("bench")
def bench_(*, rounds: Rounds = 3, compiled: bool = False) -> None:
    """Measure the cost of simulated runs on this machine and print a Markdown table; takes some minutes."""
    from brassfall.lab import bench

    typer.echo(run(bench.run(rounds, progress, compiled=compiled)))


@app.command("agreement")
def agreement_(
    *,
    seeds: Annotated[int, typer.Option(min=1, help="Number of simulations of each size.")] = 100,
    nodes: Annotated[str, typer.Option(help="Numbers of sidecars, separated by commas.")] = "3,20,200",
    defect: Annotated[
        str, typer.Option("--flaw", help="Inject this defect, or `all`, and check that it is found.")
    ] = "",
    tier: Tier = False,
    jobs: Jobs = 0,
    json: Json = False,
) -> None:
    """Check revisions under simulated faults; exits with 1 if an invariant breaks or a defect is missed."""
    from brassfall.lab.agreement import command

    raise typer.Exit(command.run(seeds, nodes, defect, jobs, json, progress, tier))


@app.command("editions-scale")
def revisions_scale(
    *,
    out: Annotated[Path, typer.Option(help="Folder to which the rows and tables are written.")],
    nodes: Annotated[str, typer.Option(help="Numbers of sidecars, separated by commas.")] = "20,200,2000",
    seeds: Annotated[int, typer.Option(min=1, help="Number of simulated fleets of each size.")] = 5,
    tier: Tier = False,
    jobs: Jobs = 0,
) -> None:
    """Measure how long a revision takes, in simulated time, by fleet size; exits with 1 if one fails."""
    from brassfall.lab.agreement import command, scale, tier_scale

    play = tier_scale.run if tier else scale.run
    raise typer.Exit(play(command.sizes(nodes), seeds, jobs or os.cpu_count() or 1, out))


@app.command("editions-cost")
def revisions_cost(
    *,
    out: Annotated[Path, typer.Option(help="Folder for the results.")],
    parts: Annotated[
        str, typer.Option(help="Any of wire, load and request, separated by commas.")
    ] = "wire,load,request",
    seconds: Annotated[
        float, typer.Option(min=1.0, help="Duration of the wire and load measurements.")
    ] = 30.0,
    pairs: Annotated[int, typer.Option(min=1, help="Number of paired runs of the request measurement.")] = 9,
    count: Annotated[int, typer.Option(min=100, help="Number of requests of each run.")] = 4000,
) -> None:
    """Measure bytes, processor time and memory that revisions cost real processes; takes some minutes."""
    from brassfall.lab.agreement import cost

    run(cost.run(cost.chosen(parts), seconds, pairs, count, out, progress))


@app.command("capacity")
def capacity_(
    *,
    out: Annotated[Path, typer.Option(help="Folder to which figures.json and capacity.md are written.")],
    parts: Annotated[str, typer.Option(help="Parts to measure, separated by commas; default: all.")] = "",
    sizes: Annotated[
        str, typer.Option(help="Numbers of sidecars, separated by commas.")
    ] = "300,900,2700,5400",
    seconds: Annotated[
        float, typer.Option(min=1.0, max=120.0, help="Duration of each measurement of a rate, in seconds.")
    ] = 15.0,
    repeats: Annotated[int, typer.Option(min=1, max=20, help="Number of revisions of each kind.")] = 4,
    page: Annotated[
        Path | None,
        typer.Option(help="Only write the tables of this page, from figures.json of an earlier run."),
    ] = None,
) -> None:
    """Measure the cost of each kind of service by fleet size, with real services and emulated sidecars."""
    from brassfall.lab.capacity import command
    from brassfall.lab.capacity.part import Options

    if page is not None:
        command.write_page(out, page, progress)
        return
    options = Options(command.chosen_sizes(sizes), out, progress, seconds, repeats)
    run(command.run(command.chosen_parts(parts), options))


@app.command("server")
def server_(
    name: str,
    registry: Annotated[str, typer.Option(help="HOST:PORT of the list service; separate several by commas.")],
    listen: str = "127.0.0.1:0",
    zone: str = "",
    ttl_ms: int = 6000,
    work_ms: float = 5.0,
    ledger: Annotated[Path | None, typer.Option(help="File to which each request is appended.")] = None,
    advertise: Annotated[
        str, typer.Option(help="HOST:PORT to register in place of the listen address, such as a proxy's.")
    ] = "",
) -> None:
    """Run one test server that registers itself with the list service, until SIGTERM."""
    from brassfall.lab import transcriber

    logs.set_up()
    addresses = [address(text, "--registry") for text in registry.split(",")]
    address(listen, "--listen")
    work = transcriber.run(instance_name(name), listen, addresses, zone, ttl_ms, work_ms, ledger, advertise)
    raise typer.Exit(run(work))
