"""Every warning and error in the logs says what to do, and the on-call page lists it."""

from __future__ import annotations

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[1]
PAGE = ROOT / "docs" / "operations.md"
LEVELS = ("warning", "error", "exception")
# Writes the lines; its calls hand on events that stand elsewhere.
WRITERS = (ROOT / "brassfall" / "sidecar" / "log.py",)
EVENT_COLUMN = re.compile(r"`([^`]+)`")


def log_calls(package: str) -> list[tuple[str, ast.Call]]:
    """Return the calls that log a warning or an error, with the place of each."""
    found = []
    for path in sorted((ROOT / "brassfall" / package).rglob("*.py")):
        if path in WRITERS:
            continue
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute):
                owner = node.func.value
                if isinstance(owner, ast.Name) and owner.id == "log" and node.func.attr in LEVELS:
                    found.append((f"{path.relative_to(ROOT)}:{node.lineno}", node))
    return found


def events(package: str) -> set[str]:
    """Return the events of a package that are warnings or errors."""
    phrases = (call.args[0] for _, call in log_calls(package))
    return {str(phrase.value) for phrase in phrases if isinstance(phrase, ast.Constant)}


def listed_events(heading: str) -> set[str]:
    """Return the events in the tables of log lines below a heading of the page, up to the next one."""
    section = PAGE.read_text().split(f"\n{heading}\n", 1)[1]
    section = re.split(r"\n# ", section, maxsplit=1)[0]
    listed: set[str] = set()
    in_table = False
    for line in section.splitlines():
        if line.startswith("| log event"):
            in_table = True
        elif not line.startswith("|"):
            in_table = False
        elif in_table and not line.startswith("| ---"):
            listed |= set(EVENT_COLUMN.findall(line.split("|")[1]))
    return listed


@pytest.mark.parametrize("package", ["sidecar", "controlplane"])
def test_every_warning_and_error_is_a_constant_phrase_with_an_action(package):
    calls = log_calls(package)
    assert len(calls) > 10
    for place, call in calls:
        assert isinstance(call.args[0], ast.Constant), f"{place}: the event is not a constant phrase"
        assert "action" in {word.arg for word in call.keywords}, f"{place}: what can an operator do?"


@pytest.mark.parametrize(
    ("package", "heading"), [("sidecar", "# Sidecar"), ("controlplane", "# List service and aggregators")]
)
def test_the_on_call_page_lists_every_warning_and_error_and_no_other(package, heading):
    logged, listed = events(package), listed_events(heading)
    assert (sorted(logged - listed), sorted(listed - logged)) == ([], [])  # missing rows, stale rows
