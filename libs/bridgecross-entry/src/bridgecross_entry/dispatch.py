"""The life of a request: route, service, server, attempts, outcome.

What is told is the truth: ``NotRun`` only if no attempt may have run,
``Unknown`` otherwise. A request is given up at once when it cannot be
served in time; it is never held back.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import math
import random

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_core import timeouts
from bridgecross_entry import admission
from bridgecross_entry import attempts
from bridgecross_entry import caller_age
from bridgecross_entry import crash_watch
from bridgecross_entry import journal as journals
from bridgecross_entry import keymap
from bridgecross_entry import load
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import model
from bridgecross_entry import permit_client
from bridgecross_entry import permits as permits_lib
from bridgecross_entry import retry_budget
from bridgecross_entry import routes
from bridgecross_entry import server_selection
from bridgecross_entry import servers as servers_lib
from bridgecross_entry import tally as tallies
from bridgecross_entry import warmups as warmups_lib
from bridgecross_request import poison_requests
from bridgecross_request import queueing

_FIRST_ERROR_STATUS = 500
_EVENTS_MAX_COUNT = 20
"""Things that may befall a request before it is given up; servers that answer
at once that they cannot take it would else be asked until its deadline."""

_QUEUE_MAX_COUNT = 64
"""Requests of one priority that wait for one server at one instance."""


@dataclasses.dataclass(frozen=True, slots=True)
class DispatchSettings:
    """How requests are tried."""

    # How long a request waits to be told that the owner of its key holds it,
    # as a part of its target. Most moves take under 0.1 s, and targets are
    # 0.15 s and more; after that the owner is tried, for the news may be lost.
    move_wait_ratio: float = 0.75
    # How long it waits if the key has no owner that could serve it. A caller
    # who is told early comes back and may still be served within the target.
    lost_wait_ratio: float = 0.2
    # The pause after a server denied owning a key, unless a newer map comes;
    # it doubles with each denial. After a restart of all instances the keys
    # are granted again within 0.1 to 0.3 s, and each try counts as a retry.
    denied_pause_s: float = 0.05
    # Attempts beyond those allowed to run, for answers that prove that
    # nothing ran.
    extra_attempts: int = 2
    # A connection that breaks within this part of what a server needs for a
    # request was reset for want of room; answers break off after the work.
    full_reset_ratio: float = 0.25
    # When to come back after a refusal that has no better estimate. A move of
    # keys or a restart of all instances is over within 0.1 to 0.3 s.
    retry_after_ms: int = 100
    # When to come back after another such refusal: what is not over by then is
    # a lost server, whose keys others may take after 2 to 3 s. Callers come a
    # few times; at 0.1 s apart, all of them are turned away in half a second.
    retry_again_after_ms: int = 1_000
    # Those that are refused until a server has rested are told to come back
    # within this time after it: at once, they would fill it again.
    rest_spread_s: float = 0.25
    # How servers are weighed against each other.
    choice: server_selection.SelectionSettings = dataclasses.field(
        default_factory=server_selection.SelectionSettings
    )
    # How the age of callers is learned, and how rooms follow the list.
    ages: caller_age.CallerAgeSettings = dataclasses.field(
        default_factory=caller_age.CallerAgeSettings
    )
    rooms: admission.AdmissionSettings = dataclasses.field(
        default_factory=admission.AdmissionSettings
    )
    # A list of servers that is older does not tell which of them have started
    # again since, and are cold. While all is well it grows 1.2 s old, and an
    # instance that hears nothing of it has tried to read it at 1.7 s.
    list_doubt_age_s: float = 2.0
    # How cold servers are filled.
    warmups: warmups_lib.WarmupSettings = dataclasses.field(
        default_factory=warmups_lib.WarmupSettings
    )


@dataclasses.dataclass(slots=True)
class _Life:
    """What has become of a request so far."""

    request: attempts.EntryRequest
    route: model.Route
    service: ids.ServiceName
    deadline_s: float
    # How long the caller had waited when the request came.
    age_s: float
    # When an answer begins to be worth less, counted from the first attempt.
    target_s: float
    configuration_version: int
    # What the request is known by when it comes under another id.
    subject: poison_requests.Fingerprint
    # Which server turned it away last for lack of room.
    shed_by: ids.ServerId | None = None
    # Attempts that reached a server, whatever came of them.
    arrivals: int = 0
    # Attempts that ran or may have run.
    runs: int = 0
    # How often a server denied owning the key.
    denials: int = 0
    # Whether an attempt that was sent has no answer yet.
    in_flight: bool = False
    # Whether it goes on without permits: one was for a server that has left.
    goes_alone: bool = False
    tried: set[ids.ServerId] = dataclasses.field(default_factory=set)
    # What happened, in order; for the journal.
    trail: list[str] = dataclasses.field(default_factory=list)
    # The last failure that a server gave as its answer.
    failure: outcomes.Answered | None = None


class Dispatcher:
    """Takes requests to backend servers."""

    def __init__(
        self,
        settings: DispatchSettings,
        instance: model.InstanceSettings,
        book: servers_lib.ServerRegistry,
        table: keymap.KeyTable,
        client: attempts.BackendClient,
        journal: journals.Journal,
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
        permits: permit_client.PermitClient | None = None,
        watch: crash_watch.CrashWatch | None = None,
    ) -> None:
        """Refuses everything until there is a configuration.

        Args:
            settings: How requests are tried.
            instance: This instance.
            book: The backend servers.
            table: Who owns which keys.
            client: Sends requests.
            journal: Told of what became of requests.
            metrics: Counts them.
            clock: For all times.
            permits: Asked for permits where many instances share a service;
                none are needed, if left out.
            watch: Finds out which requests end servers; one that nobody else
                hears of, if left out.
        """
        self.routes: routes.RouteTable | None = None
        # How many instances take requests, this one included.
        self.instance_count = 1
        self.loads: dict[ids.ServiceName, load.LoadCounter] = {}
        # When the list of servers was last known to be the newest one.
        self.server_list_as_of_s: Callable[[], float | None] = lambda: None
        # How long ago it was known that the configuration is the newest one.
        self.configuration_age_s: Callable[[], float] = lambda: 0.0
        # When this instance ends at the latest, on the monotonic clock.
        self.shutdown_deadline_s = math.inf
        self.in_flight_count = 0
        self.tally = tallies.RequestTally(journal)
        self._settings = settings
        self._instance = instance
        self._book = book
        self._table = table
        self._client = client
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
            book,
            journal,
            metrics,
            clock,
        )
        self._budgets: dict[ids.ServiceName, retry_budget.RetryBudget] = {}
        self._ages: dict[str, caller_age.CallerAgeEstimator] = {}
        self._choice = server_selection.ServerSelector(
            settings.choice, instance, book, client, clock
        )
        self._queues = admission.ServiceQueues(settings.rooms, book, clock)

    def configure(self, configuration: model.Configuration) -> None:
        """Takes a configuration in force."""
        self.routes = routes.RouteTable(configuration, self.routes)

    async def run(self, request: attempts.EntryRequest) -> outcomes.Outcome:
        """Runs a request and returns what became of it.

        Cancelling it, as when the caller leaves, stops the server's work.
        """
        self.in_flight_count += 1
        try:
            return await self._run(request)
        finally:
            self.in_flight_count -= 1

    async def _run(self, request: attempts.EntryRequest) -> outcomes.Outcome:
        """Finds the route, and tries within its time."""
        if self.routes is None:
            return self._refuse("no configuration has been read yet")
        route = self.routes.find(request.host, request.path)
        if route is None:
            return self._deny(request, self.routes.configuration.version)
        life = self._begin(request, route)
        if life.deadline_s > self.shutdown_deadline_s:
            return self._turn_away(life)
        left_s = life.deadline_s - self._clock.monotonic_s()
        outcome: outcomes.Outcome | None = None
        try:
            # An answer that is there is delivered, however late it is read.
            with timeouts.move_on_after(left_s, self._clock):
                outcome = await self._try(life)
        except BaseException:
            self._report(life, "caller left")
            raise
        if outcome is None:
            outcome = self._time_out(life)
        self._report(life, "", outcome)
        return outcome

    def _deny(
        self, request: attempts.EntryRequest, version: int
    ) -> outcomes.NotRun:
        """Says that no route leads there, if that is certain.

        A route may have been added since the configuration was known to be
        the newest; then the caller had better ask again.
        """
        age_s = self.configuration_age_s()
        certain = age_s * 1_000 <= self._instance.bounds.configuration_ms
        outcome = "no-route" if certain else "route-unknown"
        self._metrics.requests.inc({"service": "", "outcome": outcome})
        self._journal.decision(
            "no_route" if certain else "route_unknown",
            request=request.request_id,
            host=request.host,
            path=request.path,
            configuration=version,
            # No number stands for "never" in JSON.
            age_s=round(age_s, 3) if math.isfinite(age_s) else None,
        )
        if certain:
            return _not_run("no route leads there", status=404)
        return self._refuse("the configuration may have changed")

    def _turn_away(self, life: _Life) -> outcomes.NotRun:
        """Refuses a request that may outlast this instance.

        One that is taken is never cut by the end of the instance, however long
        it waits at its server; another instance takes it at once.
        """
        life.trail.append("this instance is stopping")
        refusal = self._refuse("the instance is stopping", 1)
        self._report(life, "", refusal)
        return refusal

    def _begin(
        self, request: attempts.EntryRequest, route: model.Route
    ) -> _Life:
        """Picks the service and counts the request."""
        assert self.routes is not None  # by the caller
        service = self.routes.pick_service(route)
        hold_ms = route.timeout_ms
        if request.caller_timeout_ms is not None:
            hold_ms = min(hold_ms, request.caller_timeout_ms)
        self._budget(service).count_request(self._clock.monotonic_s())
        age_s = self._age_s(request, route)
        target_s = request.received_s - age_s + route.target_latency_ms / 1_000
        return _Life(
            request,
            route,
            service,
            request.received_s + hold_ms / 1_000,
            age_s,
            target_s,
            self.routes.configuration.version,
            _name_subject(request),
        )

    def _age_s(
        self, request: attempts.EntryRequest, route: model.Route
    ) -> float:
        """Returns how long the caller had waited when the request came."""
        ages = self._ages.get(route.name)
        if ages is None:
            ages = caller_age.CallerAgeEstimator(self._settings.ages)
            self._ages[route.name] = ages
        if request.caller_timeout_ms is not None:
            ages.note(request.caller_timeout_ms)
        return ages.age_s(request.caller_timeout_ms)

    async def _try(self, life: _Life) -> outcomes.Outcome:
        """Tries servers until one answers or none is left to try."""
        assert self.routes is not None  # by the caller
        refusal = self._refuse_poison(life)
        if refusal is not None:
            return refusal
        keyed = self._is_keyed(life)
        if keyed:
            if life.request.key is None:
                return _not_run("the service needs a key", status=400)
            self._load(life.service).count_key(life.request.key)
        attempt = self._try_owner if keyed else self._try_any
        while self._clock.monotonic_s() < life.deadline_s:
            if len(life.trail) > _EVENTS_MAX_COUNT:
                refusal = self._refuse("no server took it")
                return self._conclude(life, refusal)
            outcome = await attempt(life)
            outcome = outcome or self._refuse_poison(life)
            if outcome is not None:
                return outcome
        return self._time_out(life)

    def _refuse_poison(self, life: _Life) -> outcomes.Outcome | None:
        """Refuses a request that ended every server it was sent to.

        No server could answer it, and each that tried would be lost to all
        others for as long as it takes to come back.
        """
        left_s = self.watch.ledger.refused_for_s(life.subject)
        if not left_s:
            return self._leave_to_others(life)
        life.trail.append("servers end under it")
        refusal = self._refuse(
            "servers ended while they ran it", math.ceil(left_s * 1_000)
        )
        return self._conclude(life, refusal)

    def _leave_to_others(self, life: _Life) -> outcomes.Outcome | None:
        """Refuses a request for a moment in which another instance tries it."""
        wait_s = self.watch.trial_wait_s(life.subject)
        if not wait_s:
            return None
        life.trail.append("it is tried elsewhere first")
        refusal = self._refuse(
            "servers end under it, it seems", math.ceil(wait_s * 1_000)
        )
        return self._conclude(life, refusal)

    async def _try_owner(self, life: _Life) -> outcomes.Outcome | None:
        """Tries the owner of the request's key."""
        owner = await self._choose_owner(life)
        if isinstance(owner, outcomes.NotRun):
            return self._conclude(life, owner)
        refusal = self._refuse_full(life, [owner])
        if refusal is not None:
            return self._conclude(life, refusal)
        permit = await self._obtain(life, owner)
        if isinstance(permit, outcomes.NotRun):
            return self._conclude(life, permit)
        return await self._attempt(life, owner, permit, keyed=True)

    async def _try_any(self, life: _Life) -> outcomes.Outcome | None:
        """Tries a server of a service without keys, once it has room."""
        if life.shed_by is not None or self._book.notices.any_wants_backoff:
            usable = self._choice.list_usable(life.route, life.service)
            refusal = self._refuse_full(life, usable)
            if refusal is not None:
                return self._conclude(life, refusal)
        permit = await self._obtain(life, None)
        if isinstance(permit, outcomes.NotRun):
            return self._conclude(life, permit)
        if permit is not None:
            named = self._book.get(permit.server_id)
            if named and self._choice.list_with_room([named], life.shed_by):
                return await self._attempt(life, named, permit, keyed=False)
            self._give_back(permit, 0.0, permits_lib.Outcome.UNUSED)
        queue = self._queues.get(life.service)
        refusal = await self._wait_for_room(life, queue, life.service)
        if refusal is not None:
            return self._conclude(life, refusal)
        begun_s = self._clock.monotonic_s()
        try:
            server = self._choose_any(life)
            if isinstance(server, outcomes.NotRun):
                return self._conclude(life, server)
            return await self._attempt(life, server, None, keyed=False)
        finally:
            queue.release(self._clock.monotonic_s() - begun_s, _place(life))

    async def _obtain(
        self, life: _Life, owner: servers_lib.Server | None
    ) -> permit_client.Permit | outcomes.NotRun | None:
        """Returns a permit or a refusal; None if this instance decides.

        Args:
            life: The request.
            owner: The owner of its key; None if any server can serve it.
        """
        permits = self._permits
        is_used = permits is not None and permits.is_used(life.service)
        # Those that could serve it, if a permit alone leads to them.
        cold: list[servers_lib.Server] = []
        if owner is not None:
            cold = [owner] if self._book.is_cold(owner) else []
        elif not is_used or life.goes_alone:
            usable = self._choice.list_usable(life.route, life.service)
            awake = self._choice.list_awake(usable)
            cold = awake if self._choice.are_cold(awake) else []
        is_used = bool(cold) or (is_used and not life.goes_alone)
        if permits is None or not is_used:
            return self._refuse_cold(life, cold) if cold else None
        begun_s = self._clock.monotonic_s()
        wanted = permit_client.Applicant(
            life.service,
            life.route.priority,
            queueing.Deadlines(
                min(life.target_s, life.deadline_s), life.deadline_s
            ),
            owner.listed if owner else None,
            life.tried | self._choice.resting_ids(life.service),
            lambda: owner is None or self._owns(life, owner),
            lambda domain: self._choice.is_allowed(life.route, domain),
        )
        result = await permits.obtain(wanted)
        self._metrics.queue_seconds.observe(
            {"service": life.service}, self._clock.monotonic_s() - begun_s
        )
        if not isinstance(result, queueing.Refused):
            if not cold or self._covers(result):
                return result
            if result is not None:
                self._give_back(result, 0.0, permits_lib.Outcome.UNUSED)
            return self._refuse_cold(life, cold)
        life.trail.append(f"no permit: {result.reason}")
        return self._refuse(result.reason, result.retry_after_ms)

    def _refuse_full(
        self, life: _Life, servers: Sequence[servers_lib.Server]
    ) -> outcomes.NotRun | None:
        """Refuses a request if all that could serve it have no room.

        Each wants to be left alone, or has just turned this request away: it
        would do so again.

        Args:
            life: The request.
            servers: Those that could serve it; if there are none, other
                reasons to refuse it are better.
        """
        if not servers or self._choice.list_with_room(servers, life.shed_by):
            return None
        names = ", ".join(s.listed.server_id for s in servers[:3])
        if self._choice.list_awake(servers):
            life.trail.append(f"{names}: no other server")
            return self._refuse("no server took it", self._come_back_ms(life))
        return self._refuse_resting(life, servers)

    def _refuse_resting(
        self, life: _Life, servers: Sequence[servers_lib.Server]
    ) -> outcomes.NotRun:
        """Refuses a request whose servers all want to be left alone."""
        left_s = self._choice.backoff_left_s(servers)
        # Those that are told so at the same time do not come back at once.
        left_s += random.uniform(0.0, self._settings.rest_spread_s)
        life.trail.append("its servers want to be left alone")
        return self._refuse("its servers are full", math.ceil(left_s * 1_000))

    def _refuse_cold(
        self, life: _Life, servers: Sequence[servers_lib.Server]
    ) -> outcomes.NotRun:
        """Refuses a request that only cold servers could serve."""
        left_s = self._choice.warm_in_s(servers)
        life.trail.append("warming up")
        return self._refuse("servers are warming up", math.ceil(left_s * 1_000))

    def _covers(self, permit: permit_client.Permit | None) -> bool:
        """Whether a permit still allows to send to a cold server."""
        if permit is None or not permit.covers_cold:
            return False
        age_s = self._clock.monotonic_s() - permit.asked_s
        return age_s < self._settings.warmups.use_within_s

    def _give_back(
        self,
        permit: permit_client.Permit,
        held_s: float,
        ending: permits_lib.Outcome,
        pace_ratio: float = 0.0,
    ) -> None:
        """Gives a permit back."""
        assert self._permits is not None  # by whoever gave it
        self._permits.return_permit(permit, held_s, ending, pace_ratio)

    def _note_pace(
        self, server: servers_lib.Server, result: attempts.Attempt
    ) -> float:
        """Takes a server's word of its pace; returns it, 0 if there is none."""
        if not isinstance(result, outcomes.Answered):
            return 0.0
        if result.pace_ratio is None:
            return 0.0
        server.note_pace(result.pace_ratio, self._clock.monotonic_s())
        return result.pace_ratio

    async def _wait_for_room(
        self, life: _Life, queue: queueing.TierQueue, name: str
    ) -> outcomes.NotRun | None:
        """Waits in a queue; returns a refusal if it gives no room.

        Args:
            life: The request.
            queue: The queue to wait in.
            name: What the queue leads to, for the request's line.
        """
        target_s = min(life.target_s, life.deadline_s)
        begun_s = self._clock.monotonic_s()
        due = queueing.Deadlines(target_s, life.deadline_s)
        slot = await queue.acquire(_place(life), due)
        self._metrics.queue_seconds.observe(
            {"service": life.service}, self._clock.monotonic_s() - begun_s
        )
        if isinstance(slot, queueing.Granted):
            return None
        life.trail.append(f"{name}: {slot.reason}")
        return self._refuse(slot.reason, slot.retry_after_ms)

    def _is_keyed(self, life: _Life) -> bool:
        """Whether servers of the request's service own keys."""
        assert self.routes is not None  # by the caller
        policy = self.routes.configuration.services.get(life.service)
        return policy is not None and policy.keyed

    def _choose_any(self, life: _Life) -> servers_lib.Server | outcomes.NotRun:
        """Returns the server that would answer soonest."""
        usable = self._choice.list_usable(life.route, life.service)
        if not usable:
            life.trail.append("no server may be used")
            return self._refuse("no server of the service may be used")
        awake = self._choice.list_awake(usable)
        if not awake:
            return self._refuse_resting(life, usable)
        others = self._choice.list_with_room(awake, life.shed_by)
        chosen = self._choice.choose(others or awake, life.tried)
        return chosen or self._refuse_cold(life, awake)

    async def _choose_owner(
        self, life: _Life
    ) -> servers_lib.Server | outcomes.NotRun:
        """Returns the owner of the request's key once it has one."""
        assert life.request.key is not None  # by the caller
        key = life.request.key
        settings = self._settings
        begun_s = self._clock.monotonic_s()
        target_s = life.route.target_latency_ms / 1_000
        while True:
            now_s = self._clock.monotonic_s()
            waited_s = now_s - begun_s
            owner = self._table.find(life.service, key)
            server = self._book.get(owner.server_id) if owner else None
            if server and not self._choice.is_allowed(
                life.route, server.listed.failure_domain
            ):
                life.trail.append(f"key {key} is owned in another area")
                return self._refuse(
                    "the owner of the key is in another area",
                    settings.retry_again_after_ms,
                )
            if owner and self._book.notices.is_past_drain_limit(
                owner.server_id, now_s
            ):
                # Its keys have not moved in all that time; nobody knows when.
                life.trail.append(f"{owner.server_id}: said that it leaves")
                return self._refuse(
                    "the owner of the key has left",
                    settings.retry_again_after_ms,
                )
            if owner and server and self._book.may_use(server, now_s):
                left_s = settings.move_wait_ratio * target_s - waited_s
                if owner.settled or left_s <= 0:
                    return server
            else:
                left_s = settings.lost_wait_ratio * target_s - waited_s
                if left_s <= 0:
                    life.trail.append(f"key {key} has no owner")
                    return self._refuse(
                        "the key has no owner at present",
                        self._come_back_ms(life),
                    )
            await self._table.changed.wait(min(left_s, 0.05))

    async def _attempt(
        self,
        life: _Life,
        server: servers_lib.Server,
        permit: permit_client.Permit | None,
        *,
        keyed: bool,
    ) -> outcomes.Outcome | None:
        """Tries one server; None means that another try is allowed.

        Args:
            life: The request.
            server: Where it goes.
            permit: Makes this instance wait for no room of its own; is given
                back here.
            keyed: Whether only the server can serve it.
        """
        held_s = 0.0
        pace_ratio = 0.0
        ending = permits_lib.Outcome.UNUSED
        try:
            refusal = await self._enter(life, server, permit, keyed=keyed)
            if refusal is not None:
                return self._conclude(life, refusal)
            started_s = self._clock.monotonic_s()
            try:
                result = await self._send(life, server, permit, keyed=keyed)
            finally:
                held_s = self._clock.monotonic_s() - started_s
                if permit is None:
                    server.queue.release(held_s, _place(life))
            if result is not None:
                ending = permits_lib.classify_attempt(result)
                pace_ratio = self._note_pace(server, result)
        finally:
            if permit is not None:
                self._give_back(permit, held_s, ending, pace_ratio)
        if result is None:
            return None
        self._metrics.attempt_seconds.observe({"service": life.service}, held_s)
        kind = type(result).__name__
        self._metrics.attempts.inc({"service": life.service, "result": kind})
        return await self._weigh(life, server, result, held_s)

    async def _enter(
        self,
        life: _Life,
        server: servers_lib.Server,
        permit: permit_client.Permit | None,
        *,
        keyed: bool,
    ) -> outcomes.NotRun | None:
        """Takes a retry and room at a server; returns a refusal if need be."""
        now_s = self._clock.monotonic_s()
        if permit is None and keyed and server.paused_until_s > now_s:
            life.trail.append(f"{server.listed.server_id}: left alone")
            pause_ms = (server.paused_until_s - now_s) * 1_000
            return self._refuse("the owner has no room", int(pause_ms) + 1)
        if life.arrivals and not self._budget(life.service).spend(now_s):
            life.trail.append("no retry left in the budget")
            return self._refuse("the budget is spent")
        if permit is not None:
            return None
        return await self._wait_for_room(
            life, server.queue, server.listed.server_id
        )

    async def _send(
        self,
        life: _Life,
        server: servers_lib.Server,
        permit: permit_client.Permit | None,
        *,
        keyed: bool,
    ) -> attempts.Attempt | None:
        """Sends a request; None if the choice or its time is over."""

        def may_send() -> bool:
            return self._may_go(life, server, permit, keyed=keyed)

        # It is asked once more when there is a connection.
        if not may_send() or not await self._is_known(life, server, may_send):
            return None
        if not self.watch.may_send(life.subject):
            return None
        server_id = server.listed.server_id
        before = server_id in life.tried
        left_ms = (life.deadline_s - self._clock.monotonic_s()) * 1_000
        life.in_flight = True
        life.tried.add(server_id)
        visit = self.watch.begin(
            life.subject, life.request.request_id, server.listed
        )
        result: attempts.Attempt | attempts.Withheld | None = None
        try:
            result = await self._client.send(
                server.listed, life.request, left_ms, may_send
            )
        finally:
            self.watch.end(visit, result)
        life.in_flight = False
        if not isinstance(result, attempts.Withheld):
            return result
        if not before:
            life.tried.discard(server_id)
        return None

    def _may_go(
        self,
        life: _Life,
        server: servers_lib.Server,
        permit: permit_client.Permit | None,
        *,
        keyed: bool,
    ) -> bool:
        """Whether a request may be sent to a server at this very moment.

        The one place that is asked, whatever way led to the server. Nothing may
        be awaited between this and the first byte.
        """
        now_s = self._clock.monotonic_s()
        if now_s >= life.deadline_s:
            return False
        if self.watch.ledger.refused_for_s(life.subject):
            return False
        if self._book.notices.wants_backoff(server.listed.server_id):
            reason = "it rests"
        elif not self._still_right(life, server, now_s, keyed=keyed):
            reason = "left meanwhile"
        elif self._book.is_cold(server) and not self._covers(permit):
            reason = "it is cold"
        else:
            return True
        event = f"{server.listed.server_id}: {reason}"
        if event not in life.trail[-1:]:
            life.trail.append(event)
        life.goes_alone = True
        return False

    async def _is_known(
        self,
        life: _Life,
        server: servers_lib.Server,
        may_send: attempts.MaySend,
    ) -> bool:
        """Whether it is known of a server whether it is cold.

        The list says so, but one that is old may have missed that the server
        has started again under its name.
        """
        service = self._book.service_of(server)
        heard_s = self.server_list_as_of_s()
        if service is None or service.warmup_rate_per_s is None:
            return True
        now_s = self._clock.monotonic_s()
        if heard_s is None or not service.health_path:
            return True
        if now_s - heard_s < self._settings.list_doubt_age_s:
            return True
        left_s = await self._client.query_warmup_left_s(
            server.listed, service.health_path, heard_s, may_send
        )
        if left_s is None and not may_send():
            return False
        if left_s is None:
            life.trail.append(f"{server.listed.server_id}: does not answer")
            server.note_unreachable(self._clock.monotonic_s())
            life.goes_alone = True
            return False
        if left_s > 0:
            server.mark_cold(self._clock.monotonic_s() + left_s)
        return True

    def _still_right(
        self,
        life: _Life,
        server: servers_lib.Server,
        now_s: float,
        *,
        keyed: bool,
    ) -> bool:
        """Whether the choice still stands after waiting for a slot."""
        if not self._choice.is_allowed(
            life.route, server.listed.failure_domain
        ):
            return False
        if not keyed:
            return self._book.may_use_without_key(server, now_s)
        return self._book.may_use(server, now_s) and self._owns(life, server)

    def _owns(self, life: _Life, server: servers_lib.Server) -> bool:
        """Whether a server owns the key of a request."""
        if life.request.key is None:
            return False
        owner = self._table.find(life.service, life.request.key)
        return owner is not None and owner.server_id == server.listed.server_id

    async def _weigh(
        self,
        life: _Life,
        server: servers_lib.Server,
        result: attempts.Attempt,
        held_s: float,
    ) -> outcomes.Outcome | None:
        """Decides what an attempt's end means for the request."""
        server_id = server.listed.server_id
        now_s = self._clock.monotonic_s()
        if not isinstance(result, attempts.NotSent):
            life.arrivals += 1
        if isinstance(result, outcomes.Answered):
            return self._weigh_answer(life, server, result, held_s)
        if isinstance(result, attempts.Interrupted):
            return await self._weigh_interrupted(life, server, result, held_s)
        if isinstance(result, attempts.NotSent):
            if result.refused:
                server.note_refused(now_s)
            else:
                server.note_unreachable(now_s)
            life.trail.append(f"{server_id}: not sent: {result.reason}")
        elif isinstance(result, attempts.Shed):
            life.shed_by = server_id
            server.note_answer(held_s, failed=True)
            server.shrink_room(now_s)
            rest_s = self._book.notices.backoff_left_s(server_id)
            asks = f", asks for {rest_s:.1f} s of rest" if rest_s else ""
            life.trail.append(f"{server_id}: shed with {result.status}{asks}")
        else:
            life.trail.append(f"{server_id}: not the owner")
            other = result.answered_by != server.listed.name
            if result.answered_by and other:
                self._book.end(
                    server_id, f"{result.answered_by} has its address"
                )
            else:
                pause_s = self._settings.denied_pause_s * 2**life.denials
                life.denials += 1
                await self._table.changed.wait(pause_s)
        if self._may_retry(life):
            return None
        refusal = self._refuse("no server took it", self._come_back_ms(life))
        return self._conclude(life, refusal)

    async def _weigh_interrupted(
        self,
        life: _Life,
        server: servers_lib.Server,
        result: attempts.Interrupted,
        held_s: float,
    ) -> outcomes.Outcome | None:
        """Tries again what broke, if that does no harm."""
        life.runs += 1
        server.note_interrupted()
        server.shrink_room(self._clock.monotonic_s())
        server_id = server.listed.server_id
        life.trail.append(f"{server_id}: interrupted: {result.reason}")
        if self.watch.ledger.is_suspect(life.subject):
            # Another server may end under it: first it is found out whether
            # this one has.
            await self.watch.wait_for_verdict(server.listed)
        # Only the owner of a key could serve it, and one that breaks the
        # connection so soon is full: trying again is left to the caller.
        soon_s = self._settings.full_reset_ratio * server.latency_s
        full = self._is_keyed(life) and held_s < soon_s
        if not full and life.route.idempotent and self._may_retry(life):
            return None
        return self._conclude(life, self._refuse(result.reason))

    def _weigh_answer(
        self,
        life: _Life,
        server: servers_lib.Server,
        answer: outcomes.Answered,
        held_s: float,
    ) -> outcomes.Outcome | None:
        """Passes an answer on, unless trying again does no harm."""
        failed = answer.status >= _FIRST_ERROR_STATUS
        server_id = server.listed.server_id
        server.note_answer(held_s, failed=failed)
        life.runs += 1
        if not failed:
            server.grow_room()
            self._load(life.service).count_answer(server_id, held_s)
            life.trail.append(f"{server_id}: {answer.status}")
            return answer
        life.trail.append(f"{server_id}: failed with {answer.status}")
        life.failure = answer
        if life.route.idempotent and self._may_retry(life):
            return None
        return answer

    def _may_retry(self, life: _Life) -> bool:
        """Whether another attempt is allowed and can still end in time."""
        sent = len(life.trail)
        allowed = life.route.max_attempts + self._settings.extra_attempts
        left_s = life.deadline_s - self._clock.monotonic_s()
        return life.runs < life.route.max_attempts and (
            sent < allowed and left_s > 0
        )

    def _conclude(
        self, life: _Life, refusal: outcomes.NotRun
    ) -> outcomes.Outcome:
        """Returns the truth for a request that is given up."""
        if life.failure is not None:
            return life.failure
        if life.runs:
            return outcomes.Unknown(refusal.reason, 502)
        return refusal

    def _time_out(self, life: _Life) -> outcomes.Outcome:
        """Returns the truth for a request whose time is over."""
        life.trail.append("out of time")
        if life.in_flight or life.runs:
            return outcomes.Unknown("no answer came in time", 504)
        return self._refuse("no server had room in time")

    def _come_back_ms(self, life: _Life) -> int:
        """Returns when to come back if nothing tells how long it will take."""
        settings = self._settings
        first = life.age_s == 0.0
        return (
            settings.retry_after_ms if first else settings.retry_again_after_ms
        )

    def _refuse(
        self, reason: str, retry_after_ms: int | None = None
    ) -> outcomes.NotRun:
        """Returns a refusal that says when to come back."""
        if retry_after_ms is None:
            retry_after_ms = self._settings.retry_after_ms
        return _not_run(reason, retry_after_ms=retry_after_ms)

    def _report(
        self,
        life: _Life,
        left: str,
        outcome: outcomes.Outcome | None = None,
    ) -> None:
        """Writes the request's line and counts it."""
        now_s = self._clock.monotonic_s()
        took_s = now_s - life.request.received_s
        kind = left or type(outcome).__name__
        self._metrics.requests.inc({"service": life.service, "outcome": kind})
        labels = {"service": life.service}
        self._metrics.request_seconds.observe(labels, took_s)
        self._count_ended(life, left, outcome, now_s)
        plain = (
            isinstance(outcome, outcomes.Answered)
            and outcome.status < _FIRST_ERROR_STATUS
            and len(life.trail) == 1
            and took_s * 1_000 <= life.route.target_latency_ms
        )
        write = self._journal.routine if plain else self._journal.decision
        write(
            "request",
            request=life.request.request_id,
            caller=life.request.caller,
            target=life.request.target.decode("latin-1"),
            route=life.route.name,
            service=life.service,
            key=life.request.key,
            configuration=life.configuration_version,
            outcome=kind,
            status=getattr(outcome, "status", None),
            trail=life.trail,
            took_ms=round(took_s * 1_000, 1),
            left_ms=round((life.deadline_s - now_s) * 1_000, 1),
        )

    def _count_ended(
        self,
        life: _Life,
        left: str,
        outcome: outcomes.Outcome | None,
        now_s: float,
    ) -> None:
        """Adds a request to the sums of its route."""
        if left:
            result = tallies.CALLER_LEFT
        elif isinstance(outcome, outcomes.Answered) and (
            outcome.status < _FIRST_ERROR_STATUS
        ):
            in_time = now_s <= life.target_s
            result = tallies.IN_TIME if in_time else tallies.LATE
        else:
            result = tallies.name_cause(life.trail)
        ended = tallies.Ended(
            life.age_s == 0.0, result, now_s - life.request.received_s
        )
        self.tally.count(life.route, life.service, ended)

    def _budget(self, service: ids.ServiceName) -> retry_budget.RetryBudget:
        """Returns a service's retry budget."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._instance.bounds
            settings = retry_budget.RetryBudgetSettings(
                bounds.retry_ratio,
                bounds.retry_window_ms / 1_000,
                bounds.retry_slack,
            )
            budget = retry_budget.RetryBudget(
                settings, lambda: self.instance_count
            )
            self._budgets[service] = budget
        return budget

    def _load(self, service: ids.ServiceName) -> load.LoadCounter:
        """Returns a service's load counter."""
        return self.loads.setdefault(service, load.LoadCounter())


def _name_subject(
    request: attempts.EntryRequest,
) -> poison_requests.Fingerprint:
    """Returns what a request is known by, whatever its id and its key."""
    return poison_requests.compute_fingerprint(
        request.host, request.method, request.target, request.body
    )


def _place(life: _Life) -> queueing.QueueTier:
    """Returns how a request stands in queues."""
    priority = life.route.priority
    return queueing.QueueTier(str(priority), priority, _QUEUE_MAX_COUNT)


def _not_run(
    reason: str, *, status: int = 503, retry_after_ms: int = 0
) -> outcomes.NotRun:
    """Returns a refusal by this instance."""
    return outcomes.NotRun(
        outcomes.NotRunProof.REFUSED_BY_ADMISSION,
        reason,
        status,
        retry_after_ms,
    )
