"""Issues permits for the servers of one failure domain.

Any instance may be asked: which one issues permits for a service is decided by
the requesting instances (``permit_client``). If they briefly disagree, two
issuers count the same servers and each may fill them; the servers' own queues
absorb the excess.
"""

from collections.abc import Callable
import dataclasses
import math
from typing import NamedTuple

import anyio
import anyio.abc

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_entry import journal as journals
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import permits
from bridgecross_entry import server_registry
from bridgecross_entry import servers as servers_lib
from bridgecross_entry import warmups as warmups_lib
from bridgecross_request import fair_share
from bridgecross_request import queueing


@dataclasses.dataclass(frozen=True, slots=True)
class IssuerSettings:
    """Timing and limits of issuing permits."""

    # How often the list of servers is refreshed. Servers come and go every few
    # seconds; the holder of a permit avoids a leaving server as well.
    recount_interval_s: float = 0.25
    # How long a waiting request is held before it gets an answer, the first
    # time and when it is repeated. The answer shows that the issuer is alive; a
    # slot that becomes free meanwhile is granted at once. Repeated requests are
    # held for longer: where callers arrive faster than servers work, most
    # messages are such requests.
    long_poll_s: float = 0.1
    repeat_long_poll_s: float = 0.5
    # A waiting request that has not been repeated for this long loses its
    # place: its instance is lost, or its caller has disconnected.
    waiter_timeout_s: float = 1.0
    # The number of waiting requests of one priority. Most are refused long
    # before because they would wait for too long; this bounds memory, at 1 KB
    # each.
    waiting_max_count: int = 2_000
    # A permit that is not returned counts until the request's deadline and for
    # this much longer, while its return may be in flight.
    expiry_margin_s: float = 0.5


SERVER_SETTINGS = servers_lib.ServerSettings(smoothing_ratio=0.15)
"""How servers are rated by the outcomes of all permits. An issuer sees every
answer of a server, so the last dozen of them span two to ten seconds."""


class _GrantedPermit(NamedTuple):
    """A permit that has not been returned."""

    service: ids.ServiceName
    server: servers_lib.Server
    queue_tier: queueing.QueueTier
    # Whether it occupies a slot of the service's queue besides the server's.
    is_shared: bool
    expires_s: float


@dataclasses.dataclass(eq=False, slots=True)
class _Waiter:
    """A request that waits for a slot."""

    scope: anyio.CancelScope
    done: anyio.Event
    # When it was last requested.
    last_polled_s: float
    reply: permits.Reply | None = None


class _Pool:
    """The servers of one service in this failure domain."""

    def __init__(
        self, queue: queueing.TierQueue, shares: fair_share.CallerShares
    ) -> None:
        """Starts without any servers."""
        # Counts the requests of callers at all queues of the service.
        self.shares = shares
        # The queue of requests that any of the servers can serve.
        self.queue = queue
        self.servers: dict[ids.ServerId, servers_lib.Server] = {}
        # Servers that are not leaving; the others only serve keys that they
        # own.
        self.staying: set[ids.ServerId] = set()
        self.counted_s = float("-inf")


class PermitIssuer:
    """Counts the requests of all instances at a failure domain's servers."""

    def __init__(
        self,
        settings: IssuerSettings,
        server_settings: servers_lib.ServerSettings,
        domain: str,
        registry: server_registry.ServerRegistry,
        journal: journals.Journal,
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
        is_sole_issuer: Callable[[ids.ServiceName], bool] = lambda _: False,
        warmups: warmups_lib.WarmupSettings | None = None,
    ) -> None:
        """Starts without any permits.

        Args:
            settings: Timing and limits.
            server_settings: How servers are rated by the outcomes of permits.
            domain: The failure domain of this instance.
            registry: The servers that this instance knows.
            journal: Records permits that were never returned.
            metrics: Counts verdicts.
            clock: Measures all times.
            is_sole_issuer: Whether no other instance issues permits for a
                service in this domain; if omitted, none are issued for cold
                servers.
            warmups: How permits for cold servers are issued.
        """
        # Whether requests should go to another issuer.
        self.is_stopping = False
        self._settings = settings
        self._server_settings = server_settings
        self._domain = domain
        self._registry = registry
        self._journal = journal
        self._metrics = metrics
        self._clock = clock
        self._is_sole_issuer = is_sole_issuer
        self._warmups = warmups_lib.WarmupLedger(
            warmups or warmups_lib.WarmupSettings(), registry.bounds, clock
        )
        self._pools: dict[ids.ServiceName, _Pool] = {}
        self._granted: dict[str, _GrantedPermit] = {}
        self._waiters: dict[str, _Waiter] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    @property
    def granted_count(self) -> int:
        """The number of permits that have not been returned."""
        return len(self._granted)

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts issuing permits.

        Args:
            tasks: Runs the tasks of waiting requests.
        """
        self._tasks = tasks

    async def handle_request(self, request: permits.Request) -> permits.Reply:
        """Answers a request for a permit."""
        reply = await self._handle(request)
        labels = {"service": request.service, "verdict": reply.verdict.value}
        self._metrics.permits.inc(labels)
        if reply.verdict is permits.Verdict.REFUSED:
            self._metrics.permit_refusals.inc(
                {
                    "service": request.service,
                    "reason": reply.reason,
                    "tier": str(request.priority),
                }
            )
        return reply

    def handle_return(self, returned: permits.Return) -> None:
        """Processes a returned permit."""
        waiter = self._waiters.pop(returned.ticket, None)
        if waiter is not None:
            waiter.scope.cancel()
        granted = self._granted.pop(returned.ticket, None)
        if granted is None:
            return
        self._note_outcome(granted.server, returned)
        self._release(granted, returned.held_s)

    # Requests.

    async def _handle(self, request: permits.Request) -> permits.Reply:
        """Decides on a request."""
        pool = self._pool(request.service)
        server = pool.servers.get(request.server_id)
        refusal = self._refuse_early(request, pool, server)
        if refusal is not None:
            return refusal
        granted = self._granted.get(request.ticket)
        if granted is not None and request.ticket not in self._waiters:
            # A repeated request needs only one slot. The permit does not cover
            # a cold server, since its age is unknown.
            server_id = granted.server.listed.server_id
            return permits.Reply(permits.Verdict.GRANTED, server_id)
        waiter = self._waiters.get(request.ticket)
        if waiter is not None:
            return await self._long_poll(
                request, waiter, self._settings.repeat_long_poll_s
            )
        return await self._handle_first(request, pool, server)

    async def _handle_first(
        self,
        request: permits.Request,
        pool: _Pool,
        server: servers_lib.Server | None,
    ) -> permits.Reply:
        """Decides on a request that was not received before."""
        now_s = self._clock.monotonic_s()
        queue = server.queue if server is not None else pool.queue
        deadlines = queueing.Deadlines(
            now_s + request.target_in_s, now_s + request.deadline_in_s
        )
        tier = self._make_queue_tier(request)
        if queue.try_acquire(tier, deadlines):
            return self._grant(request, pool, server, may_be_cold=True)
        is_cold = server is not None and self._is_cold(server)
        if is_cold or not request.may_wait:
            # After waiting for a cold server, the age of a permit would be
            # unknown.
            wait_s = queue.estimate_wait_s(request.priority)
            return permits.Reply(permits.Verdict.FULL, wait_s=wait_s)
        waiter = _Waiter(anyio.CancelScope(), anyio.Event(), now_s)
        self._waiters[request.ticket] = waiter
        assert self._tasks is not None  # otherwise refused before
        self._tasks.start_soon(self._wait, request, waiter, queue, deadlines)
        return await self._long_poll(
            request, waiter, self._settings.long_poll_s
        )

    def _refuse_early(
        self,
        request: permits.Request,
        pool: _Pool,
        server: servers_lib.Server | None,
    ) -> permits.Reply | None:
        """Returns an immediate refusal; None if a slot may be found."""
        if self.is_stopping or self._tasks is None or not pool.servers:
            return permits.Reply(permits.Verdict.ELSEWHERE)
        if not request.server_id:
            return None
        if server is None:
            return permits.Reply(permits.Verdict.UNCOUNTED)
        pause_s = server.paused_until_s - self._clock.monotonic_s()
        if pause_s > 0:
            return _refuse("left alone", pause_s)
        backoff_s = self._backoff_left_s(server)
        if backoff_s > 0:
            return _refuse("the server wants to be left alone", backoff_s)
        wait_s = self._cold_wait_s(request.service, server)
        return _refuse("the server is warming up", wait_s) if wait_s else None

    def _backoff_left_s(self, server: servers_lib.Server) -> float:
        """Returns the remaining backoff that a server has asked for.

        The requesting instance may not have been asked for it, but would be.
        """
        return self._registry.notices.backoff_left_s(server.listed.server_id)

    # Cold servers.

    def _is_cold(self, server: servers_lib.Server) -> bool:
        """Whether a server must be treated as cold."""
        return self._cold_rate_per_s(server) is not None

    def _cold_rate_per_s(self, server: servers_lib.Server) -> float | None:
        """Returns the request rate for a cold server; None if it is warm."""
        registered = self._registry.get(server.listed.server_id)
        return (
            None
            if registered is None
            else self._registry.cold_rate_per_s(registered)
        )

    def _cold_wait_s(
        self, service: ids.ServiceName, server: servers_lib.Server
    ) -> float:
        """Returns how long until a server may get a request; 0 if at once."""
        rate_per_s = self._cold_rate_per_s(server)
        if rate_per_s is None:
            return 0.0
        server_id = server.listed.server_id
        wait_s = math.inf
        if self._is_sole_issuer(service):
            wait_s = self._warmups.wait_s(server_id, rate_per_s)
        registered = self._registry.get(server_id)
        if registered is None:
            return wait_s
        # The server is warm by then.
        return min(wait_s, registered.cold_until_s - self._clock.monotonic_s())

    async def _long_poll(
        self, request: permits.Request, waiter: _Waiter, long_poll_s: float
    ) -> permits.Reply:
        """Waits for a slot, for a limited time before an interim answer."""
        waiter.last_polled_s = self._clock.monotonic_s()
        with anyio.move_on_after(long_poll_s):
            await waiter.done.wait()
        if waiter.reply is None:
            return permits.Reply(permits.Verdict.WAITING)
        self._waiters.pop(request.ticket, None)
        return waiter.reply

    async def _wait(
        self,
        request: permits.Request,
        waiter: _Waiter,
        queue: queueing.TierQueue,
        deadlines: queueing.Deadlines,
    ) -> None:
        """Waits in a queue on behalf of a request."""
        with waiter.scope:
            slot = await queue.acquire(
                self._make_queue_tier(request),
                deadlines,
                request.origin,
            )
            if isinstance(slot, queueing.Refused):
                wait_s = slot.retry_after_ms / 1_000
                waiter.reply = _refuse(slot.reason, wait_s)
            else:
                waiter.reply = self._grant_after_wait(request, queue)
        waiter.done.set()

    def _grant_after_wait(
        self, request: permits.Request, queue: queueing.TierQueue
    ) -> permits.Reply:
        """Grants a permit after waiting, if its server is still usable."""
        pool = self._pool(request.service)
        server = pool.servers.get(request.server_id)
        if request.server_id:
            is_there = server is not None and server.queue is queue
        else:
            is_there = bool(pool.servers)
        if server is not None and self._is_cold(server):
            # It has become cold meanwhile, and a permit would not cover it.
            queue.release(
                queue.settings.first_guess_s, self._make_queue_tier(request)
            )
            wait_s = self._cold_wait_s(request.service, server)
            return _refuse("the server is warming up", wait_s)
        backoff_s = self._backoff_left_s(server) if server is not None else 0.0
        if backoff_s > 0:
            queue.release(
                queue.settings.first_guess_s, self._make_queue_tier(request)
            )
            return _refuse("the server wants to be left alone", backoff_s)
        if is_there:
            return self._grant(request, pool, server, may_be_cold=False)
        queue.release(
            queue.settings.first_guess_s, self._make_queue_tier(request)
        )
        return permits.Reply(permits.Verdict.UNCOUNTED)

    def _grant(
        self,
        request: permits.Request,
        pool: _Pool,
        server: servers_lib.Server | None,
        *,
        may_be_cold: bool,
    ) -> permits.Reply:
        """Grants a permit; the slot in the queue has already been acquired.

        Args:
            request: The request for a permit.
            pool: The servers of its service.
            server: The only one that can serve it; None if any can.
            may_be_cold: Whether a cold server may be used; not after waiting,
                since the request may be old.
        """
        now_s = self._clock.monotonic_s()
        queue_tier = self._make_queue_tier(request)
        is_shared = server is None
        chosen = server or self._choose(
            request, pool, now_s, may_be_cold=may_be_cold
        )
        if chosen is None:
            pool.queue.release(pool.queue.settings.first_guess_s, queue_tier)
            return self._refuse_unavailable(request, pool)
        server = chosen
        if is_shared:
            server.queue.force_acquire(queue_tier)
        covers_cold = may_be_cold and self._is_cold(server)
        if covers_cold:
            self._warmups.record_grant(server.listed.server_id)
        expires_s = (
            now_s + request.deadline_in_s + self._settings.expiry_margin_s
        )
        self._granted[request.ticket] = _GrantedPermit(
            request.service, server, queue_tier, is_shared, expires_s
        )
        return permits.Reply(
            permits.Verdict.GRANTED,
            server.listed.server_id,
            covers_cold=covers_cold,
        )

    def _refuse_unavailable(
        self, request: permits.Request, pool: _Pool
    ) -> permits.Reply:
        """Refuses a request whose servers all want backoff or are cold."""
        wait_s = min(
            max(
                self._backoff_left_s(server),
                self._cold_wait_s(request.service, server),
            )
            for server in pool.servers.values()
        )
        if request.may_wait:
            all_want_backoff = all(
                map(self._backoff_left_s, pool.servers.values())
            )
            what = (
                "want to be left alone"
                if all_want_backoff
                else "are warming up"
            )
            return _refuse(f"the servers {what}", wait_s)
        return permits.Reply(permits.Verdict.FULL, wait_s=wait_s)

    def _choose(
        self,
        request: permits.Request,
        pool: _Pool,
        now_s: float,
        *,
        may_be_cold: bool,
    ) -> servers_lib.Server | None:
        """Returns the server that is expected to answer soonest.

        None if every server has asked for backoff, or is cold and has got all
        the requests that it may get.
        """
        accepting = {
            server_id: server
            for server_id, server in pool.servers.items()
            if not self._backoff_left_s(server)
        }
        eligible = [
            server
            for server_id, server in accepting.items()
            if server_id in pool.staying
        ]
        eligible = eligible or list(accepting.values())
        eligible = [
            server
            for server in eligible
            if not self._is_cold(server)
            or (may_be_cold and not self._cold_wait_s(request.service, server))
        ]
        if not eligible:
            return None
        ready = [s for s in eligible if s.paused_until_s <= now_s] or eligible
        fresh = [s for s in ready if s.listed.server_id not in request.tried]
        candidates = fresh or ready
        free = [s for s in candidates if s.queue.busy < s.queue.settings.slots]
        return min(
            free or candidates, key=lambda s: s.cost_s(self._domain, now_s)
        )

    def _make_queue_tier(self, request: permits.Request) -> queueing.QueueTier:
        """Returns the tier in which a request is queued."""
        return queueing.QueueTier(
            str(request.priority),
            request.priority,
            self._settings.waiting_max_count,
        )

    # Outcomes and slots.

    def _note_outcome(
        self, server: servers_lib.Server, returned: permits.Return
    ) -> None:
        """Updates a server's statistics with the outcome of a permit."""
        now_s = self._clock.monotonic_s()
        outcome = returned.outcome
        if returned.pace_ratio > 0:
            server.note_pace(returned.pace_ratio, now_s)
        if outcome is permits.Outcome.ANSWERED:
            server.note_answer(returned.held_s, failed=False)
        elif outcome in (permits.Outcome.FAILED, permits.Outcome.SHED):
            # A server that sheds has no more requests than slots, so its slots
            # are not reduced: fewer would leave it idle, and would leave the
            # owner of a key with a queue that never empties.
            server.note_answer(returned.held_s, failed=True)
        elif outcome is permits.Outcome.INTERRUPTED:
            server.note_interrupted()
        elif outcome is permits.Outcome.REFUSED:
            server.note_refused(now_s)
            registered = self._registry.get(server.listed.server_id)
            if registered is not None:
                # The next server to answer there has just started, whichever
                # instance reaches it.
                registered.mark_cold(now_s + registered.warmup_s)
        elif outcome is permits.Outcome.UNREACHABLE:
            server.note_unreachable(now_s)

    def _release(self, granted: _GrantedPermit, held_s: float) -> None:
        """Frees the slots of a permit for waiting requests."""
        granted.server.queue.release(held_s, granted.queue_tier)
        if granted.is_shared:
            pool = self._pools[granted.service]
            pool.queue.release(held_s, granted.queue_tier)

    def sweep(self) -> None:
        """Drops abandoned requests, and permits that were never returned."""
        self._warmups.sweep()
        for service, pool in self._pools.items():
            if self._registry.has_few_slots(service):
                count = pool.shares.count_above()
                self._metrics.callers_above_share.set(
                    {"service": service}, count
                )
        now_s = self._clock.monotonic_s()
        for ticket, waiter in list(self._waiters.items()):
            if now_s - waiter.last_polled_s > self._settings.waiter_timeout_s:
                del self._waiters[ticket]
                waiter.scope.cancel()
                self._forget(ticket)
        overdue = [
            ticket
            for ticket, granted in self._granted.items()
            if now_s > granted.expires_s
        ]
        for ticket in overdue:
            self._forget(ticket)
        if overdue:
            self._journal.decision("permits_expired", count=len(overdue))

    def _forget(self, ticket: str) -> None:
        """Frees the slots of an unused or expired permit."""
        granted = self._granted.pop(ticket, None)
        if granted is not None:
            queue = granted.server.queue
            self._release(granted, queue.settings.first_guess_s)

    def _pool(self, service: ids.ServiceName) -> _Pool:
        """Returns the servers of a service, refreshed when due."""
        now_s = self._clock.monotonic_s()
        pool = self._pools.get(service)
        if pool is None:
            shares = fair_share.CallerShares(
                self._server_settings.shares, self._clock
            )
            pool = _Pool(self._make_queue(service, 1, shares), shares)
            self._pools[service] = pool
        if now_s - pool.counted_s > self._settings.recount_interval_s:
            pool.counted_s = now_s
            self._recount(service, pool, now_s)
        return pool

    def _recount(
        self, service: ids.ServiceName, pool: _Pool, now_s: float
    ) -> None:
        """Updates the servers of a pool from the known ones."""
        near = [
            server
            for server in self._registry.of_service(service)
            if server.listed.failure_domain == self._domain
        ]
        listed = {
            server.listed.server_id: server.listed
            for server in near
            if self._registry.may_use(server, now_s)
        }
        pool.staying = {
            server.listed.server_id
            for server in near
            if self._registry.is_staying(server, now_s)
        }
        for server_id in pool.servers.keys() - listed.keys():
            del pool.servers[server_id]
        for server_id, each in listed.items():
            existing = pool.servers.get(server_id)
            if existing is None:
                pool.servers[server_id] = servers_lib.Server(
                    each,
                    self._make_queue(service, each.slots, pool.shares),
                    self._server_settings,
                    now_s,
                )
            else:
                existing.listed = each
                self._update_overload(existing)
        slots = sum(
            self._usable_slots(s)
            for s in pool.servers.values()
            if s.paused_until_s <= now_s
            and s.listed.server_id in pool.staying
            and not self._backoff_left_s(s)
        )
        pool.queue.settings = self._queue_settings(service, max(slots, 1))

    def _usable_slots(self, server: servers_lib.Server) -> int:
        """Returns how many slots of a server are counted.

        A cold server at its permitted rate works on about one request at a
        time.
        """
        return 1 if self._is_cold(server) else server.queue.settings.slots

    def _update_overload(self, server: servers_lib.Server) -> None:
        """Sets how a server's queue works in overload, if that changed."""
        queue = server.queue
        overload = self._registry.find_overload(server.listed.service)
        if queue.settings.overload is not overload:
            queue.settings = dataclasses.replace(
                queue.settings, overload=overload
            )

    def _make_queue(
        self,
        service: ids.ServiceName,
        slots: int,
        shares: fair_share.CallerShares,
    ) -> queueing.TierQueue:
        """Returns a queue in front of some slots."""
        return queueing.TierQueue(
            self._queue_settings(service, slots), self._clock, shares
        )

    def _queue_settings(
        self, service: ids.ServiceName, slots: int
    ) -> queueing.QueueSettings:
        """Returns settings of a queue in front of some slots."""
        return queueing.QueueSettings(
            slots,
            starvation_share_ratio=0.0,
            late_slots=float(slots),
            first_guess_s=self._server_settings.first_guess_s,
            overload=self._registry.find_overload(service),
        )


def _refuse(reason: str, wait_s: float) -> permits.Reply:
    """Returns a refusal with the time after which to retry."""
    return permits.Reply(
        permits.Verdict.REFUSED,
        wait_s=wait_s,
        reason=reason,
        retry_after_ms=max(int(wait_s * 1_000), 1),
    )
