"""Sends a request to a backend server and returns its actual outcome.

The outcome tells a request that certainly did not run from one that may have.
"""

import dataclasses
from typing import NamedTuple
from typing import Protocol

import anyio
import httpcore

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_request import bounded_streams
from bridgecross_request import requests

TOKEN_HEADER = b"bridgecross-token"
"""The fencing token of the slice."""

SLICE_HEADER = b"bridgecross-slice"
"""The slice that the key belongs to."""

QUEUE_OWNER_TOKEN_HEADER = b"bridgecross-front-token"
"""The fencing token of the queue owner that sends the request."""

DEADLINE_HEADER = b"bridgecross-deadline-unix-ms"
"""The wall-clock time after which the server must not run the request."""

REQUEST_ID_HEADER = b"bridgecross-request-id"
"""The id of the request, for the server's own logs."""

REFUSED_HEADER = b"bridgecross-refused"
"""A header of an answer: the server refused to run the request."""

REFUSED_BY_FENCE = b"fence"
"""The value of ``REFUSED_HEADER`` for a wrong token or no lease."""

REFUSED_TO_SHED = b"shed"
"""The value of ``REFUSED_HEADER`` from a server that sheds load."""

REFUSED_AS_LATE = b"deadline"
"""The value of ``REFUSED_HEADER`` for a deadline that has passed."""

_REFUSAL_CHECK_TIMEOUT_S = 0.1
"""Nearby addresses refuse connections within a few milliseconds, and a caller
waits while the check runs."""

_RETRY_AFTER_SHED_MS = 200

_LAST_STATUS = 599

_FRAMING_MAX_BYTES = 64 * 1024
"""Heads, trailers and interim answers, besides the lengths of chunks."""

_FRAMING_MAX_RATIO = 1
"""The lengths of chunks, by the bytes of bodies."""


class Fence(NamedTuple):
    """What a server checks before it runs a request."""

    slice: ids.SliceIndex
    token: ids.Token
    queue_owner_token: ids.Token


class Limit(NamedTuple):
    """The deadline of a request: as remaining time, and as wall-clock time.

    ``left_s`` applies on this machine, ``until_unix_s`` to the server.
    """

    left_s: float
    until_unix_s: float


def measure_limit(clock: clocks.Clock, deadline_s: float) -> Limit:
    """Returns the limit of a request.

    The wall clock is read first. A process that is suspended between the two
    readings then sends the server an earlier deadline, never a later one. For
    servers that do not check fences, the deadline is all that ends the
    requests of a process that was suspended.

    Args:
        clock: The wall clock and the monotonic clock of this machine.
        deadline_s: The deadline on the monotonic clock.
    """
    wall_s = clock.wall_s()
    left_s = deadline_s - clock.monotonic_s()
    return Limit(max(left_s, 0.0), wall_s + left_s)


class Backend(Protocol):
    """Sends requests to backend servers."""

    async def send(
        self,
        address: str,
        request: requests.Request,
        fence: Fence,
        limit: Limit,
    ) -> outcomes.Outcome:
        """Sends a request once and returns its outcome.

        Args:
            address: The server's ``host:port``.
            request: The request.
            fence: The tokens that the server checks.
            limit: The request's deadline.
        """

    async def is_refusing(self, address: str) -> bool:
        """Whether an address refuses connections; no data is sent.

        Args:
            address: The server's ``host:port``.
        """


@dataclasses.dataclass(frozen=True)
class BackendSettings:
    """How the servers of a service are connected to."""

    # The most connections to one server.
    connections_per_server: int
    # The largest answer body.
    max_body_bytes: int
    # How long an unused connection is kept.
    keepalive_s: float = 30.0


class HttpBackend:
    """A ``Backend`` over HTTP, with one connection pool per server."""

    def __init__(self, settings: BackendSettings) -> None:
        """Starts without connections."""
        self._settings = settings
        self._pools: dict[str, httpcore.AsyncConnectionPool] = {}

    async def send(
        self,
        address: str,
        request: requests.Request,
        fence: Fence,
        limit: Limit,
    ) -> outcomes.Outcome:
        """Sends a request once; see ``Backend.send``.

        The pool closes a connection after any error on it, so a late answer
        can never be taken for that of another request.
        """
        # The timeouts of the pool are for a single read or write.
        with anyio.move_on_after(limit.left_s):
            return await self._exchange(address, request, fence, limit)
        return outcomes.Unknown("the server did not answer in time")

    async def _exchange(
        self,
        address: str,
        request: requests.Request,
        fence: Fence,
        limit: Limit,
    ) -> outcomes.Outcome:
        """Sends a request and reads its answer, however long that takes."""
        pool = self._find_pool(address)
        try:
            async with pool.stream(
                request.method,
                f"http://{address}{request.target}",
                headers=build_headers(address, request, fence, limit),
                content=request.body,
                extensions={"timeout": _make_timeouts(limit.left_s)},
            ) as response:
                return await self._read_answer(response)
        except (
            httpcore.ConnectError,
            httpcore.ConnectTimeout,
            httpcore.PoolTimeout,
        ) as error:
            return outcomes.NotRun(
                outcomes.NotRunProof.NEVER_WRITTEN, repr(error), reroute=True
            )
        except (
            httpcore.NetworkError,
            httpcore.TimeoutException,
            httpcore.ProtocolError,
        ) as error:
            return outcomes.Unknown(f"the server did not answer: {error!r}")

    async def is_refusing(self, address: str) -> bool:
        """Whether an address refuses connections; see ``Backend``."""
        host, _, port = address.rpartition(":")
        with anyio.move_on_after(_REFUSAL_CHECK_TIMEOUT_S):
            try:
                stream = await anyio.connect_tcp(host, int(port))
            except OSError as error:
                return isinstance(error.__cause__, ConnectionRefusedError)
            await stream.aclose()
        return False

    def replace_settings(self, settings: BackendSettings) -> None:
        """Replaces the settings; existing pools keep their size."""
        self._settings = settings

    async def aclose(self) -> None:
        """Closes all connections."""
        for pool in self._pools.values():
            await pool.aclose()

    def _find_pool(self, address: str) -> httpcore.AsyncConnectionPool:
        """Returns the connection pool of a server."""
        if address not in self._pools:
            self._pools[address] = httpcore.AsyncConnectionPool(
                max_connections=self._settings.connections_per_server,
                max_keepalive_connections=self._settings.connections_per_server,
                keepalive_expiry=self._settings.keepalive_s,
                retries=0,
                network_backend=bounded_streams.BoundedBackend(
                    _FRAMING_MAX_BYTES
                    + (1 + _FRAMING_MAX_RATIO) * self._settings.max_body_bytes
                ),
            )
        return self._pools[address]

    async def _read_answer(
        self, response: httpcore.Response
    ) -> outcomes.Outcome:
        """Reads the whole answer; a refusal becomes ``NotRun``."""
        body = bytearray()
        async for part in response.aiter_stream():
            body += part
            if len(body) > self._settings.max_body_bytes:
                return outcomes.Unknown("the answer is too large", status=502)
        if response.status > _LAST_STATUS:
            return outcomes.Unknown(f"the status is {response.status}")
        refused = _find_header(response, REFUSED_HEADER)
        if refused is not None:
            return _describe_refusal(refused)
        return outcomes.Answered(
            status=response.status,
            headers=tuple(
                outcomes.Header(name.lower(), value)
                for name, value in response.headers
                if name.lower() in requests.FORWARDED_HEADERS
            ),
            body=bytes(body),
        )


def build_headers(
    address: str, request: requests.Request, fence: Fence, limit: Limit
) -> list[tuple[bytes, bytes]]:
    """Returns the headers of a request as sent to its server."""
    return [
        (b"host", address.encode()),
        (b"content-length", b"%d" % len(request.body)),
        (SLICE_HEADER, b"%d" % fence.slice),
        (TOKEN_HEADER, b"%d" % fence.token),
        (QUEUE_OWNER_TOKEN_HEADER, b"%d" % fence.queue_owner_token),
        (DEADLINE_HEADER, b"%d" % int(limit.until_unix_s * 1_000)),
        (REQUEST_ID_HEADER, request.request_id.encode()),
        *request.headers,
    ]


def _make_timeouts(left_s: float) -> dict[str, float]:
    """Returns httpcore's timeouts, with the same limit for each phase."""
    return dict.fromkeys(("connect", "read", "write", "pool"), left_s)


def _find_header(response: httpcore.Response, wanted: bytes) -> bytes | None:
    """Returns the value of an answer's header, or None if it is missing."""
    for name, value in response.headers:
        if name.lower() == wanted:
            return bytes(value)
    return None


def _describe_refusal(refused: bytes) -> outcomes.NotRun:
    """Returns the outcome for the value of ``REFUSED_HEADER``."""
    if refused == REFUSED_TO_SHED:
        return outcomes.NotRun(
            outcomes.NotRunProof.SHED_BY_SERVER,
            "the server sheds load",
            retry_after_ms=_RETRY_AFTER_SHED_MS,
        )
    return outcomes.NotRun(
        outcomes.NotRunProof.REFUSED_BY_FENCE,
        f"the server refused: {refused.decode(errors='replace')}",
        reroute=refused == REFUSED_BY_FENCE,
    )
