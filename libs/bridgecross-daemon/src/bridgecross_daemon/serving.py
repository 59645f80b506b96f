"""Runs an instance with its HTTP and gRPC servers, as the daemon does."""

from typing import Any

import anyio

from bridgecross_core import clock as clocks
from bridgecross_core import hybrid_clock
from bridgecross_daemon import _admin_api
from bridgecross_daemon import _caller_api
from bridgecross_daemon import _listeners
from bridgecross_daemon import _metrics
from bridgecross_daemon import _platform
from bridgecross_daemon import instance
from bridgecross_daemon import peer_client
from bridgecross_daemon import peer_server
from bridgecross_daemon import ports
from bridgecross_entry import memory_ledger
from bridgecross_log import http_service
from bridgecross_request import backends
from bridgecross_settings import process

_GRPC_GRACE_S = 1.0

# The shares of the descriptors; the rest is for servers, instances and logs.
_CALLERS_RATIO = 0.5
_ADMIN_RATIO = 0.05


class Daemon:
    """An instance with its servers and its outgoing connections."""

    def __init__(self, settings: process.ProcessSettings) -> None:
        """Creates the instance; no connection is opened before ``run``."""
        self._settings = settings
        self._clock = clocks.SystemClock()
        self._stamps = hybrid_clock.HybridClock(self._clock)
        self._log = http_service.HttpLogService(
            http_service.HttpLogSettings(settings.log_url)
        )
        self._listing = _platform.HttpInstanceList(settings.instance_list_url)
        self._peers = peer_client.PeerClient(self._stamps)
        self._lease_transport: _platform.HttpLeaseTransport | None = None
        self._metrics = _metrics.Metrics()
        self._ledger = memory_ledger.MemoryLedger(
            memory_ledger.LedgerSettings(), settings.memory_mb
        )
        self._listeners = _listeners.Listeners(
            self._ledger, self._metrics, self._clock
        )
        self._instance = instance.Instance(settings, self._create_ports())
        self._stop_servers = anyio.Event()

    def stop(self) -> None:
        """Starts a planned shutdown."""
        self._instance.stop()

    async def run(self) -> None:
        """Runs until a planned shutdown is complete.

        Raises:
            OSError: An HTTP address cannot be bound.
            RuntimeError: The gRPC address cannot be bound.
        """
        settings = self._settings
        server = peer_server.PeerServer(
            settings.peer_address, self._instance, self._stamps
        )
        await server.start()
        caller_app = _caller_api.CallerApp(
            self._instance, self._metrics, self._clock, self._ledger
        )
        admin_app = _admin_api.build_admin_app(self._instance, self._metrics)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._instance.run)
            async with anyio.create_task_group() as servers:
                servers.start_soon(
                    self._serve,
                    settings.caller_address,
                    caller_app,
                    _CALLERS_RATIO,
                )
                servers.start_soon(
                    self._serve,
                    settings.admin_address,
                    admin_app,
                    _ADMIN_RATIO,
                )
                await self._instance.wait_drained()
                self._stop_servers.set()
            await server.stop(_GRPC_GRACE_S)
            self._instance.close()
        await self._aclose()

    def _create_ports(self) -> ports.InstancePorts:
        """Returns the instance's interfaces to its environment."""

        def make_leases(addresses: Any) -> _platform.HttpLeaseTransport:
            self._lease_transport = _platform.HttpLeaseTransport(addresses)
            return self._lease_transport

        def make_backend(
            settings: backends.BackendSettings,
        ) -> backends.HttpBackend:
            return backends.HttpBackend(settings)

        return ports.InstancePorts(
            clock=self._clock,
            stamps=self._stamps,
            log=self._log,
            listing=self._listing,
            peers=self._peers,
            make_leases=make_leases,
            make_backend=make_backend,
        )

    async def _serve(self, address: str, app: Any, ratio: float) -> None:
        """Serves an application over HTTP until the servers are stopped."""
        await _listeners.serve(
            self._listeners.make(address, app, ratio),
            self._stop_servers,
            self._instance.drain_limit_s,
        )

    async def _aclose(self) -> None:
        """Closes all outgoing connections."""
        await self._log.aclose()
        await self._listing.aclose()
        await self._peers.aclose()
        if self._lease_transport is not None:
            await self._lease_transport.aclose()
