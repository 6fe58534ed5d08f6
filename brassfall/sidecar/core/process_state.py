"""The states of the process, and the transitions between them."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class ProcessState(Enum):
    """The state of the process; the value is the text for operators."""

    STARTING = "starting"
    SERVING = "serving"
    LAME_DUCK = "lame duck"
    STOPPING = "stopping"


class InvalidTransitionError(Exception):
    """A transition that the state of the process does not allow; its text is one line.

    `state` is the state that the process is in.
    """

    action = "wait for the end of startup; after a stop, start a new process"

    def __init__(self, state: ProcessState) -> None:
        super().__init__(f"the process is {state.value}")
        self.state = state


class ProcessLifecycle:
    """The owner of the state, which calls its listeners after each change."""

    def __init__(self) -> None:
        """Begin in `STARTING`."""
        self.state = ProcessState.STARTING
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each change from now on."""
        self._listeners.append(listener)

    @property
    def ready(self) -> bool:
        """True if clients should be sent to this process."""
        return self.state is ProcessState.SERVING

    @property
    def accepting(self) -> bool:
        """True if new clients are served, in lame duck too."""
        return self.state in (ProcessState.SERVING, ProcessState.LAME_DUCK)

    @property
    def lame_duck(self) -> bool:
        """True if the process is draining, until `rejoin` or `stop`."""
        return self.state is ProcessState.LAME_DUCK

    def serve(self) -> None:
        """End the startup; without effect after a `stop`."""
        if self.state is ProcessState.STARTING:
            self._change(ProcessState.SERVING)

    def drain(self) -> None:
        """Drain until `rejoin`; raises `InvalidTransitionError` unless clients are served."""
        self.check_accepting()
        self._change(ProcessState.LAME_DUCK)

    def rejoin(self) -> None:
        """End the drain; raises `InvalidTransitionError` unless clients are served."""
        self.check_accepting()
        self._change(ProcessState.SERVING)

    def stop(self) -> None:
        """Begin the shutdown, which can't be reversed."""
        self._change(ProcessState.STOPPING)

    def check_accepting(self) -> None:
        """Raise `InvalidTransitionError` unless new clients are served."""
        if not self.accepting:
            raise InvalidTransitionError(self.state)

    def _change(self, state: ProcessState) -> None:
        if state is not self.state:
            self.state = state
            for listener in self._listeners:
                listener()
