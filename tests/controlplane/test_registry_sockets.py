"""System calls that fail for a moment at the sockets of the list service, its clients and an aggregator."""

from __future__ import annotations

import asyncio
import errno
import os
import socket

import pytest

from brassfall import settings
from brassfall.controlplane.registry import client, front
from brassfall.controlplane.registry.aggregator.service import Service as Aggregator
from brassfall.controlplane.registry.member import RegistrationClient
from brassfall.controlplane.registry.membership import RegistrationState
from brassfall.controlplane.registry.server import Service
from brassfall.settings import AggregatorSettings, RegistrySettings
from tests.support.loopback import bounded, until

ENTRY = {"name": "s1", "address": "127.0.0.1:7001", "zone": "a", "since_ms": 1, "status": "active"}
MOMENTARY = [errno.EINTR, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
CONNECT = [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.ECONNRESET, errno.ETIMEDOUT]


class Failing:
    """A call that fails a number of times, and then does what it stands for."""

    def __init__(self, call, number, times):
        self._call, self._number, self.left = call, number, times

    def __call__(self, *args, **kwargs):
        if self.left:
            self.left -= 1
            raise OSError(self._number, os.strerror(self._number))
        return self._call(*args, **kwargs)


def service(tmp_path):
    return Service(RegistrySettings(listen="127.0.0.1:0", data=str(tmp_path / "registry")))


@pytest.mark.parametrize("number", MOMENTARY, ids=errno.errorcode.get)
@bounded(30.0)
async def test_a_start_goes_on_when_the_listening_socket_fails_for_a_moment(tmp_path, monkeypatch, number):
    failing = Failing(socket.create_server, number, 3)
    monkeypatch.setattr(socket, "create_server", failing)
    made = service(tmp_path)
    listen = await made.start()
    try:
        assert failing.left == 0
        assert await client.call(listen, "GET", "/health/ready") == {"ready": True}
    finally:
        await made.close()


@pytest.mark.parametrize(
    ("number", "retry_s"), [(errno.EADDRINUSE, 3.0), (errno.ENOBUFS, 0.3)], ids=["in use", "for long"]
)
@bounded(30.0)
async def test_a_start_ends_when_the_address_is_in_use_or_the_failure_lasts(
    tmp_path, monkeypatch, number, retry_s
):
    monkeypatch.setattr(front, "BIND_RETRY_S", retry_s)
    failing = Failing(socket.create_server, number, 1000)
    monkeypatch.setattr(socket, "create_server", failing)
    with pytest.raises(OSError, match=os.strerror(number)) as failed:
        await service(tmp_path).start()
    assert failed.value.errno == number
    assert (failing.left == 999) == (number == errno.EADDRINUSE)


@pytest.mark.parametrize("number", CONNECT, ids=errno.errorcode.get)
@bounded(30.0)
async def test_a_member_and_an_aggregator_go_on_when_connects_fail_for_a_moment(
    tmp_path, monkeypatch, number
):
    made = service(tmp_path)
    listen = await made.start()
    loop = asyncio.get_running_loop()
    failing = Failing(loop.sock_connect, number, 6)
    monkeypatch.setattr(loop, "sock_connect", failing)
    aggregator = Aggregator(
        settings.check_aggregator(
            AggregatorSettings(name="a1", region="east", listen="127.0.0.1:0", upstream=[listen])
        )
    )
    member = RegistrationClient([listen], ENTRY, ttl_ms=3000)
    member.start()
    await aggregator.start()
    try:
        assert await member.wait_until_confirmed() is RegistrationState.REGISTERED
        await until(lambda: aggregator.mirror.count == 1)
        assert failing.left == 0
    finally:
        await member.close()
        await aggregator.close()
        await made.close()
