"""Generator of the table of error classes in `docs/operations.md`.

    python -m tests.support.error_page      replace the rows of the table

Rows are sorted by class name, so that two branches which each change the table merge line by line.
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
    """Return every exception class that the program defines, keyed by its qualified name."""
    classes = {}
    for module in pkgutil.walk_packages(brassfall.__path__, f"{brassfall.__name__}."):
        if not module.name.endswith("__main__"):
            for member in vars(importlib.import_module(module.name)).values():
                if isinstance(member, type) and issubclass(member, Exception):
                    classes[f"{member.__module__}.{member.__qualname__}"] = member
    return {name: error_class for name, error_class in classes.items() if name.startswith("brassfall.")}


def row(name: str, error_class: type[Exception]) -> str:
    """Return the table row of an error class: its name, the first line of its doc comment, and its action."""
    summary = (error_class.__doc__ or "").split("\n")[0]
    return f"| `{name}` | {' '.join(summary.split())} | {getattr(error_class, 'action', '')} |"


def listed_rows() -> set[str]:
    """Return the table rows that `docs/operations.md` has now."""
    lines = PAGE.read_text().splitlines()
    return {line for line in lines[lines.index(HEADING) :] if line.startswith(ROW_START)}


def write() -> None:
    """Replace the table rows of `docs/operations.md` with rows made from the error classes in the code."""
    lines = PAGE.read_text().splitlines()
    heading_index = lines.index(HEADING)
    first_row = next(
        index for index, line in enumerate(lines) if index > heading_index and line.startswith(ROW_START)
    )
    rows = [row(name, error_class) for name, error_class in sorted(error_types().items())]
    lines_after = [line for line in lines[first_row:] if not line.startswith(ROW_START)]
    PAGE.write_text("\n".join([*lines[:first_row], *rows, *lines_after]) + "\n")


if __name__ == "__main__":
    write()
