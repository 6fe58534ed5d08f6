"""A measured call on the wire: its class, its target and how many hops it goes."""

from __future__ import annotations

from dataclasses import dataclass, replace

CLASS = "get-transcript"  # of the lab's usual classes: may be repeated, answers wanted within 400 ms
BUDGET_MS = 1200
SIDECAR, DIRECT = "sidecar", "direct"  # the ways on which a call goes from hop to hop


@dataclass(frozen=True, slots=True)
class Target:
    """What a request's target tells a server: so many hops follow, by this way."""

    hops: int = 0
    route: str = DIRECT

    @property
    def next_hop(self) -> Target:
        """The target of the call that follows."""
        return replace(self, hops=self.hops - 1)


def message(call_id: str, target: Target) -> bytes:
    """A request, ready to be written."""
    return (
        f"GET /{CLASS}/{call_id}?hops={target.hops}&way={target.route} HTTP/1.1\r\n"
        f"Host: capacity\r\nX-Call-Id: {call_id}\r\nX-Call-Class: {CLASS}\r\nX-Budget: {BUDGET_MS}m\r\n\r\n"
    ).encode()


def parse(target: bytes) -> Target:
    """Read the target of a request of `message`; any other (a probe, say) has no further hops."""
    _, found, query = target.partition(b"?hops=")
    hops, _, route = query.decode("latin-1").partition("&way=")
    return Target(int(hops), route) if found and hops.isdigit() else Target()
