"""One play of one day, in a process of its own: `python -m brassfall.lab.play`, its order on standard input.

Processes of their own keep versions apart, spread seeds over the cores, and keep a play that fails from the
others. The process ends when its standard input does: then the lab that started it has ended.
"""

from __future__ import annotations

import asyncio
import importlib.util
import os
import resource
import signal
import sys
import threading
import time
from collections.abc import Callable
from dataclasses import asdict
from pathlib import Path
from types import ModuleType
from typing import Any

import msgspec

from brassfall.errors import BrassfallError
from brassfall.lab import day, earlier_interface, judge, ledger, rules, spec, steering
from brassfall.lab.arrivals import load_experiment
from brassfall.settings import SettingsError

PACKAGE = "brassfall.balancer"
PACKAGES = (PACKAGE, "poppypulley")  # Present and earlier names of the decision package, newest first
OTHER_REVISION = 'Name a revision whose interface the lab knows, or play it with mode = "real".'
SLACK_MS = {"simulated": 30.0, "real": 120.0}  # for transit, where rules have time limits


class Order(msgspec.Struct, forbid_unknown_fields=True):
    """What to play, as JSON on standard input."""

    experiment: str
    version: str
    seed: int
    folder: str
    code: str = ""  # the folder of another revision; empty for the program that stands here


class Result(msgspec.Struct, omit_defaults=True):
    """The result of a play; it is written last."""

    version: str
    seed: int
    valid: bool
    why: str = ""
    judgement: judge.Judgement | None = None
    events: list[ledger.Event] = []
    cost: dict[str, float] = {}


def install(code: Path) -> None:
    """Replace the decision package of this process by the one in the folder of another revision.

    Raise `SettingsError` if the folder has no decision package, or one whose interface the lab does not know.
    """
    present_modules = _remove_decision_modules()
    package = _load_package(code)
    if not _has_present_interface(package):
        if not earlier_interface.is_supported(package):
            why = "its decision module has an earlier interface that the lab does not know"
            raise SettingsError(str(code), why, OTHER_REVISION)
        _remove_decision_modules()
        sys.modules.update(present_modules)
        package = earlier_interface.with_present_interface(PACKAGE, package)
    sys.modules[PACKAGE] = package
    setattr(sys.modules["brassfall"], PACKAGE.rpartition(".")[2], package)


def _remove_decision_modules() -> dict[str, ModuleType]:
    """Remove the modules of the decision package from `sys.modules` and return them by name.

    Otherwise the decision package of another revision would import these modules instead of its own.
    """
    names = [name for name in sys.modules if f"{name}.".startswith(f"{PACKAGE}.")]
    return {name: sys.modules.pop(name) for name in names}


def _load_package(code: Path) -> ModuleType:
    """Import the decision package in the folder of a revision, under the name that it has there."""
    for name in PACKAGES:
        file = code.joinpath(*name.split("."), "__init__.py")
        module_spec = importlib.util.spec_from_file_location(
            name, file, submodule_search_locations=[str(file.parent)]
        )
        if file.exists() and module_spec is not None and module_spec.loader is not None:
            package = sys.modules[name] = importlib.util.module_from_spec(module_spec)
            module_spec.loader.exec_module(package)
            return package
    raise SettingsError(str(code), "no decision module there", OTHER_REVISION)


def _has_present_interface(package: ModuleType) -> bool:
    package_events = getattr(package, "events", None)
    return (
        hasattr(getattr(package_events, "RequestArrived", None), "request_class")
        and hasattr(package_events, "EndpointListReceived")
        and hasattr(package.model, "SendAttempt")
    )


def judged(folder: Path, experiment: spec.Experiment) -> judge.Judgement:
    """Judge the ledger in a folder."""
    records = rules.Records(
        list(ledger.read(folder, ledger.Answer)),
        list(ledger.read(folder, ledger.Attempt)),
        list(ledger.read(folder, ledger.ListEvent)),
        list(ledger.read(folder, ledger.Incarnation)),
    )
    slack = SLACK_MS[experiment.head.mode]
    collapse = rules.Collapse(experiment.fleet.fall_multiple, float(experiment.fleet.fall_after))
    return judge.judge(
        records, experiment.classes, experiment.head.lasts, slack, collapse, experiment.measure
    )


def simulate(order: Order) -> Result:
    """Play a day under simulated time, and judge it."""
    experiment, recorded = load_experiment(Path(order.experiment))
    version = next(version for version in experiment.versions if version.name == order.version)
    if order.code:
        install(Path(order.code))
    from brassfall.lab.sim.defects import DEFECTS
    from brassfall.lab.sim.faults import Faults
    from brassfall.lab.sim.sidecar import Sidecar
    from brassfall.lab.sim.world import World

    sampled_day = day.sample_day(experiment, order.seed, recorded)
    folder = Path(order.folder)
    ledger_writer = ledger.LedgerWriter(folder)
    begun = time.process_time()
    kind = DEFECTS[version.defect][0] if version.defect else Sidecar
    steering_events = steering.steering_events(experiment, version, sampled_day)

    def settings(number: int) -> dict[str, Any]:
        return day.wire_settings(experiment, number, version.settings)

    world = World(sampled_day, settings, ledger_writer, kind, steering_events)
    Faults(world).schedule()
    world.begin()
    ready = time.process_time()
    world.run(_progress(order))
    ledger_writer.close()
    played = time.process_time()
    judgement = judged(folder, experiment)
    cost = {
        "start_s": ready - begun,
        "play_s": played - ready,
        "judge_s": time.process_time() - played,
        "events": float(world.events),
        "memory_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0,
    }
    events = list(ledger.read(folder, ledger.Event))
    return Result(order.version, order.seed, valid=True, judgement=judgement, events=events, cost=cost)


def perform(order: Order) -> Result:
    """Play a day with real processes, and judge it."""
    from brassfall.lab.real.controller import PlayResult, run_play
    from brassfall.lab.real.environment import Play
    from brassfall.lab.real.process_group import ROOT

    experiment, recorded = load_experiment(Path(order.experiment))
    version = next(version for version in experiment.versions if version.name == order.version)
    sampled_day = day.sample_day(experiment, order.seed, recorded)
    folder = Path(order.folder)
    code = Path(order.code) if order.code else ROOT

    async def work() -> PlayResult:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await run_play(
            Play(
                experiment=experiment,
                experiment_path=order.experiment,
                version=version,
                day=sampled_day,
                folder=folder,
                code=code,
                progress=_progress(order),
            )
        )

    played = asyncio.run(work())
    judgement = judged(folder, experiment)
    judgement.findings += [rules.Finding("crashed", 1, crash) for crash in played.crashes]
    why = played.invalid_reason
    return Result(order.version, order.seed, not why, why, judgement, played.events, asdict(played.cost))


def _progress(order: Order) -> Callable[[float], None]:
    def report_progress(now: float) -> None:
        print(f"{order.version} {order.seed} {now / 1000.0:.0f}", flush=True)

    return report_progress


def _end_with(source: int) -> None:
    """End this process when the lab has ended."""

    def wait() -> None:
        while os.read(source, 4096):
            pass
        os._exit(1)

    threading.Thread(target=wait, daemon=True).start()


def main() -> int:
    """Carry out one order; the exit status."""
    line = sys.stdin.buffer.readline()
    order = msgspec.json.decode(line, type=Order)
    _end_with(sys.stdin.fileno())
    try:
        real = spec.load(Path(order.experiment)).head.mode == "real"
        result = perform(order) if real else simulate(order)
    except BrassfallError as error:
        print(error, file=sys.stderr)
        return 2
    except (KeyboardInterrupt, asyncio.CancelledError):
        return 130
    path = Path(order.folder) / "result.json"
    part = path.with_suffix(".part")
    part.write_bytes(msgspec.json.encode(result))
    part.replace(path)
    return 0


if __name__ == "__main__":
    sys.exit(main())
