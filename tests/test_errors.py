"""Errors that reach an operator: a type, what happened, why, and what can be done."""

from __future__ import annotations

import importlib
import pickle
import pkgutil

import pytest

import brassfall
import fordtrestle
from brassfall import errors
from tests.processes import ROOT


@pytest.mark.parametrize("action", [None, "", "  ", "look"])
def test_an_error_type_without_advice_of_its_own_can_not_be_written(action):
    with pytest.raises(TypeError, match="Careless"):
        type("Careless", (errors.Refused,), {} if action is None else {"action": action})


def test_an_error_is_one_line_with_all_its_parts_and_comes_whole_from_another_process():
    made = pickle.loads(pickle.dumps(errors.TooOften("10.0.0.1 was put\noff", "2,100 calls", retry_s=2.5)))
    assert str(made) == f"10.0.0.1 was put off: 2,100 calls. {errors.TooOften.action}"
    assert made.wire() == {"error": "too many calls", "reason": str(made)}
    assert (made.status, made.retry_s, made.told) == (429, 2.5, "10.0.0.1 was put off: 2,100 calls")
    assert str(errors.UsageError("--at.", action="Name HOST:PORT.")) == "--at. Name HOST:PORT."


def error_types() -> dict[str, type[Exception]]:
    """Every exception class that the house and the sidecar define, by its full name."""
    found = {}
    for package in (brassfall, fordtrestle):
        for module in pkgutil.walk_packages(package.__path__, f"{package.__name__}."):
            if not module.name.endswith("__main__"):
                for value in vars(importlib.import_module(module.name)).values():
                    if isinstance(value, type) and issubclass(value, Exception):
                        found[f"{value.__module__}.{value.__qualname__}"] = value
    return {name: kind for name, kind in found.items() if name.startswith(("brassfall.", "fordtrestle."))}


def test_every_error_type_has_an_action_and_the_page_lists_it_and_no_other():
    kinds = error_types()
    assert len(kinds) > 20
    for name, kind in kinds.items():
        assert getattr(kind, "action", "").strip(), f"{name}: what can an operator do?"
        if name.startswith("brassfall."):
            assert issubclass(kind, errors.BrassfallError), name
    page = (ROOT / "docs" / "operations.md").read_text().splitlines()
    begin = page.index("# Errors")
    listed = {line for line in page[begin:] if line.startswith(("| `brassfall.", "| `fordtrestle."))}
    wanted = {
        f"| `{name}` | {' '.join((kind.__doc__ or '').split(chr(10))[0].split())} | {kind.action} |"
        for name, kind in kinds.items()
    }
    assert (sorted(wanted - listed), sorted(listed - wanted)) == ([], [])  # missing rows, stale rows
