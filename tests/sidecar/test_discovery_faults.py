"""Failing system calls on connections to discovery, on real sockets: each change is in force in time."""

from __future__ import annotations

import contextlib
import errno
from dataclasses import dataclass

import pytest

from brassfall.sidecar.lifecycle.sidecar import Sidecar
from tests.support.discovery import NOTIFIED_S, SPARE_S, now
from tests.support.loopback import Registry, entry, loopback, running, until
from tests.support.system_calls import BROKEN, CONNECT_ERRORS, SOCKET_ERRORS, Faults


def is_connected_to_port(port):
    """Return a function that tells whether a socket is connected to a port."""

    def matches(sock):
        try:
            return sock.getpeername()[1] == port
        except OSError:
            return False

    return matches


@dataclass
class WatchingSidecar:
    """A sidecar with an open watch, its discovery, and the injected faults of system calls."""

    sidecar: Sidecar
    registry: Registry
    faults: Faults

    @property
    def is_connected_to_registry(self):
        """A function that tells whether a socket is a connection of the sidecar to discovery."""
        return is_connected_to_port(int(self.registry.address.rpartition(":")[2]))

    async def measure_delay(self, version, watches):
        """Wait for the given number of watches, and for a change on the last one; return the time taken.

        The change has the given version. The result is in seconds.
        """
        started_at = now()
        await until(lambda: len(self.registry.watches) >= watches)
        self.registry.tell(version, entry("s9"))
        await until(lambda: self.sidecar.discovery.version == version)
        return now() - started_at


@contextlib.asynccontextmanager
async def watching_sidecar():
    """Run a sidecar with an open watch and without faults."""
    registry = await Registry(current=True).start()
    with Faults(seed=1) as faults:
        async with running(registry=registry) as sidecar:
            await until(lambda: registry.watches and sidecar.discovery.version == 41)
            yield WatchingSidecar(sidecar, registry, faults)
    registry.stop()


@pytest.mark.parametrize(
    ("call", "error_number"),
    [*(("socket", n) for n in SOCKET_ERRORS), *(("connect", n) for n in (*CONNECT_ERRORS, *BROKEN))],
)
@loopback
async def test_a_watch_is_reopened_in_time_though_the_system_calls_for_it_fail(call, error_number):
    async with watching_sidecar() as watching:
        watching.faults.script(call, error_number, error_number)
        watching.registry.watches[-1].transport.abort()
        assert await watching.measure_delay(42, watches=2) <= NOTIFIED_S - SPARE_S
        # The system continues an interrupted connect by itself, so there is no second call.
        assert watching.faults.injected[call, error_number] == (1 if error_number == errno.EINTR else 2)


@pytest.mark.parametrize("error_number", [*BROKEN, errno.ENOBUFS, errno.ENOMEM])
@loopback
async def test_a_watch_that_ends_with_any_read_error_is_reopened_in_time(error_number):
    async with watching_sidecar() as watching:
        watching.faults.script("recv", error_number, on=watching.is_connected_to_registry)
        watching.registry.write(b"\n")
        assert await watching.measure_delay(42, watches=2) <= NOTIFIED_S - SPARE_S
        assert watching.faults.injected["recv", error_number] == 1


@loopback
async def test_lists_are_received_though_each_read_and_write_transfers_one_byte():
    async with watching_sidecar() as watching:
        watching.faults.shorten("recv", 1, on=watching.is_connected_to_registry)
        watching.faults.shorten("send", 1, on=watching.is_connected_to_registry)
        watching.registry.watches[-1].transport.abort()
        assert await watching.measure_delay(42, watches=2) <= NOTIFIED_S - SPARE_S
        assert watching.faults.injected["recv", 0] > 100 and watching.faults.injected["send", 0] > 40


@loopback
async def test_each_change_is_in_force_in_time_with_15_percent_of_the_system_calls_failing():
    async with watching_sidecar() as watching:
        watching.faults.share("connect", 0.15, (*CONNECT_ERRORS, *BROKEN))
        watching.faults.share("socket", 0.15, SOCKET_ERRORS)
        for round_number in range(1, 13):
            watches = len(watching.registry.watches) + 1
            watching.registry.watches[-1].transport.abort()
            assert await watching.measure_delay(41 + round_number, watches) <= NOTIFIED_S - SPARE_S
        assert sum(watching.faults.injected.values()) >= 3
