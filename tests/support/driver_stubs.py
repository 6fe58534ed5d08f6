"""Stubs of a client's request and of the server connections, for tests of the driver without sockets."""

from __future__ import annotations

import asyncio

from brassfall.balancer.model import Outcome
from brassfall.sidecar.core.interfaces import Answer, ExchangeResult
from brassfall.sidecar.servers.exchange import Exchange


class RecordedCall:
    """A request (`interfaces.Call`) that records the answers that the driver gives it."""

    request_class, tenant, key, work, client_retry, mutates, budget = 0, 0, None, None, False, False, 4000.0

    def __init__(self, large=False):
        self.reading, self.body, self.answers = large, None, []
        self.read_lag = 0.0

    def request_bytes(self, left):
        return b""

    def client_left(self):
        return False

    def send_answer(self, answer):
        self.answers.append("served")

    def send_rejection(self, retry_after):
        self.answers.append("refused")

    def send_failure(self, late):
        self.answers.append("failed")

    def start_answer(self, answer, flow):
        self.answers.append("begun")

    def continue_answer(self, data):
        assert self.answers[-1] == "begun"

    def finish_answer(self):
        self.answers.append("finished")

    def abort_answer(self):
        self.answers.append("broken")

    @property
    def finals(self):
        """The recorded final answers, without the ends of streamed ones."""
        return [answer for answer in self.answers if answer not in ("finished", "broken")]


class ConnectionStub:
    """Stub of a connection to a server (`exchange.ExchangeConnection`)."""

    def __init__(self, written):
        self.written, self.aborted = written, False

    def reset(self):
        self.aborted = True


class UpstreamsStub:
    """Stub of the connection pool.

    The test controls the first exchange, which begins in `state`; each later exchange gets an OK answer.
    """

    def __init__(self, loop, state):
        self.loop, self.state, self.sent = loop, state, []

    def send(self, server, call, expires, observer):
        exchange = Exchange(call.request_bytes, expires, observer.exchange_ended, observer)
        if self.sent:
            self.loop.call_soon(exchange.end, ExchangeResult(Outcome.OK, Answer([], b"")))
        elif self.state == "waits":
            exchange.await_connection(self.loop.create_task(asyncio.sleep(60.0)))
        else:
            exchange.use_connection(ConnectionStub(self.state == "written"))
        self.sent.append(exchange)
        return exchange

    def check_health(self, server, done):
        raise AssertionError("the driver must not start a health check here")

    def update_servers(self, now, servers, *, complete):
        pass

    def close_idle(self, server):
        pass
