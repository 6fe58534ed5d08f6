"""The oracle: judges by the protocol alone what was written to which process, and what was answered."""

from __future__ import annotations

import re

from brassfall.sidecar.core.request_lifecycle import DEADLINE_GUARD_MS
from tests.support.random_day.chance import HOLD_UPS_S

ROUNDING_MS = 1e-3
BEGIN_MOST_MS = 100.0  # after its client has closed, until an attempt begins
BUDGET_SLACK_MS = 150.0
TIME_LEFT = re.compile(rb"X-Left: (-?[\d.]+)\r\n")


class Oracle:
    """Keeps the day's trace, and the breaches of the protocol that it has found."""

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
        self.note(f"BREACH {text}")
        self.breaches.append(text)

    def log_written(self, text):
        """Judge what the program wrote to its log."""
        if "Traceback" in text or "report it" in text:
            self.breach(f"a line in the log: {text}")

    # --- attempts ------------------------------------------------------------------------

    def attempt_written(self, call, write, *, hold_up_ms, grace_ms):
        """Judge the first byte of an attempt.

        The program last read its clock `hold_up_ms` ago: windows and graces have to cover that, as has the
        slack of the time left that it passes on.
        """
        earlier = call.writes[:-1]
        what = f"request {call.number}"
        if call.gone:
            self.breach(f"{what}: written after its client had left")
        if (
            call.closed_at is not None
            and self.now - hold_up_ms > call.closed_at + BEGIN_MOST_MS + ROUNDING_MS
        ):
            self.breach(f"{what}: begun long after its client had closed")
        if call.final is not None:
            self.breach(f"{what}: written after its final answer")
        if call.ended and self.now - hold_up_ms >= call.give_up_at + ROUNDING_MS:
            self.breach(f"{what}: written after its time")
        left = call.read_at + call.budget - self.now if call.ended else call.budget
        if float(TIME_LEFT.search(write.head + b"\r\n")[1]) > left + BUDGET_SLACK_MS + ROUNDING_MS:
            self.breach(f"{what}: gives its server more time than the client has left")
        if len(call.writes) > call.limits["MaxAttempts"]:
            self.breach(f"{what}: more attempts than allowed")
        if not call.limits["ParallelTries"] and any(not other.over for other in earlier):
            self.breach(f"{what}: two copies at once")
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
            self.breach(f"request {call.number}: sent again past its window")
        place, first = write.connection.server, ran[0].connection.server
        same = {"all": True, "zone": place.zone == first.zone, "cell": place.cell == first.cell}
        if not same[call.row["Group"]]:
            self.breach(f"request {call.number}: sent again outside its group")

    def _judge_server(self, call, write, grace_ms):
        what = f"request {call.number}"
        server, (decided_at, name) = write.connection.server, call.decided[-1]
        if name != server.name:
            self.breach(f"{what}: written to another server than decided")
        if decided_at > server.out_at:
            self.breach(f"{what}: sent to a process that was known to have left")
        if self.now > server.out_at + max(server.grace, grace_ms) + ROUNDING_MS:
            self.breach(f"{what}: written past the grace of a process that leaves")

    def attempt_complete(self, call, write):
        """Judge the last byte of an attempt."""
        if call.gone:
            self.breach(f"request {call.number}: complete after its client had left")
        if call.final not in (None, "begun"):
            self.breach(f"request {call.number}: complete after its final answer")
        if call.row["Semantics"] == "token":
            earlier = call.writes[: call.writes.index(write)]
            ran = [other for other in earlier if other.complete and not other.never_ran]
            if ran and self.now - ran[0].at > call.row["KeyTtl"] + ROUNDING_MS:
                self.breach(f"request {call.number}: complete past its window")

    # --- answers --------------------------------------------------------------------------

    def answered(self, call, how, *, hold_ups):
        """Judge a final answer, or its beginning, and keep it in the call."""
        self.note(f"answer {call.number} {how}")
        if call.gone:
            self.breach(f"request {call.number}: answered after its client had left")
        if call.final is not None:
            self.breach(f"request {call.number}: a second final answer")
        call.final = call.final or how
        slack = DEADLINE_GUARD_MS + ROUNDING_MS + (HOLD_UPS_S[-1] * 1000.0 if hold_ups else 0.0)
        if call.ended and self.now > max(call.give_up_at, call.read_at) + slack:
            self.breach(f"request {call.number}: answered after its time")

    def refused(self, call):
        """Judge a rejection, which promises that a retry does no harm."""
        effect, ran = call.row["Semantics"], any(w.complete and not w.never_ran for w in call.writes)
        if ran and (effect == "side_effect" or (effect == "token" and call.row["Group"] != "all")):
            self.breach(f"request {call.number}: refused though it may have run")

    # --- the end --------------------------------------------------------------------------

    def day_over(self, calls, left_over):
        """Judge what is left when all should be over: calls, and counts of the program by their names."""
        for call in calls:
            if not call.gone and call.final is None:
                self.breach(f"request {call.number}: never answered")
            if not call.gone and call.final == "begun" and not call.flow_over:
                self.breach(f"request {call.number}: an answer begun and never ended")
        for name, count in left_over.items():
            if count:
                self.breach(f"{name} is {count} at the end")
