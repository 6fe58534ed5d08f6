"""The ledger of a play: every attempt at every server, every answer at every client, row by row.

Each kind of row has a file of JSON lines, so that an interrupted play leaves what happened until then.
Times are ms from the start of the play, on one clock. No row comes from a sidecar itself.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator
from pathlib import Path
from typing import IO, TypeVar

import msgspec

FLUSH_ROWS = 4096


def ms(value: float) -> float:
    """A time in ms as it is written, in whole microseconds; `round` takes four times as long."""
    return int(value * 1000.0 + 0.5) / 1000.0 if value >= 0.0 else value


class Row(msgspec.Struct, omit_defaults=True, gc=False):
    """One line."""


class Answer(Row):
    """One call of a request, as its client saw it."""

    id: str
    cls: str
    sidecar: str
    first: str  # the id of the request's first call
    hop: int  # which call of the request it is, from 0
    due: float  # when the request was due: latency counts from here
    sent: float
    budget: float
    end: float
    status: str
    key: str = ""
    by: str = ""  # the server that the answer names
    of: str = ""  # the request that the answer names
    excused: bool = False  # its sidecar was killed or away


class Attempt(Row):
    """One attempt, as its server saw it."""

    id: str
    server: str
    incarnation: int = msgspec.field(name="life")
    sent: float  # when its first byte came onto the network
    at: float  # when its last byte was there
    end: float
    outcome: str  # ok, error, full, draining, lost (its server died), unfinished
    cls: str
    key: str = ""
    work: float = 0.0
    cross: bool = False  # between zones

    @property
    def ran(self) -> bool:
        """Whether its server worked on it."""
        return self.outcome not in ("full", "draining")


class ListEvent(Row):
    """A sidecar was notified of a change in the list."""

    sidecar: str
    server: str
    incarnation: int = msgspec.field(name="life")
    state: str
    at: float


class Incarnation(Row):
    """One incarnation of one server."""

    server: str
    incarnation: int = msgspec.field(name="life")
    begun: float
    capacity: float  # ms of work in a ms, when warm
    warmup_start: float = msgspec.field(name="cold_from", default=1.0)
    warmup_ms: float = msgspec.field(name="cold_ms", default=0.0)
    end: float = -1.0
    why: str = ""


class Event(Row):
    """A fault, as it was carried out."""

    kind: str
    at: float
    until: float
    targets: list[str] = []


class Age(Row):
    """How old the lists of the sidecars were, at one moment."""

    at: float
    median: float
    most: float
    wrong: float  # mean part of the entries that were wrong


KINDS: dict[str, type[Row]] = {
    "answers": Answer,
    "attempts": Attempt,
    "news": ListEvent,
    "lives": Incarnation,
    "events": Event,
    "ages": Age,
}
NAMES = {kind: name for name, kind in KINDS.items()}
R = TypeVar("R", bound=Row)


class LedgerWriter:
    """Writes the rows of one play into a folder; unbuffered, each row is written at once."""

    def __init__(
        self, folder: Path, *, buffered: bool = True, kinds: Collection[type[Row]] = tuple(KINDS.values())
    ) -> None:
        folder.mkdir(parents=True, exist_ok=True)
        self._most = FLUSH_ROWS if buffered else 1
        self._files: dict[type, IO[bytes]] = {
            kind: open(folder / f"{NAMES[kind]}.jsonl", "wb")  # noqa: SIM115 (closed by `close`)
            for kind in kinds
        }
        self._rows: dict[type, list[Row]] = {kind: [] for kind in self._files}
        self._encode = msgspec.json.Encoder().encode_lines

    def add(self, row: Row) -> None:
        """Add one row."""
        kind = type(row)
        rows = self._rows[kind]
        rows.append(row)
        if len(rows) >= self._most:
            self._flush(kind)

    def _flush(self, kind: type) -> None:
        self._files[kind].write(self._encode(self._rows[kind]))
        self._files[kind].flush()
        self._rows[kind].clear()

    def flush(self) -> None:
        """Write all rows to their files."""
        for kind in self._files:
            self._flush(kind)

    def close(self) -> None:
        """Write all rows, and close the files."""
        self.flush()
        for file in self._files.values():
            file.close()


def read(folder: Path, kind: type[R]) -> Iterator[R]:
    """The rows of one kind; of an interrupted play, all complete ones."""
    path = folder / f"{NAMES[kind]}.jsonl"
    if not path.exists():
        return
    decode = msgspec.json.Decoder(kind).decode
    with open(path, "rb") as file:
        for line in file:
            if line.endswith(b"\n"):
                yield decode(line)
