"""Admission to services whose requests may go to any of their servers.

One queue a service at each instance, rather than one a server: whichever server
has room next takes the first in the order, and the instance as a whole keeps to
its share of the service. Servers queue in order of arrival, so a surge that is
let through to them makes everyone late; here it is put in order.
"""

import dataclasses

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_entry import servers as servers_lib
from bridgecross_request import queueing


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """How the queues follow the list of servers."""

    # How long a count of the servers' slots is used. Servers come and go once
    # in seconds; counting 49 takes 7 us.
    recount_interval_s: float = 0.25


@dataclasses.dataclass(slots=True)
class _Entry:
    """A queue and when its room was last counted."""

    queue: queueing.TierQueue
    counted_s: float


class ServiceQueues:
    """The queues of services without keys."""

    def __init__(
        self,
        settings: AdmissionSettings,
        book: servers_lib.ServerRegistry,
        clock: clocks.Clock,
    ) -> None:
        """Has no queue yet."""
        self._settings = settings
        self._book = book
        self._clock = clock
        self._entries: dict[ids.ServiceName, _Entry] = {}

    def get(self, service: ids.ServiceName) -> queueing.TierQueue:
        """Returns the queue of a service, with room as of now."""
        now_s = self._clock.monotonic_s()
        entry = self._entries.get(service)
        if entry is None:
            queue = queueing.TierQueue(self._count(service), self._clock)
            entry = self._entries[service] = _Entry(queue, now_s)
        elif now_s - entry.counted_s > self._settings.recount_interval_s:
            entry.queue.settings = self._count(service)
            entry.counted_s = now_s
        return entry.queue

    def _count(self, service: ids.ServiceName) -> queueing.QueueSettings:
        """Returns the room that there is at a service."""
        room = self._book.room_count(service)
        return queueing.QueueSettings(
            room.room,
            starvation_share_ratio=0.0,
            late_slots=room.late,
            first_guess_s=self._book.settings.first_guess_s,
        )
