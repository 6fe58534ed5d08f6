"""Arrivals files: what was asked on a recorded day, one JSON object a line; and experiments with theirs."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import msgspec

from brassfall.lab import spec
from brassfall.settings import SettingsError

NotNegative = Annotated[float, msgspec.Meta(ge=0.0, lt=1e9)]


class Arrival(msgspec.Struct, forbid_unknown_fields=True):
    """One line: `{"at_ms": 12.5, "class": "get-transcript", "app": 0, "work_ms": 80}`."""

    at_ms: NotNegative
    cls: str = msgspec.field(name="class")
    app: Annotated[int, msgspec.Meta(ge=0)] = 0
    work_ms: NotNegative = 0.0  # 0: as its class usually is


def load(path: Path) -> list[tuple[float, str, int, float]]:
    """Read a file; `SettingsError` names the file, the line and what is wrong there."""
    decode = msgspec.json.Decoder(Arrival).decode
    rows = []
    try:
        with open(path, "rb") as file:
            for number, line in enumerate(file, 1):
                if not line.strip():
                    continue
                try:
                    row = decode(line)
                except msgspec.MsgspecError as error:
                    raise SettingsError(f"{path}: line {number}", str(error)) from error
                rows.append((row.at_ms, row.cls, row.app, row.work_ms))
    except (OSError, ValueError) as error:  # the latter: no name that a file can have
        why = error.strerror if isinstance(error, OSError) else None
        raise SettingsError(str(path), why or str(error)) from error
    if not rows:
        raise SettingsError(str(path), "no arrivals")
    return rows


def load_experiment(path: Path) -> tuple[spec.Experiment, list[tuple[float, str, int, float]]]:
    """The experiment of a file, and the rows of its arrivals file, if it names one."""
    experiment = spec.load(path)
    if experiment.load.replay is None:
        return experiment, []
    return experiment, load(path.parent / experiment.load.replay)
