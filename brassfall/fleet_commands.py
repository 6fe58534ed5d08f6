"""The commands of editions, overrides and geo: `rules`, `override`, `geo`."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from brassfall import settings
from brassfall.errors import BrassfallError, UsageError

At = Annotated[str, typer.Option(help="HOST:PORT of the list service.")]
Json = Annotated[bool, typer.Option("--json", help="JSON instead of text.")]
Run = Callable[[Any], Any]
POLL_S = 0.1


class HaltedError(BrassfallError):
    """An edition did not take effect."""

    action = "Mend what the sidecars named object to, and publish again; the edition before stays in force."


class OverrideFileError(UsageError):
    """A file that is no override."""

    action = "Name the override's `id` in the file; docs/overrides.md has the form of the rest."


def _show(at: str, told: Any, json: bool, text: Callable[[], str]) -> None:
    """What came, as JSON or as text; another program may have answered."""
    from brassfall.controlplane.registry import client

    try:
        typer.echo(msgspec.json.encode(told).decode() if json else text())
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise client.CallError(
            at, f"what came is not what was asked for: {error!r}", client.ANOTHER_PROGRAM
        ) from error


def add(app: typer.Typer, run: Run, address: Callable[[str], str]) -> None:
    """Add the commands; `run` runs a coroutine as the other commands do, `address` checks an `--at`."""
    app.add_typer(_rules(run, address), name="rules")
    app.add_typer(_overrides(run, address), name="override")
    app.add_typer(_geo(run, address), name="geo")


def _rules(run: Run, address: Callable[[str], str]) -> typer.Typer:
    rules = typer.Typer(no_args_is_help=True, help="Editions that all sidecars act on together.")

    @rules.command()
    def publish(
        file: Annotated[Path, typer.Argument(help="Settings, as TOML.")],
        at: At,
        wait: Annotated[bool, typer.Option("--wait", help="Until it is committed or halted.")] = False,
        force: Annotated[bool, typer.Option("--force", help="Although it does harm.")] = False,
        follows: Annotated[int | None, typer.Option(help="Only after this edition.")] = None,
        json: Json = False,
    ) -> None:
        """Publish settings as the next edition."""
        told = run(_publish(address(at), settings.read_toml(file), wait, force, follows))
        _show(at, told, json, lambda: f"edition {told['edition']}: {told.get('state', 'durable')}")

    @rules.command()
    def show(at: At, json: Json = False) -> None:
        """The edition that matters most now, and what each sidecar acts on."""
        from brassfall.controlplane.registry import client

        async def both() -> tuple[Any, Any]:
            return await client.call(address(at), "GET", "/rules"), await client.call(
                address(at), "GET", "/edges"
            )

        told, edges = run(both())

        def text() -> str:
            lines = [f"edition {told['edition']}: {told['state']}"]
            lines += [f"  {row['edge']} objects: {row['reason']}" for row in told["objections"]]
            lines += [
                f"  {row['name']:<24} held {row['held']} acting {row['acting']} {row['behind']}"
                for row in edges["edges"]
            ]
            return "\n".join(lines)

        _show(at, {**told, **edges}, json, text)

    return rules


async def _publish(at: str, told: dict[str, Any], wait: bool, force: bool, follows: int | None) -> Any:
    from brassfall.controlplane.registry import client

    headers = ({"X-Force": "1"} if force else {}) | ({} if follows is None else {"If-Match": str(follows)})
    made = await client.call(at, "PUT", "/rules", told, headers)
    try:
        while wait:
            state = await client.call(at, "GET", f"/rules?edition={made['edition']}")
            if state["state"] == "halted":
                why = "; ".join(f"{row['edge']}: {row['reason']}".strip(": ") for row in state["objections"])
                raise HaltedError(f"edition {made['edition']} was halted", why)
            if state["state"] == "committed":
                return {**made, "state": "committed"}
            await asyncio.sleep(POLL_S)
    except (KeyError, TypeError) as error:
        raise client.CallError(
            at, f"what came is not what was asked for: {error!r}", client.ANOTHER_PROGRAM
        ) from error
    return made


def _overrides(run: Run, address: Callable[[str], str]) -> typer.Typer:
    override = typer.Typer(no_args_is_help=True, help="Temporary overrides, which end by themselves.")

    @override.command("add")
    def add_(
        file: Annotated[Path, typer.Argument(help="One override, as TOML.")], at: At, json: Json = False
    ) -> None:
        """Start or extend an override. The file may have `for_s` in place of `until_ms`."""
        told = settings.read_toml(file)
        name = told.pop("id", None)
        if not isinstance(name, str) or not name:
            raise OverrideFileError(f"{file}", "id: a name is wanted")
        lasts = told.pop("for_s", None)
        number = isinstance(lasts, int | float) and not isinstance(lasts, bool)
        if lasts is not None and not (number and 0 < lasts <= 86_400):
            raise OverrideFileError(f"{file}", "for_s: seconds, up to a day, are wanted")
        made = run(_add(address(at), name, told, lasts))
        _show(at, made, json, lambda: f"override {name}: {made['left_ms'] / 1000.0:.1f} s left")

    @override.command()
    def end(name: str, at: At, by: str = "", why: str = "", json: Json = False) -> None:
        """End an override now."""
        from urllib.parse import urlencode

        from brassfall.controlplane.registry import client

        query = urlencode({"by": by, "why": why})
        made = run(client.call(address(at), "DELETE", f"/overrides/{name}?{query}"))
        _show(at, made, json, lambda: f"override {name}: ended")

    @override.command("list")
    def list_(at: At, json: Json = False) -> None:
        """All overrides in force, and what is wrong with sidecars."""
        from brassfall.controlplane.registry import client

        told = run(client.call(address(at), "GET", "/overrides"))

        def text() -> str:
            lines = [
                f"{row['id']:<24} {row['left_ms'] / 1000.0:>9.1f} s left  by {row['by']}: {row['why']}"
                for row in told["overrides"]
            ]
            lines += [f"{name}: {line}" for name, found in told["findings"].items() for line in found]
            return "\n".join(lines) or "no override is in force"

        _show(at, told, json, text)

    return override


async def _add(at: str, name: str, told: dict[str, Any], lasts: float | None) -> Any:
    from brassfall.controlplane.registry import client

    if lasts is not None:
        # Counted by the service's clock, which says when it ends: the one here may be wrong by hours.
        listed = await client.call(at, "GET", "/overrides")
        now = listed.get("now_ms") if isinstance(listed, dict) else None
        if not isinstance(now, int | float):
            raise client.CallError(at, "it does not say what time it has", client.ANOTHER_PROGRAM)
        told["until_ms"] = int(now + lasts * 1000.0)
    return await client.call(at, "PUT", f"/overrides/{name}", told)


def _geo(run: Run, address: Callable[[str], str]) -> typer.Typer:
    geo = typer.Typer(no_args_is_help=True, help="Delays from client groups to regions.")

    @geo.command()
    def show(at: At, json: Json = False) -> None:
        """Each pair's estimate, its interval of 90%, and its age."""
        from brassfall.controlplane.registry import client

        told = run(client.call(address(at), "GET", "/geo"))

        def text() -> str:
            lines = [
                f"{p['group']:<16} {p['region']:<16} {p['delay_ms']:>8.1f} ms ({p['low_ms']:.1f} to "
                f"{p['high_ms']:.1f}) {'tried' if p['tried'] else 'guessed'}, {p['edges']} sidecars"
                for p in told["pairs"]
            ]
            return "\n".join(lines) or "nothing was measured yet"

        _show(at, told, json, text)

    return geo
