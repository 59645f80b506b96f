"""Waits until the earlier owners of a server's slices have released them."""

import collections
from typing import NamedTuple

import anyio
import anyio.abc

from bridgecross_core import ids
from bridgecross_core import notifier
from bridgecross_ownership import cell as cells
from bridgecross_ownership import leases
from bridgecross_ownership import releases

_RETRY_INTERVAL_S = 0.05


class PriorOwnersPorts(NamedTuple):
    """The dependencies for asking earlier owners.

    ``changed`` is notified whenever one of them has answered.
    """

    cell: cells.Cell
    releases: releases.ReleaseSource
    changed: notifier.Notifier


class PriorOwners:
    """Asks the queue owners of earlier owners, with one task for each owner."""

    def __init__(self, server: ids.ServerId, ports: PriorOwnersPorts) -> None:
        """Starts without tasks.

        Args:
            server: The server whose slices are to become free.
            ports: The dependencies.
        """
        self._server = server
        self._ports = ports
        # Slices that every earlier owner has released, with the log's tokens.
        self._freed: dict[ids.SliceIndex, ids.Token] = {}
        self._released_by: collections.defaultdict[
            leases.SliceGrant, set[ids.ServerId]
        ] = collections.defaultdict(set)
        self._asking: set[ids.ServerId] = set()

    def is_free(self, index: ids.SliceIndex) -> bool:
        """Returns whether no earlier owner can act on a slice any more."""
        state = self._ports.cell.slices[index]
        return not state.prior or self._freed.get(index) == state.token

    def has_unasked(self) -> bool:
        """Returns whether some earlier owner is not being asked yet."""
        return bool(self._list_owners() - self._asking)

    def start_asking(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts a task for each earlier owner that is not being asked."""
        for owner in sorted(self._list_owners() - self._asking):
            self._asking.add(owner)
            tasks.start_soon(self._ask, owner)

    def _list_owners(self) -> set[ids.ServerId]:
        """Returns the earlier owners that have slices to release."""
        return {
            owner
            for index in self._ports.cell.list_slices_of(self._server)
            for owner in self._list_blockers(index)
        }

    def _list_blockers(self, index: ids.SliceIndex) -> set[ids.ServerId]:
        """Returns the earlier owners that have not released a slice."""
        if self.is_free(index):
            return set()
        state = self._ports.cell.slices[index]
        grant = leases.SliceGrant(index, state.token)
        return set(state.prior) - self._released_by.get(grant, set())

    def _list_unreleased(self, owner: ids.ServerId) -> list[leases.SliceGrant]:
        """Returns the slices that an earlier owner must still release."""
        cell = self._ports.cell
        return [
            leases.SliceGrant(index, cell.slices[index].token)
            for index in cell.list_slices_of(self._server)
            if owner in self._list_blockers(index)
        ]

    async def _ask(self, owner: ids.ServerId) -> None:
        """Asks an earlier owner's queue owner until all slices are released."""
        try:
            while wanted := self._list_unreleased(owner):
                released = await self._ask_once(owner, wanted)
                self._record_released(owner, wanted, released)
                if not released:
                    await anyio.sleep(_RETRY_INTERVAL_S)
        finally:
            self._asking.discard(owner)

    async def _ask_once(
        self, owner: ids.ServerId, wanted: list[leases.SliceGrant]
    ) -> set[ids.SliceIndex]:
        """Asks once; returns the slices that were released."""
        cell = self._ports.cell
        queue_owner = cell.queue_owners.get(owner)
        if queue_owner is None:
            return set()
        query = releases.ReleaseQuery(cell.service, owner, wanted, cell.head)
        reply = await self._ports.releases.await_release(
            queue_owner.instance, query
        )
        return set(reply.released)

    def _record_released(
        self,
        owner: ids.ServerId,
        wanted: list[leases.SliceGrant],
        released: set[ids.SliceIndex],
    ) -> None:
        """Frees the slices that their last earlier owner has released."""
        for grant in wanted:
            state = self._ports.cell.slices[grant.slice]
            if grant.slice not in released or state.token != grant.token:
                continue
            self._released_by[grant].add(owner)
            if self._released_by[grant].issuperset(state.prior):
                self._freed[grant.slice] = grant.token
                del self._released_by[grant]
        self._ports.changed.notify()
