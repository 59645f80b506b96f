"""An instance's clients of the emulated servers, for orders and requests."""

from collections.abc import Container
import math

import anyio

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_emulator import broken_links
from bridgecross_emulator import kept_connections
from bridgecross_emulator import servers
from bridgecross_emulator import work as work_lib
from bridgecross_entry import attempts
from bridgecross_entry import model


class EmulatedLeaseClient:
    """An ``attempts.LeaseClient``: sends one instance's orders to servers."""

    def __init__(self, fleet: servers.Fleet, sender: model.Address) -> None:
        """Initializes the client; it keeps no connections."""
        self.on_notice: attempts.NoticeHandler = attempts.ignore_notice
        self._fleet = fleet
        self._sender = sender
        self._connections = broken_links.Connections(fleet.links, sender)

    def sweep(self, known: Container[ids.ServerId]) -> None:
        """Does nothing, because nothing has to be closed."""

    async def grant(
        self,
        server: model.BackendServer,
        first_key: int,
        last_key: int,
        token: int,
        lease_ms: float,
        handover: str,
        may_order: attempts.MaySend,
    ) -> attempts.GrantResult:
        """Grants or renews a range, including both ends."""
        if not may_order():
            return attempts.Withheld()
        sent_s = self._fleet.now_s
        found = await self._reach(server)
        if not isinstance(found, servers.EmulatedServer):
            return found
        settings = self._fleet.settings
        arrived_s = self._fleet.now_s
        until_s = arrived_s + lease_ms / 1e3 * settings.clock_ratio
        if self._fleet.draw_chance(found.order_faults.grant_ratio):

            def take() -> None:
                found.grant(first_key, last_key, token, until_s, timely=False)

            await self._fleet.apply_late(found, take)
        timely = arrived_s - sent_s <= settings.order_timeout_s
        result = found.grant(first_key, last_key, token, until_s, timely=timely)
        await self._fleet.network.cross(server.address, self._sender)
        self.on_notice(server, found.notice._replace(backoff_s=0.0))
        return result

    async def release(
        self,
        server: model.BackendServer,
        first_key: int,
        last_key: int,
        token: int,
        may_order: attempts.MaySend,
    ) -> attempts.ReleaseResult:
        """Releases a range; the answer comes once nothing runs on it."""
        if not may_order():
            return attempts.Withheld()
        found = await self._reach(server)
        if not isinstance(found, servers.EmulatedServer):
            return found
        if self._fleet.draw_chance(found.order_faults.release_ratio):

            def take() -> None:
                found.release(first_key, last_key, token)

            await self._fleet.apply_late(found, take)
        run_ended = found.ended
        for work in found.release(first_key, last_key, token):
            await work.ended.wait()
        if run_ended.is_set():
            return attempts.NoReply("the connection ended")
        await self._fleet.network.cross(server.address, self._sender)
        self.on_notice(server, found.notice._replace(backoff_s=0.0))
        return attempts.Released("state")

    async def can_connect(self, server: model.BackendServer) -> bool:
        """Returns whether a connection can be opened; sends no order."""
        return isinstance(await self._reach(server), servers.EmulatedServer)

    async def _reach(
        self, server: model.BackendServer
    ) -> (
        servers.EmulatedServer
        | attempts.Refused
        | attempts.Gone
        | attempts.NotTaken
    ):
        """Returns the server that receives an order, or why none does."""
        unsent = await self._connections.open(server.address)
        if unsent is not None and unsent.refused:
            return attempts.Refused(unsent.reason)
        if unsent is not None:
            return attempts.NotTaken(unsent.reason)
        await self._fleet.network.cross(self._sender, server.address)
        found = self._fleet.servers.get(server.address)
        if found is None or not found.is_up:
            return attempts.Refused("connection refused")
        is_misidentified = (
            self._sender,
            server.address,
        ) in self._fleet.misidentified
        if found.name != server.name or is_misidentified:
            return attempts.Gone("another server has its address")
        return found


class EmulatedBackendClient:
    """An ``attempts.BackendClient``: sends requests of one instance."""

    def __init__(
        self, fleet: servers.Fleet, sender: model.Address, clock: clocks.Clock
    ) -> None:
        """Initializes the client without connections."""
        self.on_notice: attempts.NoticeHandler = attempts.ignore_notice
        self._fleet = fleet
        self._sender = sender
        self._clock = clock
        self._connections = broken_links.Connections(fleet.links, sender)
        # For each server, the run to which a connection is kept, and since when
        # by the instance's clock; -inf if the server has reported its warmup.
        self._kept: dict[model.Address, tuple[int, float]] = {}
        self._pool = kept_connections.KeptConnections(fleet, sender)

    async def query_warmup_left_s(
        self,
        server: model.BackendServer,
        path: str,
        known_s: float,
        may_send: attempts.MaySend,
        request_id: str,
    ) -> float | None:
        """Returns the remaining warmup time of a server; None if unknown.

        It is 0 without a query if the connection to the known run still exists.
        """
        found = self._fleet.servers.get(server.address)
        run, since_s = self._kept.get(server.address, (None, math.inf))
        goes_on = found and found.is_up and run == found.started_ms
        if goes_on and since_s <= known_s:
            return 0.0
        if not may_send():
            return None
        if await self._connections.open(server.address, is_new=True):
            return None
        await self._fleet.network.cross(self._sender, server.address)
        found = self._fleet.servers.get(server.address)
        if found is None or not found.is_up:
            return None
        left_s = found.reported_cold_s
        self._kept[server.address] = (found.started_ms, -math.inf)
        self._open_another(found)
        await self._fleet.network.cross(server.address, self._sender)
        return left_s

    async def send(
        self,
        server: model.BackendServer,
        request: attempts.EntryRequest,
        remaining_ms: float,
        may_send: attempts.MaySend,
    ) -> attempts.Attempt | attempts.Withheld:
        """Sends one request."""
        unsent = await self._connections.open(server.address)
        if unsent is not None:
            return unsent
        if not may_send():
            return attempts.Withheld()
        sent_s = self._clock.monotonic_s()
        network = self._fleet.network
        await network.cross(self._sender, server.address)
        found = self._fleet.servers.get(server.address)
        if found is None or not found.is_up:
            return attempts.NotSent("connection refused", refused=True)
        self._fleet.record_arrival(self._sender, found)
        if self._kept.get(server.address, (None,))[0] != found.started_ms:
            now_s = self._clock.monotonic_s()
            self._kept[server.address] = (found.started_ms, now_s)
        self._pool.take(found)
        result = await self._deliver(server, found, request, sent_s)
        if not isinstance(result, attempts.Interrupted):
            self._pool.keep(found)
        return result

    async def _deliver(
        self,
        server: model.BackendServer,
        found: servers.EmulatedServer,
        request: attempts.EntryRequest,
        sent_s: float,
    ) -> attempts.Attempt:
        """Lets a server reject or run a request that has arrived."""
        if (self._sender, server.address) in self._fleet.misidentified:
            return attempts.NotOwner("another")
        if found.backoff_s > 0:
            return await self._reject(server, found)
        if not self._may_run(found, request):
            self._handle_notice(server, found)
            return attempts.NotOwner(found.name)
        self._record_start(found, request)
        return await self._run(server, found, request, sent_s)

    async def _reject(
        self, server: model.BackendServer, found: servers.EmulatedServer
    ) -> attempts.Shed:
        """Lets a server that asks for backoff reject a request."""
        now_s = self._fleet.now_s
        rejection = servers.Rejection(now_s, found.name, self._sender)
        self._fleet.rejections.append(rejection)
        await self._fleet.network.cross(server.address, self._sender)
        self._handle_notice(server, found)
        return attempts.Shed(503)

    async def _run(
        self,
        server: model.BackendServer,
        found: servers.EmulatedServer,
        request: attempts.EntryRequest,
        sent_s: float,
    ) -> attempts.Attempt:
        """Runs a request on a server, and returns its answer."""
        run_ended = found.ended
        work = self._begin_work(found, request)
        await work.ended.wait()
        if run_ended.is_set():
            return attempts.Interrupted("the connection ended")
        if not work.is_done(self._fleet.now_s):
            return attempts.Interrupted("the lease ran out")
        lost = await self._connections.carry_answer(server.address)
        if lost is not None:
            return lost
        notice = found.notice
        await self._fleet.network.cross(server.address, self._sender)
        failed = request.target in self._fleet.failing
        if failed:
            # Whatever answers for a server that fails does not know its limit.
            notice = notice._replace(limit_per_s=None)
        else:
            notice = notice._replace(sent_s=sent_s)
        self._handle_notice(server, found, notice)
        return outcomes.Answered(500 if failed else 200, (), b"")

    def _handle_notice(
        self,
        server: model.BackendServer,
        found: servers.EmulatedServer,
        notice: attempts.Notice | None = None,
    ) -> None:
        """Handles the notice in a server's answer; by default, the current."""
        if found.name == server.name:
            notice = found.notice if notice is None else notice
            self._fleet.record_notice(self._sender, found.run, notice)
            self.on_notice(server, notice)

    def _may_run(
        self, server: servers.EmulatedServer, request: attempts.EntryRequest
    ) -> bool:
        """Whether a server may run a request: it must hold the key, if any."""
        if server.service not in self._fleet.keyed:
            return True
        return request.key is not None and server.holds(request.key)

    def _begin_work(
        self, server: servers.EmulatedServer, request: attempts.EntryRequest
    ) -> work_lib.Work:
        """Starts a request on a server; it runs even if no one waits for it."""
        work_s = self._fleet.settings.work_s
        for header in request.headers:
            if header.name == servers.WORK_HEADER:
                work_s = float(header.value)
        held = None
        if server.service in self._fleet.keyed and request.key is not None:
            held = server.find(request.key)
        if held is None:
            return server.work.begin(None, work_s)
        return server.work.begin(
            request.key, work_s, held.until_s, held.timely_until_s
        )

    def _record_start(
        self, server: servers.EmulatedServer, request: attempts.EntryRequest
    ) -> None:
        """Records the start of a request; schedules the crash by poison."""
        fleet = self._fleet
        is_poison = (
            request.target in fleet.poison_targets
            and request.body not in fleet.harmless_bodies
        )
        run = servers.Run(
            fleet.now_s,
            server.name,
            self._sender,
            request.target,
            server.is_cold,
            is_poison,
        )
        fleet.runs.append(run)
        if is_poison:
            fleet.schedule_crash(server, request.target)

    def is_connected(self, server: model.BackendServer) -> bool:
        """Whether the server is up: servers are not chosen by connections."""
        found = self._fleet.servers.get(server.address)
        return found is not None and found.is_up

    def is_acknowledged(
        self, server: model.BackendServer, sent_before_s: float
    ) -> bool:
        """Whether what was sent to a server has arrived there."""
        del sent_before_s  # Requests arrive at once where the link works.
        return self._connections.is_acknowledged(server.address)

    def can_reuse_connection(self, server: model.BackendServer) -> bool:
        """Whether the next request needs no new connection to a server."""
        found = self._fleet.servers.get(server.address)
        return found is not None and self._pool.can_reuse(found)

    def _open_another(self, server: servers.EmulatedServer) -> None:
        """Counts a connection that a probe opened, and keeps it."""
        self._fleet.opened_count[self._sender] += 1
        self._pool.keep(server)

    async def connect(
        self, server: model.BackendServer
    ) -> attempts.NotSent | None:
        """Opens a connection; returns why that failed."""
        with anyio.move_on_after(broken_links.CONNECT_TIMEOUT_S):
            unsent = await self._connections.open(server.address, is_new=True)
            if unsent is not None:
                return unsent
            network = self._fleet.network
            await network.cross(self._sender, server.address)
            await network.cross(server.address, self._sender)
            found = self._fleet.servers.get(server.address)
            if found is not None and found.is_up:
                self._open_another(found)
                return None
            return attempts.NotSent("connection refused", refused=True)
        return attempts.NotSent("connecting took too long")

    async def is_refusing(self, server: model.BackendServer) -> bool:
        """Whether no server listens at an address."""
        unsent = await self._connections.open(server.address, is_new=True)
        if unsent is not None:
            return unsent.refused
        await self._fleet.network.cross(self._sender, server.address)
        found = self._fleet.servers.get(server.address)
        if found is None or not found.is_up:
            return True
        self._open_another(found)
        return False

    def sweep(self, known: Container[ids.ServerId]) -> None:
        """Does nothing, because nothing has to be closed."""
