"""The one command, `python -m brassfall`. Exit status: 0 done, 1 failed, 2 wrong usage or configuration."""

from __future__ import annotations

import asyncio
import errno
import os
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
from typer.core import TyperGroup

from brassfall import fleet_commands, logs, settings
from brassfall.errors import BrassfallError, SystemRefused, UsageError
from brassfall.lab import geo_command


class Told(TyperGroup):
    """All commands: what fails is one line on standard error, and its type says the exit status."""

    def invoke(self, ctx: Any) -> Any:
        """Run what was asked for."""
        try:
            return super().invoke(ctx)
        except (BrassfallError, OSError, MemoryError, ExceptionGroup) as error:
            told = _told(error)
            if told is None:
                raise
            typer.echo(str(told), err=True)
            raise typer.Exit(told.exit_status) from None


def _told(error: Exception) -> BrassfallError | None:
    """What is to be told of an error; None for a defect, and for a reader that has gone."""
    while isinstance(error, ExceptionGroup):
        error = error.exceptions[0]
    if isinstance(error, BrassfallError):
        return error
    if isinstance(error, OSError) and error.errno != errno.EPIPE:
        return SystemRefused(str(error.filename or "the system"), error.strerror or str(error))
    return (
        SystemRefused("the system", "there is not enough memory") if isinstance(error, MemoryError) else None
    )


app = typer.Typer(cls=Told, no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False)
registry = typer.Typer(no_args_is_help=True, help="The list service and its callers.")
app.add_typer(registry, name="registry")

lab = typer.Typer(no_args_is_help=True, help="Experiments on a model of what the project serves.")
app.add_typer(lab, name="lab")
geo_command.add(lab)

At = Annotated[str, typer.Option(help="HOST:PORT of the list service.")]
Json = Annotated[bool, typer.Option("--json", help="JSON instead of text.")]
Rounds = Annotated[int, typer.Option(min=1, help="How often each is measured.")]
Config = Annotated[Path, typer.Option(help="A TOML file.")]


@app.command()
def check(file: Path) -> None:
    """Is this configuration good? It may be a list service's, an aggregator's, or an experiment."""
    from brassfall.lab import spec
    from brassfall.lab.revision_chaos import spec as editions

    if editions.is_one(file):
        editions.load(file)
    elif spec.is_experiment(file):
        spec.load(file)
    elif settings.is_aggregator(file):
        settings.load_aggregator(file)
    else:
        settings.load(file)
    typer.echo(f"{file}: good")


@app.command()
def demo() -> None:
    """Start a small fleet on loopback, send through it while parts fail, and end it again."""
    from brassfall.lab import demo as demo_

    _run(demo_.run(typer.echo))


@registry.command()
def serve(config: Config) -> None:
    """Run one list service, until SIGTERM."""
    from brassfall.controlplane.registry import server

    told = settings.load(config)
    _serve(server.serve(told))


@registry.command()
def aggregate(config: Config) -> None:
    """Run one aggregator between sidecars and the list service that decides, until SIGTERM."""
    from brassfall.controlplane.registry.aggregator import service

    told = settings.load_aggregator(config)
    _serve(service.serve(told))


def _serve(work: Coroutine[Any, Any, int]) -> None:
    """Run a process of the registry, until SIGTERM; ends the command with its exit status."""
    import uvloop

    logs.set_up()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        raise typer.Exit(runner.run(work))


def _run(work: Coroutine[Any, Any, Any]) -> Any:
    """Do it, until Ctrl-C."""
    try:
        return asyncio.run(work)
    except KeyboardInterrupt:
        raise typer.Exit(130) from None
    except BrokenPipeError:
        sys.stderr.close()  # whoever read this has gone; there is nobody to tell
        raise typer.Exit(0) from None


def _at(text: str, option: str = "--at") -> str:
    try:
        settings.address(text)
    except ValueError as error:
        raise UsageError(option, str(error), "Name HOST:PORT, as in 127.0.0.1:8500.") from None
    return text


def _name(text: str) -> str:
    from brassfall.controlplane.registry import entries
    from brassfall.errors import Refused

    try:
        return entries.name(text)
    except Refused as error:
        raise UsageError(error.what, action="Give a name of that form, as in `list`.") from None


class Written(msgspec.Struct):
    """The answer to a write."""

    index: int


ROW = "{name:<24} {status:<8} {address:<22} {zone:<8} {type:<8} {weight:>6g} {since_ms}"


@registry.command("list")
def list_(at: At, json: Json = False) -> None:
    """The instances that are listed now."""
    from brassfall.controlplane.registry import client, entries

    told = _run(client.call(_at(at), "GET", "/registry/instances"))
    listed = client.read(at, entries.Listed, told)
    if json:
        typer.echo(msgspec.json.encode(told).decode())
        return
    typer.echo(f"index {listed.index}, {len(listed.endpoints)} instances")
    for row in listed.endpoints:
        typer.echo(ROW.format_map(msgspec.structs.asdict(row)))


@registry.command()
def watch(at: At, from_: Annotated[int, typer.Option("--from")] = 0, json: Json = False) -> None:
    """Each change of the list as it is told, until Ctrl-C or the end of the watch."""
    from brassfall.controlplane.registry import client, entries

    async def told() -> None:
        async for line in client.watch(_at(at), "/registry/instances", from_):
            if line and json:
                typer.echo(line.decode())
            elif line:
                news = client.read(at, entries.Listed, line)
                typer.echo(f"index {news.index}, {'whole list' if news.snapshot else 'changes'}")
                for row in news.endpoints:
                    typer.echo("  " + ROW.format_map(msgspec.structs.asdict(row)))

    _run(told())


@registry.command()
def register(
    at: At,
    name: str,
    address: str,
    zone: str = "",
    type: str = "",
    group: int = 0,
    weight: float = 1.0,
    since_ms: int = 0,
    ttl_ms: Annotated[int, typer.Option(help="0: until it is taken out.")] = 0,
    json: Json = False,
) -> None:
    """Put one instance into the list, by hand; without --ttl-ms it stays until `leave`."""
    from brassfall.controlplane.registry import client

    body = {"address": address, "zone": zone, "type": type, "group": group, "weight": weight}
    body |= {"since_ms": since_ms, "ttl_ms": ttl_ms}
    told = _run(client.call(_at(at), "PUT", f"/registry/instances/{_name(name)}", body))
    index = client.read(at, Written, told).index
    typer.echo(msgspec.json.encode(told).decode() if json else f"{name}: registered, index {index}")


@registry.command()
def leave(at: At, name: str, json: Json = False) -> None:
    """Take one instance out of the list; every watch is told that it has left."""
    from brassfall.controlplane.registry import client

    told = _run(client.call(_at(at), "DELETE", f"/registry/instances/{_name(name)}"))
    index = client.read(at, Written, told).index
    typer.echo(msgspec.json.encode(told).decode() if json else f"{name}: left, index {index}")


@registry.command()
def bench(rounds: Rounds = 3, seconds: float = 3.0) -> None:
    """Measure one list service on this machine; a table in Markdown, in about a minute a round."""

    from brassfall.lab import registry_bench

    if not 0.1 <= seconds <= 600.0:
        raise UsageError("--seconds", f"{seconds:g} is not between 0.1 and 600", "Name a time in between.")
    typer.echo(_run(registry_bench.run(rounds, seconds, lambda text: typer.echo(text, err=True))))


@lab.command("run")
def run_(
    file: Annotated[Path, typer.Argument(help="An experiment, as TOML.")],
    out: Annotated[Path, typer.Option(help="The folder of its results; one that was cut off goes on.")],
) -> None:
    """Run an experiment, and report on it."""
    from brassfall.lab import runner

    raise typer.Exit(_run(runner.run(file, out, lambda text: typer.echo(text, err=True))))


@lab.command("compare")
def compare_(
    folders: Annotated[list[Path], typer.Argument(help="Folders of results, of the same days.")],
    json: Json = False,
) -> None:
    """Set versions against each other, paired by seed; what is beyond noise."""
    from brassfall.lab import compare

    made = compare.compare(folders)
    typer.echo(msgspec.json.encode(made).decode() if json else compare.table(made))


@lab.command("bench")
def bench_lab(rounds: Rounds = 3, compiled: bool = False) -> None:
    """Measure what simulated plays cost on this machine; a table in Markdown, in some minutes."""
    from brassfall.lab import bench as bench_

    typer.echo(_run(bench_.run(rounds, compiled, lambda text: typer.echo(text, err=True))))


@lab.command("agreement")
def agreement_(
    seeds: Annotated[int, typer.Option(min=1, help="How many worlds of each size.")] = 100,
    nodes: Annotated[str, typer.Option(help="Sizes, with commas.")] = "3,20,200",
    flaw: Annotated[str, typer.Option(help="An injected defect to find instead, or `all`.")] = "",
    tier: Annotated[bool, typer.Option(help="With aggregators between sidecars and the service.")] = False,
    jobs: Annotated[int, typer.Option(min=0, max=256, help="Processes; 0 for one a core.")] = 0,
    json: Json = False,
) -> None:
    """Check the agreement in simulated worlds of faults, by seed; 1 if a rule breaks or a flaw is missed."""
    from brassfall.lab.agreement import command

    def say(text: str) -> None:
        typer.echo(text, err=True)

    raise typer.Exit(command.run(seeds, nodes, flaw, jobs, json, say, tier))


@lab.command("editions-scale")
def editions_scale(
    out: Annotated[Path, typer.Option(help="Folder for rows and tables.")],
    nodes: Annotated[str, typer.Option(help="Sizes, with commas.")] = "20,200,2000",
    seeds: Annotated[int, typer.Option(min=1, help="How many fleets of each size.")] = 5,
    tier: Annotated[bool, typer.Option(help="With aggregators between sidecars and the service.")] = False,
    jobs: Annotated[int, typer.Option(min=0, max=256, help="Processes; 0 for one a core.")] = 0,
) -> None:
    """How long an edition takes with the size of the fleet, in simulated time; 1 if one took no effect."""
    from brassfall.lab.agreement import command, scale, tier_scale

    play = tier_scale.run if tier else scale.run
    raise typer.Exit(play(command.sizes(nodes), seeds, jobs or os.cpu_count() or 1, out))


@lab.command("editions-cost")
def editions_cost(
    out: Annotated[Path, typer.Option(help="Folder for the results.")],
    parts: Annotated[str, typer.Option(help="Of wire, load and request, with commas.")] = "wire,load,request",
    seconds: Annotated[float, typer.Option(min=1.0, help="How long wire and load are measured.")] = 30.0,
    pairs: Annotated[int, typer.Option(min=1, help="How often requests take turns.")] = 9,
    count: Annotated[int, typer.Option(min=100, help="Requests of each turn.")] = 4000,
) -> None:
    """What the agreement costs real processes, in bytes, processor time and memory; in some minutes."""
    from brassfall.lab.agreement import cost

    def say(text: str) -> None:
        typer.echo(text, err=True)

    _run(cost.run(cost.chosen(parts), seconds, pairs, count, out, say))


@lab.command("capacity")
def capacity_(
    out: Annotated[Path, typer.Option(help="Folder for figures.json and capacity.md.")],
    parts: Annotated[str, typer.Option(help="Parts to measure, with commas; all where none is named.")] = "",
    sizes: Annotated[str, typer.Option(help="Numbers of sidecars, with commas.")] = "300,900,2700,5400",
    seconds: Annotated[float, typer.Option(min=1.0, max=120.0, help="How long a rate is measured.")] = 15.0,
    repeats: Annotated[int, typer.Option(min=1, max=20, help="Revisions of each kind.")] = 4,
    page: Annotated[
        Path | None, typer.Option(help="Measure nothing: write this page's tables from the folder's figures.")
    ] = None,
) -> None:
    """Measure what each role costs at several sizes of the fleet, with real services and hollow sidecars."""
    from brassfall.lab.capacity import command
    from brassfall.lab.capacity.part import Options

    def say(text: str) -> None:
        typer.echo(text, err=True)

    if page is not None:
        command.write_page(out, page, say)
        return
    options = Options(command.chosen_sizes(sizes), out, say, seconds, repeats)
    _run(command.run(command.chosen_parts(parts), options))


@lab.command("server")
def server_(
    name: str,
    registry: Annotated[str, typer.Option(help="HOST:PORT of the list service, or several with commas.")],
    listen: str = "127.0.0.1:0",
    zone: str = "",
    ttl_ms: int = 6000,
    work_ms: float = 5.0,
    ledger: Annotated[Path | None, typer.Option(help="Where each call is written down.")] = None,
    advertise: Annotated[str, typer.Option(help="HOST:PORT that the list tells, of a proxy.")] = "",
) -> None:
    """One small real server that registers itself, until SIGTERM."""
    from brassfall.lab import transcriber

    logs.set_up()
    addresses = [_at(text, "--registry") for text in registry.split(",")]
    _at(listen, "--listen")
    told = transcriber.run(_name(name), listen, addresses, zone, ttl_ms, work_ms, ledger, advertise)
    raise typer.Exit(_run(told))


fleet_commands.add(app, lambda work: _run(work), lambda text: _at(text))


def main() -> None:
    """The entry point."""
    app()
