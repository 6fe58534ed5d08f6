"""What an application does with an answer: accepts it, or calls its sidecar again. Pure code; times in ms."""

from __future__ import annotations

from dataclasses import dataclass

from brassfall.lab.day import ClientBehaviour
from brassfall.lab.spec import RequestClass

# How a call ends, as it stands in the ledger.
SERVED, REFUSED, FAILED = "served", "refused", "failed"
SILENT, BROKEN, UNREACHED = "silent", "broken", "unreached"
NEVER_RAN = (REFUSED, UNREACHED)
MIN_CALL_MS = 20.0  # a call that would have less time is not begun
MAX_RETRY_AFTER_MS = 2000.0  # a longer one is followed for so long


@dataclass(frozen=True, slots=True)
class CallOutcome:
    """How the last call of a request ended."""

    status: str
    calls: int  # of the request, this one included
    since_due: float
    since_sent: float  # of the first call
    retry_after: float  # 0 where the answer has none


def call_budget(behaviour: ClientBehaviour, request_class: RequestClass, left: float) -> float:
    """The time that a call is given, of the `left` of its request."""
    return min(behaviour.try_share * request_class.deadline, left)


def retry_delay(
    behaviour: ClientBehaviour, request_class: RequestClass, outcome: CallOutcome, chance: float
) -> float | None:
    """How long until the next call, or None if there is none; `chance` from 0 to 1 decides on Retry-After.

    A request that may have run is repeated only if its class allows it: one that is always idempotent, one
    with an idempotency key while servers remember it (counted from its first call), and another never."""
    if outcome.status == SERVED or outcome.calls > behaviour.retries:
        return None
    pause = behaviour.backoff
    if outcome.retry_after > 0.0 and chance < behaviour.honour:
        pause = max(pause, min(outcome.retry_after, MAX_RETRY_AFTER_MS))
    if outcome.since_due + pause + MIN_CALL_MS > request_class.deadline:
        return None
    if outcome.status in NEVER_RAN or request_class.effect == "safe":
        return pause
    if request_class.effect == "unsafe" or outcome.since_sent + pause >= request_class.key_ttl:
        return None
    return pause
