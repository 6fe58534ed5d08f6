"""The reasons why the service grants no lease in the answer to a report, and their texts on the wire."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class RefusalReason(Enum):
    """The kinds of reasons to grant no lease.

    The values are the texts on the wire; the detail of a `LeaseRefusal` replaces `{}`.
    """

    # Reasons that concern one process:
    LEAVING = "it is leaving"
    OVERTAKEN = "a later report of this process came before"
    OBJECTS = "it objects to this edition: {}"
    NOT_ACKNOWLEDGED = "it has not acknowledged the edition that is prepared"
    CHILDREN_LAG = "children of it act on without having acknowledged, for longer than what it granted lasts"
    AHEAD_OF_AGGREGATOR = "it knows later revisions than this aggregator"
    BLOCKED = "{}"  # A part of the service blocks the node, and gives the text
    # Reasons that concern the whole service or an aggregator:
    EARLIER_EPOCH = "what an earlier epoch of the service granted may not be over"
    DISK_BEHIND = "{} sidecars hold later editions: this disk was lost, or is a copy"
    NO_MAJORITY = "only {} sidecars have taken this service's word for long enough"
    AGGREGATOR_UNREADY = "{}"


class LeaseRefusal(NamedTuple):
    """A reason to grant no lease, with the detail that its text contains."""

    reason: RefusalReason
    detail: str = ""

    @property
    def text(self) -> str:
        """The text of the refusal on the wire."""
        return self.reason.value.format(self.detail)


def refusal_text(refusal: LeaseRefusal | None) -> str:
    """Return the text of a refusal on the wire; empty for None, which means that a lease is granted."""
    return refusal.text if refusal is not None else ""
