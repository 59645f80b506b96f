"""A backend server, with this instance's measurements of it."""

import dataclasses
import math
import random
from typing import NamedTuple

from bridgecross_entry import model
from bridgecross_request import fair_share
from bridgecross_request import overload as overload_lib
from bridgecross_request import queueing


class ConcurrencyLimit(NamedTuple):
    """The concurrent requests that an instance may have at a service."""

    requests: int
    # How many of them may be requests whose answers will be late.
    late: float


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSettings:
    """Parameters for rating servers and limiting the requests to them."""

    # The part of the platform's drain bound during which a server that has left
    # the list may still be used. The rest allows for the age of the list, which
    # is read every 0.7 s.
    drain_use_ratio: float = 0.4
    # The same, counted from when the list was last known not to show the server
    # as leaving. After a change of the leader the list may be 1.6 s old.
    drain_age_ratio: float = 0.75
    # How long entries that expired while the log was unavailable may take to
    # return. The platform promises about two seconds.
    lapse_grace_s: float = 2.0
    # The weight of the newest observation in moving averages: about the last
    # twenty requests count, which take 4 s at 5 requests/s per server.
    smoothing_ratio: float = 0.05
    # With a failure ratio of 1.0 a server's cost is this many times higher.
    # With 20, a server that fails a third of its requests gets less than a
    # tenth of the traffic of a healthy one.
    failure_penalty: float = 20.0
    # The first pause after a server could not be reached. The pause doubles
    # with each failure.
    first_pause_s: float = 0.1
    # The maximum pause. A server that is available again is noticed within it.
    longest_pause_s: float = 1.0
    # The relative increase of the cost of a server in another failure domain.
    # Bytes between domains are charged, so a server in the same domain is
    # preferred until it is nearly twice as busy.
    remote_domain_penalty_ratio: float = 0.7
    # The assumed latency before the first answer.
    first_guess_s: float = 0.1
    # How many times its even share of the slots an instance may use, since
    # callers are distributed unevenly over instances. Requests beyond that wait
    # here, where they are ordered by priority; servers queue in order of
    # arrival.
    max_share_ratio: float = 2.2
    # The additional requests that an instance may have at a service without
    # keys. Where its share is less than a few slots, callers come in groups.
    extra_requests_count: int = 2
    # The part of its even share of the slots that requests may use whose
    # answers will be late in any case, so that they do not fill the servers
    # when other requests arrive that can still be answered in time.
    late_share_ratio: float = 1.2
    # The minimum of that part, in slots. Among 78 instances this part of an
    # even share of a server's four slots is 0.04. Most instances have no
    # request there at a time, and one that has would wait for 24 answers' time.
    late_slots_min: float = 0.3
    # The minimum number of requests that an instance may have at a server. With
    # one, two callers of the same instance would wait for each other.
    min_concurrency_count: int = 2
    # When a server rejects a request for overload, the number of requests that
    # this instance may have there at a time is multiplied by this ratio, at
    # most once in the pause below. Each answer restores part of a request. With
    # 11 instances and 9 answers/s each, one more request is allowed again
    # after 2 s.
    shrink_ratio: float = 0.7
    shrink_pause_s: float = 0.15
    # When a server rejects the only request of this instance, it is paused,
    # each time for twice as long; an answer shortens the pause. 80 instances
    # that share 20 requests/s send one every 4 s each.
    shed_pause_first_s: float = 0.05
    shed_pause_max_s: float = 4.0
    shed_pause_shrink_ratio: float = 0.6
    grow_per_answer: float = 0.05
    # The time constant with which the pace that a server reported loses its
    # weight: after this time a third is left. The other load on its machine
    # changes several times a second.
    pace_decay_s: float = 0.3
    # A service whose servers have at most this many slots on average has few
    # slots. Requests there wait at a low utilization already, a slow one takes
    # half of a server's capacity, and opening a connection holds a slot.
    few_slots_count: int = 2
    # How the queues of services with few slots order waiting requests.
    overload: overload_lib.OverloadSettings = dataclasses.field(
        default_factory=overload_lib.OverloadSettings
    )
    # Which callers go after others in these queues.
    shares: fair_share.ShareSettings = dataclasses.field(
        default_factory=fair_share.ShareSettings
    )
    # The assumed number of instances until a coordinator has reported it: users
    # run 8 to 11.
    first_instance_count: int = 8


class Server:
    """A backend server as this instance sees it."""

    def __init__(
        self,
        listed: model.BackendServer,
        queue: queueing.TierQueue,
        settings: ServerSettings,
        now_s: float,
    ) -> None:
        """Initializes a server of which only the list entry is known."""
        self.listed = listed
        self.queue = queue
        self.latency_s = settings.first_guess_s
        self.failure_ratio = 0.0
        self.joined_s = now_s
        # When it was first known to be leaving or missing from the list.
        self.leaving_since_s: float | None = None
        # When the list was last known to show it as staying.
        self.last_known_staying_s: float | None = None
        # Whether it is missing from the list.
        self.unlisted = False
        # Whether its run has certainly ended.
        self.ended = False
        self.paused_until_s = 0.0
        # Until when it counts as cold, and the length of its warm-up after a
        # start.
        self.cold_until_s = float("-inf")
        self.warmup_s = 0.0
        # The number of concurrent requests that this instance may have at the
        # server, and the maximum of that number.
        self._concurrency = float(queue.settings.slots)
        self._concurrency_max = float(queue.settings.slots)
        self._shrunk_s = float("-inf")
        self._shed_pause_s = 0.0
        # The duration of requests relative to the usual one: as the server last
        # reported it and when, and on average.
        self._pace_ratio = 1.0
        self._paced_s = float("-inf")
        self._mean_pace_ratio = 1.0
        self._pause_s = settings.first_pause_s
        self._settings = settings

    def note_answer(self, latency_s: float, *, failed: bool) -> None:
        """Updates the averages with an answer."""
        ratio = self._settings.smoothing_ratio
        if not failed:
            self.latency_s += ratio * (latency_s - self.latency_s)
        target = 1.0 if failed else 0.0
        self.failure_ratio += 2 * ratio * (target - self.failure_ratio)
        self._pause_s = self._settings.first_pause_s

    def note_pace(self, pace_ratio: float, now_s: float) -> None:
        """Records the duration of requests that the server reported."""
        ratio = self._settings.smoothing_ratio
        self._mean_pace_ratio += ratio * (pace_ratio - self._mean_pace_ratio)
        self._pace_ratio = pace_ratio
        self._paced_s = now_s

    def _pace_factor(self, now_s: float) -> float:
        """Returns the expected duration of a request relative to the mean."""
        age_s = now_s - self._paced_s
        weight = math.exp(-age_s / self._settings.pace_decay_s)
        return 1.0 + weight * (self._pace_ratio / self._mean_pace_ratio - 1.0)

    def resize(self, settings: queueing.QueueSettings) -> None:
        """Sets the maximum number of requests of this instance."""
        was_full = self._concurrency >= self._concurrency_max
        self._concurrency_max = float(settings.slots)
        self.queue.settings = dataclasses.replace(
            self.queue.settings,
            late_slots=settings.late_slots,
            overload=settings.overload,
        )
        if was_full or self._concurrency > self._concurrency_max:
            self._set_concurrency(self._concurrency_max)

    def raise_concurrency(self) -> None:
        """Allows a part of one more request at a time after an answer."""
        self._shed_pause_s *= self._settings.shed_pause_shrink_ratio
        if self._concurrency < self._concurrency_max:
            grown = self._concurrency + self._settings.grow_per_answer
            self._set_concurrency(min(grown, self._concurrency_max))

    def lower_concurrency(self, now_s: float) -> None:
        """Allows fewer requests at a time after a server rejected one."""
        if now_s - self._shrunk_s < self._settings.shrink_pause_s:
            return
        self._shrunk_s = now_s
        if self._concurrency <= 1.0:
            self._pause_shedding(now_s)
        self._set_concurrency(
            max(self._concurrency * self._settings.shrink_ratio, 1.0)
        )

    def _pause_shedding(self, now_s: float) -> None:
        """Pauses a server that rejects even a single request.

        With many instances, one request of each is already more than it can
        process.
        """
        settings = self._settings
        longer_s = max(2 * self._shed_pause_s, settings.shed_pause_first_s)
        self._shed_pause_s = min(longer_s, settings.shed_pause_max_s)
        spread = random.uniform(0.5, 1.5)
        until_s = now_s + spread * self._shed_pause_s
        self.paused_until_s = max(self.paused_until_s, until_s)

    def _set_concurrency(self, concurrency: float) -> None:
        """Sets how many requests are allowed; the queue gets whole ones."""
        self._concurrency = concurrency
        if int(concurrency) != self.queue.settings.slots:
            self.queue.settings = dataclasses.replace(
                self.queue.settings, slots=int(concurrency)
            )

    def note_unreachable(self, now_s: float) -> None:
        """Records a failed connection, and pauses the server."""
        self.note_interrupted()
        self.paused_until_s = now_s + self._pause_s
        self._pause_s = min(2 * self._pause_s, self._settings.longest_pause_s)

    def note_refused(self, now_s: float) -> None:
        """Records a refused connection, and pauses the server.

        Most likely its run has ended. But a server that is stopping also
        refuses connections while it finishes its last requests, and a network
        link may do so as well.
        """
        self.note_interrupted()
        self._pause_s = self._settings.longest_pause_s
        self.paused_until_s = now_s + self._pause_s
        # A server that answers there next has just started.
        self.mark_cold(now_s + self.warmup_s)

    def mark_cold(self, until_s: float) -> None:
        """Treats the server as cold at least until a time."""
        self.cold_until_s = max(self.cold_until_s, until_s)

    def note_interrupted(self) -> None:
        """Records an attempt without a complete answer."""
        ratio = self._settings.smoothing_ratio
        self.failure_ratio += 2 * ratio * (1.0 - self.failure_ratio)

    def cost_s(self, domain: str, now_s: float) -> float:
        """Returns the estimated duration of a request sent here now."""
        waiting = self.queue.busy + self.queue.waiting.total()
        cost_s = self.latency_s * (1.0 + waiting) * self._pace_factor(now_s)
        cost_s *= 1.0 + self._settings.failure_penalty * self.failure_ratio
        if self.listed.failure_domain != domain:
            cost_s *= 1.0 + self._settings.remote_domain_penalty_ratio
        warm_in_s = self.joined_s + self.listed.warmup_left_ms / 1_000 - now_s
        if warm_in_s > 0:
            cost_s *= 2.0
        return cost_s
