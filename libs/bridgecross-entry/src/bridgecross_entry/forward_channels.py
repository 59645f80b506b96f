"""Connections to other instances for what is sent through them."""

import math
from typing import NamedTuple

from bridgecross_core import clock as clocks
from bridgecross_entry import exchange
from bridgecross_entry import forwards
from bridgecross_entry import model
from bridgecross_entry import peers

_STAMP_MAX_AGE_S = 2.0
"""A stamp older than this is not used. Clocks may differ by 2%, and the age
of a message is known up to the difference that adds up since its stamp."""

_HTTP_OK = 200


class _ReceivedStamp(NamedTuple):
    """The last stamp of another instance."""

    stamp: peers.Stamp
    received_s: float


class ForwardChannels:
    """Posts messages to other instances, and keeps their stamps."""

    def __init__(self, connect: peers.Connect, clock: clocks.Clock) -> None:
        """Connects to nothing yet.

        Args:
            connect: Connects to an address.
            clock: The time source.
        """
        self._connect = connect
        self._clock = clock
        self._pools: dict[model.Address, exchange.Exchanger] = {}
        self._stamps: dict[model.Address, _ReceivedStamp] = {}

    async def post(
        self,
        address: model.Address,
        path: bytes,
        body: bytes,
        may_send: exchange.MaySend = exchange.always,
    ) -> bytes | exchange.Unsent | exchange.Broken:
        """Posts a message; the caller limits the time by cancelling.

        Returns:
            The body of the answer, or why there is none. ``Unsent`` says that
            the instance did nothing for the message and never will.
        """
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = self._connect(address)
        head = b"POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n"
        request = head % (path, str(address).encode(), len(body)) + body
        result = await pool.exchange(request, lambda _: True, may_send)
        if not isinstance(result, exchange.Reply):
            return result
        if result.status == _HTTP_OK:
            return result.body
        reason = f"status {result.status}"
        if result.header(forwards.NOTHING_DONE.name) is not None:
            return exchange.Unsent(reason, refused=False)
        return exchange.Broken(reason)

    def note_stamp(self, address: model.Address, stamp: peers.Stamp) -> None:
        """Keeps the stamp of an answer that has just arrived."""
        now_s = self._clock.monotonic_s()
        self._stamps[address] = _ReceivedStamp(stamp, now_s)

    def heard_s(self, address: model.Address) -> float:
        """Returns when an instance last answered, on the monotonic clock."""
        known = self._stamps.get(address)
        return known.received_s if known is not None else -math.inf

    def return_stamp(
        self, address: model.Address
    ) -> peers.ReturnedStamp | None:
        """Returns the last stamp of an instance; None if it is too old."""
        known = self._stamps.get(address)
        if known is None:
            return None
        elapsed_s = self._clock.monotonic_s() - known.received_s
        if elapsed_s > _STAMP_MAX_AGE_S:
            return None
        return peers.ReturnedStamp(known.stamp, elapsed_s)
