"""The backend servers that this instance knows.

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

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_core import notifier
from bridgecross_entry import evacuations as evacuations_lib
from bridgecross_entry import journal as journals
from bridgecross_entry import model
from bridgecross_entry import notices as notices_lib
from bridgecross_entry import servers as servers_lib
from bridgecross_request import fair_share
from bridgecross_request import overload as overload_lib
from bridgecross_request import queueing

_LAST_RUNS_MAX_COUNT = 10_000
"""The maximum number of names whose last run is remembered. 180 servers are
replaced on an ordinary day, and a removed one has left the key maps long before
it is forgotten."""


class ServerRegistry:
    """The backend servers that this instance knows."""

    def __init__(
        self,
        settings: servers_lib.ServerSettings,
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
        self._servers: dict[ids.ServerId, servers_lib.Server] = {}
        # The runs that have certainly ended; they never return.
        self._ended: set[ids.ServerId] = set()
        # The last listed run of each server, by server name.
        self._last_runs: dict[str, model.BackendServer] = {}
        self._by_service: dict[
            ids.ServiceName, dict[ids.ServerId, servers_lib.Server]
        ] = {}
        # The slots of the known servers of each service, and how its queues
        # work in overload.
        self._slot_counts: collections.Counter[ids.ServiceName]
        self._slot_counts = collections.Counter()
        self._overloads: dict[
            ids.ServiceName, overload_lib.OverloadSettings | None
        ] = {}
        self._shares: dict[ids.ServiceName, fair_share.CallerShares] = {}

    def get(self, server_id: ids.ServerId) -> servers_lib.Server | None:
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

    def all(self) -> Iterable[servers_lib.Server]:
        """Returns all known servers."""
        return self._servers.values()

    def of_service(
        self, service: ids.ServiceName
    ) -> Iterable[servers_lib.Server]:
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

    def concurrency_limit(
        self, service: ids.ServiceName
    ) -> servers_lib.ConcurrencyLimit:
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
        return servers_lib.ConcurrencyLimit(requests, self._late_slots(share))

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

    def _set_warmup(self, server: servers_lib.Server) -> None:
        """Sets the length of a server's warm-up after a start."""
        service = self._services.get(server.listed.service)
        server.warmup_s = service.warmup_ms / 1_000 if service else 0.0

    def _note_warmup(self, server: servers_lib.Server) -> None:
        """Applies the remaining warm-up time that a server reports."""
        left_s = server.listed.warmup_left_ms / 1_000
        if left_s > 0:
            server.mark_cold(self._clock.monotonic_s() + left_s)

    def service_of(self, server: servers_lib.Server) -> model.Service | None:
        """Returns the settings of a server's service."""
        return self._services.get(server.listed.service)

    def cold_rate_per_s(self, server: servers_lib.Server) -> float | None:
        """Returns the requests per second that a cold server handles.

        None if the server is not cold or its warm-up rate is unlimited.
        """
        if self._clock.monotonic_s() >= server.cold_until_s:
            return None
        service = self._services.get(server.listed.service)
        return service.warmup_rate_per_s if service else None

    def is_cold(self, server: servers_lib.Server) -> bool:
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

    def may_use(self, server: servers_lib.Server, now_s: float) -> bool:
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

    def may_use_without_key(
        self, server: servers_lib.Server, now_s: float
    ) -> bool:
        """Whether requests that other servers can also process may be sent."""
        domain = server.listed.failure_domain
        return self.may_use(server, now_s) and (
            not self.evacuations.is_evacuated(domain)
        )

    def is_staying(self, server: servers_lib.Server, now_s: float) -> bool:
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
        server = servers_lib.Server(listed, queue, self.settings, now_s)
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

    def _note_leaving(self, server: servers_lib.Server, reason: str) -> None:
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
