"""What the tests of overrides share: documents, and a service whose disk is moved by hand."""

from __future__ import annotations

import json

from brassfall.controlplane.overrides import events
from brassfall.controlplane.overrides.document import parse_document
from brassfall.controlplane.overrides.history import HistoryRing, WriteEntry
from brassfall.controlplane.overrides.store import MAX_OVERRIDES, OverrideStore

NOW = 1_800_000_000_000
HOUR = 3_600_000


def body(action=None, match=None, left=60_000, **more):
    found = {"action": action or {"freeze": True}, "match": match or {}, "by": "ann", "why": "w"}
    return {**found, "until_ms": NOW + left, **more}


def parsed(*args, now=NOW, **more):
    return parse_document("x", json.dumps(body(*args, **more)), now)


class OverrideService:
    """Carries out what an override store wants; writes wait until they are made durable by hand."""

    def __init__(self, rows=(), history=(), at=NOW, ring=None, most=MAX_OVERRIDES):
        self.rows, self.history, self.at = dict(rows), dict(history), at
        self.open, self.answers, self.published = [], {}, []
        ring = ring or HistoryRing()
        ring.restore(self.history)
        self.store = OverrideStore(ring, most)
        self.unreadable = self.store.restore(self.rows.items(), self.history.values())

    def step(self, event=None, after=0):
        self.at += after
        batch = []
        for action in self.store.step(self.at, event or events.Tick()):
            if isinstance(action, events.Answer):
                self.answers[action.call] = action.override or action.error
            elif isinstance(action, events.Publish):
                self.published.append({found.id: found.rev for found in action.overrides})
            else:
                batch.append(action)
        if batch:
            self.open.append(batch)
        return self

    def durable(self, why=""):
        """The oldest commit is made durable, or fails."""
        batch = self.open.pop(0)
        for write in batch if not why else []:
            if isinstance(write, WriteEntry):
                self.history[write.key] = write.value
                self.history.pop(write.drop, None)
            elif isinstance(write, events.WriteRow):
                self.rows[write.override.id] = write.value
            else:
                del self.rows[write.id]
        for write in batch:
            if not isinstance(write, WriteEntry):
                self.step(events.RowWritten(write.ticket, why))
        return self

    def put(self, call, left=60_000, key="x", after=0, **more):
        self.at += after
        document = parse_document(key, json.dumps(body(**more) | {"until_ms": self.at + left}), self.at)
        return self.step(events.Put(call, key, document))

    def kinds(self, key="x"):
        return [value["kind"] for value in self.history.values() if value.get("id") == key]

    def restarted(self, after=0, **more):
        return OverrideService(self.rows, self.history, self.at + after, **more)
