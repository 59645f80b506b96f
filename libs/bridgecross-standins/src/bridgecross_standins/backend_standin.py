"""A stand-in for a backend server that journals every request.

``PUT /bridgecross/lease`` takes leases (see ``bridgecross_ownership.leases``);
every path under ``/v1`` runs a request. ``PUT /faults`` takes a JSON
``BackendFaults``; to freeze the server, send SIGSTOP to its process. The
journal is written to a file so that it survives the server: tests check the
guarantees against it.
"""

import dataclasses
import enum
import io
import pathlib
import secrets
import time
from typing import NamedTuple

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from bridgecross_core import codec
from bridgecross_core import ids
from bridgecross_ownership import leases
from bridgecross_request import backends

_METHODS = ["GET", "HEAD", "POST", "PUT", "DELETE"]
_DISCONNECT_POLL_S = 0.01


@dataclasses.dataclass(frozen=True)
class BackendFaults:
    """The faults of the server that are in force."""

    # Whether the server reports in lease replies that it is draining.
    draining: bool = False
    # The additional time that each request takes.
    delay_ms: int = 0
    # Whether every request is refused in order to shed load.
    shed_all: bool = False
    # The factor by which the load report is falsified.
    report_factor: float = 1.0
    # Whether the connection ends in the middle of the answer's body.
    cut_answers: bool = False


@dataclasses.dataclass(frozen=True)
class BackendStandinSettings:
    """The name, capacity and speed of the server."""

    # The server's name in the instance list.
    server: str
    # The number of requests that run concurrently.
    slots: int = 4
    # The number of requests that may wait for a slot; more are shed.
    backlog: int = 16
    # The time that a request takes.
    service_ms: float = 2.0
    # Whether requests are refused that have a wrong token or arrive without a
    # valid lease.
    checks_fences: bool = True
    # The time after the start during which requests take longer.
    cold_ms: int = 0
    # The factor by which they take longer during that time.
    cold_factor: float = 4.0
    # The file of the journal, with one entry per line; empty for no journal.
    journal_path: str = ""


class RequestResult(enum.Enum):
    """The result of a request at the server."""

    RAN = "ran"
    FENCED = "fenced"
    SHED = "shed"
    LATE = "late"
    CANCELLED = "cancelled"


class JournalEntry(NamedTuple):
    """One request at a server.

    ``began_s`` and ``ended_s`` are monotonic times of the machine, so that
    entries of all servers on it can be compared.
    """

    number: int
    result: RequestResult
    began_s: float
    ended_s: float
    server: str
    service: str
    key: str
    slice: int
    token: int
    front_token: int
    method: str
    request_id: str
    idempotency_key: str


class _RequestInfo(NamedTuple):
    """The part of a request that the server checks and journals."""

    service: str
    key: str
    slice: int
    token: int
    queue_owner_token: int
    deadline_ms: int
    method: str
    request_id: str
    idempotency_key: str


@dataclasses.dataclass(eq=False)
class _RunningRequest:
    """A request that waits for a slot or runs."""

    # The key, tokens and deadline of the request.
    info: _RequestInfo
    # The value of ``BackendStandin._lease_number`` at its arrival.
    lease_number: int
    # The monotonic time of its arrival.
    began_s: float
    # Its result; cancelled until it ends otherwise.
    result: RequestResult = RequestResult.CANCELLED
    # The value of the key after its effect.
    value: int = 0


class BackendStandin:
    """A backend server that keeps its values in memory."""

    def __init__(self, settings: BackendStandinSettings) -> None:
        """Initializes a server without a lease and opens its journal."""
        self.faults = BackendFaults()
        self._journal = _open_journal(settings.journal_path)
        self._entry_count = 0
        self._settings = settings
        self._incarnation = secrets.token_hex(8)
        self._started_s = time.monotonic()
        self._queue_owner_token = int(ids.NO_TOKEN)
        self._sequence = 0
        self._grants: dict[int, int] = {}
        self._lease_until_ms = 0.0
        # The number of times that a lease began while none was valid.
        self._lease_number = 0
        self._running: list[_RunningRequest] = []
        self._slots = anyio.CapacityLimiter(settings.slots)
        self._waiting = 0
        self._values: dict[str, int] = {}

    def build_app(self) -> applications.Starlette:
        """Returns the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route(
                    "/bridgecross/lease", self._take_lease, methods=["PUT"]
                ),
                routing.Route("/faults", self._set_faults, methods=["PUT"]),
                routing.Route("/report", self._show_report),
                routing.Route("/v1/{rest:path}", self._run, methods=_METHODS),
            ]
        )

    async def _set_faults(
        self, request: requests.Request
    ) -> responses.Response:
        """Replaces the faults."""
        self.faults = codec.from_json(await request.body(), BackendFaults)
        return responses.Response(status_code=204)

    async def _show_report(
        self, request: requests.Request
    ) -> responses.Response:
        """Returns the load report, which a fault may falsify."""
        load = len(self._running) * self.faults.report_factor
        return _make_json_answer({"load": load})

    async def _take_lease(
        self, request: requests.Request
    ) -> responses.Response:
        """Handles a lease exchange."""
        lease_request = codec.from_json(
            await request.body(), leases.LeaseRequest
        )
        reason = self._find_refusal(lease_request)
        if not reason:
            self._apply_grants(lease_request)
        return _make_json_answer(
            leases.LeaseReply(
                accepted=not reason,
                reason=reason,
                clock=leases.ClockEcho(self._incarnation, _now_ms()),
                held=self._list_held_grants(),
                draining=self.faults.draining,
            )
        )

    def _find_refusal(self, request: leases.LeaseRequest) -> str:
        """Returns why a lease request is refused; empty if it is accepted."""
        if request.front_token < self._queue_owner_token:
            return f"front token {self._queue_owner_token} is newer"
        if request.front_token > self._queue_owner_token:
            return ""
        if request.sequence <= self._sequence:
            return f"sequence number {self._sequence} has been received"
        return ""

    def _apply_grants(self, request: leases.LeaseRequest) -> None:
        """Replaces the grants; an echo of this run also extends the lease."""
        self._queue_owner_token = request.front_token
        self._sequence = request.sequence
        self._grants = {grant.slice: grant.token for grant in request.grants}
        if not self._has_lease():
            self._lease_number += 1
        if request.echo and request.echo.incarnation == self._incarnation:
            until_ms = request.echo.reading_ms + request.lease_ms
            self._lease_until_ms = max(self._lease_until_ms, until_ms)

    def _list_held_grants(self) -> list[leases.SliceGrant]:
        """Returns the grants, and revoked ones whose requests still run."""
        held = set(self._grants.items())
        held |= {(r.info.slice, r.info.token) for r in self._running}
        return [
            leases.SliceGrant(ids.SliceIndex(index), ids.Token(token))
            for index, token in sorted(held)
        ]

    async def _run(self, request: requests.Request) -> responses.Response:
        """Runs a request, or refuses it if it is fenced, shed or late."""
        info = _read_request_info(request)
        began_s = time.monotonic()
        if self._is_fenced(info):
            return self._refuse(info, RequestResult.FENCED, began_s)
        is_full = self._waiting >= self._settings.backlog
        if self.faults.shed_all or is_full:
            return self._refuse(info, RequestResult.SHED, began_s)
        running = _RunningRequest(info, self._lease_number, began_s)
        self._running.append(running)
        try:
            await self._execute(request, running)
        finally:
            self._running.remove(running)
        if running.result is not RequestResult.RAN:
            return self._refuse(info, running.result, began_s)
        return self._answer(info, running.value)

    async def _execute(
        self, request: requests.Request, running: _RunningRequest
    ) -> None:
        """Runs the request, and cancels it if the caller disconnects."""
        async with anyio.create_task_group() as tasks:

            async def watch_disconnect() -> None:
                while not await request.is_disconnected():
                    await anyio.sleep(_DISCONNECT_POLL_S)
                tasks.cancel_scope.cancel()

            tasks.start_soon(watch_disconnect)
            await self._execute_in_slot(running)
            tasks.cancel_scope.cancel()

    async def _execute_in_slot(self, running: _RunningRequest) -> None:
        """Waits for a slot, spends the service time and applies the effect."""
        self._waiting += 1
        try:
            await self._slots.acquire_on_behalf_of(running)
        finally:
            self._waiting -= 1
        try:
            await anyio.sleep(self._get_service_s())
            self._apply_effect(running)
        finally:
            self._slots.release_on_behalf_of(running)

    def _apply_effect(self, running: _RunningRequest) -> None:
        """Changes the value, and restores it if the change came too late.

        The process may be stopped between any two steps, so a check of the
        time before the change wouldn't prove that the change came in time.
        The time that is read after the change proves it, and is the end that
        the journal states. Nothing is awaited here, so no other request sees
        a value that is restored.
        """
        info = running.info
        previous = self._values.get(info.key, 0)
        is_write = info.method not in {"GET", "HEAD"}
        running.value = previous + is_write
        self._values[info.key] = running.value
        ended_s = time.monotonic()
        running.result = self._determine_result(running, ended_s)
        if running.result is RequestResult.RAN:
            self._write_entry(info, RequestResult.RAN, running.began_s, ended_s)
        else:
            self._values[info.key] = previous

    def _determine_result(
        self, running: _RunningRequest, ended_s: float
    ) -> RequestResult:
        """Returns the result of a request whose effect came at a time.

        A request may end under a revoked grant, because the reply to the
        revocation listed that grant as still held. It may not end after the
        lease under which it began has expired, even if another lease has
        begun since.
        """
        if time.time() * 1_000 > running.info.deadline_ms:
            return RequestResult.LATE
        has_lease = ended_s * 1_000 < self._lease_until_ms
        if self._settings.checks_fences and (
            not has_lease or running.lease_number != self._lease_number
        ):
            return RequestResult.FENCED
        return RequestResult.RAN

    def _has_lease(self) -> bool:
        """Returns whether the server has a valid lease."""
        return _now_ms() < self._lease_until_ms

    def _is_fenced(self, info: _RequestInfo) -> bool:
        """Returns whether a request must be refused for its tokens or lease."""
        if not self._settings.checks_fences:
            return False
        return (
            not self._has_lease()
            or self._grants.get(info.slice) != info.token
            or info.queue_owner_token != self._queue_owner_token
        )

    def _refuse(
        self, info: _RequestInfo, result: RequestResult, began_s: float
    ) -> responses.Response:
        """Journals and answers a request that was not run."""
        self._write_entry(info, result, began_s, time.monotonic())
        refusal = {
            RequestResult.FENCED: backends.REFUSED_BY_FENCE,
            RequestResult.SHED: backends.REFUSED_TO_SHED,
        }.get(result, backends.REFUSED_AS_LATE)
        name = backends.REFUSED_HEADER.decode()
        return responses.Response(
            status_code=503, headers={name: refusal.decode()}
        )

    def _write_entry(
        self,
        info: _RequestInfo,
        result: RequestResult,
        began_s: float,
        ended_s: float,
    ) -> None:
        """Appends an entry to the journal."""
        self._entry_count += 1
        if self._journal is None:
            return
        entry = JournalEntry(
            number=self._entry_count,
            result=result,
            began_s=began_s,
            ended_s=ended_s,
            server=self._settings.server,
            service=info.service,
            key=info.key,
            slice=info.slice,
            token=info.token,
            front_token=info.queue_owner_token,
            method=info.method,
            request_id=info.request_id,
            idempotency_key=info.idempotency_key,
        )
        self._journal.write(codec.to_json(entry).encode() + b"\n")

    def _answer(self, info: _RequestInfo, value: int) -> responses.Response:
        """Returns the answer, cut off if ``cut_answers`` is set."""
        body = codec.to_json(
            {
                "server": self._settings.server,
                "key": info.key,
                "request_id": info.request_id,
                "value": value,
            }
        ).encode()
        headers = {"content-type": "application/json"}
        if self.faults.cut_answers:
            headers["content-length"] = str(len(body))
            body = body[: len(body) // 2]
        return responses.Response(body, headers=headers)

    def _get_service_s(self) -> float:
        """Returns how long a request takes at present, in seconds."""
        cold_s = self._settings.cold_ms / 1_000
        is_cold = time.monotonic() - self._started_s < cold_s
        factor = self._settings.cold_factor if is_cold else 1.0
        service_ms = self._settings.service_ms * factor
        return (service_ms + self.faults.delay_ms) / 1_000


def _open_journal(path: str) -> io.FileIO | None:
    """Opens the file of the journal for unbuffered appending."""
    return io.FileIO(path, "ab") if path else None


def _read_request_info(request: requests.Request) -> _RequestInfo:
    """Reads the path and the headers of a request."""

    def parse_number(name: bytes) -> int:
        return int(request.headers.get(name.decode(), "-1"))

    service, key = request.path_params["rest"].split("/")[:2]
    return _RequestInfo(
        service=service,
        key=key,
        slice=parse_number(backends.SLICE_HEADER),
        token=parse_number(backends.TOKEN_HEADER),
        queue_owner_token=parse_number(backends.QUEUE_OWNER_TOKEN_HEADER),
        deadline_ms=parse_number(backends.DEADLINE_HEADER),
        method=request.method,
        request_id=request.headers.get(backends.REQUEST_ID_HEADER.decode(), ""),
        idempotency_key=request.headers.get("idempotency-key", ""),
    )


def _now_ms() -> float:
    """Returns the monotonic time in milliseconds."""
    return time.monotonic() * 1_000


def _make_json_answer(value: object) -> responses.Response:
    """Returns an answer with a value as JSON."""
    return responses.Response(
        codec.to_json(value), media_type="application/json"
    )


def read_journal(path: pathlib.Path) -> list[JournalEntry]:
    """Returns the entries of a journal; omits an incomplete last line."""
    if not path.exists():
        return []
    lines = path.read_bytes().split(b"\n")
    return [codec.from_json(line, JournalEntry) for line in lines[:-1]]
