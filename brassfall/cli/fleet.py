"""The commands `rules`, `override` and `geo`, which read and change what all sidecars act on.

Each command decodes the answer of the list service into a struct to print it as text. With `--json` it prints
the JSON that the service sent.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any
from urllib.parse import urlencode

import msgspec
import typer

from brassfall import settings
from brassfall.cli.options import At, Json, address, run
from brassfall.errors import BrassfallError, UsageError

POLL_S = 0.1  # Time between two requests for the state of a revision that is being committed, in seconds
OVERRIDE_MOST_S = 86_400  # Longest duration of an override, in seconds (one day)

revisions = typer.Typer(no_args_is_help=True, help="Configuration revisions (editions) of all sidecars.")
overrides = typer.Typer(no_args_is_help=True, help="Temporary overrides; each one ends at a set time.")
geo = typer.Typer(no_args_is_help=True, help="Estimated network delays from client groups to regions.")


class HaltedError(BrassfallError):
    """Configuration revision that was halted and did not take effect."""

    action = (
        "Correct what the named sidecars object to, and publish again; the previous revision stays active."
    )


class OverrideFileError(UsageError):
    """File that does not describe a valid override."""

    action = "Correct the file: it needs an `id`; docs/overrides.md describes the other keys."


# --- answers of the list service: the fields that are printed ------------------------------------


class PublishAnswer(msgspec.Struct, frozen=True):
    """Answer to `PUT /rules`."""

    revision: int = msgspec.field(name="edition")


class ObjectionRow(msgspec.Struct, frozen=True):
    """Objection of one sidecar: the reason why it can't act on a revision."""

    sidecar: str = msgspec.field(name="edge")
    reason: str


class RevisionState(msgspec.Struct, frozen=True):
    """Answer to `GET /rules`: the state of one revision, and the objections of sidecars to it."""

    revision: int = msgspec.field(name="edition")
    state: str
    objections: list[ObjectionRow]


class SidecarRow(msgspec.Struct, frozen=True):
    """One sidecar: the newest revision that it has, the revision that it acts on, and why it is behind."""

    name: str
    newest: int | None = msgspec.field(name="held")
    acting: int | str | None
    behind: str


class SidecarListing(msgspec.Struct, frozen=True):
    """Answer to `GET /edges`: one row for each sidecar."""

    sidecars: list[SidecarRow] = msgspec.field(name="edges")


class OverrideRow(msgspec.Struct, frozen=True):
    """One active override: its time left in ms, who started it, and why."""

    id: str
    left_ms: float
    by: str
    why: str


class OverrideListing(msgspec.Struct, frozen=True):
    """Answer to `GET /overrides`: active overrides, and findings of the reconciler by name of the sidecar."""

    overrides: list[OverrideRow]
    findings: dict[str, list[str]]


class TimeLeft(msgspec.Struct, frozen=True):
    """Answer to `PUT /overrides/ID`: the time until the override ends, in ms."""

    left_ms: float


class ServiceTime(msgspec.Struct, frozen=True):
    """Time by the clock of the list service, in Unix ms; the service ends overrides by this clock."""

    now_ms: float


class DelayRow(msgspec.Struct, frozen=True):
    """Estimated delay from one client group to one region, with its 90% interval, in ms."""

    group: str
    region: str
    delay_ms: float
    low_ms: float
    high_ms: float
    measured: bool = msgspec.field(name="tried")
    sidecars: int = msgspec.field(name="edges")


class DelayListing(msgspec.Struct, frozen=True):
    """Answer to `GET /geo`: one row for each pair of client group and region."""

    pairs: list[DelayRow]


def _show(raw: object, text: Callable[[], str], *, json: bool) -> None:
    """Print the raw answer as JSON if `json` is set, otherwise the result of `text`."""
    typer.echo(msgspec.json.encode(raw).decode() if json else text())


# --- rules ---------------------------------------------------------------------------------------


@revisions.command()
def publish(
    *,
    file: Annotated[Path, typer.Argument(help="TOML file of the settings.")],
    at: At,
    wait: Annotated[
        bool, typer.Option("--wait", help="Wait until the revision is committed or halted.")
    ] = False,
    force: Annotated[
        bool, typer.Option("--force", help="Publish even if the service warns of harm.")
    ] = False,
    follows: Annotated[int | None, typer.Option(help="Publish only if this revision is the newest.")] = None,
    json: Json = False,
) -> None:
    """Publish settings as the next configuration revision."""
    headers = {"X-Force": "1"} if force else {}
    if follows is not None:
        headers["If-Match"] = str(follows)
    raw, state = run(_publish(address(at), settings.read_toml(file), headers, wait=wait))
    _show(raw, lambda: f"revision {raw['edition']}: {state}", json=json)


async def _publish(at: str, body: dict[str, Any], headers: dict[str, str], *, wait: bool) -> tuple[Any, str]:
    """Publish settings; return the raw answer and the state of the revision.

    With `wait`, return once the revision is committed; raise `HaltedError` if it is halted.
    """
    from brassfall.controlplane.registry import client

    raw = await client.call(at, "PUT", "/rules", body, headers)
    revision = client.decode_answer(at, PublishAnswer, raw).revision
    while wait:
        progress = client.decode_answer(
            at, RevisionState, await client.call(at, "GET", f"/rules?edition={revision}")
        )
        if progress.state == "halted":
            why = "; ".join(f"{row.sidecar}: {row.reason}".strip(": ") for row in progress.objections)
            what = f"revision {revision} was halted"
            raise HaltedError(what, why)
        if progress.state == "committed":
            return {**raw, "state": "committed"}, "committed"
        await asyncio.sleep(POLL_S)
    return raw, "durable"


@revisions.command("show")
def show_revision(*, at: At, json: Json = False) -> None:
    """Show the revision that is being committed, or else the newest one, and what each sidecar acts on."""
    from brassfall.controlplane.registry import client

    async def get_revision_and_sidecars() -> tuple[Any, Any]:
        state = await client.call(address(at), "GET", "/rules")
        return state, await client.call(address(at), "GET", "/edges")

    raw_state, raw_sidecars = run(get_revision_and_sidecars())
    state = client.decode_answer(at, RevisionState, raw_state)
    listing = client.decode_answer(at, SidecarListing, raw_sidecars)

    def text() -> str:
        lines = [f"revision {state.revision}: {state.state}"]
        lines += [f"  {row.sidecar} objects: {row.reason}" for row in state.objections]
        lines += [
            f"  {row.name:<24} newest {row.newest} acting {row.acting} {row.behind}"
            for row in listing.sidecars
        ]
        return "\n".join(lines)

    _show({**raw_state, **raw_sidecars}, text, json=json)


# --- override ------------------------------------------------------------------------------------


@overrides.command("add")
def add_override(
    *, file: Annotated[Path, typer.Argument(help="TOML file of one override.")], at: At, json: Json = False
) -> None:
    """Start or extend an override; the file may give `for_s` in place of `until_ms`."""
    from brassfall.controlplane.registry import client

    body = settings.read_toml(file)
    name = body.pop("id", None)
    if not isinstance(name, str) or not name:
        raise OverrideFileError(str(file), "id: missing or not a string, a name is required")
    duration_s = body.pop("for_s", None)
    is_number = isinstance(duration_s, int | float) and not isinstance(duration_s, bool)
    if duration_s is not None and not (is_number and 0 < duration_s <= OVERRIDE_MOST_S):
        raise OverrideFileError(
            str(file), "for_s: a number of seconds above 0 and up to 86,400 (one day) is required"
        )
    raw = run(_add(address(at), name, body, duration_s))
    left_s = client.decode_answer(at, TimeLeft, raw).left_ms / 1000.0
    _show(raw, lambda: f"override {name}: {left_s:.1f} s left", json=json)


async def _add(at: str, name: str, body: dict[str, Any], duration_s: float | None) -> object:
    from brassfall.controlplane.registry import client

    if duration_s is not None:
        # The service ends the override by its own clock; the local clock may differ from it by hours.
        now_ms = client.decode_answer(at, ServiceTime, await client.call(at, "GET", "/overrides")).now_ms
        body["until_ms"] = int(now_ms + duration_s * 1000.0)
    return await client.call(at, "PUT", f"/overrides/{name}", body)


@overrides.command("end")
def end_override(*, name: str, at: At, by: str = "", why: str = "", json: Json = False) -> None:
    """End an override now."""
    from brassfall.controlplane.registry import client

    query = urlencode({"by": by, "why": why})
    raw = run(client.call(address(at), "DELETE", f"/overrides/{name}?{query}"))
    _show(raw, lambda: f"override {name}: ended", json=json)


@overrides.command("list")
def list_overrides(*, at: At, json: Json = False) -> None:
    """List all active overrides, and the sidecars whose overrides differ from them."""
    from brassfall.controlplane.registry import client

    raw = run(client.call(address(at), "GET", "/overrides"))
    listing = client.decode_answer(at, OverrideListing, raw)

    def text() -> str:
        lines = [
            f"{row.id:<24} {row.left_ms / 1000.0:>9.1f} s left  by {row.by}: {row.why}"
            for row in listing.overrides
        ]
        lines += [f"{name}: {finding}" for name, found in listing.findings.items() for finding in found]
        return "\n".join(lines) or "no override is active"

    _show(raw, text, json=json)


# --- geo -----------------------------------------------------------------------------------------


@geo.command("show")
def show_delays(*, at: At, json: Json = False) -> None:
    """Show the estimated delay of each pair of client group and region, with its 90% interval."""
    from brassfall.controlplane.registry import client

    raw = run(client.call(address(at), "GET", "/geo"))
    listing = client.decode_answer(at, DelayListing, raw)

    def text() -> str:
        lines = [
            f"{row.group:<16} {row.region:<16} {row.delay_ms:>8.1f} ms ({row.low_ms:.1f} to "
            f"{row.high_ms:.1f}) {'measured' if row.measured else 'predicted'}, {row.sidecars} sidecars"
            for row in listing.pairs
        ]
        return "\n".join(lines) or "no delay has been measured yet"

    _show(raw, text, json=json)
