"""A stand-in for a backend server, with a journal of what it ran.

``PUT /bridgecross/lease`` takes leases (see ``bridgecross_ownership.leases``);
every other path under ``/v1`` runs a request. ``PUT /faults`` takes a JSON
``BackendFaults``. Freezing is left to SIGSTOP. The journal goes to a file, so
that it outlives the server; it is the ground truth of every proof.
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
_WAIT_POLL_S = 0.01


@dataclasses.dataclass(frozen=True)
class BackendFaults:
    """What goes wrong at the moment."""

    # Whether the server is draining, and says so in lease replies.
    draining: bool = False
    # How much longer each request takes.
    delay_ms: int = 0
    # Whether every request is refused to shed load.
    shed_all: bool = False
    # What the load report is multiplied by, to mislead.
    report_factor: float = 1.0
    # Whether answers are cut off in the middle of the body.
    cut_answers: bool = False


@dataclasses.dataclass(frozen=True)
class BackendStandinSettings:
    """What the server can do."""

    # The server's name in the instance list.
    server: str
    # Requests that it runs at the same time.
    slots: int = 4
    # Requests that may wait for a slot; more are shed.
    backlog: int = 16
    # How long a request takes.
    service_ms: float = 2.0
    # Whether it refuses a wrong token or a lease that is over.
    checks_fences: bool = True
    # How long after its start the server is cold.
    cold_ms: int = 0
    # How many times longer a request takes while the server is cold.
    cold_factor: float = 4.0
    # The file that the journal is written to, a line each; empty for none.
    journal_path: str = ""


class Deed(enum.Enum):
    """What the server did with a request."""

    RAN = "ran"
    FENCED = "fenced"
    SHED = "shed"
    LATE = "late"
    CANCELLED = "cancelled"


class JournalEntry(NamedTuple):
    """One request, as the server saw it.

    ``began_s`` and ``ended_s`` are monotonic times of the machine, so that
    the journals of all servers on it compare.
    """

    number: int
    deed: Deed
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


class _Ticket(NamedTuple):
    """The part of a request that the server checks and journals."""

    service: str
    key: str
    slice: int
    token: int
    front_token: int
    deadline_ms: int
    method: str
    request_id: str
    idempotency_key: str


@dataclasses.dataclass(eq=False)
class _Running:
    """A request that is being run."""

    # What it asks for.
    ticket: _Ticket
    # The lease under which it began.
    lease_number: int
    # When it came, monotonic.
    began_s: float
    # What became of it.
    deed: Deed = Deed.CANCELLED
    # The value of its key after the effect.
    value: int = 0


class BackendStandin:
    """A backend server in memory."""

    def __init__(self, settings: BackendStandinSettings) -> None:
        """Starts cold, with no lease and an empty journal."""
        self.faults = BackendFaults()
        self._journal = _open_journal(settings.journal_path)
        self._entries = 0
        self._settings = settings
        self._incarnation = secrets.token_hex(8)
        self._started_s = time.monotonic()
        self._front_token = int(ids.NO_TOKEN)
        self._sequence = 0
        self._grants: dict[int, int] = {}
        self._lease_until_ms = 0.0
        # Counts the leases that began after another had lapsed.
        self._lease_number = 0
        self._running: list[_Running] = []
        self._slots = anyio.CapacityLimiter(settings.slots)
        self._waiting = 0
        self._values: dict[str, int] = {}

    def build_app(self) -> applications.Starlette:
        """Returns the HTTP application."""
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
        """Shows the load, which the fault may falsify."""
        load = len(self._running) * self.faults.report_factor
        return _json({"load": load})

    async def _take_lease(
        self, request: requests.Request
    ) -> responses.Response:
        """Takes a lease exchange."""
        asked = codec.from_json(await request.body(), leases.LeaseRequest)
        reason = self._find_refusal(asked)
        if not reason:
            self._adopt(asked)
        return _json(
            leases.LeaseReply(
                accepted=not reason,
                reason=reason,
                clock=leases.ClockEcho(self._incarnation, _now_ms()),
                held=self._list_held(),
                draining=self.faults.draining,
            )
        )

    def _find_refusal(self, asked: leases.LeaseRequest) -> str:
        """Returns why a lease exchange is refused; empty if it is not."""
        if asked.front_token < self._front_token:
            return f"front {self._front_token} is newer"
        if asked.front_token > self._front_token:
            return ""
        if asked.sequence <= self._sequence:
            return f"exchange {self._sequence} is newer"
        return ""

    def _adopt(self, asked: leases.LeaseRequest) -> None:
        """Takes the grants over, and the lease if the echo is its own."""
        self._front_token = asked.front_token
        self._sequence = asked.sequence
        self._grants = {grant.slice: grant.token for grant in asked.grants}
        if not self._has_lease():
            self._lease_number += 1
        if asked.echo and asked.echo.incarnation == self._incarnation:
            until_ms = asked.echo.reading_ms + asked.lease_ms
            self._lease_until_ms = max(self._lease_until_ms, until_ms)

    def _list_held(self) -> list[leases.SliceGrant]:
        """Returns the grants, and those whose requests still run."""
        held = set(self._grants.items())
        held |= {(r.ticket.slice, r.ticket.token) for r in self._running}
        return [
            leases.SliceGrant(ids.SliceIndex(index), ids.Token(token))
            for index, token in sorted(held)
        ]

    async def _run(self, request: requests.Request) -> responses.Response:
        """Runs a request if its fence holds, a slot is free and in time."""
        ticket = _read_ticket(request)
        began_s = time.monotonic()
        if self._is_fenced(ticket):
            return self._refuse(ticket, Deed.FENCED, began_s)
        full = self._waiting >= self._settings.backlog
        if self.faults.shed_all or full:
            return self._refuse(ticket, Deed.SHED, began_s)
        running = _Running(ticket, self._lease_number, began_s)
        self._running.append(running)
        try:
            await self._do(request, running)
        finally:
            self._running.remove(running)
        if running.deed is not Deed.RAN:
            return self._refuse(ticket, running.deed, began_s)
        return self._answer(ticket, running.value)

    async def _do(self, request: requests.Request, running: _Running) -> None:
        """Spends the service time, unless the caller goes away."""
        async with anyio.create_task_group() as tasks:

            async def watch() -> None:
                while not await request.is_disconnected():
                    await anyio.sleep(_WAIT_POLL_S)
                tasks.cancel_scope.cancel()

            tasks.start_soon(watch)
            await self._spend_slot(running)
            tasks.cancel_scope.cancel()

    async def _spend_slot(self, running: _Running) -> None:
        """Waits for a slot, spends the service time in it, and takes effect."""
        self._waiting += 1
        try:
            await self._slots.acquire_on_behalf_of(running)
        finally:
            self._waiting -= 1
        try:
            await anyio.sleep(self._find_service_s())
            self._take_effect(running)
        finally:
            self._slots.release_on_behalf_of(running)

    def _take_effect(self, running: _Running) -> None:
        """Changes the value, and changes it back if that came too late.

        The process may be stopped between any two steps. A look before the
        effect would therefore prove nothing; the look after it proves that the
        effect came in time, and is the moment that the journal names. Nothing
        is awaited, so nobody sees a value that is changed back.
        """
        ticket = running.ticket
        before = self._values.get(ticket.key, 0)
        is_write = ticket.method not in {"GET", "HEAD"}
        running.value = before + is_write
        self._values[ticket.key] = running.value
        ended_s = time.monotonic()
        running.deed = self._judge(running, ended_s)
        if running.deed is Deed.RAN:
            self._write(ticket, Deed.RAN, running.began_s, ended_s)
        else:
            self._values[ticket.key] = before

    def _judge(self, running: _Running, ended_s: float) -> Deed:
        """Decides what an effect at a moment counts as.

        A request may end under a grant that was taken away, as the reply to
        the taking has named it as held, but not once the lease that it began
        under has lapsed, even if another lease has been given since.
        """
        if time.time() * 1_000 > running.ticket.deadline_ms:
            return Deed.LATE
        has_lease = ended_s * 1_000 < self._lease_until_ms
        if self._settings.checks_fences and (
            not has_lease or running.lease_number != self._lease_number
        ):
            return Deed.FENCED
        return Deed.RAN

    def _has_lease(self) -> bool:
        """Returns whether the lease still runs."""
        return _now_ms() < self._lease_until_ms

    def _is_fenced(self, ticket: _Ticket) -> bool:
        """Returns whether the fence forbids a request that has come."""
        if not self._settings.checks_fences:
            return False
        return (
            not self._has_lease()
            or self._grants.get(ticket.slice) != ticket.token
            or ticket.front_token != self._front_token
        )

    def _refuse(
        self, ticket: _Ticket, deed: Deed, began_s: float
    ) -> responses.Response:
        """Journals and answers a request that was not run."""
        self._write(ticket, deed, began_s, time.monotonic())
        refusal = {
            Deed.FENCED: backends.REFUSED_BY_FENCE,
            Deed.SHED: backends.REFUSED_TO_SHED,
        }.get(deed, backends.REFUSED_AS_LATE)
        name = backends.REFUSED_HEADER.decode()
        return responses.Response(
            status_code=503, headers={name: refusal.decode()}
        )

    def _write(
        self, ticket: _Ticket, deed: Deed, began_s: float, ended_s: float
    ) -> None:
        """Adds a line to the journal."""
        self._entries += 1
        if self._journal is None:
            return
        entry = JournalEntry(
            number=self._entries,
            deed=deed,
            began_s=began_s,
            ended_s=ended_s,
            server=self._settings.server,
            service=ticket.service,
            key=ticket.key,
            slice=ticket.slice,
            token=ticket.token,
            front_token=ticket.front_token,
            method=ticket.method,
            request_id=ticket.request_id,
            idempotency_key=ticket.idempotency_key,
        )
        self._journal.write(codec.to_json(entry).encode() + b"\n")

    def _answer(self, ticket: _Ticket, value: int) -> responses.Response:
        """Returns the answer, cut off if the fault says so."""
        body = codec.to_json(
            {
                "server": self._settings.server,
                "key": ticket.key,
                "request_id": ticket.request_id,
                "value": value,
            }
        ).encode()
        headers = {"content-type": "application/json"}
        if self.faults.cut_answers:
            headers["content-length"] = str(len(body))
            body = body[: len(body) // 2]
        return responses.Response(body, headers=headers)

    def _find_service_s(self) -> float:
        """Returns how long a request takes now."""
        cold_s = self._settings.cold_ms / 1_000
        is_cold = time.monotonic() - self._started_s < cold_s
        factor = self._settings.cold_factor if is_cold else 1.0
        service_ms = self._settings.service_ms * factor
        return (service_ms + self.faults.delay_ms) / 1_000


def _open_journal(path: str) -> io.FileIO | None:
    """Opens the journal's file for appending without a buffer."""
    return io.FileIO(path, "ab") if path else None


def _read_ticket(request: requests.Request) -> _Ticket:
    """Returns what the headers of a request say."""

    def number(name: bytes) -> int:
        return int(request.headers.get(name.decode(), "-1"))

    service, key = request.path_params["rest"].split("/")[:2]
    return _Ticket(
        service=service,
        key=key,
        slice=number(backends.SLICE_HEADER),
        token=number(backends.TOKEN_HEADER),
        front_token=number(backends.FRONT_TOKEN_HEADER),
        deadline_ms=number(backends.DEADLINE_HEADER),
        method=request.method,
        request_id=request.headers.get(backends.REQUEST_ID_HEADER.decode(), ""),
        idempotency_key=request.headers.get("idempotency-key", ""),
    )


def _now_ms() -> float:
    """Returns the server's monotonic clock in milliseconds."""
    return time.monotonic() * 1_000


def _json(value: object) -> responses.Response:
    """Returns a value as a JSON answer."""
    return responses.Response(
        codec.to_json(value), media_type="application/json"
    )


def read_journal(path: pathlib.Path) -> list[JournalEntry]:
    """Returns the journal in a file; a last line that is cut off is left."""
    if not path.exists():
        return []
    lines = path.read_bytes().split(b"\n")
    return [codec.from_json(line, JournalEntry) for line in lines[:-1]]
