"""The table of error types in `docs/operations.md`, written from the code.

    python -m tests.support.error_page      write the table anew

Rows are in the order of the names of the types, so that the table of two changes merges line by line.
"""

from __future__ import annotations

import importlib
import pkgutil
from pathlib import Path

import brassfall

ROOT = Path(__file__).resolve().parents[2]
PAGE = ROOT / "docs" / "operations.md"
HEADING = "# Errors"
ROW_START = "| `brassfall."


def error_types() -> dict[str, type[Exception]]:
    """Return every exception class that the program defines, by its full name."""
    found = {}
    for module in pkgutil.walk_packages(brassfall.__path__, f"{brassfall.__name__}."):
        if not module.name.endswith("__main__"):
            for value in vars(importlib.import_module(module.name)).values():
                if isinstance(value, type) and issubclass(value, Exception):
                    found[f"{value.__module__}.{value.__qualname__}"] = value
    return {name: kind for name, kind in found.items() if name.startswith("brassfall.")}


def row(name: str, kind: type[Exception]) -> str:
    """Return the row of one error type: its name, the summary of its doc comment, and its action."""
    summary = (kind.__doc__ or "").split("\n")[0]
    return f"| `{name}` | {' '.join(summary.split())} | {getattr(kind, 'action', '')} |"


def listed_rows() -> set[str]:
    """Return the rows that the page has."""
    lines = PAGE.read_text().splitlines()
    return {line for line in lines[lines.index(HEADING) :] if line.startswith(ROW_START)}


def write() -> None:
    """Replace the rows of the page by those of the code."""
    lines = PAGE.read_text().splitlines()
    begin = lines.index(HEADING)
    first = next(number for number, line in enumerate(lines) if number > begin and line.startswith(ROW_START))
    rows = [row(name, kind) for name, kind in sorted(error_types().items())]
    rest = [line for line in lines[first:] if not line.startswith(ROW_START)]
    PAGE.write_text("\n".join([*lines[:first], *rows, *rest]) + "\n")


if __name__ == "__main__":
    write()
