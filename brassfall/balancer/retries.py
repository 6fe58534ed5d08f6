"""The rules for each send and each refusal: what may be retried, where, until when, and how long to wait.

No request is hedged: a retry begins only when no attempt of the request is in flight.
"""

from __future__ import annotations

import math

from brassfall.balancer.overload import OverloadEstimator
from brassfall.balancer.records import Attempt, Request, Server
from brassfall.balancer.settings import ALL, IDEMPOTENT, KEYED, Profile

STALL_SHARE = 0.5  # of the objective: the server of an attempt in flight for longer may be hung
MIN_TRIAL_ANSWERS = 3.0  # shortened time-outs leave at least the time of this many usual answers
RETRY_AFTER_SHARE = 0.1  # of the objective: a client's retry can still be served in time
SILENCE_MEMORY_MS = 16000.0  # how long the ejection of a silent server shortens time-outs


def repeatable(profile: Profile) -> bool:
    """Return whether requests of this class may be sent again, whether or not earlier attempts have run."""
    return profile.semantics is IDEMPOTENT or (profile.semantics is KEYED and profile.group is ALL)


def may_refuse(request: Request) -> bool:
    """Return whether the client may be told that its request did not run, or that a retry does no harm."""
    return repeatable(request.profile) or request.bound() is None


def may_attempt(now: float, request: Request, bound: Attempt | None) -> bool:
    """Return whether any server may have a request now; `bound` is its first attempt that may have run."""
    if request.ended or request.body_forwarded or now >= request.give_up_at:
        return False
    limits = request.limits
    if len(request.attempts) >= limits.max_attempts or (request.outstanding and not limits.parallel_tries):
        return False
    queue = request.queue
    if queue is not None and not request.attempts and not queue.may_start(now, request):
        return False
    profile = request.profile
    if bound is None or profile.semantics is IDEMPOTENT:
        return True
    return profile.semantics is KEYED and now - bound.sent_at < profile.key_ttl


def may_have(request: Request, bound: Attempt | None, server: Server) -> bool:
    """Return whether this server may have a request that `may_attempt` allows."""
    if not server.usable:
        return False
    profile = request.profile
    if bound is None or profile.semantics is IDEMPOTENT or profile.group is ALL:
        return True
    return server.group(profile.group) == bound.group


def may_retry(now: float, request: Request) -> bool:
    """Return whether a request without an attempt in flight has one left, and time for it to be of use."""
    return len(request.attempts) < request.limits.max_attempts and now < request.useful_until()


def write_by(request: Request, bound: Attempt | None) -> float:
    """Return the time by which a retry with an idempotency key has to reach its server.

    The key is valid for its time to live from the send of the first attempt that may have run.
    """
    if bound is None or request.profile.semantics is not KEYED:
        return math.inf
    return bound.sent_at + request.profile.key_ttl


def timeout(
    now: float, request: Request, overload: OverloadEstimator, silent_at: float, usual_ms: float
) -> float:
    """Return the time-out of an attempt, in milliseconds.

    It is the time left to the request, or less where a retry may be served in time after a hung or silent
    server: only if such a server was ejected lately (`silent_at`) and answers are quick, since retries add to
    an overload. `usual_ms` is the time that an answer usually takes.
    """
    useful, profile = request.useful_until(), request.profile
    remaining = max(0.0, (useful if useful > now else request.give_up_at) - now)
    if request.large or not overload.quick or now - silent_at >= SILENCE_MEMORY_MS:
        return remaining
    if not repeatable(profile) or len(request.attempts) + 1 >= request.limits.max_attempts:
        return remaining
    trial = max(STALL_SHARE * profile.objective, MIN_TRIAL_ANSWERS * usual_ms)
    retried_after = trial + usual_ms
    in_time = retried_after < remaining and (
        profile.semantics is IDEMPOTENT or retried_after < profile.key_ttl
    )
    return trial if in_time else remaining


def retry_after(now: float, request: Request) -> float:
    """Return the Retry-After of a refusal, in milliseconds.

    It is the longest allowed if a retry would come too late to be of use: it could only take capacity from
    other requests.
    """
    limits = request.limits
    wait, most = RETRY_AFTER_SHARE * request.profile.objective, limits.max_retry_after * limits.retry_after
    return min(wait, most) if now + wait < request.useful_until() else most
