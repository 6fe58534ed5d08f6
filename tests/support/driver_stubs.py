"""Stand-ins for what the driver knows of clients and servers, for tests without sockets."""

from __future__ import annotations

import asyncio

from brassfall.balancer.model import Outcome
from brassfall.sidecar.core.interfaces import Answer, ExchangeResult
from brassfall.sidecar.servers.exchange import Exchange


class RecordedCall:
    """A request (`interfaces.Call`) that keeps every final answer that it is given."""

    request_class, tenant, key, work, client_retry, mutates, budget = 0, 0, None, None, False, False, 4000.0

    def __init__(self, large=False):
        self.reading, self.body, self.given = large, None, []

    def request_bytes(self, left):
        return b""

    def client_left(self):
        return False

    def send_answer(self, answer):
        self.given.append("served")

    def send_rejection(self, retry_after):
        self.given.append("refused")

    def send_failure(self, late):
        self.given.append("failed")

    def start_answer(self, answer, flow):
        self.given.append("begun")

    def continue_answer(self, data):
        assert self.given[-1] == "begun"

    def finish_answer(self):
        self.given.append("finished")

    def abort_answer(self):
        self.given.append("broken")

    @property
    def finals(self):
        """The final answers, without the ends of those that were passed on."""
        return [given for given in self.given if given not in ("finished", "broken")]


class ConnectionStub:
    """Stands in for a connection to a server (`exchange.ExchangeConnection`)."""

    def __init__(self, written):
        self.written, self.aborted = written, False

    def reset(self):
        self.aborted = True


class UpstreamsStub:
    """Stands in for the pool: the first exchange is the test's, later ones are answered."""

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
        raise AssertionError("no health check is asked for")

    def update_servers(self, now, servers, *, complete):
        pass

    def close_idle(self, server):
        pass
