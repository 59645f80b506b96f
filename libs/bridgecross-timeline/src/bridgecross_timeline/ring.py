"""The bounded memory of the events of one process."""

import collections
import dataclasses

from bridgecross_core import hybrid_clock
from bridgecross_timeline import events


@dataclasses.dataclass(frozen=True)
class RingSettings:
    """How a process remembers its events."""

    # The process's name on the time line.
    process: str
    # How many events it remembers; older ones are forgotten.
    capacity: int = 4_096


class Ring:
    """Remembers the newest events of this process."""

    def __init__(
        self, settings: RingSettings, clock: hybrid_clock.HybridClock
    ) -> None:
        """Remembers nothing yet."""
        self._process = settings.process
        self._events: collections.deque[events.Event] = collections.deque(
            maxlen=settings.capacity
        )
        self.clock = clock

    def add(self, detail: events.Detail) -> None:
        """Remembers an event of this moment."""
        self._events.append(
            events.Event(self.clock.tick(), self._process, detail)
        )

    def list_events(self) -> list[events.Event]:
        """Returns the remembered events, the oldest first."""
        return list(self._events)
