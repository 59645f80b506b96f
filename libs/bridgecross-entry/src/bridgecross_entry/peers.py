"""Messages between instances, as deflated MessagePack over HTTP.

The coordinator of a service receives load reports, and sends new key maps and
completed moves. Except for load, these messages only speed things up: the same
information follows from the log later.
"""

from collections.abc import Callable
import dataclasses
import enum
from typing import NamedTuple
import zlib

from bridgecross_core import clock as clocks
from bridgecross_core import codec
from bridgecross_core import ids
from bridgecross_core import timeouts
from bridgecross_entry import answer_bounds
from bridgecross_entry import cluster_state
from bridgecross_entry import exchange
from bridgecross_entry import follower as followers
from bridgecross_entry import journal as journals
from bridgecross_entry import keymap
from bridgecross_entry import leadership
from bridgecross_entry import load
from bridgecross_entry import memory_ledger
from bridgecross_entry import model

_DEFLATE_LEVEL = 1
"""Level 1 compresses a key map to one half and a configuration to a tenth of
its size, in 20 us per kilobyte. Traffic between failure domains is charged, and
each message goes to all instances."""

_BODY_MAX_BYTES = 16 * 1024 * 1024
"""The largest inflated message; the full state with 5,000 servers has 2 MB."""

_HTTP_OK = 200
_HTTP_CONFLICT = 409
_LOAD_PATH = b"/load"
_MAP_PATH = b"/map"
_SETTLED_PATH = b"/settled"
_RELAY_PATH = b"/relay"


class Settled(NamedTuple):
    """A completed move: the owner of the range is known to hold it."""

    service: ids.ServiceName
    token: int
    first_key: int


class Relay(NamedTuple):
    """What the leader, which reads the log for all instances, has read.

    It is sent at short intervals even if nothing changed, since it confirms
    that the receiver's state is up to date.
    """

    # The claim under which the sender leads.
    claim: leadership.Claim
    # Whether the receiver should reply with what it knows beyond the sender
    # about topics that the sender cannot read.
    wants_batches: bool
    # Whether the sender is stopping, so that another instance should lead.
    resigns: bool
    # Whether the sender cannot read the list of servers from the log.
    log_lost: bool
    # What the receiver lacks of each topic; may be empty.
    batches: tuple[followers.TopicBatch, ...]


class Stamp(NamedTuple):
    """When an instance answered, by its own monotonic clock."""

    # Identifies its process, since the next one at its address has another
    # clock.
    process_id: int
    # On its monotonic clock.
    answered_s: float


class ReturnedStamp(NamedTuple):
    """The stamp of a receiver's last answer, returned with the next relay.

    It gives the receiver an upper bound on the age of the relay, although no
    clock is shared: the relay was written a known time after the answer
    arrived, and the answer arrived after it was sent.
    """

    stamp: Stamp
    # The time from the arrival of the answer until the relay was written.
    elapsed_s: float


class _Envelope(NamedTuple):
    """A relay as sent to one receiver."""

    # None if nothing is known of the receiver's clock.
    returned: ReturnedStamp | None
    # Deflated; shared by all receivers that lack the same.
    relay: bytes


_LOADS = codec.Codec(load.LoadReport)
_MAPS = codec.Codec(keymap.KeyMap)
_SETTLED = codec.Codec(tuple[Settled, ...])
_RELAYS = codec.Codec(Relay)
_ENVELOPES = codec.Codec(_Envelope)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSettings:
    """Timeouts and pauses of calls to peers."""

    # A peer answers in 2 ms; one that takes longer than this is overloaded or
    # unreachable, and reads what it missed from the log.
    timeout_s: float = 0.4
    # The timeout grows with the length of a message, by this rate: half of the
    # slowest observed link, of 5 Mbit/s.
    min_bytes_per_s: float = 300_000.0
    # The pause after a peer did not answer. Heartbeats are sent nevertheless.
    pause_s: float = 1.0
    # An answer ends the pause, unless the message that was not answered was
    # longer than this: a slow link that carries a heartbeat may not carry a
    # long message. 4 KB take 7 ms at 5 Mbit/s.
    short_max_bytes: int = 4_000
    # A failed call is no evidence any more once the peer has not been called
    # for this long. A leader calls each peer every 0.4 s, whether it answers or
    # not; an instance that begins to lead may have made its last call long ago.
    failure_evidence_s: float = 3.0


class Reception(enum.Enum):
    """How a peer received a message."""

    ACCEPTED = "accepted"
    """The peer accepted it."""

    DISPUTED = "disputed"
    """The peer knows of a later leader."""

    REFUSED = "refused"
    """The address refused the connection.

    No process listens there, or something on the way rejects packets.
    """

    UNKNOWN = "unknown"
    """No usable answer came, or calls to the peer are paused."""


class _CallResult(NamedTuple):
    """The result of a call, with the body of the answer."""

    reception: Reception
    body: bytes = b""


class _Pause(NamedTuple):
    """A pause of the calls to a peer."""

    until_s: float
    # Whether any answer of the peer ends it.
    ends_with_answer: bool


class RelayReply(NamedTuple):
    """The answer to a relay."""

    # The offsets up to which the receiver knows the topics, if it knows less
    # than the relay announced; else empty.
    offsets: cluster_state.Offsets = ()
    # What it knows beyond the leader about topics that the leader cannot read.
    batches: tuple[followers.TopicBatch, ...] = ()
    # Whether the receiver counts for a majority.
    counts_for_majority: bool = True
    # When it was sent; None without an answer.
    stamp: Stamp | None = None
    # A digest of the requests under which servers ended, as far as known there.
    poison_digest: int = 0


_REPLIES = codec.Codec(RelayReply)
_EMPTY_REPLY = RelayReply()


class RelayResult(NamedTuple):
    """The result of sending a relay to one instance."""

    reception: Reception
    reply: RelayReply = _EMPTY_REPLY


Connect = Callable[[model.Address], exchange.Exchanger]
"""Connects to another instance."""


class PeerClient:
    """Calls other instances."""

    def __init__(
        self,
        settings: PeerSettings,
        journal: journals.Journal,
        clock: clocks.Clock,
        connect: Connect | None = None,
    ) -> None:
        """Does not connect yet.

        Args:
            settings: Timeouts and pauses.
            journal: Records peers that do not answer.
            clock: Measures pauses.
            connect: Connects to an address; by HTTP, if omitted.
        """
        self._settings = settings
        self._journal = journal
        self._clock = clock
        self._connect = connect or self._make_pool
        self._pools: dict[model.Address, exchange.Exchanger] = {}
        self._pauses: dict[model.Address, _Pause] = {}
        # Peers whose last call got no answer, and was not refused either.
        self._silent: set[model.Address] = set()
        # Since when a peer has not answered, and when its last call failed.
        self._unresponsive_since_s: dict[model.Address, float] = {}
        self._last_failure_s: dict[model.Address, float] = {}

    async def report_load(
        self, address: model.Address, report: load.LoadReport
    ) -> None:
        """Sends a load report to a coordinator."""
        await self._call(address, _LOAD_PATH, _deflate(_LOADS.encode(report)))

    async def relay(
        self,
        address: model.Address,
        relay: bytes,
        returned: ReturnedStamp | None,
    ) -> RelayResult:
        """Sends a relay to a peer; see ``encode_relay``."""
        envelope = _ENVELOPES.encode(_Envelope(returned, relay))
        return self._read_reply(
            address, await self._call(address, _RELAY_PATH, envelope)
        )

    async def relay_despite_pause(
        self,
        address: model.Address,
        relay: bytes,
        returned: ReturnedStamp | None,
    ) -> RelayResult:
        """Sends a short relay to a peer, even while calls to it are paused."""
        envelope = _ENVELOPES.encode(_Envelope(returned, relay))
        return self._read_reply(
            address, await self._call_now(address, _RELAY_PATH, envelope)
        )

    def _read_reply(
        self, address: model.Address, answer: _CallResult
    ) -> RelayResult:
        """Decodes the answer to a relay."""
        if not answer.body:
            return RelayResult(answer.reception)
        try:
            return RelayResult(answer.reception, _REPLIES.decode(answer.body))
        except codec.CodecError as error:
            self._journal.decision(
                "peer_message_unreadable",
                path=_RELAY_PATH.decode(),
                address=str(address),
                reason=str(error),
            )
            return RelayResult(Reception.UNKNOWN)

    async def push_map(self, address: model.Address, key_map: bytes) -> None:
        """Sends a new key map to a peer; see ``encode_map``."""
        await self._call(address, _MAP_PATH, key_map)

    async def push_settled(
        self, address: model.Address, settled: tuple[Settled, ...]
    ) -> None:
        """Notifies a peer of completed moves."""
        body = _deflate(_SETTLED.encode(settled))
        await self._call(address, _SETTLED_PATH, body)

    async def post_urgent(
        self, address: model.Address, path: bytes, body: bytes, timeout_s: float
    ) -> bytes | None:
        """Posts an urgent message; returns None without a usable answer.

        It is sent even while calls to the peer are paused. A failure does not
        count as evidence that the peer is unresponsive, since the timeout may
        be too short for any answer.
        """
        result: exchange.Result = exchange.Broken("no answer in time")
        with timeouts.move_on_after(timeout_s, self._clock):
            result = await self._post(address, path, body)
        if isinstance(result, exchange.Reply) and result.status == _HTTP_OK:
            return result.body
        return None

    def is_paused(self, address: model.Address) -> bool:
        """Whether calls to a peer are paused."""
        pause = self._pauses.get(address)
        return pause is not None and self._clock.monotonic_s() < pause.until_s

    def may_be_silent(self, address: model.Address) -> bool:
        """Whether a call to a peer is paused, or likely to get no answer."""
        if self.is_paused(address):
            return True
        now_s = self._clock.monotonic_s()
        is_unresponsive = self._is_known_unresponsive(address, now_s)
        return address in self._silent and is_unresponsive

    def unresponsive_for_s(self, address: model.Address) -> float:
        """Returns for how long a peer has not answered.

        Returns 0 if it answers, or if it has not been called for a long time.
        """
        now_s = self._clock.monotonic_s()
        if not self._is_known_unresponsive(address, now_s):
            return 0.0
        return now_s - self._unresponsive_since_s[address]

    def _is_known_unresponsive(
        self, address: model.Address, now_s: float
    ) -> bool:
        """Whether a peer did not answer a recent call."""
        if address not in self._unresponsive_since_s:
            return False
        failed_s = self._last_failure_s[address]
        return now_s - failed_s < self._settings.failure_evidence_s

    def _make_pool(self, address: model.Address) -> exchange.Exchanger:
        """Returns a connection pool for an address."""
        settings = exchange.ConnectionSettings(
            drops_idle_on_timeout=True,
            bounds=answer_bounds.BoundSettings(body_max_bytes=_BODY_MAX_BYTES),
        )
        return exchange.ConnectionPool(
            address,
            settings,
            self._clock,
            answer_bounds.AnswerMemory(memory_ledger.UNLIMITED, self._journal),
        )

    async def _call(
        self, address: model.Address, path: bytes, body: bytes
    ) -> _CallResult:
        """Posts a message, unless calls to the peer are paused."""
        if self.is_paused(address):
            # This does not apply to a peer that refuses connections: a call
            # costs little there, and it may have restarted.
            return _CallResult(Reception.UNKNOWN)
        return await self._call_now(address, path, body)

    async def _call_now(
        self, address: model.Address, path: bytes, body: bytes
    ) -> _CallResult:
        """Posts a message; pauses calls to a peer that does not accept it."""
        result: exchange.Result = exchange.Broken("no answer in time")
        timeout_s = self._settings.timeout_s
        timeout_s += len(body) / self._settings.min_bytes_per_s
        with timeouts.move_on_after(timeout_s, self._clock):
            result = await self._post(address, path, body)
        if isinstance(result, exchange.Reply):
            self._note_answer(address)
            if result.status == _HTTP_OK:
                return _CallResult(Reception.ACCEPTED, result.body)
            if result.status == _HTTP_CONFLICT:
                return _CallResult(Reception.DISPUTED)
            reason = f"status {result.status}"
        else:
            reason = result.reason
        refused = isinstance(result, exchange.Unsent) and result.refused
        self._note_failure(address, reason, len(body), refused=refused)
        return _CallResult(Reception.REFUSED if refused else Reception.UNKNOWN)

    def _note_answer(self, address: model.Address) -> None:
        """Records that a peer answered."""
        self._unresponsive_since_s.pop(address, None)
        self._silent.discard(address)
        pause = self._pauses.get(address)
        if pause is not None and pause.ends_with_answer:
            del self._pauses[address]

    def _note_failure(
        self,
        address: model.Address,
        reason: str,
        length_bytes: int,
        *,
        refused: bool,
    ) -> None:
        """Records a call that failed, and pauses calls to the peer.

        A pause is neither extended nor logged again by a short message that
        fails during it.
        """
        now_s = self._clock.monotonic_s()
        if not self._is_known_unresponsive(address, now_s):
            self._unresponsive_since_s[address] = now_s
        self._last_failure_s[address] = now_s
        if refused:
            self._silent.discard(address)
            self._pauses.pop(address, None)
        else:
            self._silent.add(address)
        is_short = length_bytes <= self._settings.short_max_bytes
        if is_short and self.is_paused(address):
            return
        if not refused:
            until_s = now_s + self._settings.pause_s
            self._pauses[address] = _Pause(until_s, is_short)
        self._journal.decision("peer_lost", address=str(address), reason=reason)

    async def _post(
        self, address: model.Address, path: bytes, body: bytes
    ) -> exchange.Result:
        """Posts a message."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._connect(address)
            self._pools[address] = pool
        head = b"POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n"
        request = head % (path, str(address).encode(), len(body)) + body
        return await pool.exchange(request, lambda reply: True)


def encode_relay(relay: Relay) -> bytes:
    """Encodes a relay, once for all peers."""
    return _deflate(_RELAYS.encode(relay))


def encode_map(key_map: keymap.KeyMap) -> bytes:
    """Encodes a key map, once for all peers."""
    return _deflate(_MAPS.encode(key_map))


def _deflate(data: bytes) -> bytes:
    """Compresses a message for sending."""
    return zlib.compress(data, _DEFLATE_LEVEL)


def _inflate(data: bytes) -> bytes:
    """Decompresses a received message.

    Raises:
        codec.CodecError: It is truncated, too long or not deflated.
    """
    inflater = zlib.decompressobj()
    try:
        message = inflater.decompress(data, _BODY_MAX_BYTES)
    except zlib.error as error:
        raise codec.CodecError(
            f"cannot inflate the message: {error}"
        ) from error
    if not inflater.eof:
        raise codec.CodecError("the message is truncated or too long")
    return message


class PeerReply(NamedTuple):
    """The HTTP answer to a message."""

    status: int
    body: bytes = b""
    # Whether the message was rejected before anything was done for it.
    is_rejected: bool = False


class PeerServer:
    """Answers other instances."""

    def __init__(
        self,
        handle_load: Callable[[load.LoadReport], None],
        handle_map: Callable[[keymap.KeyMap], None],
        handle_settled: Callable[[tuple[Settled, ...]], None],
        handle_relay: Callable[
            [Relay, ReturnedStamp | None], RelayReply | None
        ],
        journal: journals.Journal,
    ) -> None:
        """Stores the handlers of messages.

        Args:
            handle_load: Handles a load report.
            handle_map: Handles a key map.
            handle_settled: Handles completed moves.
            handle_relay: Handles a relay; returns the answer, or None if the
                sender is disputed, since a later leader is known.
            journal: Records unreadable messages.
        """
        self._handlers: dict[bytes, Callable[[bytes], None]] = {
            _LOAD_PATH: lambda body: handle_load(_LOADS.decode(body)),
            _MAP_PATH: lambda body: handle_map(_MAPS.decode(body)),
            _SETTLED_PATH: lambda body: handle_settled(_SETTLED.decode(body)),
        }
        self._handle_relay = handle_relay
        self._journal = journal

    def answer(self, path: bytes, body: bytes) -> PeerReply:
        """Handles a message; returns the answer."""
        try:
            if path == _RELAY_PATH:
                return self._answer_relay(_ENVELOPES.decode(body))
            handle = self._handlers.get(path)
            if handle is None:
                return PeerReply(404)
            handle(_inflate(body))
        except codec.CodecError as error:
            return self.reject_unreadable(path, error)
        return PeerReply(_HTTP_OK)

    def reject_unreadable(self, path: bytes, error: ValueError) -> PeerReply:
        """Logs a message that cannot be read; returns the answer to it."""
        self._journal.decision(
            "peer_message_unreadable",
            path=path.decode("ascii", "replace"),
            reason=str(error),
        )
        return PeerReply(400)

    def _answer_relay(self, envelope: _Envelope) -> PeerReply:
        """Handles a relay; returns the answer."""
        relay = _RELAYS.decode(_inflate(envelope.relay))
        reply = self._handle_relay(relay, envelope.returned)
        if reply is None:
            return PeerReply(_HTTP_CONFLICT)
        return PeerReply(_HTTP_OK, _REPLIES.encode(reply))
