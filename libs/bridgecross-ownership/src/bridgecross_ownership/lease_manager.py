"""Renews the lease of one server and opens its slices to requests.

All requests to a server pass through one instance, its queue owner. The queue
owner runs one lease manager per server. It renews the lease, grants a slice
once every earlier owner has released it, and answers other queue owners that
ask whether this server has released a slice.
"""

import collections
import dataclasses
import enum
from typing import NamedTuple

import anyio
import anyio.abc
import loguru

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_core import notifier
from bridgecross_ownership import _earlier_queue_owners
from bridgecross_ownership import _prior_owners
from bridgecross_ownership import authority as authorities
from bridgecross_ownership import cell as cells
from bridgecross_ownership import leases
from bridgecross_ownership import releases
from bridgecross_timeline import events
from bridgecross_timeline import ring as rings

_RELEASE_WAIT_S = 1.0


class ServerHealth(enum.Enum):
    """A server's health as observed by its queue owner."""

    UNKNOWN = "unknown"
    UP = "up"
    DRAINING = "draining"
    DOWN = "down"


@dataclasses.dataclass(frozen=True)
class LeaseManagerSettings:
    """The settings of a service that a lease manager uses."""

    # Whether the server refuses a wrong token or an expired lease.
    checks_fences: bool
    # The length of the lease.
    lease_ms: int
    # The interval between renewals.
    renew_interval_ms: int
    # The number of failed renewals in a row after which a server is down.
    renew_misses: int
    # The longest deadline of a request.
    max_deadline_ms: int
    # The largest difference in rate between two clocks, as a ratio.
    clock_drift_ratio: float


class LeaseManagerPorts(NamedTuple):
    """The dependencies of a lease manager."""

    me: ids.InstanceId
    cell: cells.Cell
    authority: authorities.Authority
    transport: leases.LeaseTransport
    releases: releases.ReleaseSource
    witnesses: releases.WitnessSource
    clock: clocks.Clock
    ring: rings.Ring


class LeaseManager:
    """A queue owner's task that manages the lease of one backend server."""

    def __init__(
        self,
        server: ids.ServerId,
        queue_owner: cells.QueueOwnerState,
        settings: LeaseManagerSettings,
        ports: LeaseManagerPorts,
    ) -> None:
        """Starts without a lease.

        Args:
            server: The backend server.
            queue_owner: The log's entry that makes this instance the queue
                owner.
            settings: The service's settings; replaced when they change.
            ports: The manager's dependencies.
        """
        self.server = server
        self.queue_owner = queue_owner
        self.settings = settings
        self.health = ServerHealth.UNKNOWN
        self.changed = notifier.Notifier()
        self.load: collections.Counter[ids.SliceIndex] = collections.Counter()
        self._ports = ports
        self._log = loguru.logger.bind(server=server)
        # The slices that the server has accepted, with the tokens sent to it.
        self._granted: dict[ids.SliceIndex, ids.Token] = {}
        # Slices of this server that its backup serves, with the log's tokens.
        self._handed_over: dict[ids.SliceIndex, ids.Token] = {}
        # Slices of lost servers that this one serves as their backup.
        self._takeovers: dict[ids.SliceIndex, releases.Takeover] = {}
        self._busy: collections.Counter[ids.SliceIndex] = collections.Counter()
        self._release_waiters = 0
        # When the deadlines of unanswered requests have passed, by slice.
        self._busy_until_s: dict[ids.SliceIndex, float] = {}
        self._misses = 0
        self._sequence = 0
        self._sent_grants: list[leases.SliceGrant] | None = None
        self._prior = _prior_owners.PriorOwners(
            server,
            _prior_owners.PriorOwnersPorts(
                ports.cell, ports.releases, self.changed
            ),
        )
        self._earlier = self._make_earlier_queue_owners(queue_owner)
        self._term = leases.LeaseTerm(settings.clock_drift_ratio)
        # The slices that the server may hold; None while they are unknown.
        self._maybe_held: set[ids.SliceIndex] | None = (
            None if queue_owner.earlier else set()
        )
        # The queue owner token that the server has accepted from this instance.
        self._accepted_queue_owner_token = ids.NO_TOKEN

    def find_grant_token(self, index: ids.SliceIndex) -> ids.Token | None:
        """Returns the token under which this server should serve a slice.

        Returns:
            The token, or None if another server or the backup should serve it.
        """
        if not self._is_queue_owner():
            return None
        state = self._ports.cell.slices[index]
        if self._has_taken_over(index):
            return leases.make_grant_token(state.token, is_backup=True)
        if state.server != self.server:
            return None
        if self._handed_over.get(index) == state.token:
            return None
        return leases.make_grant_token(state.token, is_backup=False)

    def hand_over(self, index: ids.SliceIndex) -> releases.Takeover | None:
        """Hands a slice of the lost server over to its backup.

        This requires that the server certainly cannot act any more, and that
        the log is unavailable, so that the slice cannot be reassigned there.
        The server does not get the slice back until the log moves it.

        Returns:
            The takeover to send to the backup's queue owner, or None if the
            slice cannot be handed over.
        """
        state = self._ports.cell.slices[index]
        if state.server != self.server or not self._is_queue_owner():
            return None
        if self._handed_over.get(index) != state.token:
            if not self._may_hand_over(index):
                return None
            self._handed_over[index] = state.token
        return releases.Takeover(
            index, self.server, state.token, self.queue_owner.token
        )

    def take_over(self, takeover: releases.Takeover) -> bool:
        """Takes over a slice of a lost server; returns whether it may."""
        self._takeovers[takeover.slice] = takeover
        self.changed.notify()
        return self._has_taken_over(takeover.slice)

    def list_handed_over(self) -> list[leases.SliceGrant]:
        """Returns the slices that the backup serves, with the log's tokens."""
        return [
            leases.SliceGrant(index, token)
            for index, token in self._handed_over.items()
            if self._ports.cell.slices[index].token == token
            and self._ports.cell.slices[index].server == self.server
        ]

    def is_open(self, index: ids.SliceIndex, token: ids.Token) -> bool:
        """Returns whether a request for a slice may be sent now.

        Args:
            index: The slice.
            token: The token that ``find_grant_token`` returned.
        """
        if (
            not self._may_act_as_queue_owner()
            or self.find_grant_token(index) != token
        ):
            return False
        if self._granted.get(index) != token:
            return False
        if not self.settings.checks_fences:
            return True
        if self._accepted_queue_owner_token != self.queue_owner.token:
            return False
        now_s = self._ports.clock.monotonic_s()
        return now_s < self._term.confirmed_until_s

    def replace_queue_owner(self, queue_owner: cells.QueueOwnerState) -> None:
        """Continues under a newer token, such as with new witnesses."""
        self.queue_owner = queue_owner
        self._sent_grants = None
        self.changed.notify()

    def is_queue_owner_accepted(self) -> bool:
        """Returns whether the server accepted this queue owner for good.

        It then cannot act for an earlier queue owner any more.
        """
        if self._accepted_queue_owner_token != self.queue_owner.token:
            return False
        if self.settings.checks_fences:
            return True
        return self._ports.clock.monotonic_s() >= self._earlier.over_at_s

    async def wait_open(
        self, index: ids.SliceIndex, token: ids.Token, timeout_s: float
    ) -> bool:
        """Waits until requests for a slice may be sent.

        Returns:
            Whether they may. It returns False early once this instance is no
            longer the server's queue owner, the slice has another owner, or the
            slice may be handed over.
        """
        await self.changed.wait_until(
            lambda: (
                self.is_open(index, token)
                or self.find_grant_token(index) != token
                or self._may_hand_over(index)
            ),
            timeout_s,
        )
        return self.is_open(index, token)

    def begin_request(self, index: ids.SliceIndex) -> None:
        """Counts a request for a slice that is being sent to the server."""
        self._busy[index] += 1
        self.load[index] += 1

    def end_request(self, index: ids.SliceIndex, over_at_s: float) -> None:
        """Records that the queue owner is done with a request.

        Args:
            index: The request's slice.
            over_at_s: The monotonic time after which the server certainly no
                longer runs the request; a time in the past if it answered.
        """
        if over_at_s > self._busy_until_s.get(index, 0.0):
            self._busy_until_s[index] = over_at_s
        self._busy[index] -= 1
        if not self._busy[index]:
            del self._busy[index]
            if self._release_waiters:
                self.changed.notify()

    def list_settled(self) -> list[leases.SliceGrant]:
        """Returns the granted slices whose earlier owners the log still lists.

        They have the tokens of the log.
        """
        slices = self._ports.cell.slices
        return [
            leases.SliceGrant(index, slices[index].token)
            for index, token in self._granted.items()
            if slices[index].prior
            and slices[index].server == self.server
            and self.find_grant_token(index) == token
        ]

    def is_idle(self) -> bool:
        """Returns whether none of this queue owner's requests can run."""
        now_s = self._ports.clock.monotonic_s()
        unanswered = self._busy_until_s.values()
        return not self._busy and all(
            until_s <= now_s for until_s in unanswered
        )

    async def answer_release(
        self, query: releases.ReleaseQuery
    ) -> releases.ReleaseReply:
        """Waits a short while until the server has released a queried slice."""
        released: list[ids.SliceIndex] = []

        def find() -> bool:
            if self._ports.cell.head < query.head:
                return False
            released[:] = [
                wanted.slice
                for wanted in query.wanted
                if self._has_released(wanted)
            ]
            return bool(released)

        self._release_waiters += 1
        try:
            await self.changed.wait_until(find, _RELEASE_WAIT_S)
        finally:
            self._release_waiters -= 1
        return releases.ReleaseReply(released)

    async def run(self) -> None:
        """Renews the lease until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._earlier.run)
            while True:
                await self._step(tasks)
                await self._sleep()

    async def _step(self, tasks: anyio.abc.TaskGroup) -> None:
        """Asks earlier owners, then makes one lease exchange."""
        if self._is_queue_owner():
            self._prior.start_asking(tasks)
        if not self._may_act_as_queue_owner():
            await anyio.sleep(self.settings.renew_interval_ms / 1_000)
            return
        grants = self._list_grantable()
        await self._exchange(grants)
        is_up = self.health is not ServerHealth.DOWN
        if is_up and not self.settings.checks_fences:
            self._granted = {grant.slice: grant.token for grant in grants}
        self._record_lapse()
        self.changed.notify()

    async def _sleep(self) -> None:
        """Sleeps until the next renewal or a change of what to grant or ask."""
        interval_s = self.settings.renew_interval_ms / 1_000
        await self.changed.wait_until(
            lambda: (
                self._list_grantable() != self._sent_grants
                or (self._is_queue_owner() and self._prior.has_unasked())
            ),
            interval_s,
        )

    def _make_earlier_queue_owners(
        self, queue_owner: cells.QueueOwnerState
    ) -> _earlier_queue_owners.EarlierQueueOwners:
        """Returns the object that waits for earlier queue owners."""
        settings = self.settings
        return _earlier_queue_owners.EarlierQueueOwners(
            queue_owner,
            _earlier_queue_owners.EarlierQueueOwnersSettings(
                settings.lease_ms
                if settings.checks_fences
                else settings.max_deadline_ms,
                settings.clock_drift_ratio,
                asks_whether_drained=not settings.checks_fences,
            ),
            _earlier_queue_owners.EarlierQueueOwnersPorts(
                self._ports.cell.service,
                self.server,
                self._ports.authority,
                self._ports.witnesses,
                self._ports.releases,
                self._ports.clock,
                self.changed,
            ),
        )

    def _is_queue_owner(self) -> bool:
        """Returns whether this is still the server's newest queue owner."""
        return (
            self._ports.cell.queue_owners.get(self.server) == self.queue_owner
        )

    def _has_taken_over(self, index: ids.SliceIndex) -> bool:
        """Returns whether this server's takeover of a slice is in force."""
        takeover = self._takeovers.get(index)
        if takeover is None:
            return False
        state = self._ports.cell.slices[index]
        queue_owner = self._ports.cell.queue_owners.get(takeover.owner)
        return (
            queue_owner is not None
            and (state.server, state.token) == (takeover.owner, takeover.token)
            and (queue_owner.token, queue_owner.backup)
            == (takeover.queue_owner_token, self.server)
        )

    def _may_hand_over(self, index: ids.SliceIndex) -> bool:
        """Returns whether the backup may serve a slice for the server now."""
        state = self._ports.cell.slices[index]
        return (
            self.health is ServerHealth.DOWN
            and bool(self.queue_owner.backup)
            and state.server == self.server
            and self._prior.is_free(index)
            and not self._ports.authority.has_log()
            and self._may_act_as_queue_owner()
            and self._is_queue_owner()
            and self._cannot_act(index)
        )

    def _cannot_act(self, index: ids.SliceIndex) -> bool:
        """Returns whether the server, if not renewed, cannot act any more."""
        if self._busy[index]:
            return False
        until_s = self._earlier.over_at_s
        if self.settings.checks_fences:
            until_s = max(until_s, self._term.over_at_s)
        else:
            until_s = max(until_s, self._busy_until_s.get(index, 0.0))
        return self._ports.clock.monotonic_s() >= until_s

    def _may_act_as_queue_owner(self) -> bool:
        """Returns whether this instance has authority to act as queue owner."""
        return self._ports.authority.may_act_as_queue_owner(
            self.queue_owner.witnesses
        )

    def _list_grantable(self) -> list[leases.SliceGrant]:
        """Returns the slices to grant: owned, and released by earlier owners.

        Slices taken over from a lost server are granted as well.
        """
        cell = self._ports.cell
        if not self._is_queue_owner():
            return []
        wanted = []
        taken_over = [i for i in self._takeovers if self._has_taken_over(i)]
        for index in [*cell.list_slices_of(self.server), *taken_over]:
            token = self.find_grant_token(index)
            is_free = index in taken_over or self._prior.is_free(index)
            if token is not None and is_free:
                wanted.append(leases.SliceGrant(index, token))
        return wanted

    async def _exchange(self, grants: list[leases.SliceGrant]) -> None:
        """Exchanges one lease message with the server."""
        settings = self.settings
        sent_s = self._ports.clock.monotonic_s()
        echo = self._term.begin_exchange(settings.lease_ms)
        self._sequence += 1
        if self._maybe_held is not None:
            self._maybe_held.update(grant.slice for grant in grants)
        request = leases.LeaseRequest(
            service=self._ports.cell.service,
            front=self._ports.me,
            front_token=self.queue_owner.token,
            sequence=self._sequence,
            echo=echo,
            lease_ms=settings.lease_ms,
            grants=grants,
        )
        self._sent_grants = grants
        try:
            with anyio.fail_after(settings.renew_interval_ms / 1_000):
                reply = await self._ports.transport.exchange(
                    self.server, request
                )
        except (leases.ServerUnreachableError, TimeoutError) as error:
            await self._record_miss(repr(error), sent_s)
            return
        received_s = self._ports.clock.monotonic_s()
        if not reply.accepted:
            self._log.info("the server refused the lease: {}", reply.reason)
            await self._record_miss(reply.reason, sent_s)
            return
        self._accepted_queue_owner_token = ids.Token(request.front_token)
        self._term.end_exchange(
            echo, reply, sent_s, received_s, settings.lease_ms
        )
        self._record_reply(reply, grants)
        if echo is None or echo.incarnation != reply.clock.incarnation:
            self._sent_grants = None

    def _record_reply(
        self, reply: leases.LeaseReply, grants: list[leases.SliceGrant]
    ) -> None:
        """Records an accepting reply."""
        self._misses = 0
        self._maybe_held = {held.slice for held in reply.held}
        granted = {grant.slice: grant.token for grant in grants}
        if granted != self._granted:
            self._granted = granted
            self._ports.ring.add(
                events.SlicesGranted(
                    self._ports.cell.service, self.server, len(granted)
                )
            )
        health = ServerHealth.DRAINING if reply.draining else ServerHealth.UP
        if self.health is ServerHealth.DOWN:
            self._ports.ring.add(
                events.FaultObserved(f"server {self.server}", "answers again")
            )
        self.health = health

    async def _record_miss(self, reason: str, sent_s: float) -> None:
        """Counts a failed exchange; after several, the server is down."""
        self._misses += 1
        if self._misses >= self.settings.renew_misses:
            self._term.forget_echo()
            if self.health is not ServerHealth.DOWN:
                self.health = ServerHealth.DOWN
                self._ports.ring.add(
                    events.FaultObserved(f"server {self.server}", reason)
                )
        spent_s = self._ports.clock.monotonic_s() - sent_s
        await anyio.sleep(
            max(self.settings.renew_interval_ms / 1_000 - spent_s, 0.0)
        )

    def _record_lapse(self) -> None:
        """Records once that the lease of a server that is down has expired."""
        lapsed = self._ports.clock.monotonic_s() >= self._term.over_at_s
        if self.health is ServerHealth.DOWN and lapsed and self._granted:
            self._granted = {}
            self._ports.ring.add(
                events.LeaseLost(
                    self._ports.cell.service, self.server, "not renewed"
                )
            )

    def _has_released(self, wanted: leases.SliceGrant) -> bool:
        """Returns whether the server cannot act on a slice any more."""
        state = self._ports.cell.slices[wanted.slice]
        if state.token < wanted.token or state.server == self.server:
            return False
        if not self._is_queue_owner() or self._has_taken_over(wanted.slice):
            return False
        if self._cannot_act(wanted.slice):
            return True
        return (
            self.settings.checks_fences
            and not self._busy[wanted.slice]
            and self._maybe_held is not None
            and wanted.slice not in self._maybe_held
        )
