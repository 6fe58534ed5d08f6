"""One random day of the driver, the balancer and the pool, with models of clients, servers and discovery.

The pool is the real one. Its connections are models that delay bytes and answers as the day determines. Times
are multiples of a coarse grid, so that events often occur in the same turn of the event loop.
"""

from __future__ import annotations

import asyncio
import contextlib
import io
from unittest import mock

from brassfall.balancer.model import ListForm, SteeringDirectives
from brassfall.sidecar import framing
from brassfall.sidecar.core.clock import Clock
from brassfall.sidecar.core.driver import Driver
from brassfall.sidecar.servers.pool import ConnectionPool
from tests.support.balancer_records import leaked_counts
from tests.support.random_day.chance import Chance
from tests.support.random_day.clients import GRID_S, Clients
from tests.support.random_day.event_loop import DayLoop
from tests.support.random_day.oracle import Oracle
from tests.support.random_day.servers import Servers
from tests.support.random_day.settings import SettingsHistory

# Length of the part of a day in which events begin, and length of the rest of the day, both in seconds. The
# rest is longer than each time limit by which the program ends stalled work.
DAY_S, REST_S = 2.0, 45.0
STOP_WITHIN_MS = 100.0  # time in which all requests have to be answered in a shutdown, in ms


class LogLines(io.StringIO):
    """Replacement for standard error that passes each line of the log to `take`."""

    def __init__(self, take):
        super().__init__()
        self._take = take

    def write(self, text):
        self._take(text)
        return len(text)


class DecisionRecorder:
    """Wrapper of the pool that records when the balancer decided on each attempt."""

    def __init__(self, pool, oracle):
        self._pool, self._oracle = pool, oracle

    def __getattr__(self, name):
        return getattr(self._pool, name)

    def send(self, server, call, *args, **kwargs):
        self._oracle.note(f"send {call.number} to {server}")
        call.decisions.append((self._oracle.now, server))
        return self._pool.send(server, call, *args, **kwargs)


class Discovery:
    """Model of discovery and of the peers (`interfaces.DiscoveryClient` and `interfaces.Gossip`)."""

    def __init__(self, chance, servers):
        self._chance, self._servers = chance, servers
        self.driver = None

    def watch(self, on):
        self._chance.call_later((0.0, 0.05), self._answer)

    def fetch(self):
        pass

    def send(self, peer, data):
        pass

    def _answer(self):
        if self._chance.rng.random() < 0.5:
            self.driver.discovery_failed()
        else:
            self._servers.change()


def undistorted(raw):
    """Return the settings unchanged."""
    return raw


class Day:
    """One random day, which follows from `seed`.

    `distort` changes the settings that the program gets, and not those by which the oracle judges it.
    `balancer`, if given, is used instead of the real one.
    """

    def __init__(self, seed, distort=undistorted, balancer=None):
        self.loop = DayLoop()
        self.clock = Clock(self.loop, offset_ms=0.0)
        self.chance = Chance(seed, self.loop)
        self.oracle = Oracle(self.clock)
        self.loop.set_exception_handler(lambda loop, context: self.oracle.breach(f"a fault: {context}"))
        self.settings = SettingsHistory(self.chance, distort)
        self.clients = Clients(self.loop, self.chance, self.oracle, self.settings)
        self.servers = Servers(self.loop, self.chance, self.oracle, self.settings, self.clients)
        self.loop.connect = self.servers.connect
        self.driver = Driver(self.loop, self.clock, self.settings.config, balancer)
        self.pool = ConnectionPool(self.loop, self.clock, self.settings.config)
        discovery = Discovery(self.chance, self.servers)
        self.driver.connect(DecisionRecorder(self.pool, self.oracle), discovery, discovery)
        self.clients.driver = self.servers.driver = discovery.driver = self.driver
        self.stamp = b""
        if self.chance.rng.random() < 0.25:
            self.driver.revision_header = self.pool.revision_header = lambda: self.stamp

    # --- events other than those of clients and servers --------------------------------------------

    def _reload(self):
        plan = self.settings.reload(self.driver.request_classes)
        rows = self.settings.raw["Profiles"]
        self.oracle.note(f"reload {[(row['Name'], row['Semantics']) for row in rows]}")
        self.driver.reload(plan.config, plan.same_classes)
        self.pool.reload(plan.config)

    def _change_stamp(self):
        self.stamp = b"X-Edition: %d\r\n" % self.chance.rng.randrange(1000)

    def _change_pool_share(self):
        """Change the limits of the pool, as when another process of this sidecar starts or ends."""
        self.pool.set_descriptor_share(self.chance.rng.choice([0.5, 1.0]))

    def _change_steering(self):
        draw, zones = self.chance.rng.choice, range(2)
        self.driver.steer(
            SteeringDirectives(
                shares={zone: draw([0.0, 0.3, 1.0]) for zone in zones},
                excluded_zones=frozenset(zone for zone in zones if self.chance.rng.random() < 0.3),
                excluded_servers=frozenset({f"s{draw(range(9))}"}),
                caps={draw(range(5)): draw([0.0, 3.0])},
                explore=draw([0.0, 0.5]),
                pins=draw([{}, {}, {0: 1}, {1: -1}]),
            )
        )

    def _stop(self):
        if self.chance.rng.random() < 0.2:
            self.clients.answer_by = self.oracle.now + STOP_WITHIN_MS
            self.driver.answer_all_by(self.clients.answer_by)

    # --- the day ------------------------------------------------------------------------------

    def _plan(self):
        """Schedule the events of the day on the grid; many of them are in the same turn of the event loop."""
        rng, servers = self.chance.rng, self.servers
        started = [servers.start(f"s{number}") for number in range(rng.choice([1, 2, 4, 6, 9]))]
        servers.list_to_program(ListForm.CONFIGURED, started)
        steps = [self.clients.send_request] * rng.randrange(8, 26) + [servers.change] * rng.randrange(3, 12)
        steps += [self._reload] * rng.randrange(4) + [servers.close_some] * 3 + [self._change_stamp] * 2
        steps += [self._change_pool_share] * rng.randrange(3) + [self._change_steering] * (rng.random() < 0.2)
        for slot in range(20, 30, 3) if self.chance.drains else ():
            self.loop.call_later(slot * GRID_S, servers.drain_one)
        for step in steps:
            slot = rng.randrange(int(DAY_S / GRID_S) // 4) * 4 if rng.random() < 0.5 else 20
            self.loop.call_later(slot * GRID_S, step)
        self.loop.call_later(DAY_S, self._stop)

    async def _run(self):
        self._plan()
        await asyncio.sleep(DAY_S + REST_S)
        self.pool.close()
        await asyncio.sleep(GRID_S)

    def play(self):
        """Play the day to its end; return the breaches of the protocol that the oracle has found."""
        with contextlib.ExitStack() as patches:
            patches.enter_context(contextlib.redirect_stderr(LogLines(self.oracle.log_written)))
            patches.enter_context(
                mock.patch.object(framing, "has_unread_input", lambda connection: bool(connection.inbox))
            )
            try:
                self.loop.run_until_complete(self._run())
                self.oracle.day_over(self.clients.calls.values(), self._remaining_work())
            except RuntimeError as error:
                self.oracle.breach(f"{error}")
            finally:
                self.loop.close()
        return self.oracle.breaches

    def _remaining_work(self):
        return {
            **{f"driver's {name}": count for name, count in self.driver.counts._asdict().items()},
            **leaked_counts(self.driver.balancer),
            "connections": len(self.pool.connections),
            "connections being opened": self.pool.opening_count,
        }


def play(seed, distort=undistorted):
    """Play the day of `seed`; return its breaches of the protocol and its trace."""
    day = Day(seed, distort)
    return day.play(), day.oracle.trace
