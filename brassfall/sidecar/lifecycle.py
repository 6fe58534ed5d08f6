"""The states of one process, and who may change them."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class State(Enum):
    """Where a process stands between its start and its end."""

    STARTING = "starting"
    SERVING = "serving"
    LAME_DUCK = "lame duck"
    STOPPING = "stopping"


class Impossible(Exception):
    """A change that the present state doesn't allow; its text is one line."""

    action = "wait for the start to end; a process that stops comes back by a new start only"


class Lifecycle:
    """Sole owner of the state; whoever acts on changes is called after each."""

    def __init__(self) -> None:
        self.state = State.STARTING
        self._watchers: list[Callable[[], None]] = []

    def on_change(self, watcher: Callable[[], None]) -> None:
        """Call this after each change from now on."""
        self._watchers.append(watcher)

    @property
    def ready(self) -> bool:
        """Whether clients should be sent here."""
        return self.state is State.SERVING

    @property
    def taking(self) -> bool:
        """Whether clients that come are served, sent here or not."""
        return self.state in (State.SERVING, State.LAME_DUCK)

    @property
    def lame_duck(self) -> bool:
        """Whether clients are being sent away, for a while or for good later."""
        return self.state is State.LAME_DUCK

    def serve(self) -> None:
        """The start is over; a stop that came meanwhile stays."""
        if self.state is State.STARTING:
            self._change(State.SERVING)

    def drain(self) -> None:
        """Send clients away, until `rejoin`."""
        self._allow()
        self._change(State.LAME_DUCK)

    def rejoin(self) -> None:
        """Take clients again."""
        self._allow()
        self._change(State.SERVING)

    def stop(self) -> None:
        """End for good: there is no way back."""
        self._change(State.STOPPING)

    def _allow(self) -> None:
        if not self.taking:
            raise Impossible(f"the process is {self.state.value}")

    def _change(self, state: State) -> None:
        if state is not self.state:
            self.state = state
            for watcher in self._watchers:
                watcher()
