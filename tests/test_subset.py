"""How many servers a sidecar keeps to, and what widens that."""

from __future__ import annotations

from collections import Counter

import pytest

from poppypulley.model import Send
from tests.helpers import arrival, balancer, of_type

PRICED = {"Connection": 0.05}


def sent(count: int, **changes) -> Counter[str]:
    """Requests by server, of so many that arrive together and are still open at the end."""
    made = balancer(servers=16, **changes)
    servers: Counter[str] = Counter()
    for number in range(count):
        actions = made.request(float(number), arrival(number, float(number)))
        servers.update(send.server for send in of_type(actions, Send))
    return servers


def test_where_connections_are_priced_a_quiet_sidecar_keeps_to_few_servers():
    assert len(sent(4, Prices=PRICED)) <= 4


@pytest.mark.parametrize("count", [16, 32, 64])
def test_where_connections_are_priced_a_busy_sidecar_crowds_none_of_its_servers(count):
    """One that carries most of the traffic of a fleet held its four servers alone with all of it."""
    servers = sent(count, Prices=PRICED)
    assert len(servers) > 4
    assert max(servers.values()) <= 2 * max(4, count // 8)
