"""Judge a play by the ledgers of servers and the records of clients alone, without side effects.

All times are seconds of the machine's one monotonic clock. What the observer can't tell is an
*allowance*: the way from a sidecar to a server, and how late the observing processes ran.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence

import msgspec

FALLBACK = "safe"
DOUBTFUL_S = 0.5  # an observer that ran later than this does not count
LATE_S = 0.5  # an override may be acted on so long after its end
BACK_S = 0.5  # two revisions take longer: no tenant goes to another region and back in that time
TEXTS_MOST = 5  # of each rule; the rest is counted


class Call(msgspec.Struct, frozen=True):
    """One request as a server saw it."""

    id: str
    sidecar: int
    server: str
    zone: str
    revision: int | str | None  # None: it bore no stamp
    at: float
    unsafe: bool = False
    key: str = ""
    ran: bool = True
    tenant: str = ""


class ClientRequest(msgspec.Struct, frozen=True):
    """One request as its client saw it."""

    id: str
    sidecar: int
    sent: float
    end: float
    outcome: str  # a status, "unreached", "broken" or "silent"


class Absence(msgspec.Struct, frozen=True):
    """When a sidecar was stopped, or not there, by the play's own doing."""

    sidecar: int
    since: float
    until: float


class Pin(msgspec.Struct, frozen=True):
    """An override that pins a tenant to a region, as it was asked for."""

    tenant: str
    region: str
    since: float  # when it was asked for
    until: float


class Terms(msgspec.Struct, frozen=True):
    """What is judged against."""

    agree_s: float
    key_s: float  # how long a key keeps a repeat from being run again
    held_regions: Mapping[int, Sequence[str]]  # regions that each revision holds off
    homes: Mapping[int, Mapping[str, str]] = {}  # the region of each tenant that a revision pins
    pins: Sequence[Pin] = ()
    exclusive: bool = True  # whether this program acts on held regions
    committed: Mapping[int, float] = {}  # revisions that took effect: when each was published
    link_s: float = 0.0  # the longest way from a sidecar to a server
    late_s: float = 0.0  # the most that the observer was late


class Finding(msgspec.Struct, frozen=True):
    """A rule that did not hold."""

    rule: str
    text: str


class Verdict(msgspec.Struct):
    """What came of a play."""

    findings: list[Finding] = []
    broken: dict[str, int] = {}  # how often each rule was
    counts: bool = True  # whether the observer was on time
    contradiction_ms: float = (
        0.0  # the longest, raw: from the first under the newer to the last under the older
    )
    held_ms: float = 0.0  # the latest send to a region, after another revision that holds it was acted on
    override_ms: float | None = None  # the latest that a pin was acted on, from its end on
    sticky: int = msgspec.field(default=0, name="pinned")  # sends that a sticky tenant decided
    sends: int = 0
    fallback: int = msgspec.field(default=0, name="safe")
    # Under the fallback configuration, by sidecars that may not know of the revision that holds the region.
    fallback_into_held: int = msgspec.field(default=0, name="safe_into_held")
    revisions: int = msgspec.field(default=0, name="editions")
    asked: int = 0
    answers: dict[str, int] = {}
    unknown: int = 0  # revisions whose content the play never heard
    # Of each revision that took effect: from its publish to the first send under it, or a later one, of the
    # first sidecar, of half of them, and of all; without those that some had not reached at the end.
    first_ms: list[float] = []
    half_ms: list[float] = []
    all_ms: list[float] = []
    unreached: int = 0


class _Findings:
    """The broken rules of a play: all counted, the first of each with a text."""

    def __init__(self) -> None:
        self.findings: list[Finding] = []
        self.broken: Counter[str] = Counter()

    def add(self, rule: str, text: str) -> None:
        self.broken[rule] += 1
        if self.broken[rule] <= TEXTS_MOST:
            self.findings.append(Finding(rule, text))


class _Activity:
    """One revision, by the requests under it."""

    def __init__(self, calls: list[Call]) -> None:
        self.calls = calls
        self.first = calls[0]
        self.last = calls[-1]


def judge(
    calls: Iterable[Call], asked: Sequence[ClientRequest], away: Sequence[Absence], terms: Terms
) -> Verdict:
    """Check all rules over one play."""
    rows = sorted(calls, key=lambda call: call.at)
    findings, verdict = _Findings(), Verdict(counts=terms.late_s <= DOUBTFUL_S)
    under: dict[int, list[Call]] = defaultdict(list)
    for call in rows:
        if isinstance(call.revision, int):
            under[call.revision].append(call)
        elif call.revision != FALLBACK:
            findings.add("no-stamp", f"{call.id} reached {call.server} with the stamp {call.revision!r}")
    activities = {number: _Activity(found) for number, found in sorted(under.items())}
    verdict.sends, verdict.revisions = len(rows), len(activities)
    verdict.fallback = sum(call.revision == FALLBACK for call in rows)
    verdict.unknown = sum(number != 0 and number not in terms.held_regions for number in activities)
    verdict.contradiction_ms = _check_contradictions(activities, terms, findings)
    verdict.held_ms, verdict.fallback_into_held = _check_held_regions(rows, activities, terms, findings)
    _record_reach_times(rows, terms, verdict)
    verdict.override_ms, verdict.sticky = _check_pins(rows, terms, findings)
    _check_two_regions([call for call in rows if _home_region(call, terms)], terms, findings)
    _check_repeats(rows, terms, findings)
    verdict.asked = len(asked)
    verdict.answers = dict(sorted(Counter(row.outcome for row in asked).items()))
    _check_lost(asked, away, findings)
    verdict.findings, verdict.broken = findings.findings, dict(findings.broken)
    return verdict


def _check_contradictions(activities: Mapping[int, _Activity], terms: Terms, findings: _Findings) -> float:
    """Return the longest span in ms for which two revisions were acted on side by side."""
    worst, allowed = 0.0, terms.agree_s + terms.link_s + terms.late_s
    # The newer has the greater number, whenever it was first seen: no sidecar may go back.
    ordered = list(activities.items())
    for place, (older, before) in enumerate(ordered):
        for newer, after in ordered[place + 1 :]:
            span = before.last.at - after.first.at
            if span <= 0.0:
                continue
            if len({c.sidecar for c in before.calls if c.at >= after.first.at} | {after.first.sidecar}) < 2:
                continue
            worst = max(worst, span)
            if span > allowed:
                last = before.last
                findings.add(
                    "contradiction",
                    f"sidecar {last.sidecar} acted on {older} {span * 1000.0:.0f} ms after sidecar"
                    f" {after.first.sidecar} acted on {newer}",
                )
    return worst * 1000.0


def _check_held_regions(
    rows: Sequence[Call], activities: Mapping[int, _Activity], terms: Terms, findings: _Findings
) -> tuple[float, int]:
    """Return how late in ms a region was sent to that another revision held, and how often under fallback."""
    worst, safe = 0.0, 0
    allowed = terms.link_s + terms.late_s
    for call in rows:
        if isinstance(call.revision, int) and call.zone in terms.held_regions.get(call.revision, ()):
            if terms.exclusive:
                text = f"{call.id} reached {call.zone} under {call.revision}, which holds it off"
                findings.add("held-by-own", text)
            continue
        found = _holder(call, activities, terms)
        if found is None:
            continue
        if call.revision == FALLBACK:
            safe += 1
            continue
        span = call.at - activities[found].first.at
        worst = max(worst, span)
        if span > allowed and terms.exclusive:
            text = (
                f"{call.id} reached {call.zone} under {call.revision}, {span * 1000.0:.0f} ms after {found}"
            )
            findings.add("held-by-newer", f"{text}, which holds it off, was acted on")
    return worst * 1000.0, safe


def _holder(call: Call, activities: Mapping[int, _Activity], terms: Terms) -> int | None:
    """Return the revision newer than a send's own that others act on, and that holds its region off."""
    own = call.revision if isinstance(call.revision, int) else -1
    found = None
    for number, activity in activities.items():
        if number <= own or activity.first.at >= call.at:
            continue
        if call.zone not in terms.held_regions.get(number, ()):
            found = None  # a later one opens it again, or says nothing of it
        elif found is None:
            found = number if activity.first.sidecar != call.sidecar else None
    return found


def _record_reach_times(rows: Sequence[Call], terms: Terms, verdict: Verdict) -> None:
    """Record how long revisions took to be acted on; the spacing of requests limits the precision."""
    sidecars = {call.sidecar for call in rows}
    begun = [call for call in rows if isinstance(call.revision, int)]
    for number, published in sorted(terms.committed.items()):
        spans: dict[int, float] = {}
        for call in begun:
            if isinstance(call.revision, int) and call.revision >= number and call.at >= published:
                spans.setdefault(call.sidecar, (call.at - published) * 1000.0)
                if len(spans) == len(sidecars):
                    break
        reached = sorted(spans.values())
        if len(reached) < len(sidecars):
            verdict.unreached += 1
            continue
        verdict.first_ms.append(reached[0])
        verdict.half_ms.append(reached[(len(reached) - 1) // 2])
        verdict.all_ms.append(reached[-1])


def _home_region(call: Call, terms: Terms) -> str:
    """Return the region that a send's revision pins its tenant to, if it does."""
    found = terms.homes.get(call.revision, {}) if isinstance(call.revision, int) else {}
    return found.get(call.tenant, "")


def _check_pins(rows: Sequence[Call], terms: Terms, findings: _Findings) -> tuple[float | None, int]:
    """Return how late in ms a pin was acted on after its end, and how many sends a pin decided.

    A latest time below 0 is before the end; None stands for no such send.
    """
    latest, count = None, 0
    for call in rows:
        if _home_region(call, terms) in ("", call.zone):
            continue
        begun = [p for p in terms.pins if (p.tenant, p.region) == (call.tenant, call.zone)]
        begun = [p for p in begun if p.since <= call.at]
        count += 1
        if not begun:
            text = f"{call.id} of {call.tenant} reached {call.zone} under {call.revision}, which says another"
            findings.add("astray", text)
            continue
        over = call.at - max(pin.until for pin in begun)
        latest = over if latest is None else max(latest, over)
        if over > LATE_S + terms.link_s + terms.late_s:
            findings.add(
                "override-late", f"{call.id} reached {call.zone} {over * 1000.0:.0f} ms after the pin's end"
            )
    return None if latest is None else latest * 1000.0, count


def _check_two_regions(rows: Sequence[Call], terms: Terms, findings: _Findings) -> None:
    """Find sticky tenants that moved to another region and back within `BACK_S`."""
    apart = terms.link_s + terms.late_s
    last: dict[str, list[Call]] = defaultdict(list)  # of each tenant: the last of each run in one region
    for call in rows:
        runs = last[call.tenant]
        if runs and runs[-1].zone == call.zone:
            runs[-1] = call
            continue
        runs.append(call)
        if len(runs) < 3:
            continue
        one, other = runs[-3], runs[-2]
        del runs[:-2]
        between = min(other.at - one.at, call.at - other.at)
        if one.zone == call.zone and call.at - one.at < BACK_S and between > apart:
            text = f"{call.tenant} was served by {one.zone} at {one.at:.3f} ({one.id}) and {call.at:.3f}"
            findings.add(
                "two-regions", f"{text} ({call.id}), and by {other.zone} at {other.at:.3f} ({other.id})"
            )


def _check_repeats(rows: Sequence[Call], terms: Terms, findings: _Findings) -> None:
    """Find requests that ran more often than their class allows."""
    ids: dict[str, list[Call]] = defaultdict(list)
    keys: dict[str, list[Call]] = defaultdict(list)
    for call in rows:
        if call.ran and call.unsafe:
            ids[call.id].append(call)
        if call.ran and call.key:
            keys[call.key].append(call)
    for name, found in ids.items():
        if len(found) > 1:
            findings.add("run-twice", f"{name} ran on {', '.join(call.server for call in found)}")
    for key, found in keys.items():
        span = found[-1].at - found[0].at
        if span > terms.key_s + terms.link_s + terms.late_s:
            findings.add("key-outlived", f"key {key} ran again after {span * 1000.0:.0f} ms")


def _check_lost(asked: Sequence[ClientRequest], away: Sequence[Absence], findings: _Findings) -> None:
    """Find requests without an answer at sidecars that ran all the time."""
    spans: dict[int, list[Absence]] = defaultdict(list)
    for span in away:
        spans[span.sidecar].append(span)
    for row in asked:
        excused = any(s.since <= row.end and row.sent <= s.until for s in spans[row.sidecar])
        if row.outcome in ("silent", "broken", "unreached") and not excused:
            findings.add(
                "lost", f"{row.id} to sidecar {row.sidecar}: {row.outcome} after {row.end - row.sent:.2f} s"
            )
