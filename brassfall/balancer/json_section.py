"""Typed access to the members of a JSON object, with errors that name the invalid member by its path."""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import StrEnum
from typing import Any, NoReturn, TypeVar

Choice = TypeVar("Choice", bound=StrEnum)


class Section:
    """One JSON object together with its path in the document, which error messages state.

    Each method that reads a member raises `ValueError` with the member's path if the member has an unexpected
    type.
    """

    __slots__ = ("_members", "_path")

    def __init__(self, members: Mapping[str, Any], path: str = "") -> None:
        """Wrap the object `members`; errors put `path` before the names of its members."""
        self._members = members
        self._path = path

    def reject(self, name: str, problem: str) -> NoReturn:
        """Raise `ValueError` with the path of a member and its problem."""
        message = f"{self._path}{name}: {problem}"
        raise ValueError(message)

    def section(self, name: str) -> Section:
        """Return a member that is an object; return an empty one if the member is missing or null."""
        value = self._members.get(name)
        if value is None:
            value = {}
        if not isinstance(value, Mapping):
            self.reject(name, f"expected an object, not {type(value).__name__}")
        return Section(value, f"{self._path}{name}.")

    def items(self, name: str) -> list[Any]:
        """Return a member that is a list; return an empty one if the member is missing or null."""
        value = self._members.get(name)
        if value is None:
            return []
        if not isinstance(value, list):
            self.reject(name, f"expected a list, not {type(value).__name__}")
        return value

    def sections(self, name: str) -> list[Section]:
        """Return a member that is a list of objects; return an empty list if it is missing or null."""
        rows = self.items(name)
        for index, row in enumerate(rows):
            if not isinstance(row, Mapping):
                self.reject(f"{name}[{index}]", f"expected an object, not {type(row).__name__}")
        return [Section(row, f"{self._path}{name}[{index}].") for index, row in enumerate(rows)]

    def number(
        self, name: str, default: float | None = None, *, low: float = 0.0, high: float = math.inf
    ) -> float:
        """Return a member that is a number from `low` to `high`; it is required if there is no `default`."""
        value = self._members.get(name)
        if value is None:
            value = default
        if value is None:
            self.reject(name, "missing, a number is required")
        if isinstance(value, bool) or not isinstance(value, int | float):
            self.reject(name, f"expected a number, not {type(value).__name__}")
        # Only a default may be infinite: an infinite value in the document would overflow, or be a time that
        # never ends.
        infinite = math.isinf(value) and value is not default
        if infinite or not low <= value <= high:
            self.reject(name, f"{value} is out of range: finite numbers from {low} to {high} are allowed")
        return float(value)

    def numbers(self) -> dict[str, float]:
        """Return all members that are numbers, by name; ignore the other members."""
        return {name: float(value) for name, value in self._members.items() if isinstance(value, int | float)}

    def flag(self, name: str) -> bool:
        """Return a member that is a boolean; return False if the member is missing or null."""
        value = self._members.get(name, False)
        if not isinstance(value, bool | None):
            self.reject(name, f"expected true or false, not {type(value).__name__}")
        return bool(value)

    def choice(self, name: str, choices: type[Choice], default: Choice | None = None) -> Choice:
        """Return the member of `choices` whose value `name` has; it is required if there is no `default`."""
        value = self._members.get(name)
        if value is None and default is not None:
            return default
        chosen = next((choice for choice in choices if choice.value == value), None)
        if chosen is None:
            self.reject(name, f"expected one of {', '.join(choices)}, not {value!r:.60}")
        return chosen
