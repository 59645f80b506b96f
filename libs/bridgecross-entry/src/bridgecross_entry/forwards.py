"""Messages by which an instance sends something through another instance.

An instance whose own link to a server is broken asks another one to send a
request or a lease order on its behalf. What decides about it stays with the
instance that the caller or the lead belongs to; the other one only checks that
nothing which it knows itself speaks against it, and never passes it on again.
"""

from collections.abc import Callable
import enum
from typing import NamedTuple

from bridgecross_core import codec
from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_entry import attempts
from bridgecross_entry import model
from bridgecross_entry import peers

REACH_PATH = b"/reach"
"""The path at which an instance is asked whether it reaches a server."""

REQUEST_PATH = b"/forward"
"""The path at which an instance is sent a request for a server."""

ORDER_PATH = b"/order"
"""The path at which an instance is sent a lease order for a server."""

RELAYED_PATH = b"/relayed"
"""The path at which a relay is sent a request for a server.

Unlike at ``REQUEST_PATH``, the sender has another way, so that the receiver
rejects what it has no capacity for.
"""

REQUEST_PATHS = frozenset({REQUEST_PATH, RELAYED_PATH})
"""The paths of messages that contain a caller's request."""

PATHS = REQUEST_PATHS | {REACH_PATH, ORDER_PATH}

NOTHING_DONE = outcomes.Header(b"nothing-done", b"1")
"""The header of an answer that rejects a message before anything was done for
it. Only the code that rejects a message adds it: the HTTP server answers 500 by
itself if it is stopped, or fails, while a message is being handled."""


class Reach(enum.Enum):
    """What an instance sees of a server."""

    REACHED = "reached"
    REFUSED = "refused"
    """It refuses connections, unlike other servers."""

    UNREACHED = "unreached"
    """It does not answer, unlike other servers."""

    UNKNOWN = "unknown"
    """The links of the instance itself may be broken."""


class ReachQuery(NamedTuple):
    """Asks whether an instance reaches a server."""

    server_id: ids.ServerId
    # Whether to connect now, however recently the server was heard.
    is_fresh: bool


class ReachReply(NamedTuple):
    """The answer to a query."""

    reach: Reach
    stamp: peers.Stamp


class Validity(NamedTuple):
    """For how long a forwarded message may be acted upon."""

    # The receiver's last stamp, from which it knows the message's largest age.
    returned: peers.ReturnedStamp
    # The age, in seconds, after which nothing may be sent to the server.
    send_within_s: float
    # The age after which the receiver gives up.
    give_up_after_s: float


class Content(NamedTuple):
    """A caller's request; see ``attempts.EntryRequest``."""

    request_id: str
    method: bytes
    target: bytes
    path: str
    host: str
    # Names and values.
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    key: int | None


class ForwardedRequest(NamedTuple):
    """A request for a server."""

    server_id: ids.ServerId
    validity: Validity
    content: Content
    # Whether only this server may serve it.
    is_keyed: bool
    # Whether a quota was obtained for it, and a permit that covers cold
    # servers.
    has_quota: bool
    covers_cold: bool


class ResultKind(enum.Enum):
    """The kinds of results of an attempt; see ``attempts.Attempt``."""

    ANSWERED = "answered"
    SHED = "shed"
    NOT_OWNER = "not the owner"
    REFUSED = "refused"
    NOT_SENT = "not sent"
    INTERRUPTED = "interrupted"


class RequestReply(NamedTuple):
    """The result of a forwarded request."""

    stamp: peers.Stamp
    kind: ResultKind
    # The status of an answer; 0 without one.
    status: int = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    pace_ratio: float | None = None
    # A reason, or the name of the server that answered.
    text: str = ""
    # What the server is known to say about itself.
    is_leaving: bool = False
    backoff_s: float = 0.0
    limit_per_s: float | None = None


class Blamed(enum.Enum):
    """What later requests must avoid after one that a relay did not send."""

    NOTHING = "nothing"
    """The request was sent, or the reason concerns this request only."""

    LINK = "link"
    """The relay does not reach the server."""

    RELAY = "relay"
    """The relay takes no requests at present, or did not answer."""


class RelayedReply(NamedTuple):
    """The result of a request that was sent through a relay."""

    reply: RequestReply
    blamed: Blamed = Blamed.NOTHING
    # The time from the receipt of the request at the relay to its result. The
    # rest of what the sender measures is not due to the server.
    served_s: float = 0.0

    @property
    def stamp(self) -> peers.Stamp:
        """The stamp of the answer."""
        return self.reply.stamp


class OrderKind(enum.Enum):
    """The kinds of lease orders."""

    GRANT = "grant"
    RELEASE = "release"


class ForwardedOrder(NamedTuple):
    """A lease order for a server; see ``attempts.LeaseClient``."""

    server_id: ids.ServerId
    validity: Validity
    kind: OrderKind
    first_key: int
    last_key: int
    token: int
    # Only for grants.
    lease_ms: float = 0.0
    handover: str = ""


class OrderResultKind(enum.Enum):
    """The kinds of results of an order; see ``attempts.GrantResult``."""

    GRANTED = "granted"
    RELEASED = "released"
    OUTRANKED = "outranked"
    GONE = "gone"
    REFUSED = "refused"
    NOT_TAKEN = "not taken"
    NO_REPLY = "no reply"


class OrderReply(NamedTuple):
    """The result of a forwarded order."""

    stamp: peers.Stamp
    kind: OrderResultKind
    # A reason, or the state that was handed over.
    text: str = ""


QUERIES = codec.Codec(ReachQuery)
REACH_REPLIES = codec.Codec(ReachReply)
REQUESTS = codec.Codec(ForwardedRequest)
REQUEST_REPLIES = codec.Codec(RequestReply)
RELAYED_REPLIES = codec.Codec(RelayedReply)
ORDERS = codec.Codec(ForwardedOrder)
ORDER_REPLIES = codec.Codec(OrderReply)


class Terms(NamedTuple):
    """Under which terms a request may be sent through another instance."""

    is_keyed: bool = False
    has_quota: bool = False
    covers_cold: bool = False
    # Until when the rights to send it last, on the monotonic clock.
    valid_until_s: float = float("inf")
    # The areas that it may pass through; any, if empty.
    allowed_areas: frozenset[str] = frozenset()
    # Called with each instance that it is sent through.
    on_forwarded: Callable[[model.Address], None] = lambda _: None
    # Called with the time in seconds that an attempt spent between this
    # instance and a relay, which says nothing about the server.
    on_hop: Callable[[float], None] = lambda _: None


def pack(request: attempts.EntryRequest) -> Content:
    """Returns the content of a request."""
    return Content(
        request.request_id,
        request.method,
        request.target,
        request.path,
        request.host,
        tuple((h.name, h.value) for h in request.headers),
        request.body,
        request.key,
    )


def unpack(
    content: Content, received_s: float, timeout_ms: float
) -> attempts.EntryRequest:
    """Returns the request with a content."""
    return attempts.EntryRequest(
        content.request_id,
        content.method,
        content.target,
        content.path,
        content.host,
        tuple(outcomes.Header(*each) for each in content.headers),
        content.body,
        content.key,
        received_s,
        timeout_ms,
    )


def pack_result(
    stamp: peers.Stamp, result: attempts.Attempt | attempts.Withheld
) -> RequestReply:
    """Returns the reply that reports a result."""
    if isinstance(result, outcomes.Answered):
        return RequestReply(
            stamp,
            ResultKind.ANSWERED,
            result.status,
            tuple((h.name, h.value) for h in result.headers),
            result.body,
            result.pace_ratio,
        )
    if isinstance(result, attempts.Shed):
        return RequestReply(stamp, ResultKind.SHED, result.status)
    if isinstance(result, attempts.NotOwner):
        return RequestReply(
            stamp, ResultKind.NOT_OWNER, text=result.answered_by
        )
    if isinstance(result, attempts.Interrupted):
        return RequestReply(stamp, ResultKind.INTERRUPTED, text=result.reason)
    if isinstance(result, attempts.NotSent):
        kind = ResultKind.REFUSED if result.refused else ResultKind.NOT_SENT
        return RequestReply(stamp, kind, text=result.reason)
    return RequestReply(stamp, ResultKind.NOT_SENT, text="withheld")


def unpack_result(reply: RequestReply) -> attempts.Attempt:
    """Returns the result that a reply reports."""
    match reply.kind:
        case ResultKind.ANSWERED:
            headers = tuple(outcomes.Header(*each) for each in reply.headers)
            return outcomes.Answered(
                reply.status, headers, reply.body, reply.pace_ratio
            )
        case ResultKind.SHED:
            return attempts.Shed(reply.status)
        case ResultKind.NOT_OWNER:
            return attempts.NotOwner(reply.text)
        case ResultKind.INTERRUPTED:
            return attempts.Interrupted(reply.text)
        case ResultKind.REFUSED | ResultKind.NOT_SENT:
            is_refused = reply.kind is ResultKind.REFUSED
            return attempts.NotSent(reply.text, is_refused)


OrderResult = (
    attempts.Granted
    | attempts.Released
    | attempts.Outranked
    | attempts.Gone
    | attempts.Refused
    | attempts.NoReply
    | attempts.NotTaken
)
"""The result of a forwarded order."""

_ORDER_KINDS: dict[type[OrderResult], OrderResultKind] = {
    attempts.Granted: OrderResultKind.GRANTED,
    attempts.Released: OrderResultKind.RELEASED,
    attempts.Outranked: OrderResultKind.OUTRANKED,
    attempts.Gone: OrderResultKind.GONE,
    attempts.Refused: OrderResultKind.REFUSED,
    attempts.NoReply: OrderResultKind.NO_REPLY,
    attempts.NotTaken: OrderResultKind.NOT_TAKEN,
}

_UNPACK_ORDER: dict[OrderResultKind, Callable[[str], OrderResult]] = {
    OrderResultKind.GRANTED: lambda _: attempts.Granted(),
    OrderResultKind.RELEASED: attempts.Released,
    OrderResultKind.OUTRANKED: lambda _: attempts.Outranked(),
    OrderResultKind.GONE: attempts.Gone,
    OrderResultKind.REFUSED: attempts.Refused,
    OrderResultKind.NO_REPLY: attempts.NoReply,
    OrderResultKind.NOT_TAKEN: attempts.NotTaken,
}


def pack_order_result(
    stamp: peers.Stamp,
    result: attempts.GrantResult | attempts.ReleaseResult,
) -> OrderReply:
    """Returns the reply that reports the result of an order."""
    if isinstance(result, attempts.Withheld):
        return OrderReply(stamp, OrderResultKind.NOT_TAKEN, "withheld")
    text = ""
    if isinstance(result, attempts.Released):
        text = result.handover
    elif not isinstance(result, attempts.Granted | attempts.Outranked):
        text = result.reason
    return OrderReply(stamp, _ORDER_KINDS[type(result)], text)


def unpack_order_result(reply: OrderReply) -> OrderResult:
    """Returns the result of an order that a reply reports."""
    return _UNPACK_ORDER[reply.kind](reply.text)
