"""The HTTP interface for callers, as an ASGI application.

Requests for ``/v1/{service}/{key}`` and any path below it are routed to the
server that owns the key. ``docs/caller-api.md`` describes headers, statuses
and problem bodies.
"""

import secrets
from typing import NamedTuple
from typing import Protocol
import urllib.parse

from bridgecross_core import clock as clocks
from bridgecross_core import codec
from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_daemon import _metrics
from bridgecross_entry import listener
from bridgecross_entry import memory_ledger
from bridgecross_entry import memory_reservation
from bridgecross_request import callers
from bridgecross_request import requests
from bridgecross_settings import tree

Message = listener.Scope
Receive = listener.Receive
Send = listener.Send

_PREFIX = "v1"
_PATH_PARTS = 4
_REQUEST_ID_BYTES = 9
_MAX_IDEMPOTENCY_KEY_CHARS = 200
_NOT_READY_RETRY_MS = 500
_OUTCOME_HEADER = b"bridgecross-outcome"
_PROOF_HEADER = b"bridgecross-not-run-proof"
_PROBLEM_TYPE = b"application/problem+json"


class Problem(NamedTuple):
    """A refusal or an unknown outcome, as reported to the caller."""

    status: int
    title: str
    detail: str
    retry_after_ms: int = 0


class _RefusedError(Exception):
    """A request cannot be accepted; no attempt was made."""

    def __init__(self, problem: Problem, *, is_unread: bool = False) -> None:
        """Initializes the error with the problem to report.

        Args:
            problem: What the caller is told.
            is_unread: Whether the rest of the body will not be used.
        """
        self.problem = problem
        self.is_unread = is_unread
        super().__init__(problem.detail)


class _SettingsInForce(NamedTuple):
    """The house and this instance's place in it."""

    house: tree.House
    place: tree.Place


class _ProblemBody(NamedTuple):
    """A problem-details body (RFC 9457), extended by the outcome."""

    type: str
    title: str
    status: int
    detail: str
    outcome: str
    request_id: str


class CallerBackend(Protocol):
    """The part of an instance that the application uses."""

    def list_not_ready(self) -> list[str]:
        """Returns why the instance accepts no requests; empty if it does."""

    def find_house(self) -> tree.House | None:
        """Returns the settings in force."""

    def find_place(self) -> tree.Place | None:
        """Returns this instance's place in the settings in force."""

    async def handle(self, request: requests.Request) -> outcomes.Outcome:
        """Routes a request to the owner of its key."""

    def begin_request(self) -> None:
        """Counts a request as in flight."""

    def end_request(self) -> None:
        """Counts a request as done."""

    def is_leaving(self) -> bool:
        """Returns whether the instance is stopping."""


class _Target(NamedTuple):
    """The service and the key in a request's path."""

    service: str
    key: str


class CallerApp:
    """The ASGI application."""

    def __init__(
        self,
        backend: CallerBackend,
        metrics: _metrics.Metrics,
        clock: clocks.Clock,
        ledger: memory_ledger.Ledger,
    ) -> None:
        """Initializes the application.

        Args:
            backend: The instance that handles the requests.
            metrics: Counts the requests.
            clock: The clock for deadlines and durations.
            ledger: Grants the memory for bodies.
        """
        self._backend = backend
        self._metrics = metrics
        self._clock = clock
        self._ledger = ledger

    async def __call__(
        self, scope: Message, receive: Receive, send: Send
    ) -> None:
        """Answers one HTTP request; other protocols are not served."""
        if scope["type"] == "lifespan":
            await _handle_lifespan(receive, send)
            return
        if scope["type"] != "http":
            return
        self._backend.begin_request()
        # The received pieces and the body, or the body and the message to the
        # server.
        reservation = memory_reservation.BodyReservation(
            self._ledger, memory_ledger.Purpose.BODY, 2
        )
        try:
            with reservation:
                await self._serve(scope, receive, send, reservation)
        finally:
            self._backend.end_request()

    async def _serve(
        self,
        scope: Message,
        receive: Receive,
        send: Send,
        reservation: memory_reservation.BodyReservation,
    ) -> None:
        """Parses the request, has it handled, and sends the response."""
        started_s = self._clock.monotonic_s()
        request_id = secrets.token_urlsafe(_REQUEST_ID_BYTES)
        closing = self._backend.is_leaving()
        try:
            request = await self._parse_request(
                scope, receive, request_id, started_s, reservation
            )
        except _RefusedError as refused:
            unread = receive if refused.is_unread else None
            await _send_problem(
                send, refused.problem, request_id, closing, unread=unread
            )
            return
        outcome = await self._backend.handle(request)
        duration_s = self._clock.monotonic_s() - started_s
        self._metrics.count_request(
            request.service, request.tier, outcome, duration_s
        )
        await _send_outcome(send, outcome, request_id, closing)

    async def _parse_request(
        self,
        scope: Message,
        receive: Receive,
        request_id: str,
        started_s: float,
        reservation: memory_reservation.BodyReservation,
    ) -> requests.Request:
        """Authenticates the caller and returns the parsed request.

        Raises:
            _RefusedError: The request cannot be accepted.
        """
        house, place = self._require_settings()
        target = _split_path(scope["path"])
        if target is None or target.service not in place.services:
            known = ", ".join(sorted(place.services))
            detail = f"use /v1/{{service}}/{{key}}; services: {known}"
            raise _RefusedError(Problem(404, "No such service", detail))
        service = place.services[target.service]
        headers = dict(scope["headers"])
        admission = _authenticate(house, place, service, headers)
        try:
            body = await _read_body(
                receive, service.policy.max_body_bytes, reservation
            )
        except memory_reservation.NoMemoryError as error:
            self._metrics.memory_refusals.inc({"reason": "body"})
            problem = Problem(
                503, "No memory", str(error), memory_ledger.RETRY_AFTER_MS
            )
            raise _RefusedError(problem, is_unread=True) from error
        deadline_ms = _read_deadline(headers, admission.tier)
        key = _read_idempotency_key(scope["method"], headers, service)
        return requests.Request(
            request_id=request_id,
            service=ids.ServiceName(service.name),
            key=target.key,
            caller=admission.caller,
            tier=admission.tier.name,
            method=scope["method"],
            target=_render_target(scope),
            headers=tuple(
                requests.RequestHeader(name, value)
                for name, value in scope["headers"]
                if name in requests.FORWARDED_HEADERS
            ),
            body=body,
            deadline_s=started_s + deadline_ms / 1_000,
            idempotency_key=key,
        )

    def _require_settings(self) -> "_SettingsInForce":
        """Returns the settings in force, if requests can be routed.

        Raises:
            _RefusedError: The instance is not ready.
        """
        not_ready = self._backend.list_not_ready()
        house = self._backend.find_house()
        place = self._backend.find_place()
        if not_ready or house is None or place is None:
            detail = "; ".join(not_ready) or "no settings"
            raise _RefusedError(
                Problem(503, "Not ready", detail, _NOT_READY_RETRY_MS)
            )
        return _SettingsInForce(house, place)


def _split_path(path: str) -> _Target | None:
    """Returns the service and key of a path, or None if it has none."""
    parts = path.split("/", _PATH_PARTS)
    if len(parts) < _PATH_PARTS or parts[1] != _PREFIX or not parts[3]:
        return None
    return _Target(parts[2], parts[3])


def _render_target(scope: Message) -> str:
    """Returns the path and query that are sent to the server."""
    path: str = urllib.parse.quote(scope["path"])
    query: bytes = scope["query_string"]
    return f"{path}?{query.decode('latin-1')}" if query else path


def _authenticate(
    house: tree.House,
    place: tree.Place,
    service: tree.Service,
    headers: dict[bytes, bytes],
) -> callers.Admitted:
    """Authenticates the caller and returns it with its tier.

    Raises:
        _RefusedError: The caller is unknown or has no tier in the service.
    """
    scheme, _, credential = headers.get(b"authorization", b"").partition(b" ")
    if scheme.lower() != b"bearer":
        detail = "send the credential as Authorization: Bearer"
        raise _RefusedError(Problem(401, "No credential", detail))
    admission = callers.find_caller(
        house, place.name, service, credential.decode("latin-1").strip()
    )
    match admission:
        case callers.Admitted():
            return admission
        case callers.NoTier(caller=name):
            detail = f"{name} has no place in a tier of {service.name}"
            raise _RefusedError(Problem(403, "No place in a tier", detail))
        case callers.UnknownCaller():
            raise _RefusedError(
                Problem(401, "Unknown caller", "no caller has it")
            )


async def _read_body(
    receive: Receive,
    limit_bytes: int,
    reservation: memory_reservation.BodyReservation,
) -> bytes:
    """Returns the whole body, for which memory is reserved as it arrives.

    Raises:
        _RefusedError: The body is too large, or the caller disconnected.
        NoMemoryError: There is no room for the body.
    """
    body = bytearray()
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            raise _RefusedError(
                Problem(400, "Cut off", "the request's body is not whole")
            )
        body += message.get("body", b"")
        if len(body) > limit_bytes:
            detail = f"at most {limit_bytes} bytes are allowed"
            raise _RefusedError(
                Problem(413, "Body too large", detail), is_unread=True
            )
        reservation.grow(len(body))
        if not message.get("more_body", False):
            return bytes(body)


def _read_deadline(headers: dict[bytes, bytes], tier: tree.Tier) -> int:
    """Returns the deadline in ms from the header, or else that of the tier.

    Raises:
        _RefusedError: The header is not a whole number above 0.
    """
    text = headers.get(b"bridgecross-deadline-ms")
    if text is None:
        return tier.policy.deadline_ms
    if not text.isdigit() or int(text) < 1:
        detail = "Bridgecross-Deadline-Ms must be a whole number above 0"
        raise _RefusedError(Problem(400, "Bad deadline", detail))
    return min(int(text), tier.policy.max_deadline_ms)


def _read_idempotency_key(
    method: str, headers: dict[bytes, bytes], service: tree.Service
) -> str:
    """Returns the idempotency key of a non-repeatable request, else "".

    Raises:
        _RefusedError: A non-repeatable request has no valid key.
    """
    if method not in service.policy.non_repeatable_methods:
        return ""
    text = headers.get(b"idempotency-key", b"").decode("latin-1").strip()
    if not 0 < len(text) <= _MAX_IDEMPOTENCY_KEY_CHARS:
        detail = (
            f"{method} to {service.name} may not run twice: send an "
            f"Idempotency-Key of 1 to {_MAX_IDEMPOTENCY_KEY_CHARS} characters"
        )
        raise _RefusedError(Problem(400, "No idempotency key", detail))
    return text


async def _handle_lifespan(receive: Receive, send: Send) -> None:
    """Handles the ASGI lifespan events, for which there is nothing to do."""
    while True:
        message = await receive()
        if message["type"] == "lifespan.startup":
            await send({"type": "lifespan.startup.complete"})
        else:
            await send({"type": "lifespan.shutdown.complete"})
            return


async def _send_outcome(
    send: Send, outcome: outcomes.Outcome, request_id: str, closing: bool
) -> None:
    """Sends the response for the outcome of a request."""
    match outcome:
        case outcomes.Answered():
            headers = [(h.name, h.value) for h in outcome.headers]
            headers.append((_OUTCOME_HEADER, b"answered"))
            await _send(send, outcome.status, headers, outcome.body, closing)
        case outcomes.NotRun():
            problem = Problem(
                outcome.status,
                "Not run",
                outcome.reason,
                outcome.retry_after_ms,
            )
            proof = outcome.proof.value.encode()
            await _send_problem(send, problem, request_id, closing, proof)
        case outcomes.Unknown():
            body = _render_problem(
                Problem(outcome.status, "Outcome unknown", outcome.reason),
                "unknown",
                request_id,
            )
            headers = [
                (b"content-type", _PROBLEM_TYPE),
                (_OUTCOME_HEADER, b"unknown"),
            ]
            await _send(send, outcome.status, headers, body, closing)


async def _send_problem(
    send: Send,
    problem: Problem,
    request_id: str,
    closing: bool,
    proof: bytes = outcomes.NotRunProof.REFUSED_BY_ADMISSION.value.encode(),
    unread: Receive | None = None,
) -> None:
    """Sends a response that says why the request was not run.

    Args:
        send: Sends the response.
        problem: What it says.
        request_id: The id of the request.
        closing: Whether it closes the connection.
        proof: Why the request has not run.
        unread: Returns what is left of a body that will not be used.
    """
    headers = [
        (b"content-type", _PROBLEM_TYPE),
        (_OUTCOME_HEADER, b"not-run"),
        (_PROOF_HEADER, proof),
    ]
    if problem.retry_after_ms:
        # ``Retry-After`` only allows whole seconds, so a second header gives
        # the milliseconds.
        seconds = -(-problem.retry_after_ms // 1_000)
        headers.append((b"retry-after", b"%d" % seconds))
        headers.append(
            (b"bridgecross-retry-after-ms", b"%d" % problem.retry_after_ms)
        )
    body = _render_problem(problem, "not-run", request_id)
    if unread is not None:
        await listener.refuse_body(unread, send, problem.status, headers, body)
        return
    await _send(send, problem.status, headers, body, closing)


def _render_problem(problem: Problem, outcome: str, request_id: str) -> bytes:
    """Returns the JSON body of a problem response."""
    body = _ProblemBody(
        type="about:blank",
        title=problem.title,
        status=problem.status,
        detail=problem.detail,
        outcome=outcome,
        request_id=request_id,
    )
    return codec.to_json(body._asdict()).encode()


async def _send(
    send: Send,
    status: int,
    headers: list[tuple[bytes, bytes]],
    body: bytes,
    closing: bool,
) -> None:
    """Sends a response; a stopping instance closes the connection."""
    headers.append((b"content-length", b"%d" % len(body)))
    if closing:
        headers.append((b"connection", b"close"))
    await send(
        {"type": "http.response.start", "status": status, "headers": headers}
    )
    await send({"type": "http.response.body", "body": body})
