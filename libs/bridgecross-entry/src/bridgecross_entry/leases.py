"""Orders to backend servers about ranges of keys, and how long they last.

A server may hold a range for one lease after the last order that it may have
been given, answered or not. Nobody else gets the range before that, unless the
server has released it or its run has certainly ended.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
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
from bridgecross_entry import servers as servers_lib

_NEVER_TAKEN = (attempts.Refused, attempts.NotTaken, attempts.Withheld)
"""Results of an order that the server has not seen and never will."""

_MISSED = (attempts.NoReply, attempts.NotTaken, attempts.Withheld)
"""Results of an order that may fare better at once."""


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseSettings:
    """How leases are kept."""

    # A server that falls silent keeps others from its keys for this long, so
    # it is short. It must outlast the change of a coordinator: 1.1 s until
    # others claim, 0.2 s for their turn, 0.2 s to write a map, after a
    # renewal that is up to 0.6 s old.
    lease_ms: float = 2_500.0
    # A backend server's clock may run 2% slow.
    drift_ratio: float = 1.02
    # Covers the time from our sending to the server's receipt.
    expiry_margin_s: float = 0.15
    # An earlier leader may give orders for this long after a majority know of
    # the next one: its confirmation lasts 1.5 s, and an order that is under
    # way 0.5 s. Once all know of it, only the order under way is left.
    earlier_leader_s: float = 2.0
    earlier_order_s: float = 0.5
    # An order is answered within 2 ms, or after what runs has ended.
    grant_timeout_s: float = 0.5
    release_timeout_s: float = 1.5
    # The pause before an order without an answer is given again.
    order_pause_s: float = 0.1
    # Grants of a range to its new owner before that one counts as silent.
    give_tries: int = 3
    # A silent server that then cannot be reached either, so often in a row,
    # gets heirs for its keys, who take them when its lease is over; the log
    # need not answer at that moment. By then it has left two orders unanswered
    # for a second or so; one more look, 0.6 s later, comes after its lease.
    unreachable_tries: int = 1


class Lead(Protocol):
    """The right of this instance to give orders."""

    @property
    def may_order(self) -> bool:
        """Whether this instance leads for certain at this moment."""

    @property
    def majority_accepted_s(self) -> float:
        """When a majority first knew that it leads; infinite before."""

    @property
    def all_accepted_s(self) -> float:
        """When every other instance first knew it, or had ended."""


class LeaseKeeper:
    """Gives orders about the keys of one service."""

    def __init__(
        self,
        service: ids.ServiceName,
        settings: LeaseSettings,
        bounds: model.Bounds,
        lead: Lead,
        client: attempts.LeaseClient,
        book: servers_lib.ServerRegistry,
        journal: journals.Journal,
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
    ) -> None:
        """Has given no order yet."""
        # Servers that refused a token as too low.
        self.outranked: set[ids.ServerId] = set()
        self._service = service
        self._settings = settings
        self._bounds = bounds
        self._lead = lead
        self._client = client
        self._book = book
        self._journal = journal
        self._metrics = metrics
        self._clock = clock
        # Until when a server may hold keys that it was given.
        self._held_until_s: dict[ids.ServerId, float] = {}
        # Orders to servers that may be taken at any moment.
        self._under_way: collections.Counter[ids.ServerId]
        self._under_way = collections.Counter()
        # Servers that did not answer the last orders, and how often they could
        # not be reached since.
        self._silent: dict[ids.ServerId, int] = {}

    def assume_held(self, ranges: Iterable[keymap.KeyRange]) -> None:
        """Takes it that another coordinator has just renewed all leases.

        What an earlier leader may have ordered since then is waited for by
        what is known of the lead.
        """
        until_s = self._clock.monotonic_s() + self._lease_s()
        for key_range in ranges:
            self._held_until_s[key_range.owner] = until_s
            self._held_until_s[key_range.prior_owner] = until_s

    def is_lost(self, server_id: ids.ServerId) -> bool:
        """Whether a server has been silent until its lease ran out."""
        return server_id in self._silent and self._may_hold_no_more(server_id)

    def is_unreachable(self, server_id: ids.ServerId) -> bool:
        """Whether a server is silent and cannot be reached either."""
        tries = self._silent.get(server_id, 0)
        return tries >= self._settings.unreachable_tries

    def silent_ids(self) -> Iterable[ids.ServerId]:
        """Returns the servers that did not answer the last orders."""
        return tuple(self._silent)

    def is_heard(self, server_id: ids.ServerId) -> bool:
        """Whether a server is known and has answered its last orders."""
        known = self._book.get(server_id) is not None
        return known and server_id not in self._silent

    @property
    def earlier_is_over(self) -> bool:
        """Whether no order of an earlier leader can be taken any more."""
        return self._clock.monotonic_s() >= self._earlier_until_s()

    async def renew(
        self,
        server_id: ids.ServerId,
        ranges: Iterable[keymap.KeyRange],
        still_holds: Callable[[keymap.KeyRange], bool],
    ) -> None:
        """Renews ranges of a server, unless it is silent.

        Args:
            server_id: The server.
            ranges: What it holds.
            still_holds: Asked before each order, since a range may have been
                moved while the orders before it were answered.
        """
        server = self._book.get(server_id)
        if server is None:
            return
        if server_id in self._silent and not await self._hear_again(server):
            # Each further order could prolong the lease of a server that
            # nobody reaches; its keys go elsewhere sooner without.
            return
        for key_range in ranges:
            if not still_holds(key_range):
                continue
            if not await self._renew_range(server, key_range, still_holds):
                return

    async def take_back(
        self,
        prior: ids.ServerId,
        key_range: keymap.KeyRange,
        *,
        asked_before: bool = False,
    ) -> proofs.TakenBack:
        """Waits until a server holds a range no longer.

        A release is answered once nothing runs on the range any more. One that
        follows another finds nothing held and is answered at once, while the
        first still waits for work; then only the end of the lease is certain.

        So nobody is asked while an earlier leader may give orders: it may be
        asking for the same range, and would take the answer for proof. Nor
        would the answer be proof here: the server may start again after it, and
        its new run, which knows no token, take a renewal of that leader.

        Args:
            prior: The server.
            key_range: The range as it is after the move.
            asked_before: Whether an earlier leader may have asked already.

        Returns:
            By what that is known, and what the server hands over.
        """
        settings = self._settings
        begun_s = self._clock.monotonic_s()
        while True:
            # Orders that were meant for an earlier run may have reached the
            # latest one, so that is asked.
            holder = self._book.latest_run(prior)
            if self._holds_no_more(prior, holder, key_range):
                proof = self._name_proof(prior, holder, key_range)
                return proofs.TakenBack(proof)
            server = self._book.get(holder)
            if server is None or not self.earlier_is_over:
                # One that is not on our list, which may be old, may run all
                # the same.
                await anyio.sleep(settings.order_pause_s)
                continue
            timeout_s = self._release_timeout_s(holder, prior)
            result = await self._release(server, key_range, timeout_s)
            if isinstance(result, attempts.Released):
                if asked_before:
                    await self._wait_until(self._lease_over_s(begun_s))
                return proofs.TakenBack(proofs.Proof.RELEASED, result.handover)
            if self._shows_end(holder, result):
                return proofs.TakenBack(proofs.Proof.RUN_ENDED)
            if isinstance(result, attempts.NoReply):
                asked_before = True
            await anyio.sleep(self._settings.order_pause_s)

    async def _release(
        self,
        server: servers_lib.Server,
        key_range: keymap.KeyRange,
        timeout_s: float,
    ) -> attempts.ReleaseResult:
        """Asks a server once for a range."""
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

    def _holds_no_more(
        self,
        prior: ids.ServerId,
        holder: ids.ServerId,
        key_range: keymap.KeyRange,
    ) -> bool:
        """Whether nothing of a server can hold a range against its owner.

        Args:
            prior: The run that the range was taken from.
            holder: The latest run of the same server.
            key_range: The range as it is after the move.
        """
        if holder == prior:
            has_ended = self._book.has_ended(prior)
            return has_ended or self._may_hold_no_more(prior)
        if holder == key_range.owner:
            # The range stays where it may be, under a higher token.
            return True
        return self._may_hold_no_more(prior) and self._may_hold_no_more(holder)

    def _name_proof(
        self,
        prior: ids.ServerId,
        holder: ids.ServerId,
        key_range: keymap.KeyRange,
    ) -> proofs.Proof:
        """Returns what shows that a server holds a range no longer."""
        if holder != prior and holder == key_range.owner:
            return proofs.Proof.SAME_SERVER
        if holder == prior and self._book.has_ended(prior):
            return proofs.Proof.RUN_ENDED
        return proofs.Proof.LEASE_OVER

    def _release_timeout_s(self, *runs: ids.ServerId) -> float:
        """Returns how long to wait for a release to be answered.

        Not longer than the lease may run: its end says as much.

        Args:
            runs: The runs that may hold the range.
        """
        settings = self._settings
        until_s = max(self._held_until_s.get(run, 0.0) for run in runs)
        left_s = until_s - self._clock.monotonic_s()
        return min(
            settings.release_timeout_s, max(left_s, settings.order_pause_s)
        )

    def _lease_over_s(self, moved_s: float) -> float:
        """Returns when the lease of a range is over that has been moved.

        Nobody has renewed it since but who had an order under way, or led
        before.

        Args:
            moved_s: From when on this instance gave no order for its prior
                owner.
        """
        last_s = moved_s + self._settings.earlier_order_s
        return max(last_s, self._earlier_until_s()) + self._lease_s()

    async def _wait_until(self, time_s: float) -> None:
        """Waits for a time on the steady clock."""
        await anyio.sleep(max(time_s - self._clock.monotonic_s(), 0.0))

    async def give(
        self,
        key_range: keymap.KeyRange,
        handover: str,
        still_owns: Callable[[keymap.KeyRange], bool],
    ) -> bool:
        """Grants a range to its new owner; returns whether it holds it.

        Args:
            key_range: The range.
            handover: Makes the new owner start warm; empty if nothing does.
            still_owns: Asked right before each order whether the range is
                still to be given.
        """
        tries_count = 0
        while tries_count < self._settings.give_tries:
            while not self._lead.may_order:
                await anyio.sleep(self._settings.order_pause_s)
            server = self._book.get(key_range.owner)
            if server is None or self.is_unreachable(key_range.owner):
                return False
            if not still_owns(key_range):
                return False
            result = await self._grant(server, key_range, handover, still_owns)
            if isinstance(result, attempts.Granted):
                return True
            if isinstance(result, attempts.Withheld):
                # That says nothing of the server.
                await anyio.sleep(self._settings.order_pause_s)
                continue
            tries_count += 1
            if self._shows_end(key_range.owner, result):
                return False
            if isinstance(result, attempts.Outranked):
                self.outranked.add(key_range.owner)
                return False
            if server.unlisted:
                break
            await anyio.sleep(self._settings.order_pause_s)
        self._note_silent(key_range.owner, "it does not take a range")
        return False

    async def _hear_again(self, server: servers_lib.Server) -> bool:
        """Returns whether a silent server can be reached again."""
        reached = False
        with anyio.move_on_after(self._settings.grant_timeout_s):
            reached = await self._client.reach(server.listed)
        server_id = server.listed.server_id
        if reached:
            self._silent.pop(server_id, None)
            self._journal.decision("server_heard", server=server_id)
        elif server_id in self._silent:
            self._silent[server_id] += 1
        return reached

    async def _renew_range(
        self,
        server: servers_lib.Server,
        key_range: keymap.KeyRange,
        still_holds: Callable[[keymap.KeyRange], bool],
    ) -> bool:
        """Renews one range; returns whether the server goes on."""
        server_id = server.listed.server_id
        result = await self._grant(server, key_range, "", still_holds)
        if not self._lead.may_order:
            # Whether it answers is not known; another may lead by now.
            return False
        is_missed = isinstance(result, _MISSED)
        if is_missed and still_holds(key_range):
            # One lost packet is no reason to give a server up, and one halt of
            # this host none to leave a range for the next round.
            result = await self._grant(server, key_range, "", still_holds)
        if isinstance(result, (attempts.Granted, attempts.Withheld)):
            return True
        if self._shows_end(server_id, result):
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
            self._note_silent(server_id, result.reason)
        return False

    def _shows_end(
        self,
        server_id: ids.ServerId,
        result: attempts.GrantResult | attempts.ReleaseResult,
    ) -> bool:
        """Whether the result of an order shows that a run has ended."""
        if isinstance(result, attempts.Gone):
            self._book.end(server_id, result.reason)
            return True
        return False

    def _note_silent(self, server_id: ids.ServerId, reason: str) -> None:
        """Stops orders to a server until it is reached again."""
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
        still_holds: Callable[[keymap.KeyRange], bool],
    ) -> attempts.GrantResult:
        """Gives or renews one range, while it may."""
        if not self._lead.may_order:
            return attempts.Withheld()
        is_in_time = self._within(self._settings.grant_timeout_s)

        def may_order() -> bool:
            has_right = self._lead.may_order and still_holds(key_range)
            return has_right and is_in_time()

        lease_ms = min(self._settings.lease_ms, self._bounds.lease_max_ms)
        server_id = server.listed.server_id
        result: attempts.GrantResult = attempts.NoReply("no answer in time")
        self._under_way[server_id] += 1
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
            # One without an answer may still arrive until it timed out.
            self._under_way[server_id] -= 1
            if not isinstance(result, _NEVER_TAKEN):
                self._note_held(server_id)
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
        """Returns what tells whether some time from now is not over yet."""
        until_s = self._clock.monotonic_s() + time_s
        return lambda: self._clock.monotonic_s() < until_s

    def _note_held(self, server_id: ids.ServerId) -> None:
        """Keeps until when a server holds what it is given at this moment.

        The time is never lowered: other orders may be under way.
        """
        until_s = self._clock.monotonic_s() + self._lease_s()
        known_s = self._held_until_s.get(server_id, 0.0)
        self._held_until_s[server_id] = max(known_s, until_s)

    def _lease_s(self) -> float:
        """Returns how long a lease may last from its sending."""
        lease_s = self._settings.lease_ms / 1_000
        return lease_s * self._settings.drift_ratio + (
            self._settings.expiry_margin_s
        )

    def _may_hold_no_more(self, server_id: ids.ServerId) -> bool:
        """Whether every lease that a server may have been given is over.

        That is, given by this instance or by an earlier leader.
        """
        if self._under_way[server_id]:
            return False
        now_s = self._clock.monotonic_s()
        own_until_s = self._held_until_s.get(server_id, 0.0)
        earlier_until_s = self._earlier_until_s() + self._lease_s()
        return now_s >= max(own_until_s, earlier_until_s)

    def _earlier_until_s(self) -> float:
        """Returns until when an order of an earlier leader may be taken."""
        settings = self._settings
        return min(
            self._lead.majority_accepted_s + settings.earlier_leader_s,
            self._lead.all_accepted_s + settings.earlier_order_s,
        )

    def _count(
        self, order: str, result: attempts.GrantResult | attempts.ReleaseResult
    ) -> None:
        """Counts an order."""
        self._metrics.grants.inc(
            {
                "service": self._service,
                "order": order,
                "result": type(result).__name__,
            }
        )
