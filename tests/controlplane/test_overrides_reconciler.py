"""The reconciler finds nodes that act on other overrides than are due, and takes measures against them."""

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
    """A reconciler with its actions and history entries, and a node "n" that reports as a test says."""

    def __init__(self, history=(), ring=None):
        self.actions, self.entries = [], []  # The entries are pairs of (kind of entry, kind of finding)
        self.reconciler = rec.Reconciler(ring or HistoryRing())
        self.reconciler.restore(history)
        self.at = NOW

    def publish(self, **rows):
        """Publish overrides, given by id as (revision, time left in ms)."""
        overrides = []
        for key, (rev, left) in rows.items():
            document = parse_document(key, json.dumps(body(left=left)), NOW)
            fields = {name: getattr(document, name) for name in type(document).__struct_fields__}
            fields["until_ms"] = self.at + left
            overrides.append(Override(**fields, id=key, rev=rev, same_from=rev, from_ms=self.at))
        self.in_force = {override.id: override for override in overrides}
        self.step(rec.OverridesPublished(tuple(overrides)))

    def step(self, event):
        """Apply an event, and keep the actions and history entries."""
        for action in self.reconciler.step(self.at, event):
            if isinstance(action, WriteEntry):
                self.entries.append((action.entry.kind, action.entry.why))
            else:
                self.actions.append(action)

    def report(self, acted, seconds=1, incarnation="1", **more):
        """Report once a second that the node acts on `acted`, and send details whenever they are requested.

        With None the version of the node does not support overrides.
        """
        for _ in range(seconds):
            self.at += 1000
            reported_digest = None if acted is None else "bad"
            if isinstance(acted, dict):
                reported_digest = digest(acted.items())
            self.actions = []
            self.step(rec.DigestReported("n", incarnation, digest=reported_digest, **more))
            if rec.RequestDetails("n") in self.actions:
                self.step(rec.DetailsReceived("n", acted))

    def kinds(self):
        """Return the sorted kinds of the open findings."""
        return sorted(finding.kind.value for finding in self.reconciler.findings)


@pytest.fixture
def node():
    return ReconciledNode()


X = {"x": (7, 60_000)}  # An override by id: its revision, and its time left in ms
# Description, overrides published first and then (None: nothing), overrides acted on, and kind of finding.
FAULTS = [
    ("a start", X, X, {}, "missed-start"),
    ("an extension", X, {"x": (9, 90_000)}, {"x": 7}, "missed-extension"),
    ("an expiry", {"x": (7, 3500)}, None, {"x": 7}, "missed-expiry"),
    ("an end by an operator", X, {}, {"x": 7}, "missed-end"),
    ("a newer revision than the service has", X, X, {"x": 8}, "unknown-override"),
    ("an id that the service does not know", X, X, {"x": 7, "w": 3}, "unknown-override"),
    ("details that are malformed", X, X, [1], "unreadable"),
    ("a version that does not support overrides", X, X, None, "without-overrides"),
]


@pytest.mark.parametrize(
    ("first", "then", "acted", "kind"),
    [fault[1:] for fault in FAULTS],
    ids=[fault[0] for fault in FAULTS],
)
def test_a_fault_leads_to_resends_a_denied_lease_and_an_alert_until_the_node_acts_as_due(
    node, first, then, acted, kind
):
    node.publish(**first)
    node.report({"x": 7}, seconds=3)
    assert not node.reconciler.findings
    if then is not None:  # For the expiry nothing is published: the override ends by its time
        node.publish(**then)
    node.report(acted, seconds=1)
    assert rec.RequestDetails("n") not in node.actions  # Details are not requested for a short difference
    if kind not in ("missed-expiry", "unreadable", "without-overrides"):
        node.report(acted, seconds=3)
    assert not node.reconciler.findings  # Until then the change may still be on its way to the node
    actions = []
    for _ in range(25):
        node.report(acted)
        actions += node.actions
    measures = [type(action).__name__ for action in actions if not isinstance(action, rec.RequestDetails)]
    assert node.kinds() == [kind] and node.entries == [("found", kind)]
    alerted = [action.finding for action in actions if isinstance(action, rec.AlertOperator)]
    assert [finding.kind for finding in alerted] == [kind] and alerted[0].action.endswith(".")
    if acted is None:
        assert measures == ["AlertOperator"]  # Resending can't correct a version without overrides
    else:
        assert measures[:4] == ["Resend"] * 3 + ["DenyLease"] and "AlertOperator" in measures[4:]
        lacks_override = kind in ("missed-start", "missed-extension", "unreadable")
        # A node that acts past an end gets no lease until it acts on the overrides that are due.
        assert node.reconciler.is_denied("n") is not lacks_override
    denied = node.reconciler.is_denied("n")
    node.report({key: rev for key, (rev, _) in (then or {}).items()})
    assert (rec.AllowLease("n") in node.actions) is denied
    assert not node.reconciler.findings and not node.reconciler.is_denied("n")
    assert node.entries[-1] == ("settled", kind)


def test_a_new_process_that_acts_on_an_ended_override_is_found_with_an_old_state(node):
    node.publish(**X)
    node.report({"x": 7}, seconds=2)
    node.publish()
    node.report({}, seconds=8)
    node.report({"x": 7}, seconds=4, incarnation="2")
    assert node.kinds() == ["old-state"]


def test_one_delayed_report_opens_no_finding(node):
    node.publish(**X)
    node.report({"x": 7}, seconds=2)
    node.publish()
    node.report({}, seconds=8)
    node.step(rec.DetailsReceived("n", {"x": 7}))  # Details that the node sent eight seconds before
    node.report({}, seconds=2)
    assert not node.entries


def test_an_expiry_between_publications_is_no_finding_and_an_override_is_due_only_at_its_places(node):
    node.publish(x=(7, 3500), y=(8, 60_000))
    node.report({"x": 7, "y": 8}, seconds=3)
    node.report({"y": 8}, seconds=10)
    assert not node.entries and rec.RequestDetails("n") not in node.actions
    only_region_b = msgspec.structs.replace(node.in_force["y"], places=Places(regions=("b",)))
    node.step(rec.OverridesPublished((only_region_b,)))
    node.report({}, seconds=10, region="a")
    assert not node.entries
    node.report({}, seconds=10, region="b")
    assert node.kinds() == ["missed-start"]


def test_digests_are_computed_rarely_while_many_overrides_expire(node, monkeypatch):
    calls = []
    node.publish(**{f"k{n}": (n + 1, 1000 + n) for n in range(1000)})
    due = ExpectedOverrides.due
    monkeypatch.setattr(ExpectedOverrides, "due", lambda *args: calls.append(args) or due(*args))
    for _ in range(2500):
        node.at += 1
        node.step(rec.DigestReported("n", "1", digest="none"))
    assert len(calls) <= 2 + 1000 // DIGEST_VALID_MS


def test_findings_are_restored_after_a_restart_and_close_when_their_node_leaves_or_is_silent(monkeypatch):
    ring, entries = HistoryRing(), []
    monkeypatch.setattr(ring, "add", lambda entry: entries.append(entry) or WriteEntry("1", entry))
    node = ReconciledNode(ring=ring)
    node.publish(**X)
    node.report({}, seconds=10)
    restarted = ReconciledNode([msgspec.to_builtins(entry) for entry in entries])
    assert restarted.kinds() == ["missed-start"]
    restarted.step(rec.NodeLeft("n"))
    assert restarted.entries == [("settled", "missed-start")] and not restarted.reconciler.findings
    silent = ReconciledNode([msgspec.to_builtins(entry) for entry in entries])
    silent.at += rec.FORGET_MS * 2
    silent.step(rec.Tick())
    assert silent.entries == [("settled", "missed-start")]


def test_the_rate_of_new_findings_is_limited_and_every_node_gets_its_finding_later(node):
    node.publish(**X)
    for second in range(12):
        node.at += 1000
        entries_before = len(node.entries)
        for number in range(500):
            name = f"n{number}"
            node.step(rec.DigestReported(name, "1", digest=digest([])))
            node.step(rec.DetailsReceived(name, {}))
        assert len(node.entries) - entries_before <= rec.MAX_OPENED_PER_S, second
    assert len(node.entries) == 500
