"""A sidecar's agent with several stubs of aggregators, which grant leases, reject, redirect or fail.

The event loop has simulated time, which jumps to the next timer, and there are no sockets. Tests of time
limits are therefore exact.
"""

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

# Length of the granted leases in seconds, and epoch and committed revision of the list service.
LEASE_S, EPOCH, REVISION = 2.7, 7, 5
LONGEST_PAUSE_S = 1.0  # Longest time between two reports at the default interval, in seconds
STATE = {"edition": REVISION, "life": EPOCH, "state": "committed"}
GRANTS = {"edition": REVISION, "permission_ms": 1000.0 * LEASE_S, "life": EPOCH}
REDIRECTS = {**GRANTS, "permission_ms": 0.0, "elsewhere": True}
REDIRECTS_WITH_A_LEASE = {**GRANTS, "permission_ms": 1500.0, "elsewhere": True}


def simulated_time(test):
    """Decorate an async test to run in an event loop whose time jumps to the next timer."""

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
    """A connection to a stub of an aggregator, which gets the data in the next iteration of the loop."""

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
    """A stub of an aggregator, which answers each report as `answer` says.

    `answer` is the JSON object or the bytes of the answer, None for no answer, or "reset" to kill the
    aggregator.
    """

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
        """Reset all connections, and refuse new ones."""
        self.up = False
        for connection in self.connections:
            connection.abort()


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(line):
    data = json.dumps(line).encode() + b"\n"
    return b"%x\r\n%b\r\n" % (len(data), data)


class AggregatorTier:
    """Several aggregators in the order of their addresses, and an agent that starts with the first one."""

    def __init__(self, *answers):
        self.aggregators = [Aggregator(self, answer) for answer in answers]
        # Each report as (time, index of the aggregator, fields), and each configuration that was applied.
        self.reports, self.applied_configurations = [], []
        # Each refused connection for reports as (time, index of the aggregator).
        self.refused = []
        asyncio.get_running_loop().create_connection = self.connect
        addresses = tuple(Address("aggregator", port) for port in range(len(answers)))
        self.agent = next(agent for agent in self._agents(addresses) if state(agent)["at"] == "aggregator:0")

    def _agents(self, addresses):
        """Yield agents with different seeds, which determine the first address of an agent."""
        agreement, loop = Agreement(3000.0, "", "", {}), asyncio.get_running_loop()
        for seed in itertools.count(1):
            yield Agent(loop, "e1", agreement, addresses, lambda revision: "", self._act, seed)

    def _act(self, active, now):
        self.applied_configurations.append(active)
        return 1e9

    async def connect(self, factory, host, port):
        protocol = factory()
        if not self.aggregators[port].up:
            if not isinstance(protocol, Channel):  # A `Channel` belongs to the watch on revisions.
                self.refused.append((now(), port))
            raise ConnectionRefusedError
        connection = Connection(self.aggregators[port], protocol)
        self.aggregators[port].connections.append(connection)
        return connection, protocol

    @property
    def open(self):
        """Whether each connection is open, in a list for each aggregator."""
        return [[connection.open for connection in each.connections] for each in self.aggregators]

    async def run(self, seconds):
        await asyncio.sleep(seconds)
        return self

    async def start_and_get_lease(self):
        """Start the agent, wait until the first aggregator has granted a lease, and clear the records."""
        self.agent.start()
        await self.run(3.0)
        assert self.acting == REVISION
        self.reports.clear()
        self.applied_configurations.clear()
        return self

    @property
    def acting(self):
        return self.agent.lease_client.active_configuration(now()).acting

    @property
    def reported_to(self):
        """The index of the aggregator that got each report, in order."""
        return [place for _, place, _ in self.reports]

    def close(self):
        self.agent.close()

    def has_kept_lease(self):
        """Return whether the agent has always acted on the revision, and never on the fallback."""
        return self.acting == REVISION and all(
            active.acting == REVISION for active in self.applied_configurations
        )


@simulated_time
async def test_a_redirected_agent_stays_with_the_first_aggregator_that_grants_a_lease():
    tier = await AggregatorTier(GRANTS, REDIRECTS, GRANTS).start_and_get_lease()
    tier.aggregators[0].answer = REDIRECTS
    await tier.run(20.0)
    assert tier.reported_to[:3] == [0, 1, 2] and set(tier.reported_to[2:]) == {2}
    assert tier.has_kept_lease()
    pauses = [later - at for (at, *_), (later, *_) in zip(tier.reports, tier.reports[1:], strict=False)]
    # Redirects cause no additional reports.
    assert min(pauses) >= 0.5 and max(pauses) <= LONGEST_PAUSE_S
    # An aggregator without the last report gets a complete one. All reports have the same process id.
    assert ["after" in report for *_, report in tier.reports[:4]] == [True, False, False, True]
    assert {report["life"] for *_, report in tier.reports if "life" in report} == {
        tier.agent.lease_client.process_id
    }
    tier.close()


@simulated_time
async def test_an_agent_redirected_with_a_shortened_lease_moves_before_the_lease_ends():
    tier = await AggregatorTier(GRANTS, GRANTS).start_and_get_lease()
    tier.aggregators[0].answer = REDIRECTS_WITH_A_LEASE
    await tier.run(10.0)
    assert tier.reported_to[0] == 0 and set(tier.reported_to[1:]) == {1}
    assert tier.has_kept_lease()
    tier.close()


@simulated_time
async def test_while_no_aggregator_grants_a_lease_the_agent_moves_rarely_and_uses_the_first_grant():
    tier = await AggregatorTier(GRANTS, GRANTS, GRANTS).start_and_get_lease()
    for each in tier.aggregators:
        each.answer = REDIRECTS
    await tier.run(60.0)
    moves = sum(a != b for a, b in zip(tier.reported_to, tier.reported_to[1:], strict=False))
    assert len(tier.reports) <= 60.0 / 0.75 * 1.1 and moves <= 3 + len(tier.reports) / 4 + 1
    assert tier.acting == "safe"
    last = tier.reported_to[-1]
    tier.aggregators[last].answer = GRANTS
    await tier.run(LONGEST_PAUSE_S * reporter.JITTER * 3.0 * 15)
    assert tier.acting == REVISION and set(tier.reported_to[-3:]) == {last}
    tier.close()


# Retry-After; number of addresses; the aggregators that get the next reports; bounds of the pause in seconds.
RETRY_CASES = (
    ("0.3", 2, [0, 0], (0.3, 0.375)),  # The Retry-After is shorter than the rest of the lease, and is kept.
    ("5", 2, [0, 1], (0.0, 0.3)),
    ("5", 1, [0, 0], (5.0, 6.25)),  # There is no other address, and the Retry-After is kept.
)


@pytest.mark.parametrize(("seconds", "count", "aggregators", "pause"), RETRY_CASES)
@simulated_time
async def test_after_a_retry_after_longer_than_the_lease_another_address_is_used(
    seconds, count, aggregators, pause
):
    tier = await AggregatorTier(*[GRANTS] * count).start_and_get_lease()
    tier.aggregators[0].answer = response({}, 503, f"Retry-After: {seconds}\r\n")
    await tier.run(1.5)
    tier.aggregators[0].answer = GRANTS
    await tier.run(6.0)
    refused_at = next(at for at, place, _ in tier.reports if place == 0)
    after = next(at for at, *_ in tier.reports if at > refused_at)
    assert tier.reported_to[:2] == aggregators and pause[0] <= after - refused_at <= pause[1]
    assert count == 1 or tier.has_kept_lease()
    tier.close()


@simulated_time
async def test_a_retry_after_from_all_addresses_and_one_without_a_lease_are_kept():
    full = response({}, 503, "Retry-After: 5\r\n")
    tier = await AggregatorTier(GRANTS, GRANTS).start_and_get_lease()
    for each in tier.aggregators:
        each.answer = full
    await tier.run(20.0)
    assert tier.reported_to[:3] == [0, 1, 1] and len(tier.reports) <= 6
    tier.close()
    newcomer = AggregatorTier(full, GRANTS)
    newcomer.agent.start()
    await newcomer.run(4.9)
    assert newcomer.reported_to == [0]
    newcomer.close()


@simulated_time
async def test_after_a_reset_the_report_goes_to_the_next_working_address_within_300_ms_for_each():
    tier = await AggregatorTier(GRANTS, GRANTS, GRANTS).start_and_get_lease()
    tier.aggregators[0].answer = "reset"
    tier.aggregators[1].up = False
    await tier.run(10.0)
    (reset_at, *_), (next_at, *_) = tier.reports[0], tier.reports[1]
    assert tier.reported_to[:2] == [0, 2] and next_at - reset_at <= 2 * 0.3
    assert tier.has_kept_lease() and set(tier.reported_to[1:]) == {2}
    tier.close()


@simulated_time
async def test_while_no_aggregator_can_be_reached_reports_are_frequent_only_until_the_lease_ends():
    tier = await AggregatorTier(GRANTS, GRANTS).start_and_get_lease()
    for each in tier.aggregators:
        each.kill()
    await tier.run(LEASE_S)
    count_with_lease = len(tier.refused)
    assert count_with_lease >= 8 and {port for _, port in tier.refused} == {0, 1}
    await tier.run(10.0)  # The waits grow during this time.
    count_before = len(tier.refused)
    await tier.run(60.0)
    assert 60.0 / 1.5 < len(tier.refused) - count_before < 60.0 / 0.5
    tier.close()


@pytest.mark.parametrize("idle", [True, False])
@simulated_time
async def test_the_agent_keeps_its_lease_if_an_aggregator_is_killed(idle):
    tier = await AggregatorTier(GRANTS, GRANTS).start_and_get_lease()
    if idle:  # The connection ends between two reports.
        tier.aggregators[0].kill()
    else:
        tier.aggregators[0].answer = "reset"
    await tier.run(10.0)
    at = [at for at, place, _ in tier.reports if place == 1]
    assert set(tier.reported_to[0 if idle else 1 :]) == {1} and at[0] - 3.0 <= LONGEST_PAUSE_S + 0.3
    assert tier.has_kept_lease()
    tier.close()


@simulated_time
async def test_the_agent_keeps_its_lease_if_an_aggregator_is_stopped_and_ignores_its_late_answer():
    tier = await AggregatorTier(GRANTS, GRANTS).start_and_get_lease()
    stopped = tier.aggregators[0]
    stopped.answer = stopped.watch_answer = None
    await tier.run(LONGEST_PAUSE_S + reporter.CALL_S + 0.3)
    (sent_at, *_), (moved_at, *_) = tier.reports[:2]
    assert tier.reported_to[:2] == [0, 1] and reporter.CALL_S <= moved_at - sent_at <= reporter.CALL_S + 0.3
    client = tier.agent.lease_client
    before = (vars(client).copy(), tier.open)
    late = response({"edition": 4, "permission_ms": 9000.0, "life": EPOCH + 1, "pending": 4})
    for connection in stopped.unanswered:
        # The answer arrives as if it had been read before the connection was closed.
        connection.protocol.data_received(late)
    assert (vars(client), tier.open) == before
    seen = len(tier.reports)
    await tier.run(10.0)
    *_, last_answered = tier.reports[seen - 1]
    *_, next_report = tier.reports[seen]
    assert next_report["after"] == last_answered["seq"]
    assert tier.has_kept_lease() and client.report_fields(now())["of"] == EPOCH
    assert set(tier.reported_to[1:]) == {1}
    tier.close()


@simulated_time
async def test_a_late_answer_is_not_taken_for_the_answer_to_a_later_call():
    tier = await AggregatorTier(GRANTS, GRANTS).start_and_get_lease()
    first, second = tier.aggregators
    first.answer = second.answer = None
    await tier.run(LONGEST_PAUSE_S + reporter.CALL_S + 0.5)  # The call to the second aggregator is under way.
    assert second.unanswered
    first.unanswered[0].protocol.data_received(response({**GRANTS, "edition": 4, "life": EPOCH + 1}))
    first.unanswered[0].protocol.connection_lost(None)
    second.unanswered[0].feed(response(GRANTS))
    await tier.run(0.1)
    assert tier.agent.lease_client.report_fields(now())["of"] == EPOCH and state(tier.agent)["failing"] == ""
    tier.close()


@simulated_time
async def test_an_unsolicited_answer_is_not_taken_for_the_answer_to_the_next_report():
    tier = await AggregatorTier(GRANTS).start_and_get_lease()
    reports_connection = tier.aggregators[0].connections[0]
    assert not isinstance(reports_connection.protocol, Channel) and reports_connection.open
    reports_connection.feed(response({**GRANTS, "life": EPOCH + 1}))
    await tier.run(2.0)
    assert tier.agent.lease_client.report_fields(now())["of"] == EPOCH and tier.has_kept_lease()
    assert "after" not in tier.reports[0][2]  # The report is complete, since it is on a new connection.
    tier.close()


@simulated_time
async def test_the_agent_follows_an_outdated_aggregator_neither_to_an_older_revision_nor_to_a_lower_epoch():
    tier = await AggregatorTier(GRANTS, GRANTS).start_and_get_lease()
    older = {**STATE, "edition": REVISION - 1}
    tier.agent.lease_client.receive_update({**STATE, "committed": older})
    tier.aggregators[0].watch_answer = HEAD + chunk(older)
    tier.aggregators[0].answer = {**GRANTS, "edition": REVISION - 1}
    tier.aggregators[0].connections[-1].abort()
    await tier.run(2.0)
    assert set(tier.reported_to) == {0} and tier.has_kept_lease()
    for each in tier.aggregators:
        each.answer = {**GRANTS, "life": EPOCH - 1}
    await tier.run(4.0)
    assert tier.acting == "safe"  # A lease of a lower epoch is not accepted.
    assert tier.agent.lease_client.report_fields(now())["of"] == EPOCH and set(tier.reported_to[-2:]) == {
        0,
        1,
    }
    tier.aggregators[1].answer = GRANTS
    await tier.run(2.0)
    assert tier.acting == REVISION and tier.reported_to[-1] == 1
    tier.close()
