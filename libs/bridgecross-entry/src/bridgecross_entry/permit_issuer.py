"""Gives out permits for the servers of one failure domain.

Any instance may be asked: who counts for a service is decided by those who ask
(``permit_client``). Where they differ for a moment, two count the same servers
and each may fill them; the servers' own queues take that up.
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
from bridgecross_entry import servers as servers_lib
from bridgecross_entry import warmups as warmups_lib
from bridgecross_request import queueing


@dataclasses.dataclass(frozen=True, slots=True)
class IssuerSettings:
    """How permits are given out."""

    # How often the servers are looked up anew. They come and go once in
    # seconds; a leaving one is avoided by whoever holds the permit as well.
    recount_interval_s: float = 0.25
    # How long an ask that waits is held before it is answered, the first time
    # and when it is asked again. The answer shows that the issuer lives; a slot
    # that falls free meanwhile is given at once. Who asks again is held for
    # longer: where callers come faster than servers work, most messages are
    # such asks.
    hold_s: float = 0.1
    hold_again_s: float = 0.5
    # A request that has not asked again for this long has no place any more:
    # its instance is lost, or its caller has left.
    forget_s: float = 1.0
    # Requests of one priority that may wait. Most are turned away long before
    # because they would wait for too long; this bounds memory, at 1 KB each.
    waiting_max_count: int = 2_000
    # A permit that is not returned counts until the request's deadline and for
    # this much longer, while its return may be under way.
    expiry_margin_s: float = 0.5


SERVERS = servers_lib.ServerSettings(smoothing_ratio=0.15)
"""How servers are judged by what came of all permits. An issuer sees every
answer of a server, so the last dozen of them are two to ten seconds."""


class _Granted(NamedTuple):
    """A permit that has not come back."""

    service: ids.ServiceName
    server: servers_lib.Server
    place: queueing.QueueTier
    # Whether it took a slot of the service's queue beside the server's.
    is_shared: bool
    expires_s: float


@dataclasses.dataclass(eq=False, slots=True)
class _Waiting:
    """A request that waits for a slot."""

    scope: anyio.CancelScope
    done: anyio.Event
    # When it was last asked for.
    heard_s: float
    reply: permits.Reply | None = None


class _Pool:
    """The servers of one service in this failure domain."""

    def __init__(self, queue: queueing.TierQueue) -> None:
        """Knows no server yet."""
        # For requests that any of the servers can serve.
        self.queue = queue
        self.servers: dict[ids.ServerId, servers_lib.Server] = {}
        # Those that stay; the others only finish what they own.
        self.staying: set[ids.ServerId] = set()
        self.counted_s = float("-inf")


class PermitIssuer:
    """Counts for all instances who is at the servers of a failure domain."""

    def __init__(
        self,
        settings: IssuerSettings,
        server_settings: servers_lib.ServerSettings,
        domain: str,
        book: servers_lib.ServerRegistry,
        journal: journals.Journal,
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
        is_certain: Callable[[ids.ServiceName], bool] = lambda _: False,
        warmups: warmups_lib.WarmupSettings | None = None,
    ) -> None:
        """Has given out nothing.

        Args:
            settings: How permits are given out.
            server_settings: How servers are judged from what came of permits.
            domain: The failure domain of this instance.
            book: The servers that this instance knows.
            journal: Told of permits that never came back.
            metrics: Counts verdicts.
            clock: For all times.
            is_certain: Whether no other instance counts for the servers of a
                service here; if left out, cold ones get nothing.
            warmups: How cold servers are filled.
        """
        # Whether others should be asked instead.
        self.is_stopping = False
        self._settings = settings
        self._server_settings = server_settings
        self._domain = domain
        self._book = book
        self._journal = journal
        self._metrics = metrics
        self._clock = clock
        self._is_certain = is_certain
        self._warmups = warmups_lib.WarmupLedger(
            warmups or warmups_lib.WarmupSettings(), book.bounds, clock
        )
        self._pools: dict[ids.ServiceName, _Pool] = {}
        self._granted: dict[str, _Granted] = {}
        self._waiting: dict[str, _Waiting] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    @property
    def granted_count(self) -> int:
        """Permits that have not come back."""
        return len(self._granted)

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Begins to answer.

        Args:
            tasks: Where requests wait.
        """
        self._tasks = tasks

    async def ask(self, ask: permits.Ask) -> permits.Reply:
        """Answers one who asks for a permit."""
        reply = await self._ask(ask)
        labels = {"service": ask.service, "verdict": reply.verdict.value}
        self._metrics.permits.inc(labels)
        return reply

    def take_back(self, back: permits.Return) -> None:
        """Takes a permit back."""
        waiting = self._waiting.pop(back.ticket, None)
        if waiting is not None:
            waiting.scope.cancel()
        granted = self._granted.pop(back.ticket, None)
        if granted is None:
            return
        self._learn(granted.server, back)
        self._release(granted, back.held_s)

    # Asking.

    async def _ask(self, ask: permits.Ask) -> permits.Reply:
        """Answers one who asks."""
        pool = self._pool(ask.service)
        server = pool.servers.get(ask.server_id)
        turned_away = self._turn_away(ask, pool, server)
        if turned_away is not None:
            return turned_away
        granted = self._granted.get(ask.ticket)
        if granted is not None and ask.ticket not in self._waiting:
            # Heard twice: one slot is enough. It covers no cold server, since
            # nobody can tell how old it is.
            server_id = granted.server.listed.server_id
            return permits.Reply(permits.Verdict.GRANTED, server_id)
        waiting = self._waiting.get(ask.ticket)
        if waiting is not None:
            return await self._hold(ask, waiting, self._settings.hold_again_s)
        return await self._ask_first(ask, pool, server)

    async def _ask_first(
        self,
        ask: permits.Ask,
        pool: _Pool,
        server: servers_lib.Server | None,
    ) -> permits.Reply:
        """Answers one who has not asked for this request before."""
        now_s = self._clock.monotonic_s()
        queue = server.queue if server is not None else pool.queue
        due = queueing.Deadlines(
            now_s + ask.target_in_s, now_s + ask.deadline_in_s
        )
        if queue.try_acquire(self._place(ask), due):
            return self._grant(ask, pool, server, may_be_cold=True)
        is_cold = server is not None and self._is_cold(server)
        if is_cold or not ask.may_wait:
            # Who waits for a cold one would not know how old a permit is.
            wait_s = queue.estimate_wait_s(ask.priority)
            return permits.Reply(permits.Verdict.FULL, wait_s=wait_s)
        waiting = _Waiting(anyio.CancelScope(), anyio.Event(), now_s)
        self._waiting[ask.ticket] = waiting
        assert self._tasks is not None  # or it would have been turned away
        self._tasks.start_soon(self._wait, ask, waiting, queue, due)
        return await self._hold(ask, waiting, self._settings.hold_s)

    def _turn_away(
        self,
        ask: permits.Ask,
        pool: _Pool,
        server: servers_lib.Server | None,
    ) -> permits.Reply | None:
        """Returns why nothing can be done for a request; None if it can."""
        if self.is_stopping or self._tasks is None or not pool.servers:
            return permits.Reply(permits.Verdict.ELSEWHERE)
        if not ask.server_id:
            return None
        if server is None:
            return permits.Reply(permits.Verdict.UNCOUNTED)
        pause_s = server.paused_until_s - self._clock.monotonic_s()
        if pause_s > 0:
            return _refuse("left alone", pause_s)
        rest_s = self._rest_left_s(server)
        if rest_s > 0:
            return _refuse("the server wants to be left alone", rest_s)
        wait_s = self._cold_wait_s(ask.service, server)
        return _refuse("the server is warming up", wait_s) if wait_s else None

    def _rest_left_s(self, server: servers_lib.Server) -> float:
        """Returns for how long a server wants nothing from this instance.

        Whoever asks for a permit may not have been told, but would be.
        """
        return self._book.notices.backoff_left_s(server.listed.server_id)

    # Cold servers.

    def _is_cold(self, server: servers_lib.Server) -> bool:
        """Whether a server must be taken for cold."""
        return self._cold_rate_per_s(server) is not None

    def _cold_rate_per_s(self, server: servers_lib.Server) -> float | None:
        """Returns what a server bears if it is cold; None if it is not."""
        known = self._book.get(server.listed.server_id)
        return None if known is None else self._book.cold_rate_per_s(known)

    def _cold_wait_s(
        self, service: ids.ServiceName, server: servers_lib.Server
    ) -> float:
        """Returns how long until a server may have one more; 0 if at once."""
        rate_per_s = self._cold_rate_per_s(server)
        if rate_per_s is None:
            return 0.0
        server_id = server.listed.server_id
        wait_s = math.inf
        if self._is_certain(service):
            wait_s = self._warmups.wait_s(server_id, rate_per_s)
        known = self._book.get(server_id)
        if known is None:
            return wait_s
        # By then it is warm.
        return min(wait_s, known.cold_until_s - self._clock.monotonic_s())

    async def _hold(
        self, ask: permits.Ask, waiting: _Waiting, hold_s: float
    ) -> permits.Reply:
        """Waits for a slot, but no longer than an asker may be left waiting."""
        waiting.heard_s = self._clock.monotonic_s()
        with anyio.move_on_after(hold_s):
            await waiting.done.wait()
        if waiting.reply is None:
            return permits.Reply(permits.Verdict.WAITING)
        self._waiting.pop(ask.ticket, None)
        return waiting.reply

    async def _wait(
        self,
        ask: permits.Ask,
        waiting: _Waiting,
        queue: queueing.TierQueue,
        due: queueing.Deadlines,
    ) -> None:
        """Waits in a queue on behalf of a request."""
        with waiting.scope:
            slot = await queue.acquire(self._place(ask), due)
            if isinstance(slot, queueing.Refused):
                wait_s = slot.retry_after_ms / 1_000
                waiting.reply = _refuse(slot.reason, wait_s)
            else:
                waiting.reply = self._grant_late(ask, queue)
        waiting.done.set()

    def _grant_late(
        self, ask: permits.Ask, queue: queueing.TierQueue
    ) -> permits.Reply:
        """Gives a permit to one that waited; its servers may have gone."""
        pool = self._pool(ask.service)
        server = pool.servers.get(ask.server_id)
        if ask.server_id:
            is_there = server is not None and server.queue is queue
        else:
            is_there = bool(pool.servers)
        if server is not None and self._is_cold(server):
            # It has turned cold meanwhile, and the permit would not count.
            queue.release(queue.settings.first_guess_s, self._place(ask))
            wait_s = self._cold_wait_s(ask.service, server)
            return _refuse("the server is warming up", wait_s)
        rest_s = self._rest_left_s(server) if server is not None else 0.0
        if rest_s > 0:
            queue.release(queue.settings.first_guess_s, self._place(ask))
            return _refuse("the server wants to be left alone", rest_s)
        if is_there:
            return self._grant(ask, pool, server, may_be_cold=False)
        queue.release(queue.settings.first_guess_s, self._place(ask))
        return permits.Reply(permits.Verdict.UNCOUNTED)

    def _grant(
        self,
        ask: permits.Ask,
        pool: _Pool,
        server: servers_lib.Server | None,
        *,
        may_be_cold: bool,
    ) -> permits.Reply:
        """Gives a permit; the slot in the queue has been taken.

        Args:
            ask: The request.
            pool: The servers of its service.
            server: The only one that can serve it; None if any can.
            may_be_cold: Whether it may be for a cold server; who waited may
                have asked long ago.
        """
        now_s = self._clock.monotonic_s()
        place = self._place(ask)
        is_shared = server is None
        chosen = server or self._choose(
            ask, pool, now_s, may_be_cold=may_be_cold
        )
        if chosen is None:
            pool.queue.release(pool.queue.settings.first_guess_s, place)
            return self._put_off(ask, pool)
        server = chosen
        if is_shared:
            server.queue.take(place)
        covers_cold = may_be_cold and self._is_cold(server)
        if covers_cold:
            self._warmups.take(server.listed.server_id)
        expires_s = now_s + ask.deadline_in_s + self._settings.expiry_margin_s
        self._granted[ask.ticket] = _Granted(
            ask.service, server, place, is_shared, expires_s
        )
        return permits.Reply(
            permits.Verdict.GRANTED,
            server.listed.server_id,
            covers_cold=covers_cold,
        )

    def _put_off(self, ask: permits.Ask, pool: _Pool) -> permits.Reply:
        """Says when there may be room at servers that all rest or are cold."""
        wait_s = min(
            max(
                self._rest_left_s(server),
                self._cold_wait_s(ask.service, server),
            )
            for server in pool.servers.values()
        )
        if ask.may_wait:
            are_resting = all(map(self._rest_left_s, pool.servers.values()))
            what = "want to be left alone" if are_resting else "are warming up"
            return _refuse(f"the servers {what}", wait_s)
        return permits.Reply(permits.Verdict.FULL, wait_s=wait_s)

    def _choose(
        self,
        ask: permits.Ask,
        pool: _Pool,
        now_s: float,
        *,
        may_be_cold: bool,
    ) -> servers_lib.Server | None:
        """Returns the server that would answer soonest.

        None if all that there are rest, or are cold and have had what they
        bear.
        """
        awake = {
            server_id: server
            for server_id, server in pool.servers.items()
            if not self._rest_left_s(server)
        }
        known = [
            server
            for server_id, server in awake.items()
            if server_id in pool.staying
        ]
        known = known or list(awake.values())
        known = [
            server
            for server in known
            if not self._is_cold(server)
            or (may_be_cold and not self._cold_wait_s(ask.service, server))
        ]
        if not known:
            return None
        ready = [s for s in known if s.paused_until_s <= now_s] or known
        fresh = [s for s in ready if s.listed.server_id not in ask.tried]
        candidates = fresh or ready
        free = [s for s in candidates if s.queue.busy < s.queue.settings.slots]
        return min(
            free or candidates, key=lambda s: s.cost_s(self._domain, now_s)
        )

    def _place(self, ask: permits.Ask) -> queueing.QueueTier:
        """Returns how a request stands in queues."""
        return queueing.QueueTier(
            str(ask.priority), ask.priority, self._settings.waiting_max_count
        )

    # Counting.

    def _learn(self, server: servers_lib.Server, back: permits.Return) -> None:
        """Takes in what came of a permit."""
        now_s = self._clock.monotonic_s()
        ending = back.ending
        if back.pace_ratio > 0:
            server.note_pace(back.pace_ratio, now_s)
        if ending is permits.Ending.ANSWERED:
            server.note_answer(back.held_s, failed=False)
        elif ending in (permits.Ending.FAILED, permits.Ending.SHED):
            # One that turns requests away has no more of them than slots, so it
            # does not lack room: fewer would leave it idle, and the owner of a
            # key with a queue that never ends.
            server.note_answer(back.held_s, failed=True)
        elif ending is permits.Ending.INTERRUPTED:
            server.note_interrupted()
        elif ending is permits.Ending.REFUSED:
            server.note_refused(now_s)
            known = self._book.get(server.listed.server_id)
            if known is not None:
                # Whoever answers there next has just started, for all.
                known.mark_cold(now_s + known.warmup_s)
        elif ending is permits.Ending.UNREACHABLE:
            server.note_unreachable(now_s)

    def _release(self, granted: _Granted, held_s: float) -> None:
        """Gives the slots of a permit to those that wait."""
        granted.server.queue.release(held_s, granted.place)
        if granted.is_shared:
            pool = self._pools[granted.service]
            pool.queue.release(held_s, granted.place)

    def sweep(self) -> None:
        """Forgets what nobody asks for, and permits that never came back."""
        self._warmups.sweep()
        now_s = self._clock.monotonic_s()
        for ticket, waiting in list(self._waiting.items()):
            if now_s - waiting.heard_s > self._settings.forget_s:
                del self._waiting[ticket]
                waiting.scope.cancel()
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
        """Frees the slots of a permit that nobody uses."""
        granted = self._granted.pop(ticket, None)
        if granted is not None:
            queue = granted.server.queue
            self._release(granted, queue.settings.first_guess_s)

    def _pool(self, service: ids.ServiceName) -> _Pool:
        """Returns the servers of a service as of now."""
        now_s = self._clock.monotonic_s()
        pool = self._pools.get(service)
        if pool is None:
            pool = _Pool(self._make_queue(1))
            self._pools[service] = pool
        if now_s - pool.counted_s > self._settings.recount_interval_s:
            pool.counted_s = now_s
            self._recount(service, pool, now_s)
        return pool

    def _recount(
        self, service: ids.ServiceName, pool: _Pool, now_s: float
    ) -> None:
        """Takes in which servers there are."""
        near = [
            server
            for server in self._book.of_service(service)
            if server.listed.failure_domain == self._domain
        ]
        listed = {
            server.listed.server_id: server.listed
            for server in near
            if self._book.may_use(server, now_s)
        }
        pool.staying = {
            server.listed.server_id
            for server in near
            if self._book.is_staying(server, now_s)
        }
        for server_id in pool.servers.keys() - listed.keys():
            del pool.servers[server_id]
        for server_id, each in listed.items():
            known = pool.servers.get(server_id)
            if known is None:
                pool.servers[server_id] = servers_lib.Server(
                    each,
                    self._make_queue(each.slots),
                    self._server_settings,
                    now_s,
                )
            else:
                known.listed = each
        slots = sum(
            self._usable_slots(s)
            for s in pool.servers.values()
            if s.paused_until_s <= now_s
            and s.listed.server_id in pool.staying
            and not self._rest_left_s(s)
        )
        pool.queue.settings = self._queue_settings(max(slots, 1))

    def _usable_slots(self, server: servers_lib.Server) -> int:
        """Returns how many requests a server is counted for.

        A cold one works on about one at a time at the rate that it bears.
        """
        return 1 if self._is_cold(server) else server.queue.settings.slots

    def _make_queue(self, slots: int) -> queueing.TierQueue:
        """Returns a queue in front of some slots."""
        return queueing.TierQueue(self._queue_settings(slots), self._clock)

    def _queue_settings(self, slots: int) -> queueing.QueueSettings:
        """Returns settings of a queue in front of some slots."""
        return queueing.QueueSettings(
            slots,
            starvation_share_ratio=0.0,
            late_slots=float(slots),
            first_guess_s=self._server_settings.first_guess_s,
        )


def _refuse(reason: str, wait_s: float) -> permits.Reply:
    """Returns a refusal with the time after which to come back."""
    return permits.Reply(
        permits.Verdict.REFUSED,
        wait_s=wait_s,
        reason=reason,
        retry_after_ms=max(int(wait_s * 1_000), 1),
    )
