"""Grants, renews and releases key ranges at backend servers.

A server may hold a range for the length of one lease after the last grant that
it may have received, whether or not it answered. No other server is granted the
range before that, unless the server has released it or its run has certainly
ended.
"""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import dataclasses
from typing import NamedTuple
from typing import Protocol

import anyio

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_entry import attempts
from bridgecross_entry import journal as journals
from bridgecross_entry import keymap
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import model
from bridgecross_entry import proofs
from bridgecross_entry import server_registry
from bridgecross_entry import servers as servers_lib

_NEVER_EXECUTED = (attempts.Refused, attempts.NotTaken, attempts.Withheld)
"""Results showing that the server never received the order and never will."""

_RETRYABLE = (attempts.NoReply, attempts.NotTaken, attempts.Withheld)
"""Results after which an immediate retry may succeed."""


_FIRST_PAUSE_LEASES = 1.5
"""For how many leases a server that hangs is left alone at first: its lease
runs out, and others take its keys."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseSettings:
    """Durations and retry limits of leases."""

    # When a server stops responding, its keys are unavailable for this long, so
    # the lease is short. It must outlast a change of coordinator: 1.1 s until
    # another instance claims leadership, 0.2 s for its turn, 0.2 s to write a
    # key map, after a renewal that is up to 0.6 s old.
    lease_ms: float = 2_500.0
    # The clock of a backend server may run 2% slow.
    drift_ratio: float = 1.02
    # Covers the time between sending an order and its receipt by the server.
    expiry_margin_s: float = 0.15
    # A previous leader may still send orders for this long after half of the
    # instances know of the next leader: its confirmation is valid for 1.5 s,
    # and an order in flight for 0.5 s. Once all instances know of the next
    # leader, only an order in flight remains possible.
    previous_leader_s: float = 2.0
    previous_order_s: float = 0.5
    # A grant is answered within 2 ms; a release is answered only after running
    # requests have ended.
    grant_timeout_s: float = 0.5
    release_timeout_s: float = 1.5
    # The pause before an unanswered order is retried.
    order_pause_s: float = 0.1
    # Attempts to grant a range to its new owner before that server is marked
    # silent.
    grant_tries_max_count: int = 3
    # After this many consecutive failed connections to a silent server, its
    # keys are assigned to new owners, which take them when its lease expires;
    # the log need not be available at that moment. By then the server has left
    # two orders unanswered for about a second; one more attempt, 0.6 s later,
    # would come after its lease.
    unreachable_tries: int = 1
    # A server that still accepts connections, but has answered no order for
    # this many leases, gets no more of them: each could prolong the lease that
    # must run out before others take its keys. Servers that answer orders late
    # do so within some seconds.
    hung_leases_count: float = 2.0
    # After that it is tried again at intervals that double up to this.
    hung_retry_max_s: float = 60.0


class Lead(Protocol):
    """Whether this instance may send orders as the leader, and since when."""

    @property
    def may_order(self) -> bool:
        """Whether this instance is certain to be the leader now."""

    @property
    def half_known_s(self) -> float:
        """When half of the instances first knew of it; infinite before."""

    @property
    def known_to_all_s(self) -> float:
        """When all instances first knew of it; infinite before."""


class _HungServer(NamedTuple):
    """A server that accepts connections but answers no order."""

    pause_s: float
    # When it is tried again.
    retry_s: float


class LeaseManager:
    """Manages the leases on the key ranges of one service."""

    def __init__(
        self,
        service: ids.ServiceName,
        settings: LeaseSettings,
        bounds: model.Bounds,
        lead: Lead,
        client: attempts.LeaseClient,
        registry: server_registry.ServerRegistry,
        journal: journals.Journal,
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
    ) -> None:
        """Starts without any leases; sends nothing."""
        # Servers that rejected a fencing token because they knew a higher one.
        self.outranked: set[ids.ServerId] = set()
        self._service = service
        self._settings = settings
        self._bounds = bounds
        self._lead = lead
        self._client = client
        self._registry = registry
        self._journal = journal
        self._metrics = metrics
        self._clock = clock
        # The time until which each server may hold keys granted to it.
        self._held_until_s: dict[ids.ServerId, float] = {}
        # The number of grants in flight to each server.
        self._in_flight: collections.Counter[ids.ServerId]
        self._in_flight = collections.Counter()
        # Servers that did not answer the last orders, with the number of failed
        # connection attempts since.
        self._silent: dict[ids.ServerId, int] = {}
        # Since when servers that accept connections have answered no order.
        self._unanswered_since_s: dict[ids.ServerId, float] = {}
        # Servers that accept connections but answer no order: how long they are
        # left alone, and until when.
        self._hung: dict[ids.ServerId, _HungServer] = {}

    def assume_held(self, ranges: Iterable[keymap.KeyRange]) -> None:
        """Assumes that another coordinator has just renewed all leases.

        Renewals that a previous leader may have sent since then are accounted
        for by the times at which other instances learned of this leader.
        """
        until_s = self._clock.monotonic_s() + self._lease_s()
        for key_range in ranges:
            self._held_until_s[key_range.owner] = until_s
            self._held_until_s[key_range.previous_owner] = until_s

    def is_lost(self, server_id: ids.ServerId) -> bool:
        """Whether a server stayed silent until its lease expired."""
        return server_id in self._silent and self._leases_expired(server_id)

    def is_unreachable(self, server_id: ids.ServerId) -> bool:
        """Whether a server is silent and does not accept connections either."""
        tries = self._silent.get(server_id, 0)
        return tries >= self._settings.unreachable_tries

    def silent_servers(self) -> Iterable[ids.ServerId]:
        """Returns the servers that did not answer the last orders."""
        return tuple(self._silent)

    def is_responsive(self, server_id: ids.ServerId) -> bool:
        """Whether a server is known and answered its last orders."""
        known = self._registry.get(server_id) is not None
        return known and server_id not in self._silent

    @property
    def previous_orders_expired(self) -> bool:
        """Whether no order of a previous leader can take effect any more."""
        return self._clock.monotonic_s() >= self._previous_orders_end_s()

    async def renew(
        self,
        server_id: ids.ServerId,
        ranges: Collection[keymap.KeyRange],
        may_renew: Callable[[keymap.KeyRange], bool],
    ) -> None:
        """Renews the leases of a server, unless it is silent.

        Args:
            server_id: The server.
            ranges: The ranges that it holds.
            may_renew: Whether a range may still be renewed; called before each
                order, since a range may have been moved while earlier orders
                were waiting for their answers.
        """
        server = self._registry.get(server_id)
        if server is None:
            return
        if server_id in self._silent and not await self._probe_silent(
            server, owns_keys=any(map(may_renew, ranges))
        ):
            # Each further order could extend the lease of an unreachable
            # server and so delay moving its keys elsewhere.
            return
        for key_range in ranges:
            if not may_renew(key_range):
                continue
            if not await self._renew_range(server, key_range, may_renew):
                return

    async def reclaim(
        self,
        previous: ids.ServerId,
        key_range: keymap.KeyRange,
        *,
        may_have_been_asked: bool = False,
    ) -> proofs.Reclaimed:
        """Waits until a server no longer holds a range.

        A server answers a release once no request runs on the range any more.
        A second release finds the range no longer held and is answered at
        once, even while the first still waits for running requests; then only
        the expiry of the lease is reliable.

        Therefore no release is sent while a previous leader may still send
        orders: it may be releasing the same range, and would take the immediate
        answer to its own release as proof. The answer would not be proof here
        either: the server may restart after it, and its new run, which has seen
        no token, may accept a renewal by that leader.

        Args:
            previous: The server.
            key_range: The range as it is after the move.
            may_have_been_asked: Whether a previous leader may already have sent
                a release.

        Returns:
            The proof that the server no longer holds the range, and the state
            that it handed over.
        """
        settings = self._settings
        begun_s = self._clock.monotonic_s()
        while True:
            # Orders meant for an earlier run may have reached the latest one,
            # so the release goes to the latest run.
            holder = self._registry.latest_run(previous)
            if self._cannot_hold(previous, holder, key_range):
                proof = self._proof_of_release(previous, holder, key_range)
                return proofs.Reclaimed(proof)
            server = self._registry.get(holder)
            if server is None or not self.previous_orders_expired:
                # A server missing from our list may still be running, since
                # the list may be out of date.
                await anyio.sleep(settings.order_pause_s)
                continue
            timeout_s = self._release_timeout_s(holder, previous)
            result = await self._release(server, key_range, timeout_s)
            if isinstance(result, attempts.Released):
                if may_have_been_asked:
                    await self._wait_until(self._lease_end_s(begun_s))
                return proofs.Reclaimed(proofs.Proof.RELEASED, result.handover)
            if self._note_if_ended(holder, result):
                return proofs.Reclaimed(proofs.Proof.RUN_ENDED)
            if isinstance(result, attempts.NoReply):
                may_have_been_asked = True
            await anyio.sleep(self._settings.order_pause_s)

    async def _release(
        self,
        server: servers_lib.Server,
        key_range: keymap.KeyRange,
        timeout_s: float,
    ) -> attempts.ReleaseResult:
        """Sends one release and returns its result."""
        is_in_time = self._within(timeout_s)
        result: attempts.ReleaseResult = attempts.NoReply("too slow")
        with anyio.move_on_after(timeout_s):
            result = await self._client.release(
                server.listed,
                key_range.first_key,
                key_range.last_key,
                key_range.token,
                lambda: self._lead.may_order and is_in_time(),
            )
        self._count("release", result)
        return result

    def _cannot_hold(
        self,
        previous: ids.ServerId,
        holder: ids.ServerId,
        key_range: keymap.KeyRange,
    ) -> bool:
        """Whether no run of a server can conflict with the owner of a range.

        Args:
            previous: The run that owned the range before the move.
            holder: The latest run of the same server.
            key_range: The range as it is after the move.
        """
        if holder == previous:
            has_ended = self._registry.has_ended(previous)
            return has_ended or self._leases_expired(previous)
        if holder == key_range.owner:
            # The range stays on the same server under a higher token.
            return True
        return self._leases_expired(previous) and self._leases_expired(holder)

    def _proof_of_release(
        self,
        previous: ids.ServerId,
        holder: ids.ServerId,
        key_range: keymap.KeyRange,
    ) -> proofs.Proof:
        """Returns the proof that a server no longer holds a range."""
        if holder != previous and holder == key_range.owner:
            return proofs.Proof.SAME_SERVER
        if holder == previous and self._registry.has_ended(previous):
            return proofs.Proof.RUN_ENDED
        return proofs.Proof.LEASE_OVER

    def _release_timeout_s(self, *runs: ids.ServerId) -> float:
        """Returns how long to wait for the answer to a release.

        There is no need to wait longer than the lease lasts, since its expiry
        proves as much.

        Args:
            runs: The runs that may hold the range.
        """
        settings = self._settings
        until_s = max(self._held_until_s.get(run, 0.0) for run in runs)
        left_s = until_s - self._clock.monotonic_s()
        return min(
            settings.release_timeout_s, max(left_s, settings.order_pause_s)
        )

    def _lease_end_s(self, moved_s: float) -> float:
        """Returns when the previous owner's lease on a moved range expires.

        Since the move, only an order in flight or a previous leader can have
        renewed it.

        Args:
            moved_s: The time since which this instance has sent the previous
                owner no order for the range.
        """
        last_s = moved_s + self._settings.previous_order_s
        return max(last_s, self._previous_orders_end_s()) + self._lease_s()

    async def _wait_until(self, time_s: float) -> None:
        """Sleeps until a time on the monotonic clock."""
        await anyio.sleep(max(time_s - self._clock.monotonic_s(), 0.0))

    async def grant(
        self,
        key_range: keymap.KeyRange,
        handover: str,
        is_current: Callable[[keymap.KeyRange], bool],
    ) -> bool:
        """Grants a range to its new owner; returns whether that succeeded.

        Args:
            key_range: The range.
            handover: The previous owner's state, with which the new owner
                starts warm; empty if there is none.
            is_current: Whether the range should still be granted; called right
                before each order.
        """
        tries_count = 0
        while tries_count < self._settings.grant_tries_max_count:
            while not self._lead.may_order:
                await anyio.sleep(self._settings.order_pause_s)
            server = self._registry.get(key_range.owner)
            if server is None or self.is_unreachable(key_range.owner):
                return False
            if not is_current(key_range):
                return False
            result = await self._grant(server, key_range, handover, is_current)
            if isinstance(result, attempts.Granted):
                return True
            if isinstance(result, attempts.Withheld):
                # The order was not sent, so this says nothing about the server.
                await anyio.sleep(self._settings.order_pause_s)
                continue
            tries_count += 1
            if self._note_if_ended(key_range.owner, result):
                return False
            if isinstance(result, attempts.Outranked):
                self.outranked.add(key_range.owner)
                return False
            if server.unlisted:
                break
            await anyio.sleep(self._settings.order_pause_s)
        self._mark_silent(key_range.owner, "it does not accept a range")
        return False

    def _is_hung(self, server_id: ids.ServerId, *, owns_keys: bool) -> bool:
        """Whether a server that accepts connections still gets no orders.

        It has answered none for long. It is lost once its lease has run out,
        and tried once after each pause: soon if it still owns keys, which could
        not move.
        """
        now_s = self._clock.monotonic_s()
        hung = self._hung.get(server_id)
        if hung is not None:
            growth_ratio = 1.0 if owns_keys else 2.0
            pause_s = min(
                growth_ratio * hung.pause_s, self._settings.hung_retry_max_s
            )
            self._hung[server_id] = _HungServer(pause_s, now_s + pause_s)
            return False
        since_s = self._unanswered_since_s.get(server_id, now_s)
        hung_after_s = self._settings.hung_leases_count * self._lease_s()
        if now_s - since_s < hung_after_s:
            return False
        pause_s = _FIRST_PAUSE_LEASES * self._lease_s()
        self._hung[server_id] = _HungServer(pause_s, now_s + pause_s)
        return True

    def _forget_unanswered(self, server_id: ids.ServerId) -> None:
        """Forgets that a server accepted connections but answered no order.

        It has answered one, or it accepts no connection either.
        """
        self._unanswered_since_s.pop(server_id, None)
        self._hung.pop(server_id, None)

    async def _probe_silent(
        self, server: servers_lib.Server, *, owns_keys: bool
    ) -> bool:
        """Probes a silent server; returns whether to send it orders again."""
        server_id = server.listed.server_id
        hung = self._hung.get(server_id)
        if hung is not None and self._clock.monotonic_s() < hung.retry_s:
            return False
        reached = False
        with anyio.move_on_after(self._settings.grant_timeout_s):
            reached = await self._client.can_connect(server.listed)
        if not reached:
            self._forget_unanswered(server_id)
            if server_id in self._silent:
                self._silent[server_id] += 1
            return False
        if self._is_hung(server_id, owns_keys=owns_keys):
            return False
        self._silent.pop(server_id, None)
        self._journal.decision("server_heard", server=server_id)
        return True

    async def _renew_range(
        self,
        server: servers_lib.Server,
        key_range: keymap.KeyRange,
        may_renew: Callable[[keymap.KeyRange], bool],
    ) -> bool:
        """Renews one range; returns whether to go on with the next one."""
        server_id = server.listed.server_id
        result = await self._grant(server, key_range, "", may_renew)
        if not self._lead.may_order:
            # It is unknown whether the server answers; another instance may
            # lead by now.
            return False
        is_missed = isinstance(result, _RETRYABLE)
        if is_missed and may_renew(key_range):
            # A single lost packet must not mark a server as silent, and a
            # single pause of this host must not delay a renewal to the next
            # round.
            result = await self._grant(server, key_range, "", may_renew)
        if isinstance(result, (attempts.Granted, attempts.Withheld)):
            return True
        if self._note_if_ended(server_id, result):
            return False
        if isinstance(result, attempts.Outranked):
            self.outranked.add(server_id)
            self._journal.decision(
                "token_outranked",
                service=self._service,
                server=server_id,
                token=key_range.token,
            )
        else:
            self._mark_silent(server_id, result.reason)
        return False

    def _note_if_ended(
        self,
        server_id: ids.ServerId,
        result: attempts.GrantResult | attempts.ReleaseResult,
    ) -> bool:
        """Records and returns whether a result shows that a run has ended."""
        if isinstance(result, attempts.Gone):
            self._registry.end(server_id, result.reason)
            return True
        return False

    def _mark_silent(self, server_id: ids.ServerId, reason: str) -> None:
        """Suspends orders to a server until it is reachable again."""
        now_s = self._clock.monotonic_s()
        self._unanswered_since_s.setdefault(server_id, now_s)
        if server_id not in self._silent:
            self._silent[server_id] = 0
            self._journal.decision(
                "server_silent", server=server_id, reason=reason
            )

    async def _grant(
        self,
        server: servers_lib.Server,
        key_range: keymap.KeyRange,
        handover: str,
        may_renew: Callable[[keymap.KeyRange], bool],
    ) -> attempts.GrantResult:
        """Grants or renews one range, unless permission is lost meanwhile."""
        if not self._lead.may_order:
            return attempts.Withheld()
        is_in_time = self._within(self._settings.grant_timeout_s)

        def may_order() -> bool:
            has_right = self._lead.may_order and may_renew(key_range)
            return has_right and is_in_time()

        lease_ms = min(self._settings.lease_ms, self._bounds.lease_max_ms)
        server_id = server.listed.server_id
        result: attempts.GrantResult = attempts.NoReply("no answer in time")
        self._in_flight[server_id] += 1
        try:
            with anyio.move_on_after(self._settings.grant_timeout_s):
                result = await self._client.grant(
                    server.listed,
                    key_range.first_key,
                    key_range.last_key,
                    key_range.token,
                    lease_ms,
                    handover,
                    may_order,
                )
        finally:
            # An unanswered order may arrive at any time until its timeout.
            self._in_flight[server_id] -= 1
            if not isinstance(result, _NEVER_EXECUTED):
                self._extend_held_until(server_id)
        if isinstance(result, (attempts.Granted, attempts.Outranked)):
            self._forget_unanswered(server_id)
        self._count("grant", result)
        if isinstance(result, attempts.Withheld):
            self._journal.decision(
                "order_withdrawn",
                service=self._service,
                server=server_id,
                first_key=key_range.first_key,
                token=key_range.token,
                leads=self._lead.may_order,
            )
        return result

    def _within(self, time_s: float) -> attempts.MaySend:
        """Returns a predicate that holds for some time from now."""
        until_s = self._clock.monotonic_s() + time_s
        return lambda: self._clock.monotonic_s() < until_s

    def _extend_held_until(self, server_id: ids.ServerId) -> None:
        """Records that a server may hold keys for one lease from now.

        The recorded time never decreases, since other orders may be in flight.
        """
        until_s = self._clock.monotonic_s() + self._lease_s()
        previous_s = self._held_until_s.get(server_id, 0.0)
        self._held_until_s[server_id] = max(previous_s, until_s)

    def _lease_s(self) -> float:
        """Returns the longest time that a lease lasts after it was sent."""
        lease_s = self._settings.lease_ms / 1_000
        return lease_s * self._settings.drift_ratio + (
            self._settings.expiry_margin_s
        )

    def _leases_expired(self, server_id: ids.ServerId) -> bool:
        """Whether every lease that a server may hold has expired.

        This covers leases granted by this instance or by a previous leader.
        """
        if self._in_flight[server_id]:
            return False
        now_s = self._clock.monotonic_s()
        own_until_s = self._held_until_s.get(server_id, 0.0)
        previous_until_s = self._previous_orders_end_s() + self._lease_s()
        return now_s >= max(own_until_s, previous_until_s)

    def _previous_orders_end_s(self) -> float:
        """Returns until when an order of a previous leader may take effect."""
        settings = self._settings
        return min(
            self._lead.half_known_s + settings.previous_leader_s,
            self._lead.known_to_all_s + settings.previous_order_s,
        )

    def _count(
        self, order: str, result: attempts.GrantResult | attempts.ReleaseResult
    ) -> None:
        """Counts an order by its result in the metrics."""
        self._metrics.grants.inc(
            {
                "service": self._service,
                "order": order,
                "result": type(result).__name__,
            }
        )
