"""Waits until the earlier queue owners of a server cannot act any more."""

import dataclasses
import math
from typing import NamedTuple

import anyio

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_core import notifier
from bridgecross_ownership import authority as authorities
from bridgecross_ownership import cell as cells
from bridgecross_ownership import releases

_RETRY_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True)
class EarlierQueueOwnersSettings:
    """How long the effects of an earlier queue owner may outlast it."""

    # The length of the last lease that it gave, or the longest deadline of a
    # request that it sent.
    residual_ms: int
    # The largest difference in rate between two clocks, as a ratio.
    clock_drift_ratio: float
    # Whether the earlier queue owner is asked if it has drained. If it is
    # alive, its answer saves waiting for the longest deadline that a caller may
    # set, 30 s by default, during which no server serves the keys of a lost
    # one. Servers that check fences are not asked about: they may act until
    # their lease ends.
    asks_whether_drained: bool


class EarlierQueueOwnersPorts(NamedTuple):
    """The dependencies for waiting for the earlier queue owners of a server.

    ``changed`` is notified when an earlier queue owner has no more effects.
    """

    service: ids.ServiceName
    server: ids.ServerId
    authority: authorities.Authority
    witnesses: releases.WitnessSource
    releases: releases.ReleaseSource
    clock: clocks.Clock
    changed: notifier.Notifier


class EarlierQueueOwners:
    """Waits for the queue owners that a server had before its newest one."""

    def __init__(
        self,
        queue_owner: cells.QueueOwnerState,
        settings: EarlierQueueOwnersSettings,
        ports: EarlierQueueOwnersPorts,
    ) -> None:
        """Assumes that every earlier queue owner may still act."""
        self._queue_owner = queue_owner
        self._settings = settings
        self._ports = ports
        self._over_at_s: dict[ids.Token, float] = {
            earlier.token: math.inf for earlier in queue_owner.earlier
        }
        self._created_s = ports.clock.monotonic_s()

    @property
    def over_at_s(self) -> float:
        """The monotonic end of all leases and requests of earlier queue owners.

        Infinite as long as one of them may still act.
        """
        return max(self._over_at_s.values(), default=self._created_s)

    async def run(self) -> None:
        """Waits until no earlier queue owner has effects any more."""
        async with anyio.create_task_group() as tasks:
            for earlier in self._queue_owner.earlier:
                tasks.start_soon(self._wait_for, earlier)

    async def _wait_for(self, earlier: cells.EarlierQueueOwner) -> None:
        """Waits until an earlier queue owner's leases and requests have ended.

        An earlier queue owner has stopped if it has read its replacement. One
        that does not answer loses its authority once no witness confirms it.
        """
        clock = self._ports.clock
        while not await self._is_stopped(earlier):
            await anyio.sleep(_RETRY_INTERVAL_S)
        act_ms = self._ports.authority.settings.authority_ms
        act_ms += self._settings.residual_ms
        act_s = act_ms / 1_000 * (1 + self._settings.clock_drift_ratio)
        until_s = clock.monotonic_s() + act_s
        self._over_at_s[earlier.token] = until_s
        while (left_s := until_s - clock.monotonic_s()) > 0:
            if await self._reports_drained(earlier):
                self._over_at_s[earlier.token] = clock.monotonic_s()
                break
            asks = self._settings.asks_whether_drained
            await anyio.sleep(
                min(_RETRY_INTERVAL_S, left_s) if asks else left_s
            )
        self._ports.changed.notify()

    async def _reports_drained(self, earlier: cells.EarlierQueueOwner) -> bool:
        """Returns whether an earlier queue owner says that it has drained."""
        if not self._settings.asks_whether_drained:
            return False
        query = releases.QueueOwnerDrainedQuery(
            self._ports.service,
            self._ports.server,
            earlier.token,
            ids.Offset(self._queue_owner.token),
        )
        source = self._ports.releases
        return await source.is_queue_owner_drained(earlier.instance, query)

    async def _is_stopped(self, earlier: cells.EarlierQueueOwner) -> bool:
        """Returns whether an earlier queue owner cannot renew its authority.

        It cannot if it, or each of its witnesses, has read its replacement.
        """
        offset = ids.Offset(self._queue_owner.token)
        has_read = self._ports.witnesses.has_read
        if await has_read(earlier.instance, offset):
            return True
        for witness in earlier.witnesses:
            if not await has_read(witness, offset):
                return False
        return True
