"""Tells all instances which servers limit the requests to them.

The leader learns of limits from the instances that ask it for quotas, and tells
the others. Otherwise each instance would send such a server requests until an
answer tells it: with hundreds of instances, many times what the server takes.
"""

from collections.abc import Callable
import dataclasses
import math

import anyio

from bridgecross_core import notifier
from bridgecross_entry import model
from bridgecross_entry import peers
from bridgecross_entry import quotas


@dataclasses.dataclass(frozen=True, slots=True)
class LimitBroadcastSettings:
    """Timing of the messages."""

    # How often the limits are repeated while there are any.
    interval_s: float = 0.7
    # The least time between two messages to all, when limits begin.
    min_interval_s: float = 0.1
    # An instance that does not answer by then hears of it the next time.
    timeout_s: float = 0.2


class LimitBroadcaster:
    """Sends the limits that the issuer knows to all other instances."""

    def __init__(
        self,
        settings: LimitBroadcastSettings,
        client: peers.PeerClient,
        addresses: Callable[[], tuple[model.Address, ...]],
        list_limits: Callable[[], tuple[quotas.KnownLimit, ...]],
        knows_limits: Callable[[], bool],
        on_limits: Callable[[tuple[quotas.KnownLimit, ...]], None],
    ) -> None:
        """Sends nothing before ``run``.

        Args:
            settings: Timing.
            client: Calls other instances.
            addresses: Returns the addresses of the other instances.
            list_limits: Returns the limits that this instance knows as the
                issuer; none while it is not certain to be the only one.
            knows_limits: Whether it knows limits, certain or not.
            on_limits: Applies limits that the leader knows.
        """
        # Notified when the issuer learns of a limit.
        self.changed = notifier.Notifier()
        self._settings = settings
        self._client = client
        self._addresses = addresses
        self._list_limits = list_limits
        self._knows_limits = knows_limits
        self._on_limits = on_limits

    async def run(self) -> None:
        """Repeats the limits while there are any, until cancelled."""
        settings = self._settings
        while True:
            seen_count = self.changed.count
            limits = self._list_limits()
            if limits:
                await self._send(limits)
                await anyio.sleep(settings.min_interval_s)
            if self.changed.count == seen_count:
                wait_s = settings.interval_s - settings.min_interval_s
                is_idle = not self._knows_limits()
                await self.changed.wait(math.inf if is_idle else wait_s)

    async def _send(self, limits: tuple[quotas.KnownLimit, ...]) -> None:
        """Sends limits to all other instances, and applies them here."""
        self._on_limits(limits)
        message = quotas.LIMITS.encode(limits)
        async with anyio.create_task_group() as calls:
            for peer in self._addresses():
                calls.start_soon(
                    self._client.post_urgent,
                    peer,
                    quotas.LIMITS_PATH,
                    message,
                    self._settings.timeout_s,
                )

    def receive(self, body: bytes) -> None:
        """Applies a message of the leader.

        Raises:
            codec.CodecError: It cannot be read.
        """
        self._on_limits(quotas.LIMITS.decode(body))
