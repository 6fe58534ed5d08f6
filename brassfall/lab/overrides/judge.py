"""The judge of simulated overrides: whether each decision of a sidecar was allowed. Pure code.

Times are simulated ms. The judge is notified of what became durable and when, and asks neither a sidecar nor
the service whether an override is in force.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple, TypedDict

from brassfall.controlplane.overrides.document import Override
from brassfall.lab.overrides.parts import Decision, NodeView, Row, ServiceView

PAST_MS = 500.0  # for which an override may be acted on after its end
SETTLE_MS = 7500.0  # after which a node without faults has a change (a slow message takes 6 s)
NEAR_END_MS = 2500.0  # before its end, an override may be over already: margins, and old times left
MAX_BROKEN = 100  # violations recorded
ROUNDING_MS = 2.0
EARLY_MS = 5.0  # by which an override may be deleted before its end
DRIFT = 1.01  # most that a clock advances in a unit of time
NEVER_MS = -1e9


@dataclass(frozen=True, slots=True)
class Broken:
    """One violation of a rule."""

    rule: str
    at_ms: float
    text: str


@dataclass(slots=True)
class Outcome:
    """The outcome of a run."""

    broken: list[Broken] = field(default_factory=list)
    decisions: int = 0
    acted: int = 0  # overrides in force, summed over decisions
    starts: int = 0
    extensions: int = 0
    drops: int = 0
    worst_past_ms: float = NEVER_MS  # the latest that one was acted on after its end (negative: before it)
    faults: dict[str, int] = field(default_factory=dict)

    def rules(self) -> set[str]:
        """Return the rules that were broken."""
        return {found.rule for found in self.broken}


@dataclass(slots=True)
class Truth:
    """One revision of an override, from when it became durable."""

    override: Override
    since: float
    end: float  # the latest time at which it ends, unless it is changed
    due: float  # until when it has to be acted on; earlier than `end` if a start advanced the service's time
    gone: float | None = None  # when it was ended by an operator, or replaced


class Accusation(NamedTuple):
    """A finding of the reconciler about a node."""

    at_ms: float
    node: int
    why: str


class ExpectedStart(NamedTuple):
    """The service's time at a start, if none were lost."""

    unix_ms: float
    allowed_ms: float  # by which it may be less


class Expected(TypedDict):
    """The rules that follow from rows of a layer."""

    tenant_pins: dict[str, str]
    tenant_shares: dict[str, dict[str, float]]
    excluded_regions: frozenset[str]
    caps: dict[str, float]
    frozen: bool


class Judge:
    """The observer of one run, which collects its outcome."""

    def __init__(self, regions: tuple[str, ...]) -> None:
        self.outcome = Outcome()
        self._regions = regions
        self._truths: dict[str, list[Truth]] = {}  # by id, oldest revision first
        self._acknowledged: dict[str, int] = {}  # by id: the newest revision answered, 0 for an end
        self._last_rev = 0
        self._well_since = 0.0
        self._accused: list[Accusation] = []
        self._expected_start: ExpectedStart | None = None

    def _break(self, rule: str, at: float, text: str) -> None:
        if len(self.outcome.broken) < MAX_BROKEN:
            self.outcome.broken.append(Broken(rule, at, text))

    # --- the service ----------------------------------------------------------------------------

    def disturbed(self, until: float) -> None:
        """Record that the service does not work until then."""
        self._well_since = max(self._well_since, until)

    def starting(self, now: float, service: ServiceView, *, reboot: bool) -> None:
        """Record the time before a start; a reboot may lose what passed since the stored mark."""
        lost = (now - service.disk.marked_true_ms) * DRIFT if reboot else 0.0
        self._expected_start = ExpectedStart(float(service.unix()), lost + ROUNDING_MS)

    def started(self, now: float, service: ServiceView) -> None:
        """Check the time and the stored state after a start."""
        if self._expected_start is not None:
            unix_ms, allowed = self._expected_start
            slip = unix_ms - service.unix()
            if slip > allowed:
                self._break("time went back", now, f"by {slip:.0f} ms, {allowed:.0f} at most")
            for rows in self._truths.values():
                for row in rows:
                    row.end += max(0.0, min(slip, allowed)) / service.rate
                    row.due += min(0.0, slip) / service.rate
        for key, rev in self._acknowledged.items():
            self._check_durable(now, service, key, rev)

    def _check_durable(self, now: float, service: ServiceView, key: str, rev: int) -> None:
        current = service.store.get(key, service.unix())
        row = service.disk.rows.get(key)
        if rev == 0 and current is not None and current.rev <= self._ended_rev(key):
            self._break("an end was forgotten", now, f"{key} is back")
        if rev and (row is None or row["rev"] < rev):
            truth = next((t for t in self._truths.get(key, ()) if t.override.rev == rev), None)
            if truth is None or (truth.gone is None and now < truth.end - ROUNDING_MS):
                self._break("an answered change was lost", now, f"{key} revision {rev}")

    def _ended_rev(self, key: str) -> int:
        return max((t.override.rev for t in self._truths.get(key, ()) if t.gone is not None), default=0)

    def stored(self, now: float, service: ServiceView, found: Override) -> None:
        """Record that a revision is durable."""
        if found.rev <= self._last_rev:
            self._break("a revision was used twice", now, f"{found.id} {found.rev}")
        self._last_rev = max(self._last_rev, found.rev)
        rows = self._truths.setdefault(found.id, [])
        if rows and rows[-1].gone is None:
            rows[-1].gone = now
        end = now + (found.until_ms - service.unix()) / service.rate
        rows.append(Truth(found, now, end, end))
        if found.rev != found.same_from:
            self.outcome.extensions += 1
        else:
            self.outcome.starts += 1

    def deleted(self, now: float, key: str, *, expired: bool) -> None:
        """Record that a row was deleted: it expired, or an operator ended it."""
        self.outcome.drops += 1
        rows = self._truths.get(key)
        if rows and rows[-1].gone is None:
            rows[-1].gone = now
            if expired and now < rows[-1].due - EARLY_MS:
                self._break("ended before its time", now, f"{key} by {rows[-1].due - now:.0f} ms")

    def acknowledged(self, key: str, found: Override | None) -> None:
        """Record an answer to an operator; None for an end."""
        self._acknowledged[key] = found.rev if found is not None else 0

    def accused(self, now: float, node: int, why: str) -> None:
        """Record a finding of the reconciler."""
        self._accused.append(Accusation(now, node, why))

    def finished(self, service: ServiceView, nodes: Sequence[NodeView]) -> None:
        """Check findings and history at the end of a run."""
        for now, number, why in self._accused:
            if not nodes[number].faulted and not self._well_since:
                self._break("a node without a fault was accused", now, f"node {number}: {why}")
        recorded = {value.get("rev") for value in service.disk.history.values()}
        for key, rows in self._truths.items():
            for row in rows:
                if row.override.rev not in recorded:
                    self._break("a change has no history", row.since, f"{key} {row.override.rev}")

    # --- sidecars -------------------------------------------------------------------------------

    def decided(self, now: float, node: NodeView, found: Decision) -> None:
        """Judge a decision of a sidecar."""
        self.outcome.decisions += 1
        self.outcome.acted += len(found.acted)
        for key, rev in found.acted:
            past = now - self._end(key, rev)
            self.outcome.worst_past_ms = max(self.outcome.worst_past_ms, past)
            if past > PAST_MS:
                self._break("acted on past its end", now, f"node {node.number}: {key} {rev} by {past:.0f} ms")
        wanted = expected({key: node.layer[key] for key, _ in found.acted}, self._regions)
        # Near the end of a pin no region serves its tenant; `_check_pins` judges that.
        nobody = {tenant for tenant, region in found.tenant_pins.items() if not region}
        wanted["tenant_pins"] |= dict.fromkeys(nobody, "")
        for tenant in nobody:
            wanted["tenant_shares"].pop(tenant, None)
        self._check_pins(now, node, found)
        for name, want in wanted.items():
            if getattr(found, name) != want:
                text = f"node {node.number}: {name} is {getattr(found, name)}, not {want}"
                self._break("not what settings and overrides say", now, text)
        if now - max(node.well_since, self._well_since) > SETTLE_MS:
            self._check_settled(now, node, dict(found.acted))

    def _check_pins(self, now: float, node: NodeView, found: Decision) -> None:
        """Check that no tenant is served elsewhere before its pin is over everywhere."""
        acted = dict(found.acted)
        rows = {key: row for key, row in node.layer.items() if key not in acted and "pin" in row["action"]}
        for key, row in rows.items():
            received = node.received.get(key) == row["rev"] and node.region in (
                row["places"].get("regions") or self._regions
            )
            truth = self._truths[key][-1]
            if not received or truth.override.rev != row["rev"] or truth.gone is not None or now >= truth.due:
                continue
            tenant = row["match"]["tenant"]
            with_pin = expected({key: row, **{k: node.layer[k] for k in acted}}, self._regions)
            if found.tenant_pins.get(tenant) not in ("", with_pin["tenant_pins"][tenant]):
                self._break("a pin gave way before its end", now, f"node {node.number}: {key}")

    def _end(self, key: str, rev: int) -> float:
        """Return until when a revision may be acted on; a later one with the same content extends it."""
        ends = [
            row.end for row in self._truths.get(key, ()) if row.override.same_from <= rev <= row.override.rev
        ]
        return max(ends, default=NEVER_MS)

    def _check_settled(self, now: float, node: NodeView, acted: dict[str, int]) -> None:
        """Check that a node without faults acts on the newest revisions."""
        for key, rows in self._truths.items():
            last = rows[-1]
            if now - max(last.since, last.gone or 0.0) <= SETTLE_MS:
                continue
            here = last.override.places.includes("", node.region)
            if last.gone is None and here and now < last.due - NEAR_END_MS and key not in acted:
                self._break("a start or an extension was lost", now, f"node {node.number}: {key}")
            elif key in acted and acted[key] < last.override.same_from:
                self._break("an old revision is acted on", now, f"node {node.number}: {key} {acted[key]}")
            elif key in acted and last.gone is not None:
                self._break("acted on after it was ended", now, f"node {node.number}: {key}")


def expected(rows: Mapping[str, Row], regions: tuple[str, ...]) -> Expected:
    """Return the rules that follow from rows of a layer, without other settings; a plain reference model."""
    order = sorted(
        rows.items(), key=lambda item: (-item[1]["priority"], -item[1]["from_ms"], -item[1]["rev"])
    )
    pins: dict[str, str] = {}
    shares: dict[str, dict[str, float]] = {}
    caps: dict[str, float] = {}
    excluded: list[str] = []
    for _, row in order:
        action, match = row["action"], row["match"]
        if "pin" in action:
            pins.setdefault(match["tenant"], action["pin"]["region"])
        elif "shift" in action:
            shares.setdefault(match["tenant"], action["shift"]["to"])
        elif "cap" in action:
            caps[match["class"]] = min(action["cap"]["per_s"], caps.get(match["class"], 1e9))
        elif "hold" in action and action["hold"]["region"] not in excluded:
            excluded.append(action["hold"]["region"])
    if set(excluded) == set(regions):
        excluded.pop()
    shares = {
        tenant: to for tenant, to in shares.items() if tenant not in pins and not set(to) & set(excluded)
    }
    return {
        "tenant_pins": pins,
        "tenant_shares": shares,
        "excluded_regions": frozenset(excluded),
        "caps": caps,
        "frozen": any("freeze" in row["action"] for row in rows.values()),
    }
