"""News of the control stream from other instances, while the log is silent.

The instances that the log names as witnesses of this instance's fronts are
asked for what they have read. If that is nothing newer, they have confirmed
that this instance may go on; if it is, this instance now knows it as well.

The log may turn away this instance alone, which may front nothing and so have
no witnesses, or have some that are turned away with it. So that it does not
stay behind, the other listed instances are asked as well, one after another.
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

_SHARE_OF_AUTHORITY = 5
_NOTHING = ids.Offset(2**62)


class PeerLogReader:
    """Asks other instances; a ``releases.WitnessSource``."""

    def __init__(
        self,
        me: ids.InstanceId,
        state: control.ControlState,
        authority: authorities.Authority,
        client: ports.PeerCaller,
        addresses: _platform.Addresses,
        clock: clocks.Clock,
    ) -> None:
        """Asks nobody yet."""
        self.witnesses: set[ids.InstanceId] = set()
        # Who was asked last of those that are listed.
        self._asked_last = me
        self._me = me
        self._state = state
        self._authority = authority
        self._client = client
        self._addresses = addresses
        self._clock = clock

    async def run(self) -> None:
        """Asks for news while the log is silent, until cancelled."""
        while True:
            if self._authority.needs_witnesses():
                await self.take_news(self.witnesses | self._take_turn())
            await anyio.sleep(self._interval_s())

    async def take_news(self, instances: set[ids.InstanceId]) -> None:
        """Asks several instances at the same time and takes their news in."""
        async with anyio.create_task_group() as tasks:
            for instance in instances - {self._me}:
                tasks.start_soon(self._take_news_of, instance)

    async def has_read(
        self, instance: ids.InstanceId, offset: ids.Offset
    ) -> bool:
        """Returns whether an instance has certainly read a record."""
        if instance == self._me:
            return self._state.next_offset > offset
        reply = await self._ask(instance, _NOTHING)
        return reply is not None and reply.next_offset > offset

    def answer(
        self, request: peer_protocol.NewsRequest
    ) -> peer_protocol.NewsReply:
        """Tells another instance what this one has read."""
        if self._state.awaits_snapshot:
            return peer_protocol.NewsReply(self._me, ids.Offset(0), [], None)
        records = self._state.list_recent(request.from_offset)
        return peer_protocol.NewsReply(
            instance=self._me,
            next_offset=self._state.next_offset,
            records=records or [],
            snapshot=self._state.to_snapshot() if records is None else None,
        )

    def _take_turn(self) -> set[ids.InstanceId]:
        """Returns the next of the other listed instances, if there are any."""
        others = sorted(self._addresses.list_instances() - {self._me})
        if not others:
            return set()
        turn = bisect.bisect_right(others, self._asked_last) % len(others)
        self._asked_last = others[turn]
        return {self._asked_last}

    def _interval_s(self) -> float:
        """Returns how often others are asked."""
        return (
            self._authority.settings.authority_ms / 1_000 / _SHARE_OF_AUTHORITY
        )

    async def _take_news_of(self, instance: ids.InstanceId) -> None:
        """Asks one instance and takes its news in."""
        sent_s = self._clock.monotonic_s()
        reply = await self._ask(instance, self._state.next_offset)
        if reply is None:
            return
        if reply.snapshot is not None:
            self._state.adopt(reply.snapshot)
        self._state.apply_news(reply.records)
        if reply.next_offset and reply.next_offset <= self._state.next_offset:
            self._authority.confirm(instance, sent_s)

    async def _ask(
        self, instance: ids.InstanceId, from_offset: ids.Offset
    ) -> peer_protocol.NewsReply | None:
        """Returns an instance's news; None unless that very run answers."""
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
