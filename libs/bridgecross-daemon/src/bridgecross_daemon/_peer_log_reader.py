"""Reads the control stream from other instances while the log is unavailable.

The log names witnesses for each server whose queue this instance owns. They are
asked for the records that they have read. If they have none that this instance
lacks, they have confirmed that it may continue to act as a queue owner;
otherwise it applies the records that it lacked.

The log may be unreachable from this instance alone, and the instance may be the
queue owner of no server and so have no witnesses, or its witnesses may be cut
off as well. The other listed instances are therefore asked too, one per round,
so that its state does not become outdated.
"""

import bisect

import anyio

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_daemon import _platform
from bridgecross_daemon import control
from bridgecross_daemon import peer_protocol
from bridgecross_daemon import ports
from bridgecross_ownership import authority as authorities

_ROUNDS_PER_AUTHORITY = 5
_BEYOND_ALL_RECORDS = ids.Offset(2**62)


class PeerLogReader:
    """Asks other instances for records; a ``releases.WitnessSource``."""

    def __init__(
        self,
        me: ids.InstanceId,
        state: control.ControlState,
        authority: authorities.Authority,
        client: ports.PeerCaller,
        addresses: _platform.Addresses,
        clock: clocks.Clock,
    ) -> None:
        """Starts without witnesses."""
        self.witnesses: set[ids.InstanceId] = set()
        # The listed instance that was asked in the last round.
        self._last_chosen = me
        self._me = me
        self._state = state
        self._authority = authority
        self._client = client
        self._addresses = addresses
        self._clock = clock

    async def run(self) -> None:
        """Asks for records while the log is unavailable, until cancelled."""
        while True:
            if self._authority.needs_witnesses():
                await self.read_from_peers(self.witnesses | self._choose_next())
            await anyio.sleep(self._interval_s())

    async def read_from_peers(self, instances: set[ids.InstanceId]) -> None:
        """Asks several instances concurrently and applies their records."""
        async with anyio.create_task_group() as tasks:
            for instance in instances - {self._me}:
                tasks.start_soon(self._read_from, instance)

    async def has_read(
        self, instance: ids.InstanceId, offset: ids.Offset
    ) -> bool:
        """Returns whether an instance has certainly read a record."""
        if instance == self._me:
            return self._state.next_offset > offset
        reply = await self._ask(instance, _BEYOND_ALL_RECORDS)
        return reply is not None and reply.next_offset > offset

    def answer(
        self, request: peer_protocol.NewsRequest
    ) -> peer_protocol.NewsReply:
        """Returns the records, or the state, that another instance lacks."""
        if self._state.awaits_snapshot:
            return peer_protocol.NewsReply(self._me, ids.Offset(0), [], None)
        records = self._state.list_recent(request.from_offset)
        return peer_protocol.NewsReply(
            instance=self._me,
            next_offset=self._state.next_offset,
            records=records or [],
            snapshot=self._state.to_snapshot() if records is None else None,
        )

    def _choose_next(self) -> set[ids.InstanceId]:
        """Returns the next listed instance in rotation, if there is any."""
        others = sorted(self._addresses.list_instances() - {self._me})
        if not others:
            return set()
        index = bisect.bisect_right(others, self._last_chosen) % len(others)
        self._last_chosen = others[index]
        return {self._last_chosen}

    def _interval_s(self) -> float:
        """Returns the interval between two rounds."""
        return (
            self._authority.settings.authority_ms
            / 1_000
            / _ROUNDS_PER_AUTHORITY
        )

    async def _read_from(self, instance: ids.InstanceId) -> None:
        """Asks one instance for records and applies them."""
        sent_s = self._clock.monotonic_s()
        reply = await self._ask(instance, self._state.next_offset)
        if reply is None:
            return
        if reply.snapshot is not None:
            self._state.restore_from_peer(reply.snapshot)
        self._state.apply_from_peer(reply.records)
        if reply.next_offset and reply.next_offset <= self._state.next_offset:
            self._authority.confirm(instance, sent_s)

    async def _ask(
        self, instance: ids.InstanceId, from_offset: ids.Offset
    ) -> peer_protocol.NewsReply | None:
        """Returns an instance's reply, or None if there was none.

        The reply of another run of the instance at its address does not count.
        """
        address = self._addresses.find_peer_address(instance)
        if address is None:
            return None
        try:
            reply = await self._client.call(
                address,
                peer_protocol.NEWS,
                peer_protocol.NewsRequest(from_offset),
                self._interval_s(),
            )
        except peer_protocol.PeerUnreachableError:
            return None
        return reply if reply.instance == instance else None
