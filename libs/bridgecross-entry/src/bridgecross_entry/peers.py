"""What instances tell one another, as MessagePack over HTTP.

The coordinator of a service hears of load, and tells of new key maps and of
moves that have ended. All of it only speeds things up: the log says the same
later, but for the load.
"""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
from typing import NamedTuple

import anyio

from bridgecross_core import clock as clocks
from bridgecross_core import codec
from bridgecross_core import ids
from bridgecross_entry import exchange
from bridgecross_entry import journal as journals
from bridgecross_entry import keymap
from bridgecross_entry import load
from bridgecross_entry import model

_HTTP_OK = 200
_LOAD_PATH = b"/load"
_MAP_PATH = b"/map"
_SETTLED_PATH = b"/settled"


class Settled(NamedTuple):
    """The owner of a range is known to hold it."""

    service: ids.ServiceName
    token: int
    first_key: int


class LoadReply(NamedTuple):
    """Answers a load report."""

    # Instances that report to this coordinator, itself included.
    instance_count: int


_LOADS = codec.Codec(load.LoadReport)
_MAPS = codec.Codec(keymap.KeyMap)
_SETTLED = codec.Codec(Settled)
_LOAD_REPLIES = codec.Codec(LoadReply)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSettings:
    """How peers are called."""

    # A peer answers in 2 ms; one that needs longer is busy or away, and what
    # it missed it reads from the log.
    timeout_s: float = 0.4
    # A peer is not called for this long after it did not answer.
    pause_s: float = 1.0


class PeerClient:
    """Calls other instances."""

    def __init__(
        self,
        settings: PeerSettings,
        journal: journals.Journal,
        clock: clocks.Clock,
    ) -> None:
        """Connects to nobody yet."""
        self._settings = settings
        self._journal = journal
        self._clock = clock
        self._pools: dict[model.Address, exchange.Pool] = {}
        self._paused_until_s: dict[model.Address, float] = {}

    async def report_load(
        self, address: model.Address, report: load.LoadReport
    ) -> LoadReply | None:
        """Tells a coordinator of load; None if it did not take it."""
        body = await self._call(address, _LOAD_PATH, _LOADS.encode(report))
        if not body:
            return None
        try:
            return _LOAD_REPLIES.decode(body)
        except codec.CodecError as error:
            self._note_lost(address, str(error))
            return None

    async def push_map(
        self, address: model.Address, key_map: keymap.KeyMap
    ) -> None:
        """Tells a peer of a new key map."""
        await self._call(address, _MAP_PATH, _MAPS.encode(key_map))

    async def push_settled(
        self, address: model.Address, settled: Settled
    ) -> None:
        """Tells a peer of a move that has ended."""
        await self._call(address, _SETTLED_PATH, _SETTLED.encode(settled))

    async def _call(
        self, address: model.Address, path: bytes, body: bytes
    ) -> bytes | None:
        """Posts a message; returns the answer's body, or None."""
        now_s = self._clock.monotonic_s()
        if now_s < self._paused_until_s.get(address, 0.0):
            return None
        pool = self._pools.get(address)
        if pool is None:
            pool = exchange.Pool(
                address, exchange.ConnectionSettings(), self._clock
            )
            self._pools[address] = pool
        head = b"POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n"
        request = head % (path, str(address).encode(), len(body)) + body
        result: exchange.Result = exchange.Broken("no answer in time")
        with anyio.move_on_after(self._settings.timeout_s):
            result = await pool.exchange(request, lambda reply: True)
        if isinstance(result, exchange.Reply) and result.status == _HTTP_OK:
            return result.body
        reason = (
            f"status {result.status}"
            if isinstance(result, exchange.Reply)
            else result.reason
        )
        self._note_lost(address, reason)
        return None

    def _note_lost(self, address: model.Address, reason: str) -> None:
        """Pauses calls to a peer that did not answer."""
        now_s = self._clock.monotonic_s()
        self._paused_until_s[address] = now_s + self._settings.pause_s
        self._journal.decision("peer_lost", address=str(address), reason=reason)


TakeLoad = Callable[[load.LoadReport], int]
TakeMap = Callable[[keymap.KeyMap], None]
TakeSettled = Callable[[Settled], None]
Respond = Callable[[int, bytes], Awaitable[None]]


class PeerServer:
    """Answers other instances."""

    def __init__(
        self,
        take_load: TakeLoad,
        take_map: TakeMap,
        take_settled: TakeSettled,
        journal: journals.Journal,
    ) -> None:
        """Keeps who takes what.

        Args:
            take_load: Takes a report; returns how many instances report.
            take_map: Takes a key map.
            take_settled: Takes the end of a move.
            journal: Told of messages that cannot be read.
        """
        self._take_load = take_load
        self._take_map = take_map
        self._take_settled = take_settled
        self._journal = journal

    def answer(self, path: bytes, body: bytes) -> tuple[int, bytes]:
        """Returns status and body for a message."""
        try:
            if path == _LOAD_PATH:
                count = self._take_load(_LOADS.decode(body))
                return 200, _LOAD_REPLIES.encode(LoadReply(count))
            if path == _MAP_PATH:
                self._take_map(_MAPS.decode(body))
                return 200, b""
            if path == _SETTLED_PATH:
                self._take_settled(_SETTLED.decode(body))
                return 200, b""
        except codec.CodecError as error:
            self._journal.decision(
                "peer_message_unreadable",
                path=path.decode("ascii", "replace"),
                reason=str(error),
            )
            return 400, b""
        return 404, b""
