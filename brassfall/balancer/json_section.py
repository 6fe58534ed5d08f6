"""JSON objects that are read member by member, with errors that name the member by its path."""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import StrEnum
from typing import Any, NoReturn, TypeVar

Choice = TypeVar("Choice", bound=StrEnum)


class Section:
    """One JSON object, and its path for error messages.

    Each method raises `ValueError` with the member's path if the member has another type than expected.
    """

    __slots__ = ("_members", "_path")

    def __init__(self, members: Mapping[str, Any], path: str = "") -> None:
        """Read `members`; `path` is put before their names in errors."""
        self._members = members
        self._path = path

    def reject(self, name: str, problem: str) -> NoReturn:
        """Raise the error that names a member."""
        message = f"{self._path}{name}: {problem}"
        raise ValueError(message)

    def section(self, name: str) -> Section:
        """Return an object; one that is missing or null is empty."""
        value = self._members.get(name)
        if value is None:
            value = {}
        if not isinstance(value, Mapping):
            self.reject(name, "expected an object")
        return Section(value, f"{self._path}{name}.")

    def items(self, name: str) -> list[Any]:
        """Return a list; one that is missing or null is empty."""
        value = self._members.get(name)
        if value is None:
            return []
        if not isinstance(value, list):
            self.reject(name, "expected a list")
        return value

    def sections(self, name: str) -> list[Section]:
        """Return a list of objects."""
        rows = self.items(name)
        for position, row in enumerate(rows):
            if not isinstance(row, Mapping):
                self.reject(f"{name}[{position}]", "expected an object")
        return [Section(row, f"{self._path}{name}[{position}].") for position, row in enumerate(rows)]

    def number(
        self, name: str, default: float | None = None, *, low: float = 0.0, high: float = math.inf
    ) -> float:
        """Return a number between `low` and `high`; without a default it may not be missing."""
        value = self._members.get(name)
        if value is None:
            value = default
        if value is None:
            self.reject(name, "missing")
        if isinstance(value, bool) or not isinstance(value, int | float):
            self.reject(name, "expected a number")
        # Only a default may be infinite: a given value that is would overflow, or never end.
        infinite = math.isinf(value) and value is not default
        if infinite or not low <= value <= high:
            self.reject(name, f"{value} is out of range")
        return float(value)

    def numbers(self) -> dict[str, float]:
        """Return the members that are numbers; others are ignored."""
        return {name: float(value) for name, value in self._members.items() if isinstance(value, int | float)}

    def flag(self, name: str) -> bool:
        """Return a boolean; one that is missing or null is false."""
        value = self._members.get(name, False)
        if not isinstance(value, bool | None):
            self.reject(name, "expected true or false")
        return bool(value)

    def choice(self, name: str, choices: type[Choice], default: Choice | None = None) -> Choice:
        """Return a member by its value on the wire; without a default it may not be missing."""
        value = self._members.get(name)
        if value is None and default is not None:
            return default
        chosen = next((choice for choice in choices if choice.value == value), None)
        if chosen is None:
            self.reject(name, f"expected one of {', '.join(choices)}")
        return chosen
