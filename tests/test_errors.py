"""Errors that reach an operator: a type, what happened, why, and what can be done."""

from __future__ import annotations

import pickle

import pytest

from brassfall import errors


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
