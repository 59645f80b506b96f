"""A ring buffer of the newest events of one process."""

import collections
import dataclasses

from bridgecross_core import hybrid_clock
from bridgecross_timeline import events


@dataclasses.dataclass(frozen=True)
class RingSettings:
    """Settings of a ring buffer."""

    # The process's name on the timeline.
    process: str
    # The number of events that are kept; older ones are dropped.
    capacity: int = 4_096


class Ring:
    """Keeps the newest events of this process."""

    def __init__(
        self, settings: RingSettings, clock: hybrid_clock.HybridClock
    ) -> None:
        """Starts without events.

        Args:
            settings: The name of the process and the buffer's capacity.
            clock: The clock that stamps the events.
        """
        self._process = settings.process
        self._events: collections.deque[events.Event] = collections.deque(
            maxlen=settings.capacity
        )
        self.clock = clock

    def add(self, detail: events.Detail) -> None:
        """Adds an event with the current time."""
        self._events.append(
            events.Event(self.clock.tick(), self._process, detail)
        )

    def list_events(self) -> list[events.Event]:
        """Returns the events that are kept, oldest first."""
        return list(self._events)
