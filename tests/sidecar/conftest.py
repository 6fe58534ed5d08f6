"""Fixtures for the tests of the sidecar."""

from __future__ import annotations

import pytest

from brassfall.sidecar.lifecycle import shutdown


@pytest.fixture
def immediate_shutdown(monkeypatch):
    """Make a graceful shutdown stop listening at once."""
    monkeypatch.setattr(shutdown, "LISTEN_S", 0.0)
    monkeypatch.setattr(shutdown, "LAST_ANSWERS_S", 0.0)
