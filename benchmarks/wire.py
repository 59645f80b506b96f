"""Measures the size on the wire of messages that are sent periodically."""

from collections.abc import AsyncIterator
import contextlib
from typing import Any

import anyio
import anyio.abc

from benchmarks import rows
from bridgecross_core import clock as clocks
from bridgecross_core import hybrid_clock
from bridgecross_core import ids
from bridgecross_daemon import _platform
from bridgecross_daemon import peer_client
from bridgecross_daemon import peer_protocol
from bridgecross_daemon import peer_server
from bridgecross_log import http_service
from bridgecross_ownership import lease_manager
from bridgecross_ownership import leases
from bridgecross_ownership import membership
from bridgecross_ownership import reports
from bridgecross_standins import backend_standin
from bridgecross_standins import log_standin
from bridgecross_standins import processes
from bridgecross_standins import serving

_EXCHANGES = 50
_GRANTS = (5, 15, 60, 240)
_SERVERS = (4, 16, 72)
_STARTUP_S = 0.5


class _CountingRelay:
    """Forwards connections to a port on loopback and counts the bytes."""

    def __init__(self, target_port: int) -> None:
        self.port = processes.find_free_port()
        self.byte_count = 0
        self._target_port = target_port

    async def run(self) -> None:
        """Accepts and relays connections until it is cancelled."""
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=self.port
        )
        await listener.serve(self._serve)

    async def _serve(self, client: anyio.abc.SocketStream) -> None:
        """Relays one connection in both directions."""
        server = await anyio.connect_tcp("127.0.0.1", self._target_port)
        async with server, client, anyio.create_task_group() as tasks:
            tasks.start_soon(self._forward, client, server)
            tasks.start_soon(self._forward, server, client)

    async def _forward(
        self, source: anyio.abc.SocketStream, sink: anyio.abc.SocketStream
    ) -> None:
        """Relays one direction of a connection."""
        try:
            async for data in source:
                self.byte_count += len(data)
                await sink.send(data)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            return


@contextlib.asynccontextmanager
async def _serve_behind_relay(
    relay: _CountingRelay, port: int, app: Any
) -> AsyncIterator[None]:
    """Serves an application behind a relay while the context is open."""
    stop = anyio.Event()
    async with anyio.create_task_group() as servers:
        servers.start_soon(serving.serve, f"127.0.0.1:{port}", app, stop)
        async with anyio.create_task_group() as relays:
            relays.start_soon(relay.run)
            await anyio.sleep(_STARTUP_S)
            yield
            relays.cancel_scope.cancel()
        stop.set()


def run() -> list[rows.Row]:
    """Measures lease renewals, polls of the log, and heartbeats."""
    return [
        *anyio.run(_measure_leases),
        *anyio.run(_measure_polls),
        *anyio.run(_measure_heartbeats),
    ]


async def _measure_leases() -> list[rows.Row]:
    """Measures lease renewals by the number of grants."""
    port = processes.find_free_port()
    settings = backend_standin.BackendStandinSettings("rapor-1")
    app = backend_standin.BackendStandin(settings).build_app()
    relay = _CountingRelay(port)
    members = membership.Membership()
    members.replace([_make_listing(relay.port)])
    transport = _platform.HttpLeaseTransport(_platform.Addresses(members))
    found = []
    async with _serve_behind_relay(relay, port, app):
        for number, grants in enumerate(_GRANTS):
            size = f"{grants} grants"
            before = relay.byte_count
            echo = None
            for sequence in range(_EXCHANGES):
                request = _make_lease_request(number, sequence, echo, grants)
                reply = await transport.exchange(
                    ids.ServerId("rapor-1"), request
                )
                echo = reply.clock
            value = (relay.byte_count - before) / _EXCHANGES
            found.append(
                rows.Row("wire", size, "lease renewal, both ways", value, "B")
            )
        await transport.aclose()
    return found


def _make_lease_request(
    token: int, sequence: int, echo: leases.ClockEcho | None, grants: int
) -> leases.LeaseRequest:
    """Returns a lease request with the given number of grants."""
    return leases.LeaseRequest(
        service=ids.ServiceName("rapor"),
        front=ids.InstanceId("entry-1"),
        front_token=ids.Token(123_456 + token),
        sequence=sequence + 1,
        echo=echo,
        lease_ms=1_200,
        grants=[
            leases.SliceGrant(ids.SliceIndex(n * 780), ids.Token(123_456))
            for n in range(grants)
        ],
    )


def _make_listing(port: int) -> membership.Listing:
    """Returns the listing of the measured server."""
    return membership.Listing(
        name="rapor-1",
        role=membership.Role.BACKEND,
        service="rapor",
        failure_domain="d",
        address=f"127.0.0.1:{port}",
        state=membership.ListedState.LIVE,
    )


async def _measure_polls() -> list[rows.Row]:
    """Measures a read of the log that returns no records."""
    port = processes.find_free_port()
    log = log_standin.LogStandin(log_standin.LogStandinSettings())
    relay = _CountingRelay(port)
    client = http_service.HttpLogService(
        http_service.HttpLogSettings(f"http://127.0.0.1:{relay.port}")
    )
    async with _serve_behind_relay(relay, port, log.build_app()):
        for _ in range(_EXCHANGES):
            await client.read("control-karatas-anadolu", ids.Offset(0), 0)
        value = relay.byte_count / _EXCHANGES
        await client.aclose()
    return [rows.Row("wire", "nothing new", "poll of the log", value, "B")]


class _StubCoordinator:
    """A coordinator that only answers heartbeats."""

    async def heartbeat(
        self, request: peer_protocol.Heartbeat
    ) -> peer_protocol.HeartbeatReply:
        """Answers as the coordinator of one service."""
        return peer_protocol.HeartbeatReply(False, [ids.ServiceName("rapor")])

    def __getattr__(self, name: str) -> object:
        """Provides the other methods, which are not called."""
        return self.heartbeat


async def _measure_heartbeats() -> list[rows.Row]:
    """Measures heartbeats by the number of servers that they report."""
    port = processes.find_free_port()
    relay = _CountingRelay(port)
    clock = hybrid_clock.HybridClock(clocks.SystemClock())
    coordinator: Any = _StubCoordinator()
    server = peer_server.PeerServer(f"127.0.0.1:{port}", coordinator, clock)
    await server.start()
    client = peer_client.PeerClient(clock)
    found = []
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(relay.run)
        await anyio.sleep(_STARTUP_S)
        for servers in _SERVERS:
            before = relay.byte_count
            for _ in range(_EXCHANGES):
                await client.call(
                    f"127.0.0.1:{relay.port}",
                    peer_protocol.HEARTBEAT,
                    _make_heartbeat(servers),
                    5.0,
                )
            value = (relay.byte_count - before) / _EXCHANGES
            size = f"{servers} servers, 10 loads"
            found.append(
                rows.Row("wire", size, "heartbeat, both ways", value, "B")
            )
        await client.aclose()
        await server.stop(0)
        tasks.cancel_scope.cancel()
    return found


def _make_heartbeat(servers: int) -> peer_protocol.Heartbeat:
    """Returns a heartbeat that reports the given number of servers."""
    report = reports.ServiceReport(
        service=ids.ServiceName("rapor"),
        servers=[
            reports.ServerReport(
                ids.ServerId(f"rapor-{n}"),
                lease_manager.ServerHealth.UP,
                ids.Token(123_456),
            )
            for n in range(servers)
        ],
        settled=[],
        handed_over=[],
        loads=[reports.SliceLoad(ids.SliceIndex(n), 100) for n in range(10)],
    )
    return peer_protocol.Heartbeat(ids.InstanceId("entry-1"), False, [report])
