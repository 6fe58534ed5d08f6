"""Fixtures of the sidecar's tests."""

from __future__ import annotations

import pytest

from brassfall.sidecar.lifecycle import shutdown


@pytest.fixture
def immediate_shutdown(monkeypatch):
    """A graceful shutdown stops listening at once."""
    monkeypatch.setattr(shutdown, "LISTEN_S", 0.0)
    monkeypatch.setattr(shutdown, "LAST_ANSWERS_S", 0.0)
