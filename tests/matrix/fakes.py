"""Small fakes of the interfaces of an instance, with fault injection.

A paused instance neither sends nor receives: every fake waits before and after
each call until the instance runs. What is already in transit continues.
"""

import asyncio
import dataclasses
from typing import Any

import anyio
import simpy

from bridgecross_core import ids
from bridgecross_core import notifier
from bridgecross_core import outcomes
from bridgecross_daemon import peer_protocol
from bridgecross_log import records as log_records
from bridgecross_log import service as log_service
from bridgecross_ownership import leases
from bridgecross_ownership import membership
from bridgecross_request import backends
from bridgecross_request import requests
from bridgecross_standins import backend_standin

CRASH_AFTER_S = 0.02
RESTART_AFTER_S = 1.2
LATENCY_S = 0.002


@dataclasses.dataclass
class Link:
    """The connections of an instance, and whether its process runs."""

    # The instance's name.
    name: str
    # Whether the process is suspended, as by SIGSTOP.
    paused: bool = False
    # Whether the process has ended.
    lost: bool = False
    # Whether it can reach the log service.
    log: bool = True
    # Whether it and the other instances can reach each other.
    peers: bool = True
    # The servers that it cannot reach.
    unreachable: set[str] = dataclasses.field(default_factory=set)

    async def wait_until_running(self) -> None:
        """Waits while the instance is paused; forever if it is lost."""
        while self.paused or self.lost:
            await anyio.sleep(0.05)


class VirtualClock:
    """The clock of an instance or a server, which may run fast or slow."""

    def __init__(
        self, environment: simpy.Environment, rate: float = 1.0
    ) -> None:
        self._environment = environment
        self._rate = rate

    def monotonic_s(self) -> float:
        """Returns the virtual time at this clock's rate, in seconds."""
        return 1_000.0 + float(self._environment.now) * self._rate

    def wall_s(self) -> float:
        """Returns virtual seconds since 1970."""
        return 1.7e9 + float(self._environment.now)


class FakeLog:
    """A log in memory; calls ``on_append`` before each append."""

    def __init__(self) -> None:
        self.streams: dict[str, list[bytes]] = {}
        self.first: dict[str, int] = {}
        self.outage = False
        self.delay_s = 0.0
        self.lose_acknowledgements = 0
        self.late_effect_s = 0.0
        self.on_append: Any = lambda link, envelope: None
        self.appended = notifier.Notifier()

    def connect(self, link: Link) -> "LogConnection":
        """Returns the connection of an instance to the log."""
        return LogConnection(self, link)


class LogConnection:
    """A ``service.LogService`` for one instance."""

    def __init__(self, log: FakeLog, link: Link) -> None:
        self._log = log
        self._link = link

    def _is_up(self) -> bool:
        return self._link.log and not self._log.outage

    async def append(self, stream: str, data: bytes) -> ids.Offset:
        """Appends a record; see ``service.LogService``."""
        await self._link.wait_until_running()
        envelope = log_records.decode_envelope(data)
        self._log.on_append(self._link, envelope)
        await self._link.wait_until_running()
        await anyio.sleep(LATENCY_S + self._log.delay_s)
        if not self._is_up():
            raise log_service.AppendOutcomeUnknownError("no answer")
        records = self._log.streams.setdefault(stream, [])
        if self._log.lose_acknowledgements:
            self._log.lose_acknowledgements -= 1
            await anyio.sleep(self._log.late_effect_s)
            records.append(data)
            self._log.appended.notify()
            raise log_service.AppendOutcomeUnknownError("acknowledgement lost")
        records.append(data)
        self._log.appended.notify()
        offset = ids.Offset(len(records) - 1)
        await self._link.wait_until_running()
        return offset

    async def read(
        self, stream: str, from_offset: ids.Offset, wait_ms: int
    ) -> log_service.ReadBatch:
        """Reads a stream; see ``service.LogService``."""
        await self._link.wait_until_running()
        await anyio.sleep(LATENCY_S + self._log.delay_s)
        records = self._log.streams.setdefault(stream, [])
        first = self._log.first.get(stream, 0)
        if self._is_up() and from_offset < first:
            raise log_service.OffsetExpiredError(ids.Offset(first))
        await self._log.appended.wait_until(
            lambda: len(records) > from_offset or not self._is_up(),
            wait_ms / 1_000,
        )
        if not self._is_up():
            raise log_service.LogUnavailableError("no answer")
        batch = log_service.ReadBatch(
            [
                log_service.StoredRecord(ids.Offset(offset), records[offset])
                for offset in range(from_offset, len(records))
            ],
            ids.Offset(first),
            ids.Offset(len(records)),
        )
        await self._link.wait_until_running()
        return batch


class FakeList:
    """An instance list, which may be out of date."""

    def __init__(self, environment: simpy.Environment) -> None:
        self._environment = environment
        self._versions: list[tuple[float, dict[str, membership.Listing]]] = [
            (0.0, {})
        ]
        self.lag_s = 0.0

    def put(self, listing: membership.Listing) -> None:
        """Adds or replaces an entry."""
        version = self._versions[-1][1] | {listing.name: listing}
        self._versions.append((float(self._environment.now), version))

    def delete(self, name: str) -> None:
        """Removes an entry."""
        version = {n: v for n, v in self._versions[-1][1].items() if n != name}
        self._versions.append((float(self._environment.now), version))

    def connect(self, link: Link) -> "ListConnection":
        """Returns the connection of an instance to the list."""
        return ListConnection(self, link)

    def get_listings(self) -> list[membership.Listing]:
        """Returns the list as it was ``lag_s`` ago."""
        at_s = self._environment.now - self.lag_s
        version = next(
            (v for since, v in reversed(self._versions) if since <= at_s),
            self._versions[0][1],
        )
        return list(version.values())


class ListConnection:
    """A ``ports.InstanceListSource`` for one instance."""

    def __init__(self, listing: FakeList, link: Link) -> None:
        self._listing = listing
        self._link = link

    async def read(self) -> list[membership.Listing]:
        """Reads the list; see ``ports.InstanceListSource``."""
        await self._link.wait_until_running()
        await anyio.sleep(LATENCY_S)
        return self._listing.get_listings()


class FakePeers:
    """Carries calls between instances, which it finds by address."""

    def __init__(self) -> None:
        self.nodes: dict[str, tuple[Link, Any]] = {}

    def connect(self, link: Link) -> "PeerConnection":
        """Returns the connection of an instance to its peers."""
        return PeerConnection(self, link)


class PeerConnection:
    """A ``ports.PeerCaller`` for one instance."""

    def __init__(self, peers: FakePeers, link: Link) -> None:
        self._peers = peers
        self._link = link

    async def call(
        self,
        address: str,
        method: peer_protocol.Method[Any, Any],
        request: Any,
        timeout_s: float,
    ) -> Any:
        """Calls an instance; see ``ports.PeerCaller``."""
        await self._link.wait_until_running()
        link, node = self._peers.nodes[address]
        if link.lost:
            raise peer_protocol.PeerUnreachableError(
                "instance lost", never_sent=True
            )
        reply = None
        with anyio.move_on_after(timeout_s):
            await anyio.sleep(LATENCY_S)
            if link.peers and self._link.peers:
                await link.wait_until_running()
                reply = await getattr(node, _METHODS[method.name])(request)
                await link.wait_until_running()
                await anyio.sleep(LATENCY_S)
            else:
                await anyio.sleep_forever()
        await self._link.wait_until_running()
        if reply is None or not (link.peers and self._link.peers):
            raise peer_protocol.PeerUnreachableError(
                "timeout", never_sent=False
            )
        return reply


_METHODS = {
    "Forward": "forward",
    "Inherit": "inherit",
    "Heartbeat": "heartbeat",
    "AwaitRelease": "await_release",
    "Office": "answer_queue_owner_drained",
    "News": "news",
    "Ends": "exchange_poison_reports",
}


class FakeServer:
    """A backend server that follows ``docs/server-contract.md``."""

    def __init__(self, name: str, clock: VirtualClock, *, checks: bool) -> None:
        self.name = name
        self.frozen = False
        self.lost = False
        self.draining = False
        self.service_s = 0.005
        self.on_lease: Any = lambda request, grants: None
        self.journal: list[backend_standin.JournalEntry] = []
        self._clock = clock
        self._checks = checks
        self._incarnation = "run-1"
        self._queue_owner_token = -1
        self._sequence = 0
        self._grants: dict[int, int] = {}
        self._lease_until_ms = 0.0
        self._lease_number = 0
        self._running: list[backends.Fence] = []
        # The targets of requests that crash this server, and when each began.
        self.deadly: set[str] = set()
        self.deadly_run_times_s: list[float] = []
        # The targets of requests that are answered with an error.
        self.failing: set[str] = set()
        self.crash_times_s: list[float] = []

    async def _crash_by_request(self) -> outcomes.Outcome:
        """Crashes the server after ``CRASH_AFTER_S``."""
        self.deadly_run_times_s.append(self._clock.wall_s())
        await anyio.sleep(CRASH_AFTER_S)
        self.crash()
        return outcomes.Unknown("the connection ended")

    def crash(self) -> None:
        """Ends this run of the server; a new run starts later."""
        if not self.lost:
            self.lost = True
            self.crash_times_s.append(self._clock.wall_s())
            loop = asyncio.get_running_loop()
            loop.call_later(RESTART_AFTER_S, self._restart)

    def _restart(self) -> None:
        """Starts a new run without leases or tokens."""
        self.lost = False
        self._incarnation = f"run-{len(self.crash_times_s) + 1}"
        self._queue_owner_token = -1
        self._sequence = 0
        self._grants = {}
        self._lease_until_ms = 0.0

    async def wait_until_running(self) -> None:
        """Waits while the server is frozen or lost."""
        while self.frozen or self.lost:
            await anyio.sleep(0.05)

    def _now_ms(self) -> float:
        return self._clock.monotonic_s() * 1_000

    def exchange(self, request: leases.LeaseRequest) -> leases.LeaseReply:
        """Handles a lease exchange."""
        is_same_queue_owner = request.front_token == self._queue_owner_token
        accepted = (
            not self._checks
            or request.front_token > self._queue_owner_token
            or (is_same_queue_owner and request.sequence > self._sequence)
        )
        if accepted:
            self._queue_owner_token = request.front_token
            self._sequence = request.sequence
            self._grants = {g.slice: g.token for g in request.grants}
            if self._now_ms() >= self._lease_until_ms:
                self._lease_number += 1
            if request.echo and request.echo.incarnation == self._incarnation:
                until_ms = request.echo.reading_ms + request.lease_ms
                self._lease_until_ms = max(self._lease_until_ms, until_ms)
        held = set(self._grants.items())
        held |= {(f.slice, f.token) for f in self._running}
        return leases.LeaseReply(
            accepted=accepted,
            reason="" if accepted else "stale front",
            clock=leases.ClockEcho(self._incarnation, self._now_ms()),
            held=[
                leases.SliceGrant(ids.SliceIndex(i), ids.Token(t))
                for i, t in sorted(held)
            ],
            draining=self.draining,
        )

    def is_fenced(self, fence: backends.Fence) -> bool:
        """Returns whether a request must be refused for its tokens or lease."""
        return self._checks and (
            self._now_ms() >= self._lease_until_ms
            or self._grants.get(fence.slice) != fence.token
            or fence.queue_owner_token != self._queue_owner_token
        )

    async def run(
        self, request: requests.Request, fence: backends.Fence, until_s: float
    ) -> outcomes.Outcome:
        """Runs a request, which takes effect at its end."""
        began_s = self._clock.wall_s()
        if self.is_fenced(fence):
            return _refuse("fence", reroute=True)
        if request.target in self.deadly:
            return await self._crash_by_request()
        lease_number = self._lease_number
        crash_count = len(self.crash_times_s)
        self._running.append(fence)
        try:
            await anyio.sleep(self.service_s)
            if len(self.crash_times_s) > crash_count:
                return outcomes.Unknown("the connection ended")
            await self.wait_until_running()
        finally:
            self._running.remove(fence)
        if self._clock.wall_s() > until_s:
            return _refuse("deadline", reroute=False)
        has_expired = self._now_ms() >= self._lease_until_ms
        if self._checks and (has_expired or lease_number != self._lease_number):
            return _refuse("fence", reroute=True)
        self.journal.append(
            backend_standin.JournalEntry(
                number=len(self.journal),
                result=backend_standin.RequestResult.RAN,
                began_s=began_s,
                ended_s=self._clock.wall_s(),
                server=self.name,
                service=request.service,
                key=request.key,
                slice=fence.slice,
                token=fence.token,
                front_token=fence.queue_owner_token,
                method=request.method,
                request_id=request.request_id,
                idempotency_key=request.idempotency_key,
            )
        )
        status = 500 if request.target in self.failing else 200
        return outcomes.Answered(status, (), self.name.encode())


class ServerConnection:
    """The lease transport and the backend of one instance."""

    def __init__(
        self, servers: dict[str, FakeServer], link: Link, clock: VirtualClock
    ) -> None:
        self._servers = servers
        self._link = link
        self._clock = clock

    def _find_reachable(self, name: str) -> FakeServer | None:
        server = self._servers[name]
        is_unreachable = server.lost or name in self._link.unreachable
        return None if is_unreachable else server

    async def exchange(
        self, server: ids.ServerId, request: leases.LeaseRequest
    ) -> leases.LeaseReply:
        """Exchanges a lease; see ``leases.LeaseTransport``."""
        await self._link.wait_until_running()
        self._servers[server].on_lease(self._link, request)
        await self._link.wait_until_running()
        await anyio.sleep(LATENCY_S)
        target = self._find_reachable(server)
        if target is None:
            await anyio.sleep(0.05)
            raise leases.ServerUnreachableError("refused")
        await target.wait_until_running()
        reply = target.exchange(request)
        await anyio.sleep(LATENCY_S)
        await self._link.wait_until_running()
        if self._find_reachable(server) is None:
            raise leases.ServerUnreachableError("reset")
        return reply

    async def send(
        self,
        address: str,
        request: requests.Request,
        fence: backends.Fence,
        limit: backends.Limit,
    ) -> outcomes.Outcome:
        """Sends a request; see ``backends.Backend``."""
        await self._link.wait_until_running()
        outcome: outcomes.Outcome = outcomes.Unknown("no answer")
        with anyio.move_on_after(limit.left_s):
            await anyio.sleep(LATENCY_S)
            target = self._find_reachable(address)
            if target is None:
                return outcomes.NotRun(
                    outcomes.NotRunProof.NEVER_WRITTEN, "refused", reroute=True
                )
            await target.wait_until_running()
            outcome = await target.run(request, fence, limit.until_unix_s)
            await anyio.sleep(LATENCY_S)
            if self._find_reachable(address) is None:
                outcome = outcomes.Unknown("reset")
        await self._link.wait_until_running()
        return outcome

    async def is_refusing(self, address: str) -> bool:
        """Returns whether no process listens; see ``backends.Backend``."""
        await self._link.wait_until_running()
        await anyio.sleep(LATENCY_S)
        return self._servers[address].lost

    def replace_settings(self, settings: backends.BackendSettings) -> None:
        """Does nothing; see ``backends.Backend``."""

    async def aclose(self) -> None:
        """Does nothing; see ``backends.Backend``."""


def _refuse(reason: str, *, reroute: bool) -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.NotRunProof.REFUSED_BY_FENCE, reason, reroute=reroute
    )
