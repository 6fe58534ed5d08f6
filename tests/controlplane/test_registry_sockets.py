"""Temporary errors of system calls at the sockets of the list service, its clients and an aggregator."""

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
TEMPORARY_ERRORS = [errno.EINTR, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
CONNECT_ERRORS = [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.ECONNRESET, errno.ETIMEDOUT]


class FailingCall:
    """A call that fails a number of times, and then does what it stands for."""

    def __init__(self, call, error_number, times):
        self._call, self._error_number, self.left = call, error_number, times

    def __call__(self, *args, **kwargs):
        if self.left:
            self.left -= 1
            raise OSError(self._error_number, os.strerror(self._error_number))
        return self._call(*args, **kwargs)


def new_service(tmp_path):
    return Service(RegistrySettings(listen="127.0.0.1:0", data=str(tmp_path / "registry")))


@pytest.mark.parametrize("error_number", TEMPORARY_ERRORS, ids=errno.errorcode.get)
@bounded(30.0)
async def test_the_start_retries_temporary_errors_of_the_listening_socket(
    tmp_path, monkeypatch, error_number
):
    failing = FailingCall(socket.create_server, error_number, 3)
    monkeypatch.setattr(socket, "create_server", failing)
    list_service = new_service(tmp_path)
    listen = await list_service.start()
    try:
        assert failing.left == 0
        assert await client.call(listen, "GET", "/health/ready") == {"ready": True}
    finally:
        await list_service.close()


@pytest.mark.parametrize(
    ("error_number", "retry_s"), [(errno.EADDRINUSE, 3.0), (errno.ENOBUFS, 0.3)], ids=["in use", "for long"]
)
@bounded(30.0)
async def test_the_start_fails_if_the_address_is_in_use_or_the_error_lasts(
    tmp_path, monkeypatch, error_number, retry_s
):
    monkeypatch.setattr(front, "BIND_RETRY_S", retry_s)
    failing = FailingCall(socket.create_server, error_number, 1000)
    monkeypatch.setattr(socket, "create_server", failing)
    with pytest.raises(OSError, match=os.strerror(error_number)) as failed:
        await new_service(tmp_path).start()
    assert failed.value.errno == error_number
    assert (failing.left == 999) == (error_number == errno.EADDRINUSE)


@pytest.mark.parametrize("error_number", CONNECT_ERRORS, ids=errno.errorcode.get)
@bounded(30.0)
async def test_a_registered_server_and_an_aggregator_retry_failed_connects(
    tmp_path, monkeypatch, error_number
):
    list_service = new_service(tmp_path)
    listen = await list_service.start()
    loop = asyncio.get_running_loop()
    failing = FailingCall(loop.sock_connect, error_number, 6)
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
        await list_service.close()
