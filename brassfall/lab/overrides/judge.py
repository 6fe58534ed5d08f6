"""The judge of simulated overrides: what was acted on, when, and whether it may have been. Pure code.

Times are true ms of the play. It knows what became durable and when, and asks neither a sidecar nor the
service whether something is in force.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from brassfall.controlplane.overrides.document import Override

PAST_MS = 500.0  # an override may be acted on so long after its end, and no longer
SETTLE_MS = 7500.0  # a well node, heard by a well service, has the news after that (a slow way takes 6 s)
NEAR_END_MS = 2500.0  # so close to its end one may be over already: margins, and old times left


@dataclass(frozen=True, slots=True)
class Broken:
    """A rule that was broken."""

    rule: str
    at_ms: float
    text: str


@dataclass(slots=True)
class Outcome:
    """What a play came to."""

    broken: list[Broken] = field(default_factory=list)
    decisions: int = 0
    acted: int = 0  # overrides in force, summed over decisions
    starts: int = 0
    extensions: int = 0
    drops: int = 0
    worst_past_ms: float = -1e9  # the latest that one was acted on after its end (negative: before it)
    faults: dict[str, int] = field(default_factory=dict)

    def rules(self) -> set[str]:
        """Those that were broken."""
        return {found.rule for found in self.broken}


@dataclass(slots=True)
class Truth:
    """One revision, as it became durable."""

    override: Override
    since: float
    end: float  # of its time at the latest, if nobody changes it
    due: float  # until when it has to be acted on: earlier, where a start moved the service's time on
    gone: float | None = None  # ended by hand, or replaced, then


class Judge:
    """Looks on."""

    def __init__(self, regions: tuple[str, ...]) -> None:
        self.outcome = Outcome()
        self._regions = regions
        self._truths: dict[str, list[Truth]] = {}  # by id, oldest revision first
        self._acknowledged: dict[str, int] = {}  # id: the newest revision that was answered, 0: ended
        self._last_rev = 0
        self._well_since = 0.0
        self._accused: list[tuple[float, int, str]] = []
        self._expected: tuple[float, float] | None = None  # Unix ms before a start, and the slip allowed

    def _break(self, rule: str, at: float, text: str) -> None:
        if len(self.outcome.broken) < 100:
            self.outcome.broken.append(Broken(rule, at, text))

    # --- the service ----------------------------------------------------------------------------

    def disturbed(self, until: float) -> None:
        """The service does not work until then."""
        self._well_since = max(self._well_since, until)

    def about_to_begin(self, now: float, service: Any, reboot: bool) -> None:
        """A start: with its machine started anew, time may have lost what passed since the mark."""
        allowed = (now - service.disk.marked_true) * 1.01 + 2.0 if reboot else 2.0
        self._expected = (float(service.unix()), allowed)

    def began(self, now: float, service: Any) -> None:
        """A life has begun."""
        if self._expected is not None:
            expected, allowed = self._expected
            slip = expected - service.unix()
            if slip > allowed:
                self._break("time went back", now, f"by {slip:.0f} ms, {allowed:.0f} at most")
            for rows in self._truths.values():
                for row in rows:
                    row.end += max(0.0, min(slip, allowed)) / service.rate
                    row.due += min(0.0, slip) / service.rate
        for key, rev in self._acknowledged.items():
            self._lasts(now, service, key, rev)

    def _lasts(self, now: float, service: Any, key: str, rev: int) -> None:
        held = service.store.get(key, service.unix())
        row = service.disk.rows.get(key)
        if rev == 0 and held is not None and held.rev <= self._ended_rev(key):
            self._break("an end was forgotten", now, f"{key} is back")
        if rev and (row is None or row["rev"] < rev):
            truth = next((t for t in self._truths.get(key, ()) if t.override.rev == rev), None)
            if truth is None or (truth.gone is None and now < truth.end - 2.0):
                self._break("an answered change was lost", now, f"{key} revision {rev}")

    def _ended_rev(self, key: str) -> int:
        return max((t.override.rev for t in self._truths.get(key, ()) if t.gone is not None), default=0)

    def stored(self, now: float, service: Any, found: Override) -> None:
        """A revision is durable."""
        if found.rev <= self._last_rev:
            self._break("a revision was used twice", now, f"{found.id} {found.rev}")
        self._last_rev = max(self._last_rev, found.rev)
        rows = self._truths.setdefault(found.id, [])
        if rows and rows[-1].gone is None:
            rows[-1].gone = now
        end = now + (found.until_ms - service.unix()) / service.rate
        rows.append(Truth(found, now, end, end))
        kind = "extensions" if found.rev != found.same_from else "starts"
        setattr(self.outcome, kind, getattr(self.outcome, kind) + 1)

    def dropped(self, now: float, key: str, by_time: bool) -> None:
        """A row is gone: its time was over, or an operator ended it."""
        self.outcome.drops += 1
        rows = self._truths.get(key)
        if rows and rows[-1].gone is None:
            rows[-1].gone = now
            if by_time and now < rows[-1].due - 5.0:
                self._break("ended before its time", now, f"{key} by {rows[-1].due - now:.0f} ms")

    def acknowledged(self, key: str, found: Override | None) -> None:
        """An operator has heard that it is done."""
        self._acknowledged[key] = found.rev if found is not None else 0

    def found(self, now: float, node: int, why: str) -> None:
        """The reconciler has found something."""
        self._accused.append((now, node, why))

    def ended(self, service: Any, nodes: Any) -> None:
        """The play is over."""
        for now, number, why in self._accused:
            if not nodes[number].touched and not self._well_since:
                self._break("a node without a fault was accused", now, f"node {number}: {why}")
        told = {value.get("rev") for value in service.disk.history.values()}
        for key, rows in self._truths.items():
            for row in rows:
                if row.override.rev not in told:
                    self._break("a change has no history", row.since, f"{key} {row.override.rev}")

    # --- sidecars -------------------------------------------------------------------------------

    def decided(self, now: float, node: Any, found: Any) -> None:
        """A sidecar acts."""
        self.outcome.decisions += 1
        self.outcome.acted += len(found.acted)
        for key, rev in found.acted:
            past = now - self._end(key, rev)
            self.outcome.worst_past_ms = max(self.outcome.worst_past_ms, past)
            if past > PAST_MS:
                self._break("acted on past its end", now, f"node {node.number}: {key} {rev} by {past:.0f} ms")
        wanted = expected({key: node.raw[key] for key, _ in found.acted}, self._regions)
        # Near the end of a pin its tenant is served by nobody: what that stands for is judged apart.
        nobody = {tenant for tenant, region in found.tenant_pins.items() if not region}
        wanted["tenant_pins"] |= dict.fromkeys(nobody, "")
        for tenant in nobody:
            wanted["tenant_shares"].pop(tenant, None)
        self._freed(now, node, found)
        for name, want in wanted.items():
            if getattr(found, name) != want:
                text = f"node {node.number}: {name} is {getattr(found, name)}, not {want}"
                self._break("not what settings and overrides say", now, text)
        if now - max(node.well_since, self._well_since) > SETTLE_MS:
            self._settled(now, node, dict(found.acted))

    def _freed(self, now: float, node: Any, found: Any) -> None:
        """Nobody serves a tenant otherwise before its pin is over everywhere."""
        acted = dict(found.acted)
        rows = {key: row for key, row in node.raw.items() if key not in acted and "pin" in row["action"]}
        for key, row in rows.items():
            told = node.heard.get(key) == row["rev"] and node.region in (
                row["places"].get("regions") or self._regions
            )
            truth = self._truths[key][-1]
            if not told or truth.override.rev != row["rev"] or truth.gone is not None or now >= truth.due:
                continue
            tenant = row["match"]["tenant"]
            with_it = expected({key: row, **{k: node.raw[k] for k in acted}}, self._regions)
            if found.tenant_pins.get(tenant) not in ("", with_it["tenant_pins"][tenant]):
                self._break("a pin gave way before its end", now, f"node {node.number}: {key}")

    def _end(self, key: str, rev: int) -> float:
        """Until when a revision may be acted on: its own end, or that of a later one that says the same."""
        ends = [
            row.end for row in self._truths.get(key, ()) if row.override.same_from <= rev <= row.override.rev
        ]
        return max(ends, default=-1e9)

    def _settled(self, now: float, node: Any, acted: dict[str, int]) -> None:
        """A node that is well has the news, whatever happened before."""
        for key, rows in self._truths.items():
            last = rows[-1]
            if now - max(last.since, last.gone or 0.0) <= SETTLE_MS:
                continue
            here = last.override.places.holds("", node.region)
            if last.gone is None and here and now < last.due - NEAR_END_MS and key not in acted:
                self._break("a start or an extension was lost", now, f"node {node.number}: {key}")
            elif key in acted and acted[key] < last.override.same_from:
                self._break("an old revision is acted on", now, f"node {node.number}: {key} {acted[key]}")
            elif key in acted and last.gone is not None:
                self._break("acted on after it was ended", now, f"node {node.number}: {key}")


def expected(rows: Mapping[str, Any], regions: tuple[str, ...]) -> dict[str, Any]:
    """What these rows of a layer come to, made in the plainest way; there are no settings beside them."""
    order = sorted(
        rows.items(), key=lambda item: (-item[1]["priority"], -item[1]["from_ms"], -item[1]["rev"])
    )
    pins: dict[str, str] = {}
    shares: dict[str, dict[str, float]] = {}
    caps: dict[str, float] = {}
    held: list[str] = []
    for _, row in order:
        action, match = row["action"], row["match"]
        if "pin" in action:
            pins.setdefault(match["tenant"], action["pin"]["region"])
        elif "shift" in action:
            shares.setdefault(match["tenant"], action["shift"]["to"])
        elif "cap" in action:
            caps[match["class"]] = min(action["cap"]["per_s"], caps.get(match["class"], 1e9))
        elif "hold" in action and action["hold"]["region"] not in held:
            held.append(action["hold"]["region"])
    if set(held) == set(regions):
        held.pop()
    shares = {tenant: to for tenant, to in shares.items() if tenant not in pins and not set(to) & set(held)}
    return {
        "tenant_pins": pins,
        "tenant_shares": shares,
        "excluded_regions": frozenset(held),
        "caps": caps,
        "frozen": any("freeze" in row["action"] for row in rows.values()),
    }
