"""What instances tell one another, as deflated MessagePack over HTTP.

The coordinator of a service hears of load, and tells of new key maps and of
moves that have ended. All of it only speeds things up: the log says the same
later, but for the load.
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
from bridgecross_entry import cluster_state
from bridgecross_entry import exchange
from bridgecross_entry import follower as followers
from bridgecross_entry import journal as journals
from bridgecross_entry import keymap
from bridgecross_entry import leadership
from bridgecross_entry import load
from bridgecross_entry import model

_DEFLATE_LEVEL = 1
"""Level 1 makes a key map half and a configuration a tenth as long, in 20 us a
kilobyte. Bytes between failure domains are priced, and one goes to all."""

_BODY_MAX_BYTES = 16 * 1024 * 1024
"""Of a message once inflated; all that is known with 5,000 servers has 2 MB."""

_HTTP_OK = 200
_HTTP_CONFLICT = 409
_LOAD_PATH = b"/load"
_MAP_PATH = b"/map"
_SETTLED_PATH = b"/settled"
_RELAY_PATH = b"/relay"


class Settled(NamedTuple):
    """The owner of a range is known to hold it."""

    service: ids.ServiceName
    token: int
    first_key: int


class Relay(NamedTuple):
    """What the instance that reads the log for all has read.

    It comes at short intervals also when nothing changed, since it says that
    what the receiver believes is up to date.
    """

    # Under which claim the sender leads.
    claim: leadership.Claim
    # Whether the receiver shall answer what it knows beyond the sender of
    # topics that the sender cannot read.
    asks: bool
    # Whether the sender leaves, so that another one should lead.
    resigns: bool
    # Whether the sender has lost the list of servers in the log.
    log_lost: bool
    # What the receiver lacks of each topic, which may be nothing.
    batches: tuple[followers.TopicBatch, ...]


class Stamp(NamedTuple):
    """When an instance answered, by a clock that only it can read."""

    # Names its process: the next one at its address has another clock.
    life: int
    # On its steady clock.
    answered_s: float


class Echo(NamedTuple):
    """A receiver's last answer, returned to it with the next word.

    By it the receiver knows for how long the word was under way at the most,
    though no clock is shared: it was written some time after the answer came,
    and the answer came after it was given.
    """

    stamp: Stamp
    # From when the answer came until the word was written.
    since_s: float


class _Envelope(NamedTuple):
    """A word as it goes to one receiver."""

    # None if nothing is known of the receiver's clock.
    echo: Echo | None
    # Deflated, the same for all that know the same.
    relay: bytes


_LOADS = codec.Codec(load.LoadReport)
_MAPS = codec.Codec(keymap.KeyMap)
_SETTLED = codec.Codec(tuple[Settled, ...])
_RELAYS = codec.Codec(Relay)
_ENVELOPES = codec.Codec(_Envelope)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSettings:
    """How peers are called."""

    # A peer answers in 2 ms; one that needs longer is busy or away, and what
    # it missed it reads from the log.
    timeout_s: float = 0.4
    # What a message's length adds to that: half of the weakest link seen, of
    # 5 Mbit/s.
    min_bytes_per_s: float = 300_000.0
    # A peer is not called for this long after it did not answer.
    pause_s: float = 1.0
    # That a peer did not answer says nothing once it has not been called for
    # this long. A leader calls each every 0.7 s, or 1.0 s and a timeout after
    # one that failed; an instance that begins to lead may have called it last
    # long ago.
    lost_evidence_s: float = 3.0


class Reception(enum.Enum):
    """What became of a message to a peer."""

    ACCEPTED = "accepted"
    """The peer took it."""

    DISPUTED = "disputed"
    """The peer knows of a later leader."""

    ENDED = "ended"
    """No process listens at the address."""

    UNKNOWN = "unknown"
    """No usable answer came, or the peer is left alone for a moment."""


class _Answer(NamedTuple):
    """What came of a message, and what the peer said to it."""

    reception: Reception
    body: bytes = b""


class RelayReply(NamedTuple):
    """What the receiver of the leader's word answers."""

    # Up to where it knows the topics, if it knows less than it was told of;
    # else nothing.
    offsets: cluster_state.Offsets = ()
    # What it knows beyond the leader of topics that the leader cannot read.
    batches: tuple[followers.TopicBatch, ...] = ()
    # Whether it counts for a majority.
    counts: bool = True
    # When it was given; None if it was not.
    stamp: Stamp | None = None
    # Sums up which requests servers ended under, as far as it knows.
    poison_digest: int = 0


_REPLIES = codec.Codec(RelayReply)
_NOTHING = RelayReply()


class RelayAnswer(NamedTuple):
    """What came of the leader's word at one instance."""

    reception: Reception
    reply: RelayReply = _NOTHING


Connect = Callable[[model.Address], exchange.Exchanger]
"""Returns the way to another instance."""


class PeerClient:
    """Calls other instances."""

    def __init__(
        self,
        settings: PeerSettings,
        journal: journals.Journal,
        clock: clocks.Clock,
        connect: Connect | None = None,
    ) -> None:
        """Connects to nobody yet.

        Args:
            settings: How peers are called.
            journal: Told of peers that do not answer.
            clock: For pauses.
            connect: The way to an address; by HTTP, if left out.
        """
        self._settings = settings
        self._journal = journal
        self._clock = clock
        self._connect = connect or self._make_pool
        self._pools: dict[model.Address, exchange.Exchanger] = {}
        self._paused_until_s: dict[model.Address, float] = {}
        # Since when a peer has not answered, and when that was last found.
        self._lost_since_s: dict[model.Address, float] = {}
        self._found_lost_s: dict[model.Address, float] = {}

    async def report_load(
        self, address: model.Address, report: load.LoadReport
    ) -> None:
        """Tells a coordinator of load."""
        await self._call(address, _LOAD_PATH, _deflate(_LOADS.encode(report)))

    async def relay(
        self, address: model.Address, relay: bytes, echo: Echo | None
    ) -> RelayAnswer:
        """Tells a peer what was read; see ``encode_relay``."""
        envelope = _ENVELOPES.encode(_Envelope(echo, relay))
        answer = await self._call(address, _RELAY_PATH, envelope)
        if not answer.body:
            return RelayAnswer(answer.reception)
        try:
            return RelayAnswer(answer.reception, _REPLIES.decode(answer.body))
        except codec.CodecError as error:
            self._journal.decision(
                "peer_message_unreadable",
                path=_RELAY_PATH.decode(),
                address=str(address),
                reason=str(error),
            )
            return RelayAnswer(Reception.UNKNOWN)

    async def push_map(self, address: model.Address, key_map: bytes) -> None:
        """Tells a peer of a new key map; see ``encode_map``."""
        await self._call(address, _MAP_PATH, key_map)

    async def push_settled(
        self, address: model.Address, settled: tuple[Settled, ...]
    ) -> None:
        """Tells a peer of moves that have ended."""
        body = _deflate(_SETTLED.encode(settled))
        await self._call(address, _SETTLED_PATH, body)

    async def post_urgent(
        self, address: model.Address, path: bytes, body: bytes, timeout_s: float
    ) -> bytes | None:
        """Posts a message that cannot wait; None if no usable answer comes.

        It is sent also to one that is left alone for a moment, and says nothing
        of whether that one is lost: the time may be too short for any answer.
        """
        result: exchange.Result = exchange.Broken("no answer in time")
        with timeouts.move_on_after(timeout_s, self._clock):
            result = await self._post(address, path, body)
        if isinstance(result, exchange.Reply) and result.status == _HTTP_OK:
            return result.body
        return None

    def unresponsive_for_s(self, address: model.Address) -> float:
        """Returns for how long a peer has not answered.

        0 if it does, and if it has not been called for long.
        """
        now_s = self._clock.monotonic_s()
        if not self._is_known_lost(address, now_s):
            return 0.0
        return now_s - self._lost_since_s[address]

    def _is_known_lost(self, address: model.Address, now_s: float) -> bool:
        """Whether a peer did not answer when it was called just now."""
        if address not in self._lost_since_s:
            return False
        found_s = self._found_lost_s[address]
        return now_s - found_s < self._settings.lost_evidence_s

    def _make_pool(self, address: model.Address) -> exchange.Exchanger:
        """Returns the connections to an address."""
        settings = exchange.ConnectionSettings(drops_idle_on_timeout=True)
        return exchange.ConnectionPool(address, settings, self._clock)

    async def _call(
        self, address: model.Address, path: bytes, body: bytes
    ) -> _Answer:
        """Posts a message; a peer that does not take it is paused."""
        now_s = self._clock.monotonic_s()
        if now_s < self._paused_until_s.get(address, 0.0):
            # One that ended is called each time: it may have started again.
            return _Answer(Reception.UNKNOWN)
        result: exchange.Result = exchange.Broken("no answer in time")
        timeout_s = self._settings.timeout_s
        timeout_s += len(body) / self._settings.min_bytes_per_s
        with timeouts.move_on_after(timeout_s, self._clock):
            result = await self._post(address, path, body)
        if isinstance(result, exchange.Reply):
            self._lost_since_s.pop(address, None)
            if result.status == _HTTP_OK:
                return _Answer(Reception.ACCEPTED, result.body)
            if result.status == _HTTP_CONFLICT:
                return _Answer(Reception.DISPUTED)
            reason = f"status {result.status}"
        else:
            reason = result.reason
        ended = isinstance(result, exchange.Unsent) and result.refused
        now_s = self._clock.monotonic_s()
        if not ended:
            self._paused_until_s[address] = now_s + self._settings.pause_s
        if not self._is_known_lost(address, now_s):
            self._lost_since_s[address] = now_s
        self._found_lost_s[address] = now_s
        self._journal.decision("peer_lost", address=str(address), reason=reason)
        return _Answer(Reception.ENDED if ended else Reception.UNKNOWN)

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
    """Returns a relay as bytes, made once for all peers."""
    return _deflate(_RELAYS.encode(relay))


def encode_map(key_map: keymap.KeyMap) -> bytes:
    """Returns a key map as bytes, made once for all peers."""
    return _deflate(_MAPS.encode(key_map))


def _deflate(data: bytes) -> bytes:
    """Returns a message as it goes over the wire."""
    return zlib.compress(data, _DEFLATE_LEVEL)


def _inflate(data: bytes) -> bytes:
    """Returns the message that came over the wire.

    Raises:
        codec.CodecError: It is cut short, too long or not deflated.
    """
    inflater = zlib.decompressobj()
    try:
        message = inflater.decompress(data, _BODY_MAX_BYTES)
    except zlib.error as error:
        raise codec.CodecError(f"cannot be inflated: {error}") from error
    if not inflater.eof:
        raise codec.CodecError("is cut short, or too long once inflated")
    return message


class PeerReply(NamedTuple):
    """The answer to a message, as it goes over HTTP."""

    status: int
    body: bytes = b""


class PeerServer:
    """Answers other instances."""

    def __init__(
        self,
        take_load: Callable[[load.LoadReport], None],
        take_map: Callable[[keymap.KeyMap], None],
        take_settled: Callable[[tuple[Settled, ...]], None],
        take_relay: Callable[[Relay, Echo | None], RelayReply | None],
        journal: journals.Journal,
    ) -> None:
        """Keeps who takes what.

        Args:
            take_load: Takes a load report.
            take_map: Takes a key map.
            take_settled: Takes the end of moves.
            take_relay: Takes what another instance read; returns the answer;
                None if it does not count, since a later leader is known.
            journal: Told of messages that cannot be read.
        """
        self._takers: dict[bytes, Callable[[bytes], None]] = {
            _LOAD_PATH: lambda body: take_load(_LOADS.decode(body)),
            _MAP_PATH: lambda body: take_map(_MAPS.decode(body)),
            _SETTLED_PATH: lambda body: take_settled(_SETTLED.decode(body)),
        }
        self._take_relay = take_relay
        self._journal = journal

    def answer(self, path: bytes, body: bytes) -> PeerReply:
        """Takes a message; returns the answer."""
        try:
            if path == _RELAY_PATH:
                return self._answer_relay(_ENVELOPES.decode(body))
            take = self._takers.get(path)
            if take is None:
                return PeerReply(404)
            take(_inflate(body))
        except codec.CodecError as error:
            return self.reject_unreadable(path, error)
        return PeerReply(_HTTP_OK)

    def reject_unreadable(self, path: bytes, error: ValueError) -> PeerReply:
        """Tells of a message that cannot be read, and answers it."""
        self._journal.decision(
            "peer_message_unreadable",
            path=path.decode("ascii", "replace"),
            reason=str(error),
        )
        return PeerReply(400)

    def _answer_relay(self, envelope: _Envelope) -> PeerReply:
        """Answers the leader's word."""
        relay = _RELAYS.decode(_inflate(envelope.relay))
        reply = self._take_relay(relay, envelope.echo)
        if reply is None:
            return PeerReply(_HTTP_CONFLICT)
        return PeerReply(_HTTP_OK, _REPLIES.encode(reply))
