"""The backend servers, with this instance's measurements of each.

A server that disappears from the platform's list without notice may be
stopping, or its entry may have expired while the log was unavailable. It is
kept for a short time as a last resort.
"""

import collections
from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import math
import random
from typing import NamedTuple

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_core import notifier
from bridgecross_entry import evacuations as evacuations_lib
from bridgecross_entry import journal as journals
from bridgecross_entry import model
from bridgecross_entry import notices as notices_lib
from bridgecross_request import fair_share
from bridgecross_request import overload as overload_lib
from bridgecross_request import queueing

_LAST_RUNS_MAX_COUNT = 10_000
"""The maximum number of names whose last run is remembered. 180 servers are
replaced on an ordinary day, and a removed one has left the key maps long before
it is forgotten."""


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


class ServerRegistry:
    """The backend servers that this instance knows."""

    def __init__(
        self,
        settings: ServerSettings,
        bounds: model.Bounds,
        journal: journals.Journal,
        clock: clocks.Clock,
    ) -> None:
        """Initializes an empty registry."""
        self.settings = settings
        self.changed = notifier.Notifier()
        # Called with each run that has certainly ended.
        self.on_run_ended: Callable[[ids.ServerId], None] = lambda _: None
        # When the list was last known to be the newest, before the update that
        # is being applied.
        self.previous_list_as_of_s: float | None = None
        # The evacuated failure domains.
        self.evacuations = evacuations_lib.Evacuations(
            evacuations_lib.EvacuationSettings(), bounds, journal, clock
        )
        # What servers report about themselves.
        self.notices = notices_lib.Notices(
            notices_lib.NoticeSettings(),
            bounds,
            journal,
            clock,
            self.changed.notify,
        )
        # The settings of each service.
        self._services: Mapping[ids.ServiceName, model.Service] = {}
        self._instance_count = settings.first_instance_count
        self.bounds = bounds
        self._journal = journal
        self._clock = clock
        self._servers: dict[ids.ServerId, Server] = {}
        # The runs that have certainly ended; they never return.
        self._ended: set[ids.ServerId] = set()
        # The last listed run of each server, by server name.
        self._last_runs: dict[str, model.BackendServer] = {}
        self._by_service: dict[ids.ServiceName, dict[ids.ServerId, Server]] = {}
        # The slots of the known servers of each service, and how its queues
        # work in overload.
        self._slot_counts: collections.Counter[ids.ServiceName]
        self._slot_counts = collections.Counter()
        self._overloads: dict[
            ids.ServiceName, overload_lib.OverloadSettings | None
        ] = {}
        self._shares: dict[ids.ServiceName, fair_share.CallerShares] = {}

    def get(self, server_id: ids.ServerId) -> Server | None:
        """Returns a known server that may be running."""
        return self._servers.get(server_id)

    def known_ids(self) -> Container[ids.ServerId]:
        """Returns the ids of the servers that may be running."""
        return self._servers.keys()

    def has_ended(self, server_id: ids.ServerId) -> bool:
        """Whether a run has certainly ended; an unknown run may be running.

        A later start of the same server also proves that a run has ended.
        """
        is_latest = self.latest_run(server_id) == server_id
        return server_id in self._ended or not is_latest

    def latest_run(self, server_id: ids.ServerId) -> ids.ServerId:
        """Returns the newest known run of a run's server.

        The given run need not be known: it may come from a key map that another
        instance wrote.
        """
        name, started_ms = model.split_run(server_id)
        latest = self._last_runs.get(name)
        if latest is None or latest.started_ms is None:
            return server_id
        if started_ms is not None and latest.started_ms <= started_ms:
            return server_id
        return latest.server_id

    def all(self) -> Iterable[Server]:
        """Returns all known servers."""
        return self._servers.values()

    def of_service(self, service: ids.ServiceName) -> Iterable[Server]:
        """Returns the known servers of a service."""
        return self._by_service.get(service, {}).values()

    @property
    def limited_count(self) -> int:
        """The number of known servers that limit the requests to them."""
        return sum(map(self.notices.limits.is_limited, self._servers))

    def domains_of(self, service: ids.ServiceName) -> set[str]:
        """Returns the failure domains of a service's staying servers."""
        now_s = self._clock.monotonic_s()
        return {
            server.listed.failure_domain
            for server in self.of_service(service)
            if self.is_staying(server, now_s)
        }

    def concurrency_limit(self, service: ids.ServiceName) -> ConcurrencyLimit:
        """Returns how many concurrent requests may be at a service."""
        now_s = self._clock.monotonic_s()
        slots = sum(
            server.listed.slots
            for server in self.of_service(service)
            if self.is_staying(server, now_s)
        )
        share = slots / self._instance_count
        settings = self.settings
        requests = math.ceil(
            settings.max_share_ratio * share + settings.extra_requests_count
        )
        return ConcurrencyLimit(requests, self._late_slots(share))

    def slot_share(self, service: ids.ServiceName) -> float:
        """Returns this instance's even share of the slots of a server.

        Infinite if no server is known.
        """
        now_s = self._clock.monotonic_s()
        slots = [
            server.listed.slots
            for server in self.of_service(service)
            if self.is_staying(server, now_s)
        ]
        if not slots:
            return math.inf
        return sum(slots) / len(slots) / self._instance_count

    def has_few_slots(self, service: ids.ServiceName) -> bool:
        """Whether the servers of a service have few slots on average."""
        server_count = len(self._by_service.get(service, ()))
        slots_max = self.settings.few_slots_count * server_count
        return server_count > 0 and self._slot_counts[service] <= slots_max

    def find_overload(
        self, service: ids.ServiceName
    ) -> overload_lib.OverloadSettings | None:
        """Returns how queues of a service work in overload.

        None if its servers have enough slots for a simpler order.
        """
        return self.settings.overload if self.has_few_slots(service) else None

    def get_shares(self, service: ids.ServiceName) -> fair_share.CallerShares:
        """Returns the counts of callers for this instance's own queues."""
        shares = self._shares.get(service)
        if shares is None:
            shares = fair_share.CallerShares(self.settings.shares, self._clock)
            self._shares[service] = shares
        return shares

    def _late_slots(self, share: float) -> float:
        """Returns the slots for late requests, given the even share."""
        settings = self.settings
        return max(settings.late_share_ratio * share, settings.late_slots_min)

    def put(self, listed: model.BackendServer) -> None:
        """Applies a list entry."""
        if listed.server_id in self._ended:
            return
        self._last_runs[listed.name] = listed
        known = self._servers.get(listed.server_id)
        if known is None:
            self._add(listed)
            return
        returned = known.unlisted
        known.unlisted = False
        if known.listed == listed and not returned:
            return
        if known.listed.service != listed.service:
            self._forget(listed.server_id, "its service changed")
            self._add(listed)
            return
        self._slot_counts[listed.service] += listed.slots - known.listed.slots
        known.listed = listed
        self._update_overload(listed.service)
        self._note_warmup(known)
        if listed.leaving:
            self._note_leaving(known, "it announced that it is leaving")
        elif returned:
            known.leaving_since_s = None
            known.last_known_staying_s = None
            self._journal.decision("server_returned", server=listed.server_id)
        self.changed.notify()

    def remove(
        self, server_id: ids.ServerId, *, log_was_unavailable: bool
    ) -> None:
        """Records that a server is missing from the list.

        Args:
            server_id: The server.
            log_was_unavailable: Whether its entry may have expired only because
                the log was unavailable; it then gets time to return.
        """
        known = self._servers.get(server_id)
        if known is None or known.unlisted:
            return
        known.unlisted = True
        if log_was_unavailable and known.leaving_since_s is None:
            self._journal.decision("server_lapsed", server=server_id)
            known.leaving_since_s = (
                self._clock.monotonic_s() + self.settings.lapse_grace_s
            )
            return
        self._note_leaving(known, "it was removed from the list")
        self.changed.notify()

    def replace_all(
        self,
        listed: Iterable[model.BackendServer],
        *,
        log_was_unavailable: bool,
    ) -> None:
        """Replaces the whole list."""
        listed = list(listed)
        present = {server.server_id for server in listed}
        for server_id in list(self._servers):
            if server_id not in present:
                self.remove(server_id, log_was_unavailable=log_was_unavailable)
        for server in listed:
            self.put(server)

    def note_maybe_restarted(self, server_id: ids.ServerId) -> None:
        """Treats a server as cold that may have restarted unnoticed."""
        server = self._servers.get(server_id)
        if server is not None:
            server.mark_cold(self._clock.monotonic_s() + server.warmup_s)

    def end(self, server_id: ids.ServerId, reason: str) -> None:
        """Records that the run of a server has certainly ended."""
        self._ended.add(server_id)
        self._forget(server_id, reason)
        self.on_run_ended(server_id)

    def _forget(self, server_id: ids.ServerId, reason: str) -> None:
        """Removes a server."""
        known = self._servers.pop(server_id, None)
        if known is None:
            return
        known.ended = True
        del self._by_service[known.listed.service][server_id]
        self._slot_counts[known.listed.service] -= known.listed.slots
        self._update_overload(known.listed.service)
        self._journal.decision(
            "server_ended",
            server=server_id,
            service=known.listed.service,
            reason=reason,
        )
        self.changed.notify()

    def configure(
        self, services: Mapping[ids.ServiceName, model.Service]
    ) -> None:
        """Applies the settings of the services."""
        self._services = services
        for server in self._servers.values():
            self._set_warmup(server)

    def _set_warmup(self, server: Server) -> None:
        """Sets the length of a server's warm-up after a start."""
        service = self._services.get(server.listed.service)
        server.warmup_s = service.warmup_ms / 1_000 if service else 0.0

    def _note_warmup(self, server: Server) -> None:
        """Applies the remaining warm-up time that a server reports."""
        left_s = server.listed.warmup_left_ms / 1_000
        if left_s > 0:
            server.mark_cold(self._clock.monotonic_s() + left_s)

    def service_of(self, server: Server) -> model.Service | None:
        """Returns the settings of a server's service."""
        return self._services.get(server.listed.service)

    def cold_rate_per_s(self, server: Server) -> float | None:
        """Returns the requests per second that a cold server handles.

        None if the server is not cold or its warm-up rate is unlimited.
        """
        if self._clock.monotonic_s() >= server.cold_until_s:
            return None
        service = self._services.get(server.listed.service)
        return service.warmup_rate_per_s if service else None

    def is_cold(self, server: Server) -> bool:
        """Whether a server must be treated as cold, with a limited rate."""
        return self.cold_rate_per_s(server) is not None

    def drop_stale(self) -> None:
        """Forgets servers that have been missing from the list for long.

        By then any lease that they were granted has expired.
        """
        now_s = self._clock.monotonic_s()
        keep_s = (self.bounds.drain_ms + self.bounds.lease_max_ms) / 1_000
        if len(self._last_runs) > _LAST_RUNS_MAX_COUNT:
            self._last_runs = {
                server.listed.name: server.listed
                for server in self._servers.values()
            }
        for server_id, server in list(self._servers.items()):
            since_s = server.leaving_since_s
            if not server.unlisted or since_s is None:
                continue
            if now_s > since_s + keep_s:
                self._forget(
                    server_id, "it has been missing from the list for long"
                )

    def may_use(self, server: Server, now_s: float) -> bool:
        """Whether new requests of any kind may be sent to a server."""
        since_s = server.leaving_since_s
        domain = server.listed.failure_domain
        if server.ended or not self.evacuations.may_serve_keys(domain, now_s):
            return False
        if self.notices.is_past_drain_limit(server.listed.server_id, now_s):
            return False
        if since_s is None:
            return True
        drain_s = self.bounds.drain_ms / 1_000
        until_s = since_s + drain_s * self.settings.drain_use_ratio
        if server.last_known_staying_s is not None:
            age_s = drain_s * self.settings.drain_age_ratio
            until_s = min(until_s, server.last_known_staying_s + age_s)
        return now_s < until_s

    def may_use_without_key(self, server: Server, now_s: float) -> bool:
        """Whether requests that other servers can also process may be sent."""
        domain = server.listed.failure_domain
        return self.may_use(server, now_s) and (
            not self.evacuations.is_evacuated(domain)
        )

    def is_staying(self, server: Server, now_s: float) -> bool:
        """Whether a server is expected to stay."""
        since_s = server.leaving_since_s
        if server.ended or (since_s is not None and since_s <= now_s):
            return False
        if self.notices.is_leaving(server.listed.server_id):
            return False
        domain = server.listed.failure_domain
        return not self.evacuations.is_evacuated(domain)

    def evacuate(
        self,
        changes: Iterable[evacuations_lib.EvacuationChange],
        last_known_s: float | None,
    ) -> None:
        """Applies starts and ends of evacuations.

        Args:
            changes: The changes by the operator, in order.
            last_known_s: When the evacuations were last known before; None if
                never.
        """
        before = self.evacuations.domains
        ended = self.evacuations.apply(changes, last_known_s)
        now_s = self._clock.monotonic_s()
        for server in self._servers.values():
            if server.listed.failure_domain in ended:
                # It may have become cold shortly before.
                server.mark_cold(now_s + server.warmup_s)
        if self.evacuations.domains != before:
            self.changed.notify()

    def note_owners(
        self, service: ids.ServiceName, owners: Container[ids.ServerId]
    ) -> None:
        """Records which servers own keys of a service, to track evacuations."""
        self.evacuations.note_owners(
            service,
            {
                server.listed.failure_domain
                for server in self.of_service(service)
                if server.listed.server_id in owners
            },
        )

    def set_instances(self, count: int) -> None:
        """Divides the servers' slots among the instances."""
        self._instance_count = max(count, 1)
        for server in self._servers.values():
            server.resize(self._queue_settings(server.listed))

    def _queue_settings(
        self, listed: model.BackendServer
    ) -> queueing.QueueSettings:
        """Returns the limits on the requests at a server."""
        settings = self.settings
        share = listed.slots / self._instance_count
        requests = math.ceil(settings.max_share_ratio * share)
        return queueing.QueueSettings(
            max(settings.min_concurrency_count, requests),
            starvation_share_ratio=0.0,
            late_slots=self._late_slots(share),
            first_guess_s=settings.first_guess_s,
            overload=self.find_overload(listed.service),
        )

    def _update_overload(self, service: ids.ServiceName) -> None:
        """Sets how queues work in overload, after the servers changed.

        Queues are looked at only if that changed, since all of a service's
        servers may join at once.
        """
        overload = self.find_overload(service)
        if overload is self._overloads.get(service):
            return
        self._overloads[service] = overload
        for server in self.of_service(service):
            if server.queue.settings.overload is not overload:
                server.queue.settings = dataclasses.replace(
                    server.queue.settings, overload=overload
                )

    def _add(self, listed: model.BackendServer) -> None:
        """Adds a new server."""
        now_s = self._clock.monotonic_s()
        queue = queueing.TierQueue(
            self._queue_settings(listed),
            self._clock,
            self.get_shares(listed.service),
        )
        server = Server(listed, queue, self.settings, now_s)
        self._servers[listed.server_id] = server
        of_service = self._by_service.setdefault(listed.service, {})
        of_service[listed.server_id] = server
        self._slot_counts[listed.service] += listed.slots
        self._update_overload(listed.service)
        if listed.leaving:
            server.leaving_since_s = now_s
        self._set_warmup(server)
        self._note_warmup(server)
        if self.previous_list_as_of_s is not None:
            # The list was known before, so the server is new, whatever its
            # entry omits.
            server.mark_cold(now_s + server.warmup_s)
        self._journal.decision(
            "server_joined",
            server=listed.server_id,
            service=listed.service,
            address=str(listed.address),
            leaving=listed.leaving,
            cold_for_s=round(max(server.cold_until_s - now_s, 0.0), 3),
        )
        self._note_replaced(listed)
        self.changed.notify()

    def _note_replaced(self, listed: model.BackendServer) -> None:
        """Reports the end of runs whose address a new run has taken over."""
        for server_id, server in list(self._servers.items()):
            is_other = server_id != listed.server_id
            if is_other and server.listed.address == listed.address:
                self.on_run_ended(server_id)

    def _note_leaving(self, server: Server, reason: str) -> None:
        """Records that a server is leaving."""
        now_s = self._clock.monotonic_s()
        if server.leaving_since_s is None or server.leaving_since_s > now_s:
            server.leaving_since_s = now_s
            server.last_known_staying_s = self.previous_list_as_of_s
            self._journal.decision(
                "server_leaving",
                server=server.listed.server_id,
                service=server.listed.service,
                reason=reason,
            )
