"""Errors of the system's calls on connections to discovery, on real sockets: each change arrives in time."""

from __future__ import annotations

import contextlib
import errno
from dataclasses import dataclass

import pytest

from brassfall.sidecar.lifecycle.sidecar import Sidecar
from tests.support.discovery import NOTIFIED_S, SPARE_S, now
from tests.support.loopback import Registry, entry, loopback, running, until
from tests.support.system_calls import BROKEN, CONNECT_ERRORS, SOCKET_ERRORS, Faults


def at_port(port):
    """Return a filter for the ends of connections to a port."""

    def matches(sock):
        try:
            return sock.getpeername()[1] == port
        except OSError:
            return False

    return matches


@dataclass
class Watching:
    """A sidecar with an open watch, its discovery, and the faults of the system."""

    sidecar: Sidecar
    registry: Registry
    faults: Faults

    @property
    def to_registry(self):
        """A filter for the sidecar's connections to discovery."""
        return at_port(int(self.registry.address.rpartition(":")[2]))

    async def time_to_arrive(self, version, watches):
        """Wait until there were so many watches, and for a change on the last; return how long that took."""
        begun = now()
        await until(lambda: len(self.registry.watches) >= watches)
        self.registry.tell(version, entry("s9"))
        await until(lambda: self.sidecar.discovery.version == version)
        return now() - begun


@contextlib.asynccontextmanager
async def watching():
    registry = await Registry(current=True).start()
    with Faults(seed=1) as faults:
        async with running(registry=registry) as sidecar:
            await until(lambda: registry.watches and sidecar.discovery.version == 41)
            yield Watching(sidecar, registry, faults)
    registry.stop()


@pytest.mark.parametrize(
    ("call", "number"),
    [*(("socket", n) for n in SOCKET_ERRORS), *(("connect", n) for n in (*CONNECT_ERRORS, *BROKEN))],
)
@loopback
async def test_a_watch_is_opened_again_in_time_though_the_calls_for_it_fail(call, number):
    async with watching() as made:
        made.faults.script(call, number, number)
        made.registry.watches[-1].transport.abort()
        assert await made.time_to_arrive(42, watches=2) <= NOTIFIED_S - SPARE_S
        # A connect that is interrupted goes on by itself: there is no second call.
        assert made.faults.injected[call, number] == (1 if number == errno.EINTR else 2)


@pytest.mark.parametrize("number", [*BROKEN, errno.ENOBUFS, errno.ENOMEM])
@loopback
async def test_a_watch_that_breaks_in_any_way_is_opened_again_in_time(number):
    async with watching() as made:
        made.faults.script("recv", number, on=made.to_registry)
        made.registry.write(b"\n")
        assert await made.time_to_arrive(42, watches=2) <= NOTIFIED_S - SPARE_S
        assert made.faults.injected["recv", number] == 1


@loopback
async def test_lists_are_read_though_each_read_and_write_takes_one_byte():
    async with watching() as made:
        made.faults.shorten("recv", 1, on=made.to_registry)
        made.faults.shorten("send", 1, on=made.to_registry)
        made.registry.watches[-1].transport.abort()
        assert await made.time_to_arrive(42, watches=2) <= NOTIFIED_S - SPARE_S
        assert made.faults.injected["recv", 0] > 100 and made.faults.injected["send", 0] > 40


@loopback
async def test_each_change_arrives_in_time_with_15_percent_of_the_calls_failing():
    async with watching() as made:
        made.faults.share("connect", 0.15, (*CONNECT_ERRORS, *BROKEN))
        made.faults.share("socket", 0.15, SOCKET_ERRORS)
        for turn in range(1, 13):
            watches = len(made.registry.watches) + 1
            made.registry.watches[-1].transport.abort()
            assert await made.time_to_arrive(41 + turn, watches) <= NOTIFIED_S - SPARE_S
        assert sum(made.faults.injected.values()) >= 3
