"""Oracle that judges, by the protocol alone, what the program wrote to which server and what it answered."""

from __future__ import annotations

import re

from brassfall.sidecar.core.request_lifecycle import DEADLINE_GUARD_MS
from tests.support.random_day.chance import SUSPENSIONS_S

ROUNDING_MS = 1e-3  # tolerance for rounding errors, in ms
MAX_BEGIN_DELAY_MS = 100.0  # time after the client's close in which an attempt may still begin, in ms
BUDGET_SLACK_MS = 150.0  # excess that the time left stated to a server may have, in ms
TIME_LEFT = re.compile(rb"X-Left: (-?[\d.]+)\r\n")


class Oracle:
    """Judge of one day, with the trace of the day and the breaches of the protocol that were found."""

    def __init__(self, clock):
        self._clock = clock
        self.trace: list[str] = []
        self.breaches: list[str] = []

    @property
    def now(self):
        return self._clock.now()

    def note(self, text):
        """Add a line to the trace."""
        self.trace.append(f"{self.now - 1e6:9.3f} {text}")

    def breach(self, text):
        """Add a breach of the protocol, to the trace as well."""
        self.note(f"BREACH {text}")
        self.breaches.append(text)

    def log_written(self, text):
        """Judge a text that the program wrote to its log."""
        if "Traceback" in text or "report it" in text:
            self.breach(f"an error in the log: {text}")

    # --- attempts ------------------------------------------------------------------------

    def attempt_written(self, call, write, *, suspended_ms, grace_ms):
        """Judge the first byte of an attempt.

        The process was suspended for `suspended_ms` between reading its clock and writing. Key windows, grace
        periods and the slack of the stated time left have to allow for that.
        """
        earlier = call.writes[:-1]
        what = f"request {call.number}"
        if call.departure_reported:
            self.breach(f"{what}: written after its client had left")
        if (
            call.closed_at is not None
            and self.now - suspended_ms > call.closed_at + MAX_BEGIN_DELAY_MS + ROUNDING_MS
        ):
            self.breach(f"{what}: begun too long after its client had closed")
        if call.final is not None:
            self.breach(f"{what}: written after its final answer")
        if call.fully_read and self.now - suspended_ms >= call.give_up_at + ROUNDING_MS:
            self.breach(f"{what}: written after its deadline")
        left = call.read_at + call.budget - self.now if call.fully_read else call.budget - call.read_lag
        if float(TIME_LEFT.search(write.head + b"\r\n")[1]) > left + BUDGET_SLACK_MS + ROUNDING_MS:
            self.breach(f"{what}: gives its server more time than the client has left")
        if len(call.writes) > call.limits["MaxAttempts"]:
            self.breach(f"{what}: more attempts than allowed")
        if not call.limits["ParallelTries"] and any(not other.over for other in earlier):
            self.breach(f"{what}: two concurrent attempts")
        self._judge_retry(call, write, [other for other in earlier if not other.never_ran])
        self._judge_server(call, write, grace_ms)

    def _judge_retry(self, call, write, earlier):
        ran = [other for other in earlier if other.complete or not other.over]
        if not ran or call.row["Semantics"] == "pure":
            return
        if call.row["Semantics"] == "side_effect":
            self.breach(f"request {call.number}: an unsafe request sent again")
            return
        if write.at - ran[0].at > call.row["KeyTtl"] + ROUNDING_MS:
            self.breach(f"request {call.number}: sent again after its key window")
        server, first = write.connection.server, ran[0].connection.server
        same_group = {"all": True, "zone": server.zone == first.zone, "cell": server.cell == first.cell}
        if not same_group[call.row["Group"]]:
            self.breach(f"request {call.number}: sent again outside its group")

    def _judge_server(self, call, write, grace_ms):
        what = f"request {call.number}"
        server, (decided_at, name) = write.connection.server, call.decisions[-1]
        if name != server.name:
            self.breach(f"{what}: written to another server than decided")
        if decided_at > server.leaving_known_at:
            self.breach(f"{what}: sent to a process that was known to have left")
        if self.now > server.leaving_known_at + max(server.grace_ms, grace_ms) + ROUNDING_MS:
            self.breach(f"{what}: written after the grace period of a leaving process")

    def attempt_complete(self, call, write):
        """Judge the last byte of an attempt."""
        if call.departure_reported:
            self.breach(f"request {call.number}: written completely after its client had left")
        if call.final not in (None, "begun"):
            self.breach(f"request {call.number}: written completely after its final answer")
        if call.row["Semantics"] == "token":
            earlier = call.writes[: call.writes.index(write)]
            ran = [other for other in earlier if other.complete and not other.never_ran]
            if ran and self.now - ran[0].at > call.row["KeyTtl"] + ROUNDING_MS:
                self.breach(f"request {call.number}: written completely after its key window")

    # --- answers --------------------------------------------------------------------------

    def answered(self, call, method, *, suspensions):
        """Judge a final answer, or its beginning, and record it in the call."""
        self.note(f"answer {call.number} {method}")
        if call.departure_reported:
            self.breach(f"request {call.number}: answered after its client had left")
        if call.final is not None:
            self.breach(f"request {call.number}: a second final answer")
        call.final = call.final or method
        slack = DEADLINE_GUARD_MS + ROUNDING_MS + (SUSPENSIONS_S[-1] * 1000.0 if suspensions else 0.0)
        if call.fully_read and self.now > max(call.give_up_at, call.read_at) + slack:
            self.breach(f"request {call.number}: answered after its deadline")
        if not call.fully_read and call.read_lag > call.budget + slack:
            self.breach(f"request {call.number}: answered after its deadline, which its body waited for")

    def refused(self, call):
        """Judge a rejection, by which the program promises that a retry does no harm."""
        semantics, ran = (
            call.row["Semantics"],
            any(write.complete and not write.never_ran for write in call.writes),
        )
        if ran and (semantics == "side_effect" or (semantics == "token" and call.row["Group"] != "all")):
            self.breach(f"request {call.number}: refused though it may have run")

    # --- the end --------------------------------------------------------------------------

    def day_over(self, calls, left_over):
        """Judge the end of the day: all calls are answered, and all counts in `left_over` are 0.

        `left_over` has the program's counts of unfinished work, by their names.
        """
        for call in calls:
            if not call.departure_reported and call.final is None:
                self.breach(f"request {call.number}: never answered")
            if not call.departure_reported and call.final == "begun" and not call.stream_ended:
                self.breach(f"request {call.number}: an answer begun and never ended")
        for name, count in left_over.items():
            if count:
                self.breach(f"{name} is {count} at the end")
