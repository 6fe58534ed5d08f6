"""The commands `registry ...`, which run a list service or an aggregator and send requests to it."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from brassfall import logs, settings
from brassfall.cli.options import At, Json, Rounds, address, instance_name, progress, run
from brassfall.errors import UsageError

Config = Annotated[Path, typer.Option(help="TOML file of the configuration.")]
ROW = "{name:<24} {status:<8} {address:<22} {zone:<8} {type:<8} {weight:>6g} {since_ms}"
BENCH_OPTION = "--seconds"
BENCH_LEAST_S, BENCH_MOST_S = 0.1, 600.0  # Range of the option --seconds of `bench`, in seconds

app = typer.Typer(no_args_is_help=True, help="Run a list service or an aggregator, and send requests to it.")


class WriteAnswer(msgspec.Struct, frozen=True):
    """Answer to the registration or removal of an instance: the index of the endpoint list after it."""

    index: int


@app.command()
def serve(config: Config) -> None:
    """Run a list service until SIGTERM."""
    from brassfall.controlplane.registry import server

    _serve(server.serve(settings.load_registry(config)))


@app.command()
def aggregate(config: Config) -> None:
    """Run an aggregator, which connects sidecars to the list service, until SIGTERM."""
    from brassfall.controlplane.registry.aggregator import service

    _serve(service.serve(settings.load_aggregator(config)))


def _serve(work: Coroutine[Any, Any, int]) -> None:
    """Run the coroutine of a server until it ends, and exit with the status that it returns."""
    import uvloop

    logs.set_up()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        raise typer.Exit(runner.run(work))


@app.command("list")
def list_(*, at: At, json: Json = False) -> None:
    """List the registered instances."""
    from brassfall.controlplane.registry import client, entries

    raw = run(client.call(address(at), "GET", "/registry/instances"))
    listed = client.decode_answer(at, entries.InstanceList, raw)
    if json:
        typer.echo(msgspec.json.encode(raw).decode())
        return
    typer.echo(f"index {listed.index}, {len(listed.endpoints)} instances")
    for row in listed.endpoints:
        typer.echo(ROW.format_map(msgspec.structs.asdict(row)))


@app.command()
def watch(*, at: At, from_: Annotated[int, typer.Option("--from")] = 0, json: Json = False) -> None:
    """Print each watch event of the endpoint list, until Ctrl-C or the end of the watch."""
    run(_watch(address(at), from_, json=json))


async def _watch(at: str, index: int, *, json: bool) -> None:
    from brassfall.controlplane.registry import client, entries

    async for line in client.watch(at, "/registry/instances", index):
        if line and json:
            typer.echo(line.decode())
        elif line:
            listed = client.decode_answer(at, entries.InstanceList, line)
            typer.echo(f"index {listed.index}, {'complete list' if listed.snapshot else 'changes'}")
            for row in listed.endpoints:
                typer.echo("  " + ROW.format_map(msgspec.structs.asdict(row)))


@app.command()
def register(
    *,
    at: At,
    name: str,
    server_address: Annotated[str, typer.Argument(metavar="address")],
    zone: str = "",
    type_: Annotated[str, typer.Option("--type")] = "",
    group: int = 0,
    weight: float = 1.0,
    since_ms: int = 0,
    ttl_ms: Annotated[int, typer.Option(help="Duration of the lease in ms; 0: no lease.")] = 0,
    json: Json = False,
) -> None:
    """Register an instance by hand; without --ttl-ms it stays registered until `registry leave`."""
    body = {"address": server_address, "zone": zone, "type": type_, "group": group, "weight": weight}
    body |= {"since_ms": since_ms, "ttl_ms": ttl_ms}
    _write(at, "PUT", name, body, done="registered", json=json)


@app.command()
def leave(*, at: At, name: str, json: Json = False) -> None:
    """Remove an instance from the endpoint list; every watch receives the change."""
    _write(at, "DELETE", name, None, done="left", json=json)


def _write(at: str, method: str, name: str, body: dict[str, Any] | None, *, done: str, json: bool) -> None:
    from brassfall.controlplane.registry import client

    path = f"/registry/instances/{instance_name(name)}"
    raw = run(client.call(address(at), method, path, body))
    index = client.decode_answer(at, WriteAnswer, raw).index
    typer.echo(msgspec.json.encode(raw).decode() if json else f"{name}: {done}, index {index}")


@app.command()
def bench(rounds: Rounds = 3, seconds: float = 3.0) -> None:
    """Measure a list service on this machine and print a Markdown table; takes about a minute per round."""
    from brassfall.lab import registry_bench

    if not BENCH_LEAST_S <= seconds <= BENCH_MOST_S:
        reason = f"{seconds:g} is not between {BENCH_LEAST_S:g} and {BENCH_MOST_S:g}"
        raise UsageError(BENCH_OPTION, reason, "Choose a number of seconds in this range.")
    typer.echo(run(registry_bench.run(rounds, seconds, progress)))
