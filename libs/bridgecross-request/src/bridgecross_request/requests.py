"""A caller's request, and its form when one instance forwards it to another."""

from typing import NamedTuple

from bridgecross_core import ids

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE", "OPTIONS"})
"""The methods that may be repeated (RFC 9110, section 9.2.2)."""

FORWARDED_HEADERS = frozenset(
    {
        b"accept",
        b"accept-language",
        b"content-type",
        b"idempotency-key",
        b"traceparent",
    }
)
"""The headers of requests and answers that are forwarded unchanged."""


class RequestHeader(NamedTuple):
    """One HTTP header of a request."""

    name: bytes
    value: bytes


class Request(NamedTuple):
    """A request of a known caller.

    ``deadline_s`` is on this process's monotonic clock. ``idempotency_key``
    is empty unless the request must run at most once.
    """

    request_id: str
    service: ids.ServiceName
    key: str
    caller: str
    tier: str
    method: str
    target: str
    headers: tuple[RequestHeader, ...]
    body: bytes
    deadline_s: float
    idempotency_key: str

    @property
    def may_repeat(self) -> bool:
        """Whether the request may safely run more than once."""
        return not self.idempotency_key and self.method in IDEMPOTENT_METHODS


class WireRequest(NamedTuple):
    """A request as one instance forwards it to another.

    Monotonic clocks of different processes cannot be compared, so the deadline
    is sent as the remaining time. ``head`` is the sender's newest record of the
    service: the receiver first reads the log up to that record.
    """

    request_id: str
    service: ids.ServiceName
    key: str
    caller: str
    tier: str
    method: str
    target: str
    headers: tuple[RequestHeader, ...]
    body: bytes
    left_ms: int
    idempotency_key: str
    head: ids.Offset


def to_wire(request: Request, now_s: float, head: ids.Offset) -> WireRequest:
    """Returns a request in the form in which it is forwarded."""
    return WireRequest(
        request_id=request.request_id,
        service=request.service,
        key=request.key,
        caller=request.caller,
        tier=request.tier,
        method=request.method,
        target=request.target,
        headers=request.headers,
        body=request.body,
        left_ms=max(int((request.deadline_s - now_s) * 1_000), 0),
        idempotency_key=request.idempotency_key,
        head=head,
    )


def from_wire(wire: WireRequest, now_s: float) -> Request:
    """Returns a forwarded request with its deadline on the local clock."""
    return Request(
        request_id=wire.request_id,
        service=wire.service,
        key=wire.key,
        caller=wire.caller,
        tier=wire.tier,
        method=wire.method,
        target=wire.target,
        headers=wire.headers,
        body=wire.body,
        deadline_s=now_s + wire.left_ms / 1_000,
        idempotency_key=wire.idempotency_key,
    )
