"""Rules for attempts and refusals: what may be retried, at which server, until when, and after which delay.

No request is hedged: a retry starts only when no attempt of the request is in flight.
"""

from __future__ import annotations

import math

from brassfall.balancer.overload import OverloadEstimator
from brassfall.balancer.records import Attempt, Request, Server
from brassfall.balancer.settings import ALL, IDEMPOTENT, KEYED, Profile

# Time in flight after which the server of an attempt counts as possibly hung, as a share of the latency
# objective.
STALL_SHARE = 0.5
MIN_TRIAL_ANSWERS = 3.0  # Smallest shortened time-out, in multiples of the average time of an answer
# Retry-After of a refusal as a share of the latency objective, so that the client's retry can be served in
# time.
RETRY_AFTER_SHARE = 0.1
# Time in milliseconds for which time-outs are shortened after a server was ejected because it did not answer.
SILENCE_MEMORY_MS = 16000.0


def is_repeatable(profile: Profile) -> bool:
    """Return whether requests of this class may be sent again even if earlier attempts have run."""
    return profile.semantics is IDEMPOTENT or (profile.semantics is KEYED and profile.key_scope is ALL)


def may_refuse(request: Request) -> bool:
    """Return whether the client may be told to retry, because the request did not run or may run again."""
    return is_repeatable(request.profile) or request.binding_attempt() is None


def may_attempt(now: float, request: Request, binding: Attempt | None) -> bool:
    """Return whether a request may be sent to any server now.

    `binding` is the first attempt of the request that may have run, or None.
    """
    if request.ended or request.body_forwarded or now >= request.give_up_at:
        return False
    limits = request.limits
    if len(request.attempts) >= limits.max_attempts or (request.outstanding and not limits.parallel_tries):
        return False
    queue = request.queue
    if queue is not None and not request.attempts and not queue.may_start(now, request):
        return False
    profile = request.profile
    if binding is None or profile.semantics is IDEMPOTENT:
        return True
    return profile.semantics is KEYED and now - binding.sent_at < profile.key_ttl


def may_receive(request: Request, binding: Attempt | None, server: Server) -> bool:
    """Return whether this server may receive a request for which `may_attempt` returned True."""
    if not server.usable:
        return False
    profile = request.profile
    if binding is None or profile.semantics is IDEMPOTENT or profile.key_scope is ALL:
        return True
    return server.group(profile.key_scope) == binding.group


def may_retry(now: float, request: Request) -> bool:
    """Return whether a request with no attempt in flight has an attempt and enough time left."""
    return len(request.attempts) < request.limits.max_attempts and now < request.useful_until()


def write_deadline(request: Request, binding: Attempt | None) -> float:
    """Return the time by which a retry with an idempotency key has to reach its server; infinity for others.

    The key is valid for its time to live, counted from the start of the first attempt that may have run.
    """
    if binding is None or request.profile.semantics is not KEYED:
        return math.inf
    return binding.sent_at + request.profile.key_ttl


def attempt_timeout_ms(
    now: float, request: Request, overload: OverloadEstimator, silent_at: float, usual_ms: float
) -> float:
    """Return the time-out of an attempt, in milliseconds.

    The time-out is the remaining time of the request. It is shorter if a retry could be served in time after
    a hung or silent server, but only if such a server was recently ejected (at `silent_at`) and answers come
    quickly, because retries add to an overload. `usual_ms` is the average time of an answer in milliseconds.
    """
    useful_until, profile = request.useful_until(), request.profile
    remaining_ms = max(0.0, (useful_until if useful_until > now else request.give_up_at) - now)
    if request.large or not overload.answers_are_quick or now - silent_at >= SILENCE_MEMORY_MS:
        return remaining_ms
    if not is_repeatable(profile) or len(request.attempts) + 1 >= request.limits.max_attempts:
        return remaining_ms
    trial_ms = max(STALL_SHARE * profile.objective, MIN_TRIAL_ANSWERS * usual_ms)
    retry_answered_ms = trial_ms + usual_ms
    in_time = retry_answered_ms < remaining_ms and (
        profile.semantics is IDEMPOTENT or retry_answered_ms < profile.key_ttl
    )
    return trial_ms if in_time else remaining_ms


def retry_after_ms(now: float, request: Request) -> float:
    """Return the Retry-After of a refusal, in milliseconds.

    It is the largest allowed value if a retry would come too late to be of use, because such a retry would
    only take capacity from other requests.
    """
    limits = request.limits
    delay, limit = RETRY_AFTER_SHARE * request.profile.objective, limits.max_retry_after * limits.retry_after
    return min(delay, limit) if now + delay < request.useful_until() else limit
