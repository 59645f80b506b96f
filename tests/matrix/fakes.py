"""Small fakes at the interfaces of an instance, with faults.

A paused instance neither sends nor receives: every fake waits at its gate
before and after each call. What was already under way goes on.
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
RETURNS_AFTER_S = 1.2
LATENCY_S = 0.002


@dataclasses.dataclass
class Link:
    """How an instance is connected, and whether it runs."""

    # The instance's name.
    name: str
    # Whether the process is stopped, as by SIGSTOP.
    paused: bool = False
    # Whether the process is gone.
    lost: bool = False
    # Whether it can reach the log.
    log: bool = True
    # Whether it can reach other instances, and they it.
    peers: bool = True
    # The servers that it cannot reach.
    unreachable: set[str] = dataclasses.field(default_factory=set)

    async def gate(self) -> None:
        """Waits while the instance is paused; for ever if it is lost."""
        while self.paused or self.lost:
            await anyio.sleep(0.05)


class VirtualClock:
    """An instance's or a server's clock, which may run fast or slow."""

    def __init__(
        self, environment: simpy.Environment, rate: float = 1.0
    ) -> None:
        self._environment = environment
        self._rate = rate

    def monotonic_s(self) -> float:
        """Returns virtual seconds at this clock's rate."""
        return 1_000.0 + float(self._environment.now) * self._rate

    def wall_s(self) -> float:
        """Returns virtual seconds since 1970."""
        return 1.7e9 + float(self._environment.now)


class FakeLog:
    """The log in memory. ``on_append`` is told the kind of each record."""

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
        """Returns the log as one instance reaches it."""
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
        await self._link.gate()
        envelope = log_records.decode_envelope(data)
        self._log.on_append(self._link, envelope)
        await self._link.gate()
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
        await self._link.gate()
        return offset

    async def read(
        self, stream: str, from_offset: ids.Offset, wait_ms: int
    ) -> log_service.ReadBatch:
        """Reads a stream; see ``service.LogService``."""
        await self._link.gate()
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
        await self._link.gate()
        return batch


class FakeList:
    """The instance list, which may lag."""

    def __init__(self, environment: simpy.Environment) -> None:
        self._environment = environment
        self._views: list[tuple[float, dict[str, membership.Listing]]] = [
            (0.0, {})
        ]
        self.lag_s = 0.0

    def put(self, listing: membership.Listing) -> None:
        """Adds or changes a line."""
        view = self._views[-1][1] | {listing.name: listing}
        self._views.append((float(self._environment.now), view))

    def delete(self, name: str) -> None:
        """Removes a line."""
        view = {n: v for n, v in self._views[-1][1].items() if n != name}
        self._views.append((float(self._environment.now), view))

    def connect(self, link: Link) -> "ListConnection":
        """Returns the list as one instance reads it."""
        return ListConnection(self, link)

    def show(self) -> list[membership.Listing]:
        """Returns the list as it was a while ago."""
        at_s = self._environment.now - self.lag_s
        view = next(
            (v for since, v in reversed(self._views) if since <= at_s),
            self._views[0][1],
        )
        return list(view.values())


class ListConnection:
    """A ``ports.InstanceListSource`` for one instance."""

    def __init__(self, listing: FakeList, link: Link) -> None:
        self._listing = listing
        self._link = link

    async def read(self) -> list[membership.Listing]:
        """Reads the list; see ``ports.InstanceListSource``."""
        await self._link.gate()
        await anyio.sleep(LATENCY_S)
        return self._listing.show()


class FakePeers:
    """Carries calls between instances; knows each by its address."""

    def __init__(self) -> None:
        self.nodes: dict[str, tuple[Link, Any]] = {}

    def connect(self, link: Link) -> "PeerConnection":
        """Returns the peers as one instance reaches them."""
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
        await self._link.gate()
        link, node = self._peers.nodes[address]
        if link.lost:
            raise peer_protocol.PeerUnreachableError("gone", never_sent=True)
        reply = None
        with anyio.move_on_after(timeout_s):
            await anyio.sleep(LATENCY_S)
            if link.peers and self._link.peers:
                await link.gate()
                reply = await getattr(node, _METHODS[method.name])(request)
                await link.gate()
                await anyio.sleep(LATENCY_S)
            else:
                await anyio.sleep_forever()
        await self._link.gate()
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
    "Office": "answer_front_drained",
    "News": "news",
    "Ends": "exchange_poison_reports",
}


class FakeServer:
    """A backend server: what ``docs/server-contract.md`` asks for."""

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
        self._front_token = -1
        self._sequence = 0
        self._grants: dict[int, int] = {}
        self._lease_until_ms = 0.0
        self._lease_number = 0
        self._running: list[backends.Fence] = []
        # Requests by their target that end this server, and when each began.
        self.deadly: set[str] = set()
        self.deadly_runs_s: list[float] = []
        # Requests by their target that are answered with an error.
        self.failing: set[str] = set()
        self.ends_s: list[float] = []

    async def _end_by_request(self) -> outcomes.Outcome:
        """Ends this run a little later; another one begins after it."""
        self.deadly_runs_s.append(self._clock.wall_s())
        await anyio.sleep(CRASH_AFTER_S)
        self.crash()
        return outcomes.Unknown("the connection ended")

    def crash(self) -> None:
        """Ends this run; another one begins after it."""
        if not self.lost:
            self.lost = True
            self.ends_s.append(self._clock.wall_s())
            loop = asyncio.get_running_loop()
            loop.call_later(RETURNS_AFTER_S, self._start_again)

    def _start_again(self) -> None:
        """Begins a run that holds and knows nothing."""
        self.lost = False
        self._incarnation = f"run-{len(self.ends_s) + 1}"
        self._front_token = -1
        self._sequence = 0
        self._grants = {}
        self._lease_until_ms = 0.0

    async def stand(self) -> None:
        """Waits while the server is frozen; for ever once it is lost."""
        while self.frozen or self.lost:
            await anyio.sleep(0.05)

    def _now_ms(self) -> float:
        return self._clock.monotonic_s() * 1_000

    def exchange(self, asked: leases.LeaseRequest) -> leases.LeaseReply:
        """Takes a lease exchange."""
        same = asked.front_token == self._front_token
        accepted = (
            not self._checks
            or asked.front_token > self._front_token
            or (same and asked.sequence > self._sequence)
        )
        if accepted:
            self._front_token = asked.front_token
            self._sequence = asked.sequence
            self._grants = {g.slice: g.token for g in asked.grants}
            if self._now_ms() >= self._lease_until_ms:
                self._lease_number += 1
            if asked.echo and asked.echo.incarnation == self._incarnation:
                until_ms = asked.echo.reading_ms + asked.lease_ms
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
        """Returns whether the fence forbids a request that has come."""
        return self._checks and (
            self._now_ms() >= self._lease_until_ms
            or self._grants.get(fence.slice) != fence.token
            or fence.front_token != self._front_token
        )

    async def run(
        self, request: requests.Request, fence: backends.Fence, until_s: float
    ) -> outcomes.Outcome:
        """Runs a request; its effect is at the end."""
        began_s = self._clock.wall_s()
        if self.is_fenced(fence):
            return _refuse("fence", reroute=True)
        if request.target in self.deadly:
            return await self._end_by_request()
        number = self._lease_number
        ends_count = len(self.ends_s)
        self._running.append(fence)
        try:
            await anyio.sleep(self.service_s)
            if len(self.ends_s) > ends_count:
                return outcomes.Unknown("the connection ended")
            await self.stand()
        finally:
            self._running.remove(fence)
        if self._clock.wall_s() > until_s:
            return _refuse("deadline", reroute=False)
        lapsed = self._now_ms() >= self._lease_until_ms
        if self._checks and (lapsed or number != self._lease_number):
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
                front_token=fence.front_token,
                method=request.method,
                request_id=request.request_id,
                idempotency_key=request.idempotency_key,
            )
        )
        status = 500 if request.target in self.failing else 200
        return outcomes.Answered(status, (), self.name.encode())


class ServerConnection:
    """Lease transport and backend for one instance."""

    def __init__(
        self, servers: dict[str, FakeServer], link: Link, clock: VirtualClock
    ) -> None:
        self._servers = servers
        self._link = link
        self._clock = clock

    def _reach(self, name: str) -> FakeServer | None:
        server = self._servers[name]
        cut = server.lost or name in self._link.unreachable
        return None if cut else server

    async def exchange(
        self, server: ids.ServerId, request: leases.LeaseRequest
    ) -> leases.LeaseReply:
        """Exchanges a lease; see ``leases.LeaseTransport``."""
        await self._link.gate()
        self._servers[server].on_lease(self._link, request)
        await self._link.gate()
        await anyio.sleep(LATENCY_S)
        target = self._reach(server)
        if target is None:
            await anyio.sleep(0.05)
            raise leases.ServerUnreachableError("refused")
        await target.stand()
        reply = target.exchange(request)
        await anyio.sleep(LATENCY_S)
        await self._link.gate()
        if self._reach(server) is None:
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
        await self._link.gate()
        outcome: outcomes.Outcome = outcomes.Unknown("no answer")
        with anyio.move_on_after(limit.left_s):
            await anyio.sleep(LATENCY_S)
            target = self._reach(address)
            if target is None:
                return outcomes.NotRun(
                    outcomes.NotRunProof.NEVER_WRITTEN, "refused", reroute=True
                )
            await target.stand()
            outcome = await target.run(request, fence, limit.until_unix_s)
            await anyio.sleep(LATENCY_S)
            if self._reach(address) is None:
                outcome = outcomes.Unknown("reset")
        await self._link.gate()
        return outcome

    async def is_refusing(self, address: str) -> bool:
        """Whether no process listens; see ``backends.Backend``."""
        await self._link.gate()
        await anyio.sleep(LATENCY_S)
        return self._servers[address].lost

    def replace_settings(self, settings: backends.BackendSettings) -> None:
        """Has nothing to change."""

    async def aclose(self) -> None:
        """Has nothing to close."""


def _refuse(reason: str, *, reroute: bool) -> outcomes.NotRun:
    return outcomes.NotRun(
        outcomes.NotRunProof.REFUSED_BY_FENCE, reason, reroute=reroute
    )
