"""Models of backend servers that own keys: runs, leases and fencing tokens."""

import collections
from collections.abc import Callable
import dataclasses
import math
import random
from typing import NamedTuple

import anyio
import simpy

from bridgecross_core import ids
from bridgecross_emulator import broken_links
from bridgecross_emulator import log_model
from bridgecross_emulator import network as networks
from bridgecross_emulator import rate_windows
from bridgecross_emulator import work as work_lib
from bridgecross_entry import attempts
from bridgecross_entry import log as logs
from bridgecross_entry import model

SERVER_TOPIC = "emulated-servers"

WORK_HEADER = b"emulated-work-s"
"""The duration of a request; ``ServerSettings.work_s`` without this header."""


DEFAULT_SLOTS = 4
"""The slots of a server whose entry states none."""


@dataclasses.dataclass(frozen=True, slots=True)
class ServerSettings:
    """The behavior of servers, and the timing of their faults."""

    # How often a server writes its entry.
    heartbeat_s: float = 0.87
    # Missed heartbeats after which the platform removes an entry.
    silent_max_count: int = 3
    # A server's clock may be slow by this factor, so that leases last longer.
    clock_ratio: float = 1.02
    # The delay after which orders without an answer are carried out.
    late_s: float = 2.0
    # The sender's timeout for an order. An order that arrives later was delayed
    # in transit, or on the sender's host.
    order_timeout_s: float = 0.5
    # How long a request takes.
    work_s: float = 0.06
    # How many slots servers state; any number of requests runs at a time.
    slots: int = DEFAULT_SLOTS
    # How long a poison request takes to crash its server, and how long the
    # server takes to restart.
    crash_after_s: float = 0.04
    returns_after_s: float = 1.2


class Held(NamedTuple):
    """A key range that a server holds."""

    # Both ends are inside.
    first_key: int
    last_key: int
    token: int
    until_s: float
    # The end, counting only orders that were carried out in time; in the past
    # if there were none.
    timely_until_s: float


class OrderFaults(NamedTuple):
    """The orders that get no answer, and are carried out late."""

    # The ratios of such orders among the grants and among the releases.
    grant_ratio: float = 0.0
    release_ratio: float = 0.0


class Overlap(NamedTuple):
    """A key that two servers held at the same time."""

    at_s: float
    server: str
    other: str
    first_key: int


class PrematureGrant(NamedTuple):
    """A key that a server was granted while another was working on it."""

    at_s: float
    server: str
    other: str
    key: int


class Run(NamedTuple):
    """The start of a request on a server."""

    at_s: float
    server: str
    # The instance that sent it.
    sender: model.Address
    target: bytes
    # Whether the server was cold.
    is_cold: bool = False
    # Whether it is a poison request.
    is_poison: bool = False


class RunEnd(NamedTuple):
    """The end of a server's run."""

    at_s: float
    server: str
    # The target of the request that crashed it; None for other reasons.
    target: bytes | None


class Rejection(NamedTuple):
    """A request that a server rejected."""

    at_s: float
    server: str
    # The instance that sent it.
    sender: model.Address


class RunOfServer(NamedTuple):
    """Identifies one run of a server."""

    server: str
    started_ms: int


class Arrival(NamedTuple):
    """A request that arrived at a server which has named a limit."""

    at_s: float
    # The instance that sent it.
    sender: model.Address
    # When the instance was first told of a limit in this run; infinite before.
    told_s: float


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
        """Initializes the server; the fleet starts it."""
        self.name = name
        self.slots = fleet.settings.slots
        # The failure domain in which it runs.
        self.domain = domain
        self.service = service
        self.address = address
        self.started_ms = started_ms
        self.is_up = False
        self.is_leaving = False
        # Whether its answers say that it is leaving, whatever its entry says.
        self.answers_leaving = False
        # The backoff that it asks for when it rejects requests, in which case
        # it rejects all of them. 0 if it accepts requests.
        self.backoff_s = 0.0
        # The limit that it names in its answers; None without a limit.
        self._limit_per_s: float | None = None
        # When it stops being cold.
        self.cold_until_s = 0.0
        # Whether its heartbeats reach the log.
        self.reaches_log = True
        # The orders that it carries out late.
        self.order_faults = OrderFaults()
        # When it last wrote its entry; None if the entry was removed.
        self.listed_s: float | None = None
        # Set when the current run ends; each run has its own event.
        self.ended = anyio.Event()
        self._fleet = fleet
        self.work = work_lib.WorkSet(lambda: fleet.now_s)
        self._held: list[Held] = []
        # Ranges with the highest known token: first key, last key, token.
        self._highest_tokens: list[tuple[int, int, int]] = []

    @property
    def is_cold(self) -> bool:
        """Whether it is warming up, and can handle only few requests."""
        return self._fleet.now_s < self.cold_until_s

    @property
    def reported_cold_s(self) -> float:
        """The remaining warmup time that it reports."""
        return max(self.cold_until_s - self._fleet.now_s, 0.0)

    @property
    def notice(self) -> attempts.Notice:
        """The notice in its answers."""
        is_leaving = self.is_leaving or self.answers_leaving
        return attempts.Notice(
            is_leaving, self.backoff_s, limit_per_s=self._limit_per_s
        )

    @property
    def run(self) -> RunOfServer:
        """The current run."""
        return RunOfServer(self.name, self.started_ms)

    def name_limit(self, limit_per_s: float | None) -> None:
        """Names a limit in all answers from now on, or no limit any more."""
        self._limit_per_s = limit_per_s
        at_s = self._fleet.now_s
        in_force = math.inf if limit_per_s is None else limit_per_s
        changes = self._fleet.limit_changes.setdefault(self.run, [])
        changes.append(rate_windows.LimitChange(at_s, in_force))

    def find(self, key: int) -> Held | None:
        """Returns the held range that contains a key; None if there is none."""
        for held in self.held():
            if held.first_key <= key <= held.last_key:
                return held
        return None

    def holds(self, key: int) -> bool:
        """Whether it currently holds a key."""
        return self.find(key) is not None

    def held(self) -> list[Held]:
        """Returns the ranges that it currently holds."""
        now_s = self._fleet.now_s
        self._held = [h for h in self._held if h.until_s > now_s]
        return self._held if self.is_up else []

    def crash(self) -> None:
        """Ends the run without an announcement."""
        if self.is_up:
            run = model.name_run(self.name, self.started_ms)
            self._fleet.ended_s[run] = self._fleet.now_s
        self.is_up = False
        self.ended.set()
        self.work.stop()
        self._held = []
        self._highest_tokens = []

    def start(self) -> None:
        """Starts a run under the same name, unless it is already running."""
        if self.is_up:
            return
        self.is_up = True
        self.ended = anyio.Event()
        self.is_leaving = False
        self.answers_leaving = False
        self.backoff_s = 0.0
        self._limit_per_s = None
        self.cold_until_s = self._fleet.now_s + self._fleet.warmup_s
        self.started_ms = max(int(self._fleet.now_s * 1_000), 1) + 1_000
        self.write_entry()

    def write_entry(self) -> None:
        """Writes its entry in the server list, if it reaches the log."""
        if self.is_up and self.reaches_log:
            self._fleet.write_entry(self)

    def grant(
        self, first: int, last: int, token: int, until_s: float, *, timely: bool
    ) -> attempts.GrantResult:
        """Accepts a range, or refuses it if it knows a higher token.

        Args:
            first: The first key.
            last: The last key.
            token: The fencing token.
            until_s: When the lease ends.
            timely: Whether the order was not delayed in transit and is not
                carried out late.
        """
        for known_first, known_last, known_token in self._highest_tokens:
            crosses = known_first <= last and first <= known_last
            if crosses and known_token > token:
                return attempts.Outranked()
        self._record_token(first, last, token)
        timely_until_s = until_s if timely else -math.inf
        for known in self.held():
            covers = known.first_key <= first and last <= known.last_key
            if covers and known.token == token:
                # An order never shortens a lease.
                until_s = max(until_s, known.until_s)
                timely_until_s = max(timely_until_s, known.timely_until_s)
        self._remove_range(first, last)
        held = Held(first, last, token, until_s, timely_until_s)
        self._held.append(held)
        self.work.extend_leases(first, last, until_s, timely_until_s)
        if timely:
            self._fleet.check_grant(self, held)
        return attempts.Granted()

    def release(self, first: int, last: int, token: int) -> list[work_lib.Work]:
        """Releases a range; no new work on it starts.

        Returns:
            The work that still runs on keys that were held until now. If the
            release is repeated, nothing is held, so there is no work to wait
            for.
        """
        held = self.held()
        self._record_token(first, last, token)
        self._remove_range(first, last)
        return [
            work
            for work in self.work.on(first, last)
            if any(h.first_key <= (work.key or 0) <= h.last_key for h in held)
        ]

    def _record_token(self, first: int, last: int, token: int) -> None:
        """Records the highest token known for a range."""
        self._highest_tokens = [
            s
            for s in self._highest_tokens
            if not (first <= s[0] and s[1] <= last and s[2] <= token)
        ]
        self._highest_tokens.append((first, last, token))

    def _remove_range(self, first: int, last: int) -> None:
        """Removes a range from the held ranges; splits them if necessary."""
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
    """All servers, and a record of the guarantees that they violated."""

    def __init__(
        self,
        settings: ServerSettings,
        log: log_model.LogModel,
        network: networks.Network,
        environment: simpy.Environment,
    ) -> None:
        """Initializes a fleet without servers."""
        self.settings = settings
        self.servers: dict[model.Address, EmulatedServer] = {}
        # Violations of guarantees.
        self.overlaps: list[Overlap] = []
        self.premature: list[PrematureGrant] = []
        # Pairs of an instance and a server for which the instance is told that
        # another server has the server's address.
        self.misidentified: set[tuple[model.Address, model.Address]] = set()
        # Targets of requests that crash each server which runs them.
        self.poison_targets: set[bytes] = set()
        # Bodies with which such requests are harmless.
        self.harmless_bodies: set[bytes] = set()
        # Targets of requests that servers answer with an error.
        self.failing: set[bytes] = set()
        # Services whose servers own keys; servers of others run any request.
        self.keyed: set[str] = set()
        # How long servers are cold after their start.
        self.warmup_s = 0.0
        # All starts of requests on servers, and all ends of servers' runs.
        self.runs: list[Run] = []
        self.ends: list[RunEnd] = []
        # When each run ended, by the name that instances give it.
        self.ended_s: dict[str, float] = {}
        # All requests that servers rejected.
        self.rejections: list[Rejection] = []
        # When an answer first told an instance that a server's run is leaving.
        self.leaving_reported_s: dict[
            tuple[model.Address, str, int], float
        ] = {}
        # The limits that runs have named, and the requests to these runs.
        self.limit_changes: dict[
            RunOfServer, list[rate_windows.LimitChange]
        ] = {}
        self.arrivals: dict[RunOfServer, list[Arrival]] = {}
        # When an answer first told an instance of a limit of a run.
        self.limit_told_s: dict[tuple[model.Address, RunOfServer], float] = {}
        # The connections to servers that each instance has opened.
        self.opened_count: collections.Counter[model.Address] = (
            collections.Counter()
        )
        self.network = network
        # The links from instances to servers that are broken.
        self.links = broken_links.BrokenLinks()
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
        """Adds a server, and starts it."""
        server = EmulatedServer(name, service, address, self, 1, domain)
        self.servers[address] = server
        server.start()

    def record_arrival(
        self, sender: model.Address, server: EmulatedServer
    ) -> None:
        """Records a request to a server, if the server has named a limit."""
        if server.run in self.limit_changes:
            told_s = self.limit_told_s.get((sender, server.run), math.inf)
            arrivals = self.arrivals.setdefault(server.run, [])
            arrivals.append(Arrival(self.now_s, sender, told_s))

    def forget_told(self, sender: model.Address) -> None:
        """Records that an instance lost what it was told: it was restarted."""
        self.limit_told_s = {
            told: at_s
            for told, at_s in self.limit_told_s.items()
            if told[0] != sender
        }

    def record_notice(
        self, sender: model.Address, run: RunOfServer, notice: attempts.Notice
    ) -> None:
        """Records what an answer told an instance about a server."""
        if notice.limit_per_s is not None:
            self.limit_told_s.setdefault((sender, run), self.now_s)
        if notice.is_leaving:
            self.leaving_reported_s.setdefault((sender, *run), self.now_s)

    def write_entry(self, server: EmulatedServer) -> None:
        """Writes a server's entry in the server list."""
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
        """The times at which servers crashed, for any reason."""
        return [each.at_s for each in self.ends]

    def schedule_crash(self, server: EmulatedServer, target: bytes) -> None:
        """Crashes a server after ``crash_after_s``; it restarts later.

        The crash happens even if the instance that sent the request is paused.
        """
        run = server.ended

        def crash() -> None:
            if server.ended is run:
                self.crash(server, target)

        work_lib.call_later(self.settings.crash_after_s, crash)

    def crash(
        self, server: EmulatedServer, target: bytes | None = None
    ) -> None:
        """Crashes a server; it restarts after ``returns_after_s``."""
        if not server.is_up:
            return
        server.crash()
        self.ends.append(RunEnd(self.now_s, server.name, target))
        work_lib.call_later(self.settings.returns_after_s, server.start)

    def holders(self, key: int) -> list[EmulatedServer]:
        """Returns the servers that currently hold a key."""
        return [s for s in self.servers.values() if s.holds(key)]

    def draw_chance(self, ratio: float) -> bool:
        """Draws whether an event happens that has the given probability."""
        return ratio >= 1.0 or (ratio > 0.0 and self._rng.random() < ratio)

    def check_grant(self, server: EmulatedServer, held: Held) -> None:
        """Records whether others hold or work on a range that was just granted.

        Orders cannot be prevented from being carried out long after they were
        sent, so ranges that are held only by such orders do not count.
        """
        for other in self.servers.values():
            if other is not server:
                self._record_overlaps(server, held, other)
                self._record_premature(server, held, other)

    def _record_overlaps(
        self, server: EmulatedServer, held: Held, other: EmulatedServer
    ) -> None:
        """Records an overlap with a range that another server holds."""
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

    def _record_premature(
        self, server: EmulatedServer, held: Held, other: EmulatedServer
    ) -> None:
        """Records keys of the range that another server is working on."""
        for work in other.work.on(held.first_key, held.last_key):
            if work.key is not None and work.has_timely_lease(self.now_s):
                premature = PrematureGrant(
                    round(self.now_s, 3), server.name, other.name, work.key
                )
                self.premature.append(premature)

    async def apply_late(
        self, server: EmulatedServer, take: Callable[[], None]
    ) -> None:
        """Carries out an order late, unless the run ends; never returns.

        Args:
            server: The server that received the order.
            take: Carries out the order.
        """
        run_ended = server.ended

        def take_in_run() -> None:
            if not run_ended.is_set():
                take()

        work_lib.call_later(self.settings.late_s, take_in_run)
        await anyio.sleep_forever()

    async def run(self) -> None:
        """Writes heartbeats, and removes expired entries, until cancelled."""
        while True:
            await anyio.sleep(self.settings.heartbeat_s)
            for server in self.servers.values():
                server.write_entry()
                self._remove_if_silent(server)

    def _remove_if_silent(self, server: EmulatedServer) -> None:
        """Removes a server's entry if too many heartbeats are missing."""
        if server.listed_s is None:
            return
        settings = self.settings
        longest_s = settings.silent_max_count * settings.heartbeat_s
        if self.now_s - server.listed_s > longest_s:
            server.listed_s = None
            self._log.add(SERVER_TOPIC, logs.KeyedRecord(server.name, b""))


def encode_server(server: EmulatedServer) -> bytes:
    """Returns the encoded entry of a server."""
    state = "leaving" if server.is_leaving else "staying"
    fields = (
        server.service,
        *server.address,
        state,
        server.started_ms,
        server.domain,
        round(server.reported_cold_s * 1_000),
    )
    words = [str(field) for field in fields]
    if server.slots != DEFAULT_SLOTS:
        words.append(str(server.slots))
    return " ".join(words).encode()


def decode_server(record: logs.KeyedRecord) -> model.BackendServer:
    """Returns the server in an entry.

    Raises:
        ValueError: The entry is invalid.
    """
    words = record.value.decode().split()
    service, host, port, state, started, domain, cold_ms, *slots = words
    started_ms = int(started)
    return model.BackendServer(
        model.name_run(record.key, started_ms),
        ids.ServiceName(service),
        model.Address(host, int(port)),
        domain,
        int(slots[0]) if slots else DEFAULT_SLOTS,
        state == "leaving",
        float(cold_ms),
        record.key,
        started_ms,
    )
