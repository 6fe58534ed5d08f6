"""The commands `lab ...`: experiments, checks in simulated worlds, and measurements."""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated

import msgspec
import typer

from brassfall import logs
from brassfall.cli.options import Jobs, Json, Rounds, Tier, address, instance_name, progress, run
from brassfall.lab import geo_command

app = typer.Typer(no_args_is_help=True, help="Experiments, checks in simulated worlds, and measurements.")
geo_command.add(app)


@app.command("run")
def run_experiment(
    file: Annotated[Path, typer.Argument(help="An experiment, as TOML.")],
    out: Annotated[
        Path, typer.Option(help="Folder of the results; an interrupted experiment resumes there.")
    ],
) -> None:
    """Run an experiment and write its report."""
    from brassfall.lab import runner

    raise typer.Exit(run(runner.run(file, out, progress)))


@app.command("compare")
def compare_(
    folders: Annotated[list[Path], typer.Argument(help="Folders of results, of the same days.")],
    *,
    json: Json = False,
) -> None:
    """Compare versions, paired by seed, and show the differences beyond noise."""
    from brassfall.lab import compare

    compared = compare.compare(folders)
    typer.echo(msgspec.json.encode(compared).decode() if json else compare.table(compared))


@app.command("bench")
def bench_(*, rounds: Rounds = 3, compiled: bool = False) -> None:
    """Measure the cost of simulated plays on this machine; prints a Markdown table, in some minutes."""
    from brassfall.lab import bench

    typer.echo(run(bench.run(rounds, progress, compiled=compiled)))


@app.command("agreement")
def agreement_(
    *,
    seeds: Annotated[int, typer.Option(min=1, help="Number of worlds of each size.")] = 100,
    nodes: Annotated[str, typer.Option(help="Numbers of sidecars, separated by commas.")] = "3,20,200",
    defect: Annotated[str, typer.Option("--flaw", help="Find this injected defect instead, or `all`.")] = "",
    tier: Tier = False,
    jobs: Jobs = 0,
    json: Json = False,
) -> None:
    """Check revisions in simulated worlds of faults; exits with 1 if a rule breaks or a defect is missed."""
    from brassfall.lab.agreement import command

    raise typer.Exit(command.run(seeds, nodes, defect, jobs, json, progress, tier))


@app.command("editions-scale")
def revisions_scale(
    *,
    out: Annotated[Path, typer.Option(help="Folder for rows and tables.")],
    nodes: Annotated[str, typer.Option(help="Numbers of sidecars, separated by commas.")] = "20,200,2000",
    seeds: Annotated[int, typer.Option(min=1, help="Number of fleets of each size.")] = 5,
    tier: Tier = False,
    jobs: Jobs = 0,
) -> None:
    """Measure in simulated time how long a revision takes by fleet size; exits with 1 if one failed."""
    from brassfall.lab.agreement import command, scale, tier_scale

    play = tier_scale.run if tier else scale.run
    raise typer.Exit(play(command.sizes(nodes), seeds, jobs or os.cpu_count() or 1, out))


@app.command("editions-cost")
def revisions_cost(
    *,
    out: Annotated[Path, typer.Option(help="Folder for the results.")],
    parts: Annotated[
        str, typer.Option(help="Of wire, load and request, separated by commas.")
    ] = "wire,load,request",
    seconds: Annotated[
        float, typer.Option(min=1.0, help="Duration of the wire and load measurements.")
    ] = 30.0,
    pairs: Annotated[int, typer.Option(min=1, help="Number of paired runs of the request measurement.")] = 9,
    count: Annotated[int, typer.Option(min=100, help="Requests of each run.")] = 4000,
) -> None:
    """Measure what revisions cost real processes in bytes, processor time and memory; in some minutes."""
    from brassfall.lab.agreement import cost

    run(cost.run(cost.chosen(parts), seconds, pairs, count, out, progress))


@app.command("capacity")
def capacity_(
    *,
    out: Annotated[Path, typer.Option(help="Folder for figures.json and capacity.md.")],
    parts: Annotated[str, typer.Option(help="Parts to measure, separated by commas; default: all.")] = "",
    sizes: Annotated[
        str, typer.Option(help="Numbers of sidecars, separated by commas.")
    ] = "300,900,2700,5400",
    seconds: Annotated[
        float, typer.Option(min=1.0, max=120.0, help="Duration of the measurement of a rate.")
    ] = 15.0,
    repeats: Annotated[int, typer.Option(min=1, max=20, help="Revisions of each kind.")] = 4,
    page: Annotated[
        Path | None, typer.Option(help="Measure nothing; write the tables of this page from figures.json.")
    ] = None,
) -> None:
    """Measure what each role costs at several fleet sizes, with real services and hollow sidecars."""
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
    registry: Annotated[
        str, typer.Option(help="HOST:PORT of the list service; several are separated by commas.")
    ],
    listen: str = "127.0.0.1:0",
    zone: str = "",
    ttl_ms: int = 6000,
    work_ms: float = 5.0,
    ledger: Annotated[Path | None, typer.Option(help="File to which each request is appended.")] = None,
    advertise: Annotated[str, typer.Option(help="HOST:PORT to register instead, such as a proxy's.")] = "",
) -> None:
    """Run one small server that registers itself, until SIGTERM."""
    from brassfall.lab import transcriber

    logs.set_up()
    addresses = [address(text, "--registry") for text in registry.split(",")]
    address(listen, "--listen")
    work = transcriber.run(instance_name(name), listen, addresses, zone, ttl_ms, work_ms, ledger, advertise)
    raise typer.Exit(run(work))
