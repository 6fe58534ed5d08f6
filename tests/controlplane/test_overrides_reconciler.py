"""The reconciler: nodes that act on other overrides than are due are found, and what is done about it."""

from __future__ import annotations

import json

import msgspec
import pytest

from brassfall.controlplane.overrides import reconciler as rec
from brassfall.controlplane.overrides.document import Override, Places, parse_document
from brassfall.controlplane.overrides.expected import DIGEST_VALID_MS, ExpectedOverrides, digest
from brassfall.controlplane.overrides.history import HistoryRing, WriteEntry
from tests.support.overrides_service import NOW, body


class ReconciledNode:
    """A reconciler, what it did, and nodes that report what a test says."""

    def __init__(self, history=(), ring=None):
        self.done, self.notes = [], []
        self.reconciler = rec.Reconciler(ring or HistoryRing())
        self.reconciler.restore(history)
        self.at = NOW

    def publish(self, **rows):
        """Id to (revision, time left)."""
        found = []
        for key, (rev, left) in rows.items():
            document = parse_document(key, json.dumps(body(left=left)), NOW)
            fields = {name: getattr(document, name) for name in type(document).__struct_fields__}
            fields["until_ms"] = self.at + left
            found.append(Override(**fields, id=key, rev=rev, same_from=rev, from_ms=self.at))
        self.in_force = {override.id: override for override in found}
        self.step(rec.OverridesPublished(tuple(found)))

    def step(self, event):
        for action in self.reconciler.step(self.at, event):
            if isinstance(action, WriteEntry):
                self.notes.append((action.entry.kind, action.entry.why))
            else:
                self.done.append(action)

    def report(self, acted, seconds=1, incarnation="1", **more):
        """A node that acts on this for so many seconds, and answers when asked; `None`: without overrides."""
        for _ in range(seconds):
            self.at += 1000
            reported = None if acted is None else "bad"
            if isinstance(acted, dict):
                reported = digest(acted.items())
            self.done = []
            self.step(rec.DigestReported("n", incarnation, digest=reported, **more))
            if rec.RequestDetails("n") in self.done:
                self.step(rec.DetailsReceived("n", acted))

    def kinds(self):
        return sorted(found.kind.value for found in self.reconciler.findings)


@pytest.fixture
def node():
    return ReconciledNode()


X = {"x": (7, 60_000)}
MISSED = [
    ("a start", X, X, {}, "missed-start"),
    ("an extension", X, {"x": (9, 90_000)}, {"x": 7}, "missed-extension"),
    ("an expiry", {"x": (7, 3500)}, None, {"x": 7}, "missed-expiry"),
    ("an end by hand", X, {}, {"x": 7}, "missed-end"),
    ("a restored disk", X, X, {"x": 8}, "unknown-override"),
    ("an id never heard of", X, X, {"x": 7, "w": 3}, "unknown-override"),
    ("details that are none", X, X, [1], "unreadable"),
    ("a version without this part", X, X, None, "without-overrides"),
]


@pytest.mark.parametrize(
    ("first", "then", "acted", "kind"), [m[1:] for m in MISSED], ids=[m[0] for m in MISSED]
)
def test_a_finding_is_resent_denied_alerted_and_settled_once_the_node_acts_as_due(
    node, first, then, acted, kind
):
    node.publish(**first)
    node.report({"x": 7}, seconds=3)
    assert not node.reconciler.findings
    if then is not None:  # what runs out is over before it is published
        node.publish(**then)
    node.report(acted, seconds=1)
    assert rec.RequestDetails("n") not in node.done  # a digest that differs for a moment is nothing
    if kind not in ("missed-expiry", "unreadable", "without-overrides"):
        node.report(acted, seconds=3)
    assert not node.reconciler.findings  # delivery takes its time
    seen = []
    for _ in range(25):
        node.report(acted)
        seen += node.done
    escalation = [type(action).__name__ for action in seen if not isinstance(action, rec.RequestDetails)]
    assert node.kinds() == [kind] and node.notes == [("found", kind)]
    alerted = [action.finding for action in seen if isinstance(action, rec.AlertOperator)]
    assert [found.kind for found in alerted] == [kind] and alerted[0].action.endswith(".")
    if acted is None:
        assert escalation == ["AlertOperator"]  # resending can't help
    else:
        assert escalation[:4] == ["Resend"] * 3 + ["DenyLease"] and "AlertOperator" in escalation[4:]
        lacks = kind in ("missed-start", "missed-extension", "unreadable")
        assert (
            node.reconciler.is_denied("n") is not lacks
        )  # what acts past an end gets no lease until it acts as due
    denied = node.reconciler.is_denied("n")
    node.report({key: rev for key, (rev, _) in (then or {}).items()})
    assert (rec.AllowLease("n") in node.done) is denied
    assert not node.reconciler.findings and not node.reconciler.is_denied("n")
    assert node.notes[-1] == ("settled", kind)


def test_a_new_process_that_acts_on_an_ended_override_has_an_old_state(node):
    node.publish(**X)
    node.report({"x": 7}, seconds=2)
    node.publish()
    node.report({}, seconds=8)
    node.report({"x": 7}, seconds=4, incarnation="2")
    assert node.kinds() == ["old-state"]


def test_one_report_that_was_delayed_opens_no_finding(node):
    node.publish(**X)
    node.report({"x": 7}, seconds=2)
    node.publish()
    node.report({}, seconds=8)
    node.step(rec.DetailsReceived("n", {"x": 7}))  # of eight seconds ago
    node.report({}, seconds=2)
    assert not node.notes


def test_an_expiry_between_publications_is_no_finding_and_places_count(node):
    node.publish(x=(7, 3500), y=(8, 60_000))
    node.report({"x": 7, "y": 8}, seconds=3)
    node.report({"y": 8}, seconds=10)
    assert not node.notes and rec.RequestDetails("n") not in node.done
    there = msgspec.structs.replace(node.in_force["y"], places=Places(regions=("b",)))
    node.step(rec.OverridesPublished((there,)))
    node.report({}, seconds=10, region="a")
    assert not node.notes
    node.report({}, seconds=10, region="b")
    assert node.kinds() == ["missed-start"]


def test_many_ends_in_one_second_are_bounded_work_for_reports(node, monkeypatch):
    made = []
    node.publish(**{f"k{n}": (n + 1, 1000 + n) for n in range(1000)})
    due = ExpectedOverrides.due
    monkeypatch.setattr(ExpectedOverrides, "due", lambda *args: made.append(args) or due(*args))
    for _ in range(2500):
        node.at += 1
        node.step(rec.DigestReported("n", "1", digest="none"))
    assert len(made) <= 2 + 1000 // DIGEST_VALID_MS


def test_findings_outlive_the_service_and_end_when_a_node_is_gone(monkeypatch):
    ring, entries = HistoryRing(), []
    monkeypatch.setattr(ring, "add", lambda entry: entries.append(entry) or WriteEntry("1", entry))
    node = ReconciledNode(ring=ring)
    node.publish(**X)
    node.report({}, seconds=10)
    restarted = ReconciledNode([msgspec.to_builtins(entry) for entry in entries])
    assert restarted.kinds() == ["missed-start"]
    restarted.step(rec.NodeLeft("n"))
    assert restarted.notes == [("settled", "missed-start")] and not restarted.reconciler.findings
    silent = ReconciledNode([msgspec.to_builtins(entry) for entry in entries])
    silent.at += rec.FORGET_MS * 2
    silent.step(rec.Tick())
    assert silent.notes == [("settled", "missed-start")]


def test_findings_of_many_nodes_at_once_are_limited_and_none_is_left_out(node):
    node.publish(**X)
    for second in range(12):
        node.at += 1000
        before = len(node.notes)
        for number in range(500):
            name = f"n{number}"
            node.step(rec.DigestReported(name, "1", digest=digest([])))
            node.step(rec.DetailsReceived(name, {}))
        assert len(node.notes) - before <= rec.MAX_OPENED_PER_S, second
    assert len(node.notes) == 500
