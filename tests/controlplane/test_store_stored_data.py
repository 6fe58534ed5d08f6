"""A data folder that the version of 2026-12-02 wrote is read as that version read it.

`tests/data/registry-folder` was copied from a running list service, as a kill would have left it. It has a
snapshot, records before and after it, and a write-ahead log that was not yet copied into the database file.
`expected.json` has the rows, answers and changes that the version itself read from the folder.
"""

from __future__ import annotations

import json
import shutil
from pathlib import Path

import aiohttp
import msgspec
import pytest

from brassfall.controlplane.overrides import store as override_store
from brassfall.controlplane.overrides.history import TABLE, Entry, HistoryRing
from brassfall.controlplane.registry.server import Service
from brassfall.controlplane.store.log import FILE, Log
from brassfall.settings import RegistrySettings
from tests.support.loopback import bounded

STORED = Path(__file__).parents[1] / "data" / "registry-folder"
EXPECTED = json.loads((STORED / "expected.json").read_text())


@pytest.fixture
def folder(tmp_path):
    """Return a copy of the stored folder, to which a test may write."""
    copy = tmp_path / "registry"
    copy.mkdir()
    for name in (FILE, f"{FILE}-wal"):
        shutil.copy(STORED / name, copy / name)
    return copy


def test_stored_rows_answers_and_changes_are_read(folder):
    log = Log(folder)
    loaded = log.load()
    log.close()
    state = loaded.state
    assert (state.index, state.time_ms) == (EXPECTED["index"], EXPECTED["at"])
    assert loaded.records == EXPECTED["records_since_snapshot"]
    rows = {name: [msgspec.to_builtins(row) for row in state.rows(name)] for name in state.names}
    assert rows == EXPECTED["rows"]
    answers = {name: msgspec.to_builtins(state.remembered_answer(name)) for name in EXPECTED["answers"]}
    assert answers == EXPECTED["answers"]
    changes = {}
    for name in state.names:
        table_changes = state.changes_since(name, EXPECTED["changes_after"])
        changes[name] = table_changes and [
            [change.row.key, change.row.version, change.index, change.deleted] for change in table_changes
        ]
    assert changes == EXPECTED["changes"]


def test_stored_overrides_are_in_force_and_their_history_is_read(folder):
    log = Log(folder)
    state = log.load().state
    log.close()
    mark_ms = state.get("overrides-clock", "mark").value["mark"]
    overrides = override_store.OverrideStore(HistoryRing())
    history = [row.value for row in state.rows(TABLE)]
    assert (
        overrides.restore(((row.key, row.value) for row in state.rows(override_store.TABLE)), history) == []
    )
    assert [(override.id, override.by, override.rev) for override in overrides.active(mark_ms)] == [
        ("freeze-right", "ana", EXPECTED["rows"]["overrides"][0][2]["rev"])
    ]
    entries = [(msgspec.convert(value, Entry).kind, value["id"]) for value in history]
    assert entries == [("started", "freeze-left"), ("started", "freeze-right"), ("ended", "freeze-left")]


@bounded(30.0)
async def test_the_service_starts_on_a_stored_folder_and_answers_repeats_of_its_calls(folder):
    service = Service(RegistrySettings(listen="127.0.0.1:0", data=str(folder)))
    listen = await service.start()
    try:
        async with aiohttp.ClientSession() as session:

            async def get(path):
                async with session.get(f"http://{listen}{path}") as response:
                    assert response.status == 200
                    return await response.json()

            instances = (await get("/registry/instances"))["endpoints"]
            assert [row["name"] for row in instances] == [row[0] for row in EXPECTED["rows"]["instances"]]
            revisions = EXPECTED["rows"]["rules"][0][2]
            assert (await get("/rules"))["edition"] == revisions["committed"]["number"]
            # A repeat of a call that the stored version answered gets the same answer, and changes nothing.
            url, headers = f"http://{listen}/tables/flags/f0", {"X-Request-Id": "flag-0"}
            async with session.put(url, json="other", headers=headers) as response:
                assert (await response.json())["index"] == EXPECTED["answers"]["flag-0"][1]
            assert (await get("/tables/flags/f0"))["value"] == EXPECTED["rows"]["flags"][0][2]
    finally:
        await service.close()
