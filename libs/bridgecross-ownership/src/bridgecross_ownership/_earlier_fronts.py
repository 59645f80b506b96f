"""Waits until the earlier fronts of a server cannot act any more."""

import dataclasses
import math
from typing import NamedTuple

import anyio

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_core import pulse
from bridgecross_ownership import authority as authorities
from bridgecross_ownership import cell as cells
from bridgecross_ownership import releases

_RETRY_S = 0.05


@dataclasses.dataclass(frozen=True)
class EarlierFrontsSettings:
    """How long something of an earlier front may go on without it."""

    # The lease that it gave last, or the deadline of a request that it sent.
    aftermath_ms: int
    # The difference in rate that two clocks may have.
    clock_drift_ratio: float


class EarlierFrontsPorts(NamedTuple):
    """What is needed to be sure of earlier fronts.

    ``changed`` is notified when all that they did is over.
    """

    authority: authorities.Authority
    witnesses: releases.WitnessSource
    clock: clocks.Clock
    changed: pulse.Pulse


class EarlierFronts:
    """Makes sure that the earlier fronts of a server have stopped."""

    def __init__(
        self,
        front: cells.FrontState,
        settings: EarlierFrontsSettings,
        ports: EarlierFrontsPorts,
    ) -> None:
        """Knows nothing of the earlier fronts yet, if there were any."""
        self._front = front
        self._settings = settings
        self._ports = ports
        self._over_at_s = (
            math.inf if front.earlier else ports.clock.monotonic_s()
        )

    @property
    def over_at_s(self) -> float:
        """When all that they granted or sent is over, monotonic.

        Infinite as long as one of them may still act.
        """
        return self._over_at_s

    async def run(self) -> None:
        """Waits until all is over.

        An earlier front has stopped if it has read its replacement. One that
        does not answer stops by itself once no witness confirms it any more.
        """
        if not self._front.earlier:
            return
        for earlier in self._front.earlier:
            while not await self._is_stopped(earlier):
                await anyio.sleep(_RETRY_S)
        act_ms = self._ports.authority.settings.authority_ms
        act_ms += self._settings.aftermath_ms
        act_s = act_ms / 1_000 * (1 + self._settings.clock_drift_ratio)
        self._over_at_s = self._ports.clock.monotonic_s() + act_s
        await anyio.sleep(act_s)
        self._ports.changed.notify()

    async def _is_stopped(self, earlier: cells.EarlierFront) -> bool:
        """Returns whether an earlier front cannot renew its authority."""
        offset = ids.Offset(self._front.token)
        has_read = self._ports.witnesses.has_read
        if await has_read(earlier.front, offset):
            return True
        for witness in earlier.witnesses:
            if not await has_read(witness, offset):
                return False
        return True
