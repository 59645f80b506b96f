"""Models of backend servers that own keys: runs, leases and fencing tokens."""

from collections.abc import Callable
from collections.abc import Container
import dataclasses
import math
import random
from typing import NamedTuple

import anyio
import simpy

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_emulator import log_model
from bridgecross_emulator import network as networks
from bridgecross_emulator import work as work_lib
from bridgecross_entry import attempts
from bridgecross_entry import log as logs
from bridgecross_entry import model

SERVER_TOPIC = "emulated-servers"

WORK_HEADER = b"emulated-work-s"
"""Says how long a request takes, if not as long as others."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSettings:
    """How servers behave while nothing is wrong with them."""

    # How often a server writes its entry.
    heartbeat_s: float = 0.87
    # Silent heartbeats after which the platform removes an entry.
    silent_max_count: int = 3
    # The clock by which leases end may run slow by this ratio.
    clock_ratio: float = 1.02
    # Orders without an answer are taken after this time, if they are.
    late_s: float = 2.0
    # Whoever gives an order has given it up after this time. One that arrives
    # later was held up in transit, or on the host of the one who gave it.
    order_timeout_s: float = 0.5
    # How long a request takes.
    work_s: float = 0.06
    # How long a request that ends its server takes to do so, and how long the
    # server needs until it runs again.
    crash_after_s: float = 0.04
    returns_after_s: float = 1.2


class Held(NamedTuple):
    """A range that a server holds."""

    # Both ends are inside.
    first_key: int
    last_key: int
    token: int
    until_s: float
    # The same by orders that were taken in time; in the past if none was.
    timely_until_s: float


class OrderFaults(NamedTuple):
    """Which orders get no answer, and are carried out late."""

    # Parts of the grants and of the releases.
    grant_ratio: float = 0.0
    release_ratio: float = 0.0


class Overlap(NamedTuple):
    """Two servers that held the same key at the same time."""

    at_s: float
    server: str
    other: str
    first_key: int


class PrematureGrant(NamedTuple):
    """A key that one server was given while another was at work on it."""

    at_s: float
    server: str
    other: str
    key: int


class Run(NamedTuple):
    """A request that a server began to run."""

    at_s: float
    server: str
    # The instance that sent it.
    sender: model.Address
    target: bytes
    # Whether the server was cold.
    is_cold: bool = False
    # Whether the request ends servers.
    is_poison: bool = False


class Ended(NamedTuple):
    """A server's run that ended."""

    at_s: float
    server: str
    # The request that ended it, by its target; None for another reason.
    target: bytes | None


class Rejection(NamedTuple):
    """A request that a server turned away."""

    at_s: float
    server: str
    # The instance that sent it.
    sender: model.Address


class EmulatedServer:
    """A backend server over all its runs."""

    def __init__(
        self,
        name: str,
        service: str,
        address: model.Address,
        fleet: "Fleet",
        started_ms: int,
        domain: str = "hall-0",
    ) -> None:
        """Is started by the fleet."""
        self.name = name
        # The failure domain that it runs in.
        self.domain = domain
        self.service = service
        self.address = address
        self.started_ms = started_ms
        self.is_up = False
        self.is_leaving = False
        # Whether its answers say that it leaves, whatever its entry says.
        self.answers_leaving = False
        # For how long it wants to be left alone by whoever sends it a request;
        # it turns all of them away. 0 if it works.
        self.backoff_s = 0.0
        # Until when it is cold.
        self.cold_until_s = 0.0
        # Whether its heartbeats reach the log.
        self.reaches_log = True
        # Which orders it takes late.
        self.order_faults = OrderFaults()
        # When it last wrote its entry; None if the entry was removed.
        self.listed_s: float | None = None
        # Set once the run has ended; another run has another.
        self.ended = anyio.Event()
        self._fleet = fleet
        self.work = work_lib.WorkSet(lambda: fleet.now_s)
        self._held: list[Held] = []
        # The highest token that was seen, by range.
        self._seen: list[tuple[int, int, int]] = []

    @property
    def is_cold(self) -> bool:
        """Whether it bears few requests."""
        return self._fleet.now_s < self.cold_until_s

    @property
    def reported_cold_s(self) -> float:
        """For how long it says that it is cold, counted from its start."""
        return max(self.cold_until_s - self._fleet.now_s, 0.0)

    @property
    def notice(self) -> attempts.Notice:
        """What it says of itself in its answers."""
        is_leaving = self.is_leaving or self.answers_leaving
        return attempts.Notice(is_leaving, self.backoff_s)

    def find(self, key: int) -> Held | None:
        """Returns the range of a key that it holds at this moment."""
        for held in self.held():
            if held.first_key <= key <= held.last_key:
                return held
        return None

    def holds(self, key: int) -> bool:
        """Whether it holds a key at this moment."""
        return self.find(key) is not None

    def held(self) -> list[Held]:
        """Returns what it holds at this moment."""
        now_s = self._fleet.now_s
        self._held = [h for h in self._held if h.until_s > now_s]
        return self._held if self.is_up else []

    def crash(self) -> None:
        """Ends the run; it says nothing of it."""
        self.is_up = False
        self.ended.set()
        self.work.stop()
        self._held = []
        self._seen = []

    def start(self) -> None:
        """Begins a run under the same name, unless one goes on."""
        if self.is_up:
            return
        self.is_up = True
        self.ended = anyio.Event()
        self.is_leaving = False
        self.answers_leaving = False
        self.backoff_s = 0.0
        self.cold_until_s = self._fleet.now_s + self._fleet.warmup_s
        self.started_ms = max(int(self._fleet.now_s * 1_000), 1) + 1_000
        self.write_entry()

    def write_entry(self) -> None:
        """Writes what the list says of it."""
        if self.is_up and self.reaches_log:
            self._fleet.write_entry(self)

    def grant(
        self, first: int, last: int, token: int, until_s: float, *, timely: bool
    ) -> attempts.GrantResult:
        """Takes a range, or refuses it.

        Args:
            first: The first key.
            last: The last key.
            token: The fencing token.
            until_s: Until when it holds the range.
            timely: Whether the order was neither held up nor is taken late.
        """
        for seen_first, seen_last, seen in self._seen:
            crosses = seen_first <= last and first <= seen_last
            if crosses and seen > token:
                return attempts.Outranked()
        self._note_seen(first, last, token)
        timely_until_s = until_s if timely else -math.inf
        for known in self.held():
            covers = known.first_key <= first and last <= known.last_key
            if covers and known.token == token:
                # An order never shortens a lease.
                until_s = max(until_s, known.until_s)
                timely_until_s = max(timely_until_s, known.timely_until_s)
        self._take_out(first, last)
        held = Held(first, last, token, until_s, timely_until_s)
        self._held.append(held)
        self.work.extend_leases(first, last, until_s, timely_until_s)
        if timely:
            self._fleet.note_grant(self, held)
        return attempts.Granted()

    def release(self, first: int, last: int, token: int) -> list[work_lib.Work]:
        """Gives a range back; no new work on it begins.

        Returns:
            What is still at work on what was held until now. One who asks again
            finds nothing held, and so nothing to wait for.
        """
        held = self.held()
        self._note_seen(first, last, token)
        self._take_out(first, last)
        return [
            work
            for work in self.work.on(first, last)
            if any(h.first_key <= (work.key or 0) <= h.last_key for h in held)
        ]

    def _note_seen(self, first: int, last: int, token: int) -> None:
        """Keeps the highest token of a range."""
        self._seen = [
            s
            for s in self._seen
            if not (first <= s[0] and s[1] <= last and s[2] <= token)
        ]
        self._seen.append((first, last, token))

    def _take_out(self, first: int, last: int) -> None:
        """Holds a range no longer; what lies beside it stays."""
        kept = []
        for held in self._held:
            if held.last_key < first or held.first_key > last:
                kept.append(held)
                continue
            if held.first_key < first:
                kept.append(held._replace(last_key=first - 1))
            if held.last_key > last:
                kept.append(held._replace(first_key=last + 1))
        self._held = kept


class Fleet:
    """All servers of a service, and what is wrong with their keys."""

    def __init__(
        self,
        settings: ServerSettings,
        log: log_model.LogModel,
        network: networks.Network,
        environment: simpy.Environment,
    ) -> None:
        """Has no server."""
        self.settings = settings
        self.servers: dict[model.Address, EmulatedServer] = {}
        # What must never be.
        self.overlaps: list[Overlap] = []
        self.premature: list[PrematureGrant] = []
        # Pairs of an instance and a server of which the one is told that
        # another server has the other's address.
        self.misidentified: set[tuple[model.Address, model.Address]] = set()
        # Requests by their target that end each server which runs them.
        self.poison_targets: set[bytes] = set()
        # Bodies with which those do no harm.
        self.harmless_bodies: set[bytes] = set()
        # Requests by their target that servers answer with an error.
        self.failing: set[bytes] = set()
        # Services whose servers own keys; the others run any request.
        self.keyed: set[str] = set()
        # For how long servers that start are cold.
        self.warmup_s = 0.0
        # All requests that servers began to run, and all runs that ended.
        self.runs: list[Run] = []
        self.ends: list[Ended] = []
        # All requests that servers turned away.
        self.rejections: list[Rejection] = []
        # When an answer told an instance first that a server's run leaves.
        self.leaving_reported_s: dict[
            tuple[model.Address, str, int], float
        ] = {}
        self.network = network
        self._log = log
        self._environment = environment
        self._rng = random.Random(1)

    @property
    def now_s(self) -> float:
        """The virtual time."""
        return float(self._environment.now)

    def add(
        self,
        name: str,
        service: str,
        address: model.Address,
        domain: str = "hall-0",
    ) -> None:
        """Starts a server."""
        server = EmulatedServer(name, service, address, self, 1, domain)
        self.servers[address] = server
        server.start()

    def record_notice(
        self, sender: model.Address, server: EmulatedServer
    ) -> None:
        """Keeps what an answer has told an instance."""
        if server.notice.is_leaving:
            told = (sender, server.name, server.started_ms)
            self.leaving_reported_s.setdefault(told, self.now_s)

    def write_entry(self, server: EmulatedServer) -> None:
        """Writes an entry of the list."""
        server.listed_s = self.now_s
        self._log.add(
            SERVER_TOPIC,
            logs.KeyedRecord(server.name, encode_server(server)),
        )

    def make_cold(self, domain: str) -> None:
        """Makes the servers of a failure domain cold."""
        for server in self.servers.values():
            if server.domain == domain:
                server.cold_until_s = self.now_s + self.warmup_s

    @property
    def ends_s(self) -> list[float]:
        """When servers ended, whatever the reason."""
        return [each.at_s for each in self.ends]

    def schedule_crash(self, server: EmulatedServer, target: bytes) -> None:
        """Ends a server's run a little later; another run begins after it.

        That belongs to no instance: it happens also if the one whose request
        brought it about stands still.
        """
        run = server.ended

        def crash() -> None:
            if server.ended is run:
                self.crash(server, target)

        work_lib.call_later(self.settings.crash_after_s, crash)

    def crash(
        self, server: EmulatedServer, target: bytes | None = None
    ) -> None:
        """Ends a server's run; another one begins later."""
        if not server.is_up:
            return
        server.crash()
        self.ends.append(Ended(self.now_s, server.name, target))
        work_lib.call_later(self.settings.returns_after_s, server.start)

    def holders(self, key: int) -> list[EmulatedServer]:
        """Returns the servers that hold a key at this moment."""
        return [s for s in self.servers.values() if s.holds(key)]

    def draw_chance(self, ratio: float) -> bool:
        """Draws whether something happens that does so only at times."""
        return ratio >= 1.0 or (ratio > 0.0 and self._rng.random() < ratio)

    def note_grant(self, server: EmulatedServer, held: Held) -> None:
        """Looks whether others hold, or work on, what one has just taken.

        Nobody can keep an order from being carried out long after it was given,
        so what is held by such orders alone does not count.
        """
        for other in self.servers.values():
            if other is not server:
                self._note_overlaps(server, held, other)
                self._note_premature(server, held, other)

    def _note_overlaps(
        self, server: EmulatedServer, held: Held, other: EmulatedServer
    ) -> None:
        """Keeps what another server holds."""
        for theirs in other.held():
            crosses = (
                theirs.first_key <= held.last_key
                and held.first_key <= theirs.last_key
            )
            if crosses and theirs.timely_until_s > self.now_s:
                overlap = Overlap(
                    round(self.now_s, 3),
                    server.name,
                    other.name,
                    max(theirs.first_key, held.first_key),
                )
                self.overlaps.append(overlap)

    def _note_premature(
        self, server: EmulatedServer, held: Held, other: EmulatedServer
    ) -> None:
        """Keeps what another server works on."""
        for work in other.work.on(held.first_key, held.last_key):
            if work.key is not None and work.has_timely_lease(self.now_s):
                premature = PrematureGrant(
                    round(self.now_s, 3), server.name, other.name, work.key
                )
                self.premature.append(premature)

    async def apply_late(
        self, server: EmulatedServer, take: Callable[[], None]
    ) -> None:
        """Carries an order out late, if the run goes on; never answers.

        Args:
            server: Took the order.
            take: Carries it out.
        """
        run_ended = server.ended

        def take_in_run() -> None:
            if not run_ended.is_set():
                take()

        work_lib.call_later(self.settings.late_s, take_in_run)
        await anyio.sleep_forever()

    async def run(self) -> None:
        """Writes heartbeats and removes silent entries, until cancelled."""
        while True:
            await anyio.sleep(self.settings.heartbeat_s)
            for server in self.servers.values():
                server.write_entry()
                self._remove_if_silent(server)

    def _remove_if_silent(self, server: EmulatedServer) -> None:
        """Removes the entry of a server that has been silent for long."""
        if server.listed_s is None:
            return
        settings = self.settings
        longest_s = settings.silent_max_count * settings.heartbeat_s
        if self.now_s - server.listed_s > longest_s:
            server.listed_s = None
            self._log.add(SERVER_TOPIC, logs.KeyedRecord(server.name, b""))


def encode_server(server: EmulatedServer) -> bytes:
    """Returns an entry of the list."""
    state = "leaving" if server.is_leaving else "staying"
    fields = (
        server.service,
        *server.address,
        state,
        server.started_ms,
        server.domain,
        round(server.reported_cold_s * 1_000),
    )
    return " ".join(str(field) for field in fields).encode()


def decode_server(record: logs.KeyedRecord) -> model.BackendServer:
    """Returns the server of an entry.

    Raises:
        ValueError: It is none.
    """
    words = record.value.decode().split()
    service, host, port, state, started, domain, cold_ms = words
    started_ms = int(started)
    return model.BackendServer(
        model.name_run(record.key, started_ms),
        ids.ServiceName(service),
        model.Address(host, int(port)),
        domain,
        4,
        state == "leaving",
        float(cold_ms),
        record.key,
        started_ms,
    )


class EmulatedLeaseClient:
    """An ``attempts.LeaseClient``: one instance's way to the servers."""

    def __init__(self, fleet: Fleet, sender: model.Address) -> None:
        """Keeps no connection."""
        self.on_notice: attempts.NoticeHandler = attempts.ignore_notice
        self._fleet = fleet
        self._sender = sender

    def sweep(self, known: Container[ids.ServerId]) -> None:
        """Nothing is kept."""

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
        """Gives or renews a range; both ends are inside."""
        if not may_order():
            return attempts.Withheld()
        sent_s = self._fleet.now_s
        found = await self._reach(server)
        if not isinstance(found, EmulatedServer):
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
        """Takes a range back; answered once nothing runs on it."""
        if not may_order():
            return attempts.Withheld()
        found = await self._reach(server)
        if not isinstance(found, EmulatedServer):
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
        """Returns whether a connection can be made; gives no order."""
        return isinstance(await self._reach(server), EmulatedServer)

    async def _reach(
        self, server: model.BackendServer
    ) -> EmulatedServer | attempts.Refused | attempts.Gone:
        """Returns the server that takes an order at an address."""
        await self._fleet.network.cross(self._sender, server.address)
        found = self._fleet.servers.get(server.address)
        if found is None or not found.is_up:
            return attempts.Refused("connection refused")
        is_mistaken = (
            self._sender,
            server.address,
        ) in self._fleet.misidentified
        if found.name != server.name or is_mistaken:
            return attempts.Gone("another server has its address")
        return found


class EmulatedBackendClient:
    """An ``attempts.BackendClient``: one instance's way to the servers."""

    def __init__(
        self, fleet: Fleet, sender: model.Address, clock: clocks.Clock
    ) -> None:
        """Knows no run of any server."""
        self.on_notice: attempts.NoticeHandler = attempts.ignore_notice
        self._fleet = fleet
        self._sender = sender
        self._clock = clock
        # The run that a connection is kept to, of each server, and since when
        # on the instance's clock; always, if the server has told how it is.
        self._kept: dict[model.Address, tuple[int, float]] = {}

    async def query_warmup_left_s(
        self,
        server: model.BackendServer,
        path: str,
        known_s: float,
        may_send: attempts.MaySend,
    ) -> float | None:
        """Finds out whether the run that was known of a server goes on."""
        found = self._fleet.servers.get(server.address)
        run, since_s = self._kept.get(server.address, (None, math.inf))
        goes_on = found and found.is_up and run == found.started_ms
        if goes_on and since_s <= known_s:
            return 0.0
        if not may_send():
            return None
        await self._fleet.network.cross(self._sender, server.address)
        found = self._fleet.servers.get(server.address)
        if found is None or not found.is_up:
            return None
        left_s = found.reported_cold_s
        self._kept[server.address] = (found.started_ms, -math.inf)
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
        if not may_send():
            return attempts.Withheld()
        network = self._fleet.network
        await network.cross(self._sender, server.address)
        found = self._fleet.servers.get(server.address)
        if found is None or not found.is_up:
            return attempts.NotSent("connection refused", refused=True)
        if self._kept.get(server.address, (None,))[0] != found.started_ms:
            now_s = self._clock.monotonic_s()
            self._kept[server.address] = (found.started_ms, now_s)
        if (self._sender, server.address) in self._fleet.misidentified:
            return attempts.NotOwner("another")
        if found.backoff_s > 0:
            return await self._reject(server, found)
        if not self._may_run(found, request):
            self._hear(server, found)
            return attempts.NotOwner(found.name)
        self._note_run(found, request)
        return await self._run(server, found, request)

    async def _reject(
        self, server: model.BackendServer, found: EmulatedServer
    ) -> attempts.Shed:
        """Lets a server that is full turn a request away."""
        now_s = self._fleet.now_s
        rejection = Rejection(now_s, found.name, self._sender)
        self._fleet.rejections.append(rejection)
        await self._fleet.network.cross(server.address, self._sender)
        self._hear(server, found)
        return attempts.Shed(503)

    async def _run(
        self,
        server: model.BackendServer,
        found: EmulatedServer,
        request: attempts.EntryRequest,
    ) -> attempts.Attempt:
        """Lets a server work on a request, and answer it."""
        run_ended = found.ended
        work = self._begin_work(found, request)
        await work.ended.wait()
        if run_ended.is_set():
            return attempts.Interrupted("the connection ended")
        if not work.is_done(self._fleet.now_s):
            return attempts.Interrupted("the lease ran out")
        await self._fleet.network.cross(server.address, self._sender)
        self._hear(server, found)
        failed = request.target in self._fleet.failing
        return outcomes.Answered(500 if failed else 200, (), b"")

    def _hear(self, server: model.BackendServer, found: EmulatedServer) -> None:
        """Takes in what an answer says of its server."""
        if found.name == server.name:
            self._fleet.record_notice(self._sender, found)
            self.on_notice(server, found.notice)

    def _may_run(
        self, server: EmulatedServer, request: attempts.EntryRequest
    ) -> bool:
        """Whether a server runs a request at all."""
        if server.service not in self._fleet.keyed:
            return True
        return request.key is not None and server.holds(request.key)

    def _begin_work(
        self, server: EmulatedServer, request: attempts.EntryRequest
    ) -> work_lib.Work:
        """Lets a server work on a request, whether it is waited for or not."""
        work_s = self._fleet.settings.work_s
        for header in request.headers:
            if header.name == WORK_HEADER:
                work_s = float(header.value)
        held = None
        if server.service in self._fleet.keyed and request.key is not None:
            held = server.find(request.key)
        if held is None:
            return server.work.begin(None, work_s)
        return server.work.begin(
            request.key, work_s, held.until_s, held.timely_until_s
        )

    def _note_run(
        self, server: EmulatedServer, request: attempts.EntryRequest
    ) -> None:
        """Keeps that a request begins to run, and lets it do its harm."""
        fleet = self._fleet
        is_poison = (
            request.target in fleet.poison_targets
            and request.body not in fleet.harmless_bodies
        )
        run = Run(
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
        """Connections cost nothing here."""
        found = self._fleet.servers.get(server.address)
        return found is not None and found.is_up

    async def is_refusing(self, server: model.BackendServer) -> bool:
        """Whether nobody listens at a server's address."""
        await self._fleet.network.cross(self._sender, server.address)
        return not self.is_connected(server)

    def sweep(self, known: Container[ids.ServerId]) -> None:
        """Nothing is kept."""
