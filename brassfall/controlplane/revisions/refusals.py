"""Why a report gets no lease: typed reasons, and their texts on the wire."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple


class RefusalReason(Enum):
    """A reason to grant no lease. The values are the texts on the wire; `{}` stands for the detail."""

    # Of one process.
    LEAVING = "it is leaving"
    OVERTAKEN = "a later report of this process came before"
    OBJECTS = "it objects to this edition: {}"
    NOT_ACKNOWLEDGED = "it has not acknowledged the edition that is prepared"
    CHILDREN_LAG = "children of it act on without having acknowledged, for longer than what it granted lasts"
    AHEAD_OF_AGGREGATOR = "it knows later revisions than this aggregator"
    BLOCKED = "{}"  # by a part of the service, which gives the text
    # Of the whole service, or of an aggregator.
    EARLIER_EPOCH = "what an earlier epoch of the service granted may not be over"
    DISK_BEHIND = "{} sidecars hold later editions: this disk was lost, or is a copy"
    NO_MAJORITY = "only {} sidecars have taken this service's word for long enough"
    AGGREGATOR_UNREADY = "{}"


class LeaseRefusal(NamedTuple):
    """A reason with its detail."""

    reason: RefusalReason
    detail: str = ""

    @property
    def text(self) -> str:
        """The text on the wire."""
        return self.reason.value.format(self.detail)


def refusal_text(refusal: LeaseRefusal | None) -> str:
    """Return the text on the wire; empty if a lease is granted."""
    return refusal.text if refusal is not None else ""
