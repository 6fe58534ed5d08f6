"""Helpers of the override tests: documents, and a service whose commits become durable on request."""

from __future__ import annotations

import json

from brassfall.controlplane.overrides import events
from brassfall.controlplane.overrides.document import parse_document
from brassfall.controlplane.overrides.history import HistoryRing, WriteEntry
from brassfall.controlplane.overrides.store import MAX_OVERRIDES, OverrideStore

NOW = 1_800_000_000_000  # Start of a test, in Unix ms
HOUR = 3_600_000  # One hour in ms


def body(action=None, match=None, left=60_000, **more):
    """Return the body of a call that starts an override for `left` ms from `NOW`."""
    document = {"action": action or {"freeze": True}, "match": match or {}, "by": "ann", "why": "w"}
    return {**document, "until_ms": NOW + left, **more}


def parsed(*args, now=NOW, **more):
    """Return the parsed document of `body`."""
    return parse_document("x", json.dumps(body(*args, **more)), now)


class OverrideService:
    """A host of an override store; its commits become durable when a test calls `durable`."""

    def __init__(self, rows=(), history=(), at=NOW, ring=None, max_overrides=MAX_OVERRIDES):
        self.rows, self.history, self.at = dict(rows), dict(history), at
        self.open_commits, self.answers, self.published = [], {}, []
        ring = ring or HistoryRing()
        ring.restore(self.history)
        self.store = OverrideStore(ring, max_overrides)
        self.unreadable = self.store.restore(self.rows.items(), self.history.values())

    def step(self, event=None, after=0):
        """Apply an event, or a `Tick`, `after` ms later; carry out the actions."""
        self.at += after
        commit = []
        for action in self.store.step(self.at, event or events.Tick()):
            if isinstance(action, events.Answer):
                self.answers[action.call] = action.override or action.error
            elif isinstance(action, events.Publish):
                self.published.append({override.id: override.rev for override in action.overrides})
            else:
                commit.append(action)
        if commit:
            self.open_commits.append(commit)
        return self

    def durable(self, why=""):
        """Make the oldest open commit durable or, if `why` is not empty, let it fail."""
        commit = self.open_commits.pop(0)
        for write in commit if not why else []:
            if isinstance(write, WriteEntry):
                self.history[write.key] = write.value
                self.history.pop(write.drop, None)
            elif isinstance(write, events.WriteRow):
                self.rows[write.override.id] = write.value
            else:
                del self.rows[write.id]
        for write in commit:
            if not isinstance(write, WriteEntry):
                self.step(events.RowWritten(write.ticket, why))
        return self

    def put(self, call, left=60_000, key="x", after=0, **more):
        """Start or change an override so that it ends in `left` ms."""
        self.at += after
        document = parse_document(key, json.dumps(body(**more) | {"until_ms": self.at + left}), self.at)
        return self.step(events.Put(call, key, document))

    def kinds(self, key="x"):
        """Return the kinds of the durable history entries of an override."""
        return [value["kind"] for value in self.history.values() if value.get("id") == key]

    def restarted(self, after=0, **more):
        """Return a new service that has the durable rows of this one, `after` ms later."""
        return OverrideService(self.rows, self.history, self.at + after, **more)
