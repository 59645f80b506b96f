"""Dispatches requests: picks route, service and server, and makes attempts.

The reported outcome is exact: ``NotRun`` only if no attempt can have run,
``Unknown`` if one may have. A request that cannot be served in time is refused
at once instead of being held.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import math

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_core import timeouts
from bridgecross_entry import admission
from bridgecross_entry import attempt_results
from bridgecross_entry import attempts
from bridgecross_entry import caller_age
from bridgecross_entry import crash_watch
from bridgecross_entry import forwards
from bridgecross_entry import journal as journals
from bridgecross_entry import keymap
from bridgecross_entry import limited_servers
from bridgecross_entry import link_probes
from bridgecross_entry import load
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import model
from bridgecross_entry import owner_selection
from bridgecross_entry import permit_client
from bridgecross_entry import permits as permits_lib
from bridgecross_entry import quota_client
from bridgecross_entry import refusals as refusals_lib
from bridgecross_entry import request_recorder
from bridgecross_entry import request_state
from bridgecross_entry import retry_budget
from bridgecross_entry import routes
from bridgecross_entry import server_links
from bridgecross_entry import server_registry
from bridgecross_entry import server_selection
from bridgecross_entry import server_ways
from bridgecross_entry import servers as servers_lib
from bridgecross_entry import warmup_queries
from bridgecross_entry import warmups as warmups_lib
from bridgecross_request import fair_share
from bridgecross_request import poison_requests
from bridgecross_request import queueing

_TRAIL_MAX_COUNT = 20
"""Trail entries after which a request is given up. Without the limit, servers
that reject at once would be retried until the request's deadline."""


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchSettings:
    """Settings for how requests are dispatched and retried."""

    # How the owners of keys are waited for.
    owners: owner_selection.OwnerSettings = dataclasses.field(
        default_factory=owner_selection.OwnerSettings
    )
    # How results of attempts are handled.
    results: attempt_results.ResultSettings = dataclasses.field(
        default_factory=attempt_results.ResultSettings
    )
    # When the callers of refused requests may retry.
    refusals: refusals_lib.RefusalSettings = dataclasses.field(
        default_factory=refusals_lib.RefusalSettings
    )
    # How servers are compared.
    selection: server_selection.SelectionSettings = dataclasses.field(
        default_factory=server_selection.SelectionSettings
    )
    # How the age of callers is estimated, and how queue limits follow the list
    # of servers.
    caller_ages: caller_age.CallerAgeSettings = dataclasses.field(
        default_factory=caller_age.CallerAgeSettings
    )
    queues: admission.AdmissionSettings = dataclasses.field(
        default_factory=admission.AdmissionSettings
    )
    # If the list of servers is older than this, servers on it may have
    # restarted since and be cold. In normal operation its age reaches 1.2 s,
    # and an instance that is sent no news of it has tried to read it by 1.7 s.
    server_list_stale_age_s: float = 2.0
    # How requests to cold servers are rationed.
    warmups: warmups_lib.WarmupSettings = dataclasses.field(
        default_factory=warmups_lib.WarmupSettings
    )


class Dispatcher:
    """Sends requests to backend servers."""

    def __init__(
        self,
        settings: DispatchSettings,
        instance: model.InstanceSettings,
        registry: server_registry.ServerRegistry,
        table: keymap.KeyTable,
        client: attempts.BackendClient,
        journal: journals.Journal,
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
        permits: permit_client.PermitClient | None = None,
        watch: crash_watch.CrashWatch | None = None,
        quotas: quota_client.QuotaClient | None = None,
        ways: server_ways.RequestWays | None = None,
        warmups: warmup_queries.WarmupQueries | None = None,
    ) -> None:
        """Creates a dispatcher that refuses requests until it is configured.

        Args:
            settings: How requests are dispatched and retried.
            instance: The settings of this instance.
            registry: The known backend servers.
            table: The owners of the keys.
            client: Sends requests to backend servers.
            journal: Logs the outcome of each request.
            metrics: Counts requests and attempts.
            clock: The time source.
            permits: Obtains permits for services that many instances share.
                If omitted, no permits are used.
            watch: Finds out which requests crash servers. If omitted, the
                dispatcher creates one that does not inform other instances.
            quotas: Obtains quotas for servers that limit the requests to them.
                If omitted, such servers get no requests.
            ways: Sends requests to servers; straight, if omitted.
            warmups: Asks servers whether they are cold.
        """
        self.routes: routes.RouteTable | None = None
        # The number of instances that take requests, including this one.
        self.instance_count = 1
        # Returns among how many instances the slack of retries is divided;
        # infinite while that is not known.
        self.count_instances: Callable[[], float] = lambda: self.instance_count
        self.loads: dict[ids.ServiceName, load.LoadCounter] = {}
        # Returns how long ago the configuration was known to be current.
        self.configuration_age_s: Callable[[], float] = lambda: 0.0
        # When this instance stops at the latest, on the monotonic clock.
        self.shutdown_deadline_s = math.inf
        self.in_flight_count = 0
        self._settings = settings
        self._instance = instance
        self._registry = registry
        self._table = table
        self._client = client
        self._ways = ways or _make_direct_way(client, journal, metrics, clock)
        self.warmups = warmups or warmup_queries.WarmupQueries(
            settings.server_list_stale_age_s, registry, client, clock
        )
        self._journal = journal
        self._metrics = metrics
        self._clock = clock
        self._permits = permits
        self.watch = watch or crash_watch.CrashWatch(
            crash_watch.CrashWatchSettings(),
            poison_requests.PoisonLedger(
                poison_requests.PoisonSettings(), clock
            ),
            client,
            registry,
            journal,
            metrics,
            clock,
        )
        self._retry_budgets: dict[
            ids.ServiceName, retry_budget.RetryBudget
        ] = {}
        self._caller_ages = caller_age.RouteCallerAges(settings.caller_ages)
        self._selector = server_selection.ServerSelector(
            settings.selection,
            instance,
            registry,
            client,
            clock,
            self._ways.is_straight,
        )
        self._limited_servers = limited_servers.LimitedServers(
            registry, quotas, metrics
        )
        self._refusals = refusals_lib.Refusals(
            settings.refusals,
            self._selector,
            self._limited_servers,
            self.watch,
        )
        self._results = attempt_results.ResultHandler(
            settings.results,
            registry,
            table,
            self._refusals,
            self.watch,
            self._is_keyed,
            lambda service, *answer: self._get_load_counter(
                service
            ).count_answer(*answer),
            clock,
        )
        self._owners = owner_selection.OwnerSelector(
            settings.owners,
            registry,
            table,
            self._selector,
            self._refusals,
            clock,
        )
        self._recorder = request_recorder.RequestRecorder(
            journal, metrics, clock
        )
        self.tally = self._recorder.tally
        self._queues = admission.ServiceQueues(settings.queues, registry, clock)

    def configure(self, configuration: model.Configuration) -> None:
        """Applies a new configuration."""
        self.routes = routes.RouteTable(configuration, self.routes)

    async def run(self, request: attempts.EntryRequest) -> outcomes.Outcome:
        """Runs a request and returns its outcome.

        Cancelling this, as when the caller disconnects, makes the server stop
        working on the request.
        """
        self.in_flight_count += 1
        try:
            return await self._run(request)
        finally:
            self.in_flight_count -= 1

    async def _run(self, request: attempts.EntryRequest) -> outcomes.Outcome:
        """Finds the request's route and tries servers until the deadline."""
        if self.routes is None:
            return self._refusals.refuse("no configuration has been read yet")
        route = self.routes.find(request.host, request.path)
        if route is None:
            return self._refuse_unrouted(
                request, self.routes.configuration.version
            )
        state = self._start_request(request, route)
        if state.deadline_s > self.shutdown_deadline_s:
            return self._refuse_while_stopping(state)
        remaining_s = state.deadline_s - self._clock.monotonic_s()
        outcome: outcomes.Outcome | None = None
        try:
            # An answer that has arrived is delivered, however late it is read.
            with timeouts.move_on_after(remaining_s, self._clock):
                outcome = await self._try_servers(state)
        except BaseException:
            self._recorder.record(state, "caller left")
            raise
        if outcome is None:
            outcome = self._refusals.time_out(state)
        self._recorder.record(state, "", outcome)
        return outcome

    def _refuse_unrouted(
        self, request: attempts.EntryRequest, version: int
    ) -> outcomes.NotRun:
        """Refuses a request without a route: with 404 if that is certain.

        If the configuration has not been confirmed recently, a route may have
        been added since, and the caller is asked to retry.
        """
        age_s = self.configuration_age_s()
        is_certain = age_s * 1_000 <= self._instance.bounds.configuration_ms
        outcome = "no-route" if is_certain else "route-unknown"
        self._metrics.requests.inc({"service": "", "outcome": outcome})
        self._journal.decision(
            "no_route" if is_certain else "route_unknown",
            request=request.request_id,
            host=request.host,
            path=request.path,
            configuration=version,
            # JSON cannot represent infinity.
            age_s=round(age_s, 3) if math.isfinite(age_s) else None,
        )
        if is_certain:
            return refusals_lib.not_run("no route leads there", status=404)
        return self._refusals.refuse("the configuration may have changed")

    def _refuse_while_stopping(
        self, state: request_state.RequestState
    ) -> outcomes.NotRun:
        """Refuses a request whose deadline is after this instance's shutdown.

        An accepted request is never cut off by the shutdown, however long it
        waits at its server. Another instance can take this one immediately.
        """
        state.trail.append("this instance is stopping")
        refusal = self._refusals.refuse("the instance is stopping", 1)
        self._recorder.record(state, "", refusal)
        return refusal

    def _start_request(
        self, request: attempts.EntryRequest, route: model.Route
    ) -> request_state.RequestState:
        """Picks the service, and returns the state of a new request."""
        assert self.routes is not None  # checked by the caller
        service = self.routes.pick_service(route)
        timeout_ms = route.timeout_ms
        if request.caller_timeout_ms is not None:
            timeout_ms = min(timeout_ms, request.caller_timeout_ms)
        self._get_retry_budget(service).count_request(self._clock.monotonic_s())
        age_s = self._caller_ages.note_attempt(
            route.name, request.caller_timeout_ms
        )
        origin = fair_share.UNKNOWN
        if self._registry.has_few_slots(service):
            origin = request_state.make_origin(request, age_s)
        target_s = request.received_s - age_s + route.target_latency_ms / 1_000
        return request_state.RequestState(
            request,
            route,
            service,
            request.received_s + timeout_ms / 1_000,
            age_s,
            target_s,
            self.routes.configuration.version,
            _compute_fingerprint(request),
            origin,
        )

    async def _try_servers(
        self, state: request_state.RequestState
    ) -> outcomes.Outcome:
        """Tries servers until the request has an outcome."""
        assert self.routes is not None  # checked by the caller
        refusal = self._refusals.refuse_poison(state)
        if refusal is not None:
            return refusal
        keyed = self._is_keyed(state)
        if keyed:
            if state.request.key is None:
                return refusals_lib.not_run(
                    "the service needs a key", status=400
                )
            self._get_load_counter(state.service).count_key(state.request.key)
        attempt = self._try_owner if keyed else self._try_any_server
        while self._clock.monotonic_s() < state.deadline_s:
            if len(state.trail) > _TRAIL_MAX_COUNT:
                refusal = self._refusals.refuse("no server took it")
                return self._refusals.make_final_outcome(state, refusal)
            outcome = await attempt(state)
            outcome = outcome or self._refusals.refuse_poison(state)
            if outcome is not None:
                return outcome
        return self._refusals.time_out(state)

    async def _try_owner(
        self, state: request_state.RequestState
    ) -> outcomes.Outcome | None:
        """Sends a request to the owner of its key."""
        owner = await self._owners.choose(state)
        if isinstance(owner, outcomes.NotRun):
            return self._refusals.make_final_outcome(state, owner)
        refusal = self._refusals.refuse_if_full(state, [owner])
        refusal = refusal or self._refusals.refuse_if_limited(state, [owner])
        if refusal is not None:
            return self._refusals.make_final_outcome(state, refusal)
        permit = await self._obtain_permit(state, owner)
        if isinstance(permit, outcomes.NotRun):
            return self._refusals.make_final_outcome(state, permit)
        return await self._attempt(state, owner, permit, keyed=True)

    async def _try_any_server(
        self, state: request_state.RequestState
    ) -> outcomes.Outcome | None:
        """Sends a request to any server of a service without keys."""
        if (
            state.shed_by is not None
            or self._registry.notices.any_wants_backoff
            or self._registry.notices.limits.any_known
        ):
            usable = self._selector.list_usable(state.route, state.service)
            refusal = self._refusals.refuse_if_full(state, usable)
            refusal = refusal or self._refusals.refuse_if_limited(state, usable)
            if refusal is not None:
                return self._refusals.make_final_outcome(state, refusal)
        permit = await self._obtain_permit(state, None)
        if isinstance(permit, outcomes.NotRun):
            return self._refusals.make_final_outcome(state, permit)
        if permit is not None:
            granted_server = self._registry.get(permit.server_id)
            if granted_server and self._list_accepting(state, [granted_server]):
                return await self._attempt(
                    state, granted_server, permit, keyed=False
                )
            self._return_permit(permit, 0.0, permits_lib.Outcome.UNUSED)
        queue = self._queues.get(state.service)
        refusal = await self._wait_for_slot(state, queue, state.service)
        if refusal is not None:
            return self._refusals.make_final_outcome(state, refusal)
        started_s = self._clock.monotonic_s()
        try:
            server = self._choose_any(state)
            if isinstance(server, outcomes.NotRun):
                return self._refusals.make_final_outcome(state, server)
            return await self._attempt(state, server, None, keyed=False)
        finally:
            queue.release(
                self._clock.monotonic_s() - started_s,
                request_state.make_queue_tier(state),
            )

    async def _obtain_permit(
        self,
        state: request_state.RequestState,
        owner: servers_lib.Server | None,
    ) -> permit_client.Permit | outcomes.NotRun | None:
        """Returns a permit or a refusal.

        Args:
            state: The request.
            owner: The owner of its key; None if any server can serve it.

        Returns:
            None if no permit is needed and this instance chooses the server.
        """
        permits = self._permits
        is_used = permits is not None and permits.is_used(state.service)
        # The servers that could serve it, if all are cold and need a permit.
        cold: list[servers_lib.Server] = []
        if owner is not None:
            cold = [owner] if self._registry.is_cold(owner) else []
        elif not is_used or state.skips_permits:
            usable = self._selector.list_usable(state.route, state.service)
            available = self._selector.exclude_backoffs(usable)
            cold = available if self._selector.are_cold(available) else []
        is_used = bool(cold) or (is_used and not state.skips_permits)
        if permits is None or not is_used:
            return self._refusals.refuse_cold(state, cold) if cold else None
        started_s = self._clock.monotonic_s()
        applicant = permit_client.Applicant(
            state.service,
            state.route.priority,
            queueing.Deadlines(
                min(state.target_s, state.deadline_s), state.deadline_s
            ),
            owner.listed if owner else None,
            state.tried | self._list_unavailable_ids(state),
            lambda: owner is None or self._owners.is_owner(state, owner),
            lambda domain: self._selector.is_allowed(state.route, domain),
            state.origin,
        )
        result = await permits.obtain(applicant)
        self._metrics.queue_seconds.observe(
            {"service": state.service}, self._clock.monotonic_s() - started_s
        )
        if not isinstance(result, queueing.Refused):
            if not cold or self._covers_cold_server(result):
                return result
            if result is not None:
                self._return_permit(result, 0.0, permits_lib.Outcome.UNUSED)
            return self._refusals.refuse_cold(state, cold)
        state.trail.append(f"no permit: {result.reason}")
        return self._refusals.refuse(result.reason, result.retry_after_ms)

    def _list_accepting(
        self,
        state: request_state.RequestState,
        servers: Sequence[servers_lib.Server],
    ) -> list[servers_lib.Server]:
        """Returns the servers that are not known to reject a request."""
        available = self._selector.exclude_overloaded(servers, state.shed_by)
        return self._limited_servers.exclude_exhausted(
            available, state.route.priority
        )

    def _list_unavailable_ids(
        self, state: request_state.RequestState
    ) -> set[ids.ServerId]:
        """Returns the servers that a permit should not be granted for."""
        servers = list(self._registry.of_service(state.service))
        exhausted = self._limited_servers.list_exhausted(
            servers, state.route.priority
        )
        return exhausted | self._selector.ids_in_backoff(state.service)

    def _covers_cold_server(self, permit: permit_client.Permit | None) -> bool:
        """Whether a permit still allows a request to a cold server."""
        if permit is None or not permit.covers_cold:
            return False
        age_s = self._clock.monotonic_s() - permit.asked_s
        return age_s < self._settings.warmups.use_within_s

    def _return_permit(
        self,
        permit: permit_client.Permit,
        held_s: float,
        permit_outcome: permits_lib.Outcome,
        pace_ratio: float = 0.0,
    ) -> None:
        """Returns a permit to its issuer."""
        assert self._permits is not None  # as it issued the permit
        self._permits.return_permit(permit, held_s, permit_outcome, pace_ratio)

    def _record_pace(
        self, server: servers_lib.Server, result: attempts.Attempt
    ) -> float:
        """Records and returns the pace that a server reported; 0 if none."""
        if not isinstance(result, outcomes.Answered):
            return 0.0
        if result.pace_ratio is None:
            return 0.0
        server.note_pace(result.pace_ratio, self._clock.monotonic_s())
        return result.pace_ratio

    async def _wait_for_slot(
        self,
        state: request_state.RequestState,
        queue: queueing.TierQueue,
        name: str,
    ) -> outcomes.NotRun | None:
        """Waits in a queue for a slot; returns a refusal if there is none.

        Args:
            state: The request.
            queue: The queue to wait in.
            name: The server or service of the queue, for the request's trail.
        """
        target_s = min(state.target_s, state.deadline_s)
        started_s = self._clock.monotonic_s()
        due = queueing.Deadlines(target_s, state.deadline_s)
        tier = request_state.make_queue_tier(state)
        slot = await queue.acquire(tier, due, state.origin)
        self._metrics.queue_seconds.observe(
            {"service": state.service}, self._clock.monotonic_s() - started_s
        )
        if isinstance(slot, queueing.Granted):
            return None
        state.trail.append(f"{name}: {slot.reason}")
        return self._refusals.refuse(slot.reason, slot.retry_after_ms)

    def _is_keyed(self, state: request_state.RequestState) -> bool:
        """Whether the servers of the request's service own keys."""
        assert self.routes is not None  # checked by the caller
        policy = self.routes.configuration.services.get(state.service)
        return policy is not None and policy.keyed

    def _choose_any(
        self, state: request_state.RequestState
    ) -> servers_lib.Server | outcomes.NotRun:
        """Returns the server expected to answer soonest, or a refusal."""
        usable = self._selector.list_usable(state.route, state.service)
        if not usable:
            state.trail.append("no server may be used")
            return self._refusals.refuse("no server of the service may be used")
        available = self._selector.exclude_backoffs(usable)
        if not available:
            return self._refusals.refuse_for_backoff(state, usable)
        refusal = self._refusals.refuse_if_limited(state, available)
        if refusal is not None:
            return refusal
        available = self._limited_servers.exclude_exhausted(
            available, state.route.priority
        )
        others = self._selector.exclude_overloaded(available, state.shed_by)
        chosen = self._selector.choose(others or available, state.tried)
        return chosen or self._refusals.refuse_cold(state, available)

    async def _attempt(
        self,
        state: request_state.RequestState,
        server: servers_lib.Server,
        permit: permit_client.Permit | None,
        *,
        keyed: bool,
    ) -> outcomes.Outcome | None:
        """Makes one attempt; returns None if another one is allowed.

        Args:
            state: The request.
            server: The server to send it to.
            permit: If given, the request does not queue at this instance. The
                permit is returned to its issuer here.
            keyed: Whether only this server can serve the request.
        """
        held_s = 0.0
        pace_ratio = 0.0
        permit_outcome = permits_lib.Outcome.UNUSED
        try:
            refusal = await self._reserve_attempt(
                state, server, permit, keyed=keyed
            )
            if refusal is not None:
                return self._refusals.make_final_outcome(state, refusal)
            started_s = self._clock.monotonic_s()
            state.hop_s = 0.0
            try:
                result = await self._send(state, server, permit, keyed=keyed)
                if isinstance(result, outcomes.NotRun):
                    return self._refusals.make_final_outcome(state, result)
            finally:
                # The time between this instance and a relay says nothing about
                # the speed of the server.
                held_s = self._clock.monotonic_s() - started_s - state.hop_s
                if permit is None:
                    server.queue.release(
                        held_s, request_state.make_queue_tier(state)
                    )
            if result is not None:
                permit_outcome = permits_lib.classify_attempt(result)
                pace_ratio = self._record_pace(server, result)
        finally:
            if permit is not None:
                self._return_permit(permit, held_s, permit_outcome, pace_ratio)
        if result is None:
            return None
        self._metrics.attempt_seconds.observe(
            {"service": state.service}, held_s
        )
        result_name = type(result).__name__
        self._metrics.attempts.inc(
            {"service": state.service, "result": result_name}
        )
        return await self._results.handle(
            state, server, result, held_s, had_permit=permit is not None
        )

    async def _reserve_attempt(
        self,
        state: request_state.RequestState,
        server: servers_lib.Server,
        permit: permit_client.Permit | None,
        *,
        keyed: bool,
    ) -> outcomes.NotRun | None:
        """Reserves a retry and a slot at the server, or returns a refusal."""
        now_s = self._clock.monotonic_s()
        if permit is None and keyed and server.paused_until_s > now_s:
            state.trail.append(f"{server.listed.server_id}: left alone")
            pause_ms = (server.paused_until_s - now_s) * 1_000
            return self._refusals.refuse(
                "the owner has no room", int(pause_ms) + 1
            )
        if state.delivered_count and not self._get_retry_budget(
            state.service
        ).spend(now_s):
            state.trail.append("no retry left in the budget")
            return self._refusals.refuse("the budget is spent")
        if permit is not None:
            return None
        return await self._wait_for_slot(
            state, server.queue, server.listed.server_id
        )

    async def _send(
        self,
        state: request_state.RequestState,
        server: servers_lib.Server,
        permit: permit_client.Permit | None,
        *,
        keyed: bool,
    ) -> attempts.Attempt | outcomes.NotRun | None:
        """Sends a request to a server.

        Returns:
            A refusal if only this server can serve the request, and takes no
            more for now; None if nothing was sent, because the server may not
            be used any more or the deadline has passed.
        """
        quota = await self._limited_servers.obtain(server, state.route.priority)
        if isinstance(quota, quota_client.Refused):
            return (
                self._refusals.refuse_limited(
                    state, [server], quota.retry_after_s
                )
                if keyed
                else None
            )

        def may_send() -> bool:
            return self._may_send_now(state, server, permit, quota, keyed=keyed)

        # The client calls may_send again once it has a connection.
        if not may_send() or not await self._is_warmup_state_known(
            state, server, may_send
        ):
            return None
        if not self.watch.may_send(state.fingerprint):
            return None
        server_id = server.listed.server_id
        was_tried = server_id in state.tried
        remaining_ms = (state.deadline_s - self._clock.monotonic_s()) * 1_000
        state.in_flight = True
        state.tried.add(server_id)
        sent_request = self.watch.begin(
            state.fingerprint, state.request.request_id, server.listed
        )
        result: attempts.Attempt | attempts.Withheld | None = None
        self._limited_servers.count_sent(server)
        try:
            result = await self._ways.send(
                server.listed,
                state.request,
                remaining_ms,
                may_send,
                server.latency_s,
                self._make_terms(state, permit, quota, keyed=keyed),
            )
        finally:
            self.watch.end(sent_request, result)
        state.in_flight = False
        if not isinstance(result, attempts.Withheld):
            return result
        if not was_tried:
            state.tried.discard(server_id)
        return None

    def _may_send_now(
        self,
        state: request_state.RequestState,
        server: servers_lib.Server,
        permit: permit_client.Permit | None,
        quota: quota_client.Quota | None,
        *,
        keyed: bool,
    ) -> bool:
        """Whether a request may be sent to a server right now.

        This is the only such check, however the server was chosen. Nothing may
        be awaited between this check and the first byte of the request.
        """
        now_s = self._clock.monotonic_s()
        if now_s >= state.deadline_s:
            return False
        if self.watch.ledger.refused_for_s(state.fingerprint):
            return False
        if self._registry.notices.wants_backoff(server.listed.server_id):
            reason = "it rests"
        elif not self._is_choice_valid(state, server, now_s, keyed=keyed):
            reason = "left meanwhile"
        elif self._registry.is_cold(server) and not self._covers_cold_server(
            permit
        ):
            reason = "it is cold"
        elif not self._limited_servers.covers(quota, server):
            reason = "it limits its requests"
        else:
            return True
        event = f"{server.listed.server_id}: {reason}"
        if event not in state.trail[-1:]:
            state.trail.append(event)
        state.skips_permits = True
        return False

    def _make_terms(
        self,
        state: request_state.RequestState,
        permit: permit_client.Permit | None,
        quota: quota_client.Quota | None,
        *,
        keyed: bool,
    ) -> forwards.Terms:
        """Returns how a request may be sent through another instance."""
        valid_until_s = math.inf
        if quota is not None:
            left_s = self._limited_servers.left_s(quota)
            valid_until_s = self._clock.monotonic_s() + left_s
        covers_cold = self._covers_cold_server(permit)
        if covers_cold and permit is not None:
            use_within_s = self._settings.warmups.use_within_s
            valid_until_s = min(valid_until_s, permit.asked_s + use_within_s)
        return forwards.Terms(
            keyed,
            quota is not None,
            covers_cold,
            valid_until_s,
            state.route.allowed_areas,
            state.forwarded_by.append,
            state.add_hop,
        )

    async def _is_warmup_state_known(
        self,
        state: request_state.RequestState,
        server: servers_lib.Server,
        may_send: attempts.MaySend,
    ) -> bool:
        """Whether it is certain that a server is, or is not, cold.

        Whoever sends a request for this instance checks that instead of it.
        """
        if not self._ways.is_straight(server.listed.server_id):
            return True
        known = await self.warmups.check(
            server, may_send, state.request.request_id
        )
        if known is warmup_queries.WarmupState.SILENT:
            state.trail.append(f"{server.listed.server_id}: does not answer")
            server.note_unreachable(self._clock.monotonic_s())
            state.skips_permits = True
        return known is warmup_queries.WarmupState.KNOWN

    def _is_choice_valid(
        self,
        state: request_state.RequestState,
        server: servers_lib.Server,
        now_s: float,
        *,
        keyed: bool,
    ) -> bool:
        """Whether the server may still be used after waiting for a slot."""
        if not self._selector.is_allowed(
            state.route, server.listed.failure_domain
        ):
            return False
        if not keyed:
            return self._registry.may_use_without_key(server, now_s)
        return self._registry.may_use(server, now_s) and self._owners.is_owner(
            state, server
        )

    def _get_retry_budget(
        self, service: ids.ServiceName
    ) -> retry_budget.RetryBudget:
        """Returns the retry budget of a service."""
        budget = self._retry_budgets.get(service)
        if budget is None:
            bounds = self._instance.bounds
            settings = retry_budget.RetryBudgetSettings(
                bounds.retry_ratio,
                bounds.retry_window_ms / 1_000,
                bounds.retry_slack,
            )
            budget = retry_budget.RetryBudget(settings, self.count_instances)
            self._retry_budgets[service] = budget
        return budget

    def _get_load_counter(self, service: ids.ServiceName) -> load.LoadCounter:
        """Returns the load counter of a service."""
        return self.loads.setdefault(service, load.LoadCounter())


def _compute_fingerprint(
    request: attempts.EntryRequest,
) -> poison_requests.Fingerprint:
    """Returns a request's fingerprint, which ignores its id and its key."""
    return poison_requests.compute_fingerprint(
        request.host, request.method, request.target, request.body
    )


def _make_direct_way(
    client: attempts.BackendClient,
    journal: journals.Journal,
    metrics: metrics_lib.Metrics,
    clock: clocks.Clock,
) -> server_ways.RequestWays:
    """Returns ways of which all go straight to servers."""
    links = server_links.ServerLinks(
        server_links.LinkSettings(), journal, metrics, clock
    )
    return server_ways.RequestWays(
        server_ways.WaySettings(),
        client,
        links,
        link_probes.LinkProbes(client, links, journal, clock),
    )
