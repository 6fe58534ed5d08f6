"""A sidecar's agent behind several aggregators that grant, refuse, redirect or fail.

Time is the loop's own and jumps to the next timer, and connections are stand-ins: each bound is exact."""

from __future__ import annotations

import asyncio
import functools
import itertools
import json

import looptime
import pytest

from brassfall.sidecar.agent import reporter
from brassfall.sidecar.agent.agent import Agent
from brassfall.sidecar.config import Agreement
from brassfall.sidecar.config_values import Address
from brassfall.sidecar.discovery.channel import Channel

LEASE_S, EPOCH, REVISION = 2.7, 7, 5
LONGEST_PAUSE_S = 1.0  # between two reports, at the default interval
STATE = {"edition": REVISION, "life": EPOCH, "state": "committed"}
GRANTS = {"edition": REVISION, "permission_ms": 1000.0 * LEASE_S, "life": EPOCH}
REDIRECTS = {**GRANTS, "permission_ms": 0.0, "elsewhere": True}
REDIRECTS_WITH_A_LEASE = {**GRANTS, "permission_ms": 1500.0, "elsewhere": True}


def timed(test):
    """Run an async test in a loop whose time jumps to the next timer."""

    @functools.wraps(test)
    def run(*args, **kwargs):
        with asyncio.Runner(loop_factory=looptime.new_event_loop) as runner:
            runner.run(test(*args, **kwargs))

    return run


def now():
    return asyncio.get_running_loop().time()


def state(agent):
    return json.loads(agent.state)


def response(body, status=200, headers=""):
    data = json.dumps(body).encode()
    return b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n%b\r\n%b" % (status, len(data), headers.encode(), data)


class Connection(asyncio.Transport):
    """One connection to an aggregator, which answers within the same turn of the loop unless it is silent."""

    def __init__(self, aggregator, protocol):
        super().__init__()
        self.aggregator, self.protocol, self.open = aggregator, protocol, True
        protocol.connection_made(self)

    def is_closing(self):
        return not self.open

    def write(self, data):
        asyncio.get_running_loop().call_soon(self.aggregator.receive, self, data)

    def abort(self):
        if self.open:
            self.open = False
            asyncio.get_running_loop().call_soon(self.protocol.connection_lost, None)

    close = abort

    def feed(self, data):
        self.protocol.data_received(data)


class Aggregator:
    """`answer` is what reports get: an object, bytes, `None` for silence, or "reset"."""

    def __init__(self, tier, answer):
        self.tier, self.answer, self.up = tier, answer, True
        self.connections, self.unanswered = [], []
        self.watch_answer = HEAD + chunk(STATE)

    def receive(self, connection, data):
        if not connection.open:
            return
        if data.startswith(b"GET"):
            if self.watch_answer is not None:
                connection.feed(self.watch_answer if b"watch=1" in data else response(STATE))
            return
        report = json.loads(data.partition(b"\r\n\r\n")[2])
        self.tier.reports.append((now(), self.tier.aggregators.index(self), report))
        if self.answer is None:
            self.unanswered.append(connection)
        elif self.answer == "reset":
            self.kill()
        else:
            connection.feed(self.answer if isinstance(self.answer, bytes) else response(self.answer))

    def kill(self):
        self.up = False
        for connection in self.connections:
            connection.abort()


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(line):
    data = json.dumps(line).encode() + b"\n"
    return b"%x\r\n%b\r\n" % (len(data), data)


class Tier:
    """Aggregators by their position among the addresses, and one agent that starts at the first of them."""

    def __init__(self, *answers):
        self.aggregators = [Aggregator(self, answer) for answer in answers]
        self.reports, self.acted = [], []
        self.refused = []  # when a connection for reports was, and by which aggregator
        asyncio.get_running_loop().create_connection = self.connect
        addresses = tuple(Address("aggregator", port) for port in range(len(answers)))
        self.agent = next(agent for agent in self._agents(addresses) if state(agent)["at"] == "aggregator:0")

    def _agents(self, addresses):
        agreement, loop = Agreement(3000.0, "", "", {}), asyncio.get_running_loop()
        for seed in itertools.count(1):  # it decides where an agent starts
            yield Agent(loop, "e1", agreement, addresses, lambda revision: "", self._act, seed)

    def _act(self, active, now):
        self.acted.append(active)
        return 1e9

    async def connect(self, factory, host, port):
        protocol = factory()
        if not self.aggregators[port].up:
            if not isinstance(protocol, Channel):  # the watch on revisions has its own waits
                self.refused.append((now(), port))
            raise ConnectionRefusedError
        connection = Connection(self.aggregators[port], protocol)
        self.aggregators[port].connections.append(connection)
        return connection, protocol

    @property
    def open(self):
        """Which of the connections are open, in order, by aggregator."""
        return [[connection.open for connection in each.connections] for each in self.aggregators]

    async def run(self, seconds):
        await asyncio.sleep(seconds)
        return self

    async def leased(self):
        """Start, and wait until the first aggregator has granted a lease."""
        self.agent.start()
        await self.run(3.0)
        assert self.acting == REVISION
        self.reports.clear()
        self.acted.clear()
        return self

    @property
    def acting(self):
        return self.agent.lease_client.active_configuration(now()).acting

    @property
    def asked(self):
        """The aggregators that were sent reports, in order."""
        return [place for _, place, _ in self.reports]

    def close(self):
        self.agent.close()

    def kept_its_lease(self):
        """Return whether it acted on the revision at all times so far."""
        return self.acting == REVISION and all(active.acting == REVISION for active in self.acted)


@timed
async def test_redirected_by_aggregators_without_a_lease_it_stays_with_the_first_that_grants():
    tier = await Tier(GRANTS, REDIRECTS, GRANTS).leased()
    tier.aggregators[0].answer = REDIRECTS
    await tier.run(20.0)
    assert tier.asked[:3] == [0, 1, 2] and set(tier.asked[2:]) == {2}
    assert tier.kept_its_lease()
    pauses = [later - at for (at, *_), (later, *_) in zip(tier.reports, tier.reports[1:], strict=False)]
    assert min(pauses) >= 0.5 and max(pauses) <= LONGEST_PAUSE_S  # no more reports than before
    # A complete report to each that does not have the last one, all by the same process.
    assert ["after" in report for *_, report in tier.reports[:4]] == [True, False, False, True]
    assert {report["life"] for *_, report in tier.reports if "life" in report} == {
        tier.agent.lease_client.process_id
    }
    tier.close()


@timed
async def test_redirected_with_a_lease_that_is_not_renewed_it_moves_before_the_lease_ends():
    tier = await Tier(GRANTS, GRANTS).leased()
    tier.aggregators[0].answer = REDIRECTS_WITH_A_LEASE
    await tier.run(10.0)
    assert tier.asked[0] == 0 and set(tier.asked[1:]) == {1}
    assert tier.kept_its_lease()
    tier.close()


@timed
async def test_while_no_aggregator_has_a_lease_it_moves_rarely_and_uses_the_first_grant():
    tier = await Tier(GRANTS, GRANTS, GRANTS).leased()
    for each in tier.aggregators:
        each.answer = REDIRECTS
    await tier.run(60.0)
    moves = sum(a != b for a, b in zip(tier.asked, tier.asked[1:], strict=False))
    assert len(tier.reports) <= 60.0 / 0.75 * 1.1 and moves <= 3 + len(tier.reports) / 4 + 1
    assert tier.acting == "safe"
    last = tier.asked[-1]
    tier.aggregators[last].answer = GRANTS
    await tier.run(LONGEST_PAUSE_S * reporter.JITTER * 3.0 * 15)
    assert tier.acting == REVISION and set(tier.asked[-3:]) == {last}
    tier.close()


RETRY = (
    # Retry-After; number of addresses; where the next reports go; bounds of the pause in seconds
    ("0.3", 2, [0, 0], (0.3, 0.375)),  # shorter than the rest of the lease: kept
    ("5", 2, [0, 1], (0.0, 0.3)),
    ("5", 1, [0, 0], (5.0, 6.25)),  # no other address: kept
)


@pytest.mark.parametrize(("seconds", "count", "asked", "pause"), RETRY)
@timed
async def test_a_retry_after_longer_than_the_lease_sends_it_to_another_address(seconds, count, asked, pause):
    tier = await Tier(*[GRANTS] * count).leased()
    tier.aggregators[0].answer = response({}, 503, f"Retry-After: {seconds}\r\n")
    await tier.run(1.5)
    tier.aggregators[0].answer = GRANTS
    await tier.run(6.0)
    refused_at = next(at for at, place, _ in tier.reports if place == 0)
    after = next(at for at, *_ in tier.reports if at > refused_at)
    assert tier.asked[:2] == asked and pause[0] <= after - refused_at <= pause[1]
    assert count == 1 or tier.kept_its_lease()
    tier.close()


@timed
async def test_a_retry_after_from_all_is_kept_and_so_is_one_without_a_lease():
    full = response({}, 503, "Retry-After: 5\r\n")
    tier = await Tier(GRANTS, GRANTS).leased()
    for each in tier.aggregators:
        each.answer = full
    await tier.run(20.0)
    assert tier.asked[:3] == [0, 1, 1] and len(tier.reports) <= 6
    tier.close()
    newcomer = Tier(full, GRANTS)
    newcomer.agent.start()
    await newcomer.run(4.9)
    assert newcomer.asked == [0]
    newcomer.close()


@timed
async def test_after_a_reset_the_report_goes_to_the_next_address_that_is_up_within_300_ms_each():
    tier = await Tier(GRANTS, GRANTS, GRANTS).leased()
    tier.aggregators[0].answer = "reset"
    tier.aggregators[1].up = False
    await tier.run(10.0)
    (broken, *_), (next_at, *_) = tier.reports[0], tier.reports[1]
    assert tier.asked[:2] == [0, 2] and next_at - broken <= 2 * 0.3
    assert tier.kept_its_lease() and set(tier.asked[1:]) == {2}
    tier.close()


@timed
async def test_while_all_are_down_it_reports_often_only_until_its_lease_has_ended():
    tier = await Tier(GRANTS, GRANTS).leased()
    for each in tier.aggregators:
        each.kill()
    await tier.run(LEASE_S)
    quick = len(tier.refused)
    assert quick >= 8 and {port for _, port in tier.refused} == {0, 1}
    await tier.run(10.0)  # the waits grow
    before = len(tier.refused)
    await tier.run(60.0)
    assert 60.0 / 1.5 < len(tier.refused) - before < 60.0 / 0.5
    tier.close()


@pytest.mark.parametrize("idle", [True, False])
@timed
async def test_a_killed_aggregator_costs_no_lease(idle):
    tier = await Tier(GRANTS, GRANTS).leased()
    if idle:  # the connection ends between two reports
        tier.aggregators[0].kill()
    else:
        tier.aggregators[0].answer = "reset"
    await tier.run(10.0)
    at = [at for at, place, _ in tier.reports if place == 1]
    assert set(tier.asked[0 if idle else 1 :]) == {1} and at[0] - 3.0 <= LONGEST_PAUSE_S + 0.3
    assert tier.kept_its_lease()
    tier.close()


@timed
async def test_a_stopped_aggregator_costs_no_lease_and_its_late_answer_is_ignored():
    tier = await Tier(GRANTS, GRANTS).leased()
    stopped = tier.aggregators[0]
    stopped.answer = stopped.watch_answer = None
    await tier.run(LONGEST_PAUSE_S + reporter.CALL_S + 0.3)
    (asked, *_), (moved, *_) = tier.reports[:2]
    assert tier.asked[:2] == [0, 1] and reporter.CALL_S <= moved - asked <= reporter.CALL_S + 0.3
    client = tier.agent.lease_client
    before = (vars(client).copy(), tier.open)
    late = response({"edition": 4, "permission_ms": 9000.0, "life": EPOCH + 1, "pending": 4})
    for connection in stopped.unanswered:
        connection.protocol.data_received(late)  # as if it had been read already
    assert (vars(client), tier.open) == before
    seen = len(tier.reports)
    await tier.run(10.0)
    *_, last_answered = tier.reports[seen - 1]
    *_, next_report = tier.reports[seen]
    assert next_report["after"] == last_answered["seq"]
    assert tier.kept_its_lease() and client.report_fields(now())["of"] == EPOCH
    assert set(tier.asked[1:]) == {1}
    tier.close()


@timed
async def test_a_late_answer_reaches_no_later_call():
    tier = await Tier(GRANTS, GRANTS).leased()
    first, second = tier.aggregators
    first.answer = second.answer = None
    await tier.run(LONGEST_PAUSE_S + reporter.CALL_S + 0.5)  # the call at the second is under way
    assert second.unanswered
    first.unanswered[0].protocol.data_received(response({**GRANTS, "edition": 4, "life": EPOCH + 1}))
    first.unanswered[0].protocol.connection_lost(None)
    second.unanswered[0].feed(response(GRANTS))
    await tier.run(0.1)
    assert tier.agent.lease_client.report_fields(now())["of"] == EPOCH and state(tier.agent)["failing"] == ""
    tier.close()


@timed
async def test_an_unsolicited_answer_is_not_taken_for_the_next_one():
    tier = await Tier(GRANTS).leased()
    reports_connection = tier.aggregators[0].connections[0]
    assert not isinstance(reports_connection.protocol, Channel) and reports_connection.open
    reports_connection.feed(response({**GRANTS, "life": EPOCH + 1}))
    await tier.run(2.0)
    assert tier.agent.lease_client.report_fields(now())["of"] == EPOCH and tier.kept_its_lease()
    assert "after" not in tier.reports[0][2]  # on a connection of its own
    tier.close()


@timed
async def test_an_aggregator_that_is_behind_takes_it_back_neither_in_revision_nor_in_epoch():
    tier = await Tier(GRANTS, GRANTS).leased()
    older = {**STATE, "edition": REVISION - 1}
    tier.agent.lease_client.receive_update({**STATE, "committed": older})
    tier.aggregators[0].watch_answer = HEAD + chunk(older)
    tier.aggregators[0].answer = {**GRANTS, "edition": REVISION - 1}
    tier.aggregators[0].connections[-1].abort()
    await tier.run(2.0)
    assert set(tier.asked) == {0} and tier.kept_its_lease()
    for each in tier.aggregators:
        each.answer = {**GRANTS, "life": EPOCH - 1}
    await tier.run(4.0)
    assert tier.acting == "safe"  # a service of a lower epoch grants no lease
    assert tier.agent.lease_client.report_fields(now())["of"] == EPOCH and set(tier.asked[-2:]) == {0, 1}
    tier.aggregators[1].answer = GRANTS
    await tier.run(2.0)
    assert tier.acting == REVISION and tier.asked[-1] == 1
    tier.close()
