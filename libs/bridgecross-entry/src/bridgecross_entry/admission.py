"""Admission control for services whose requests may go to any server.

Each instance has one queue per service instead of one per server: the next
server with a free slot takes the first request in the queue's order, and the
instance as a whole stays within its share of the service. Servers queue in
order of arrival, so a surge that reaches them delays all requests; here it is
put in order of priority.
"""

import dataclasses

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_entry import server_registry
from bridgecross_request import queueing


@dataclasses.dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Settings for how the queues follow the list of servers."""

    # How long a count of the servers' slots is reused. Servers join and leave
    # every few seconds; counting 49 of them takes 7 us.
    recount_interval_s: float = 0.25


@dataclasses.dataclass(slots=True)
class _CountedQueue:
    """A queue and when its number of slots was last computed."""

    queue: queueing.TierQueue
    counted_s: float


class ServiceQueues:
    """The queues of services without keys."""

    def __init__(
        self,
        settings: AdmissionSettings,
        registry: server_registry.ServerRegistry,
        clock: clocks.Clock,
    ) -> None:
        """Starts without queues."""
        self._settings = settings
        self._registry = registry
        self._clock = clock
        self._queues: dict[ids.ServiceName, _CountedQueue] = {}

    def get(self, service: ids.ServiceName) -> queueing.TierQueue:
        """Returns the queue of a service with an up-to-date size."""
        now_s = self._clock.monotonic_s()
        counted = self._queues.get(service)
        if counted is None:
            queue = queueing.TierQueue(
                self._count_slots(service),
                self._clock,
                self._registry.get_shares(service),
            )
            counted = self._queues[service] = _CountedQueue(queue, now_s)
        elif now_s - counted.counted_s > self._settings.recount_interval_s:
            counted.queue.settings = self._count_slots(service)
            counted.counted_s = now_s
        return counted.queue

    def _count_slots(self, service: ids.ServiceName) -> queueing.QueueSettings:
        """Returns queue settings for the slots that a service has now."""
        limit = self._registry.concurrency_limit(service)
        return queueing.QueueSettings(
            limit.requests,
            starvation_share_ratio=0.0,
            late_slots=limit.late,
            first_guess_s=self._registry.settings.first_guess_s,
            overload=self._registry.find_overload(service),
        )
