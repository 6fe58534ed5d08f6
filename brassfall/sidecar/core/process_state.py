"""The states of the sidecar's process and the transitions between them."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class ProcessState(Enum):
    """The state of the sidecar's process; the enum value is the text shown to operators."""

    STARTING = "starting"
    SERVING = "serving"
    LAME_DUCK = "lame duck"
    STOPPING = "stopping"


class InvalidTransitionError(Exception):
    """A state transition that the current state of the process does not allow; its text is one line.

    `state` is the current state of the process.
    """

    action = "wait until startup has ended; if the process is stopping, start a new process"

    def __init__(self, state: ProcessState) -> None:
        super().__init__(f"the process is {state.value}")
        self.state = state


class ProcessLifecycle:
    """The current state of the process, with listeners that are called after each state change."""

    def __init__(self) -> None:
        """Create the lifecycle in state `STARTING`."""
        self.state = ProcessState.STARTING
        self._listeners: list[Callable[[], None]] = []

    def on_change(self, listener: Callable[[], None]) -> None:
        """Register a listener that is called after each later state change."""
        self._listeners.append(listener)

    @property
    def ready(self) -> bool:
        """True if new clients should be routed to this process (state `SERVING`)."""
        return self.state is ProcessState.SERVING

    @property
    def accepting(self) -> bool:
        """True if the process serves new clients (states `SERVING` and `LAME_DUCK`)."""
        return self.state in (ProcessState.SERVING, ProcessState.LAME_DUCK)

    @property
    def lame_duck(self) -> bool:
        """True if an operator has put the process into state `LAME_DUCK`, in which it drains."""
        return self.state is ProcessState.LAME_DUCK

    def serve(self) -> None:
        """Change from `STARTING` to `SERVING`; do nothing in any other state, such as after a `stop`."""
        if self.state is ProcessState.STARTING:
            self._change(ProcessState.SERVING)

    def drain(self) -> None:
        """Change to `LAME_DUCK`, which lasts until `rejoin` or `stop`.

        Raise `InvalidTransitionError` if the process is starting or stopping.
        """
        self.check_accepting()
        self._change(ProcessState.LAME_DUCK)

    def rejoin(self) -> None:
        """Change from `LAME_DUCK` back to `SERVING`.

        Raise `InvalidTransitionError` if the process is starting or stopping.
        """
        self.check_accepting()
        self._change(ProcessState.SERVING)

    def stop(self) -> None:
        """Change to `STOPPING`; no transition leads out of this state."""
        self._change(ProcessState.STOPPING)

    def check_accepting(self) -> None:
        """Raise `InvalidTransitionError` if the process does not serve new clients."""
        if not self.accepting:
            raise InvalidTransitionError(self.state)

    def _change(self, state: ProcessState) -> None:
        if state is not self.state:
            self.state = state
            for listener in self._listeners:
                listener()
