"""Simulates a cluster under load in virtual time.

The dispatchers, the server registries and the permit issuers are the real ones;
the network, the callers and the backend servers are simulated. Requests arrive
at random times; callers retry refused requests until their patience runs out.
Servers have slots, a short queue and one of the ways in which real servers
treat requests that exceed both. Each source of randomness has its own
generator, so that runs are reproducible.
"""

import collections
import dataclasses
import math
import random
import zlib

import anyio
import anyio.abc
import loguru
import simpy

from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_emulator import cluster as clusters
from bridgecross_emulator import virtual
from bridgecross_entry import attempts
from bridgecross_entry import dispatch
from bridgecross_entry import exchange
from bridgecross_entry import journal as journals
from bridgecross_entry import keymap
from bridgecross_entry import metrics
from bridgecross_entry import model
from bridgecross_entry import permit_client
from bridgecross_entry import permit_issuer
from bridgecross_entry import permits
from bridgecross_entry import server_registry
from bridgecross_entry import servers
from tests.load import totals as totals_lib

_LINK_S = 0.0005
_CALLER_LINK_S = 0.008
_CONNECT_TIMEOUT_S = 1.0
_RETRY_PAUSE_S = 0.02
_FIRST_CALLER_ERROR = 400


@dataclasses.dataclass(frozen=True, slots=True)
class ServerKind:
    """The backend servers of one service."""

    name: str
    # The relative speed of each server; 1.0 is the mean.
    speeds: tuple[float, ...]
    slots: int = 6
    # The capacity of the queue, in addition to the slots.
    queue_count: int = 24
    # How requests beyond the queue are treated: "shed", "reset" or "silent".
    on_full: str = "silent"
    keyed: bool = False
    # The share of the time in which the server is slower, by which factor, and
    # the length of each such period; servers report the factor in their answers
    # if ``reports_pace`` is set.
    noise_share: float = 0.0
    noise_ratio: float = 1.0
    noise_period_s: float = 0.4
    reports_pace: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class CallerKind:
    """Callers of one route, with the same times and values."""

    name: str
    service: str
    rate_per_s: float
    work_s: float
    target_s: float
    patience_s: float
    timeout_s: float
    idempotent: bool
    priority: int
    value: float
    late_value: float
    retries: int = 2
    # The share of requests for the hot key; the other keys are random.
    hot_key_share: float = 0.0
    # The number of addresses that they come from; 0 if that is not known.
    addresses_count: int = 0
    heeds_retry_after: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The parameters of a simulation."""

    servers: tuple[ServerKind, ...]
    callers: tuple[CallerKind, ...]
    instance_count: int = 12
    # Whether instances request permits from an issuer in their failure domain
    # regardless of the number of instances; None decides by that number.
    with_permits: bool | None = None
    # The start and end of the time in which permit issuers do not answer.
    issuers_frozen_s: tuple[float, float] = (math.inf, math.inf)
    length_s: float = 8.0
    seed: int = 1
    # The start and end of the outage of all instances.
    outage_s: tuple[float, float] = (math.inf, math.inf)
    # The start and end of the surge, and the factor of the request rate.
    surge_s: tuple[float, float] = (math.inf, math.inf)
    surge_ratio: float = 1.0
    # The start and end of the time in which one key is hot.
    hot_key_s: tuple[float, float] = (math.inf, math.inf)
    # The settings of the instances.
    server_settings: servers.ServerSettings = dataclasses.field(
        default_factory=servers.ServerSettings
    )
    permit_settings: permit_client.PermitSettings = dataclasses.field(
        default_factory=permit_client.PermitSettings
    )
    dispatch_settings: dispatch.DispatchSettings = dataclasses.field(
        default_factory=dispatch.DispatchSettings
    )


@dataclasses.dataclass(slots=True)
class Report:
    """The results of a simulation."""

    total: totals_lib.Totals = dataclasses.field(
        default_factory=totals_lib.Totals
    )
    kinds: dict[str, totals_lib.Totals] = dataclasses.field(
        default_factory=dict
    )
    # By the second in which the first attempt was sent.
    seconds: dict[int, totals_lib.Totals] = dataclasses.field(
        default_factory=dict
    )
    # How long refused requests waited before the refusal.
    held_s: list[float] = dataclasses.field(default_factory=list)
    attempts_count: int = 0
    # Callers that were not served, and refused more than once.
    refused_again_count: int = 0
    outcome_counts: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    # Requests that servers dropped because their queues were full.
    dropped_count: int = 0
    # Messages that request or return permits.
    permit_messages_count: int = 0

    def record(
        self, kind: CallerKind, first_sent_s: float, value: float, outcome: str
    ) -> None:
        """Counts the result of one caller's request."""
        groups = (
            self.total,
            self.kinds.setdefault(kind.name, totals_lib.Totals()),
            self.seconds.setdefault(int(first_sent_s), totals_lib.Totals()),
        )
        for totals in groups:
            totals.attainable_value += kind.value
            totals.achieved_value += value
            setattr(totals, outcome, getattr(totals, outcome) + 1)


class SimulatedServer:
    """A backend server with slots and a FIFO queue."""

    def __init__(
        self,
        backend_server: model.BackendServer,
        kind: ServerKind,
        speed: float,
    ) -> None:
        self.backend_server = backend_server
        self.speed = speed
        self.busy = 0
        self.dropped_count = 0
        self._kind = kind
        self._waiting: collections.deque[anyio.Event] = collections.deque()

    async def run(self, work_s: float) -> attempts.Attempt:
        """Runs a request; cancelling it frees its slot or queue place."""
        if self.busy >= self._kind.slots:
            if len(self._waiting) >= self._kind.queue_count:
                return await self._reject()
            await self._wait()
        else:
            self.busy += 1
        try:
            await anyio.sleep(work_s * self._pace_ratio() / self.speed)
        finally:
            self._release()
        reported_pace = self._pace_ratio() if self._kind.reports_pace else None
        return outcomes.Answered(200, (), b"", reported_pace)

    def _pace_ratio(self) -> float:
        """Returns the factor by which work takes longer than usual."""
        period = int(anyio.current_time() / self._kind.noise_period_s)
        name = f"{self.backend_server.server_id} {period}"
        is_noisy = random.Random(name).random() < self._kind.noise_share
        return self._kind.noise_ratio if is_noisy else 1.0

    async def _wait(self) -> None:
        turn = anyio.Event()
        self._waiting.append(turn)
        try:
            await turn.wait()
        except BaseException:
            if turn.is_set():
                self._release()
            else:
                self._waiting.remove(turn)
            raise

    def _release(self) -> None:
        if self._waiting:
            self._waiting.popleft().set()
        else:
            self.busy -= 1

    async def _reject(self) -> attempts.Attempt:
        self.dropped_count += 1
        if self._kind.on_full == "shed":
            return attempts.Shed(503)
        if self._kind.on_full == "reset":
            return attempts.Interrupted("reset")
        await anyio.sleep_forever()
        raise AssertionError("never reached")


class _Client:
    """An ``attempts.BackendClient`` with network latency."""

    def __init__(self, cluster: "Cluster") -> None:
        self._cluster = cluster

    async def send(self, server, request, remaining_ms, may_send):
        if not may_send():
            return attempts.Withheld()
        await anyio.sleep(_LINK_S)
        simulated = self._cluster.servers[server.server_id]
        work_s = float(request.headers[0].value)
        answer = await simulated.run(work_s)
        await anyio.sleep(_LINK_S)
        return answer

    def is_connected(self, server):
        return True

    def is_acknowledged(self, server, sent_before_s):
        return True

    async def is_refusing(self, server):
        return False

    def sweep(self, known):
        return


class _PeerLink:
    """An ``exchange.Exchanger`` to a permit issuer."""

    def __init__(self, cluster: "Cluster", address: model.Address) -> None:
        self._cluster = cluster
        self._address = address

    async def exchange(self, request, accepts):
        del accepts  # Permit messages are the only ones sent.
        await anyio.sleep(_LINK_S)
        issuer = self._cluster.issuers[self._address]
        if _is_within(self._cluster.load.issuers_frozen_s, self._cluster.now_s):
            await anyio.sleep_forever()
        body = request.partition(b"\r\n\r\n")[2]
        message = permits.MESSAGES.decode(body)
        self._cluster.report.permit_messages_count += 1
        answer = b""
        if message.returned is not None:
            issuer.handle_return(message.returned)
        if message.request is not None:
            answer = permits.REPLIES.encode(
                await issuer.handle_request(message.request)
            )
        await anyio.sleep(_LINK_S)
        return exchange.Reply(200, (), answer)


class Cluster:
    """The instances, servers and callers of one simulation."""

    def __init__(self, load: Load, environment: simpy.Environment) -> None:
        loguru.logger.remove()
        self.load = load
        self.report = Report()
        self.servers: dict[ids.ServerId, SimulatedServer] = {}
        self._clock = virtual.Clock(environment)
        self._services: dict[str, list[model.BackendServer]] = {}
        for kind in load.servers:
            self._add_servers(kind)
        self._rng = random.Random(load.seed)
        random.seed(load.seed)
        self.instances: list[dispatch.Dispatcher] = []
        self.issuers: dict[model.Address, permit_issuer.PermitIssuer] = {}
        self._domains: dict[str, tuple[model.Address, ...]] = {}
        self._clients: list[permit_client.PermitClient] = []
        self.start_instances()

    def _add_servers(self, kind: ServerKind) -> None:
        backend_servers = []
        for number, speed in enumerate(kind.speeds):
            backend_server = model.BackendServer(
                ids.ServerId(f"{kind.name}-{number}"),
                ids.ServiceName(kind.name),
                model.Address("127.0.0.1", 1),
                f"zone-{number % 4}",
                kind.slots,
                False,
                0.0,
                f"{kind.name}-{number}",
                None,
            )
            self.servers[backend_server.server_id] = SimulatedServer(
                backend_server, kind, speed
            )
            backend_servers.append(backend_server)
        self._services[kind.name] = backend_servers

    @property
    def now_s(self) -> float:
        """The virtual time."""
        return self._clock.monotonic_s()

    # Instances.

    def start_instances(self) -> None:
        """Starts instances that have only server lists and settings."""
        settings = [
            clusters.make_settings(n) for n in range(self.load.instance_count)
        ]
        domains: dict[str, list[model.Address]] = {}
        for each in settings:
            addresses = domains.setdefault(each.failure_domain, [])
            addresses.append(each.peer_address)
        self._domains = {
            name: tuple(addresses) for name, addresses in domains.items()
        }
        self._clients.clear()
        self.instances = [
            self._make_instance(number)
            for number in range(self.load.instance_count)
        ]

    def _make_instance(self, number: int) -> dispatch.Dispatcher:
        journal = journals.Journal(
            f"entry-{number}",
            journals.JournalSettings(0.0, 0.0, 0.0),
            self._clock,
        )
        instance = clusters.make_settings(number)
        registry = server_registry.ServerRegistry(
            self.load.server_settings, instance.bounds, journal, self._clock
        )
        for backend_servers in self._services.values():
            for backend_server in backend_servers:
                registry.put(backend_server)
        registry.set_instances(self.load.instance_count)
        table = keymap.KeyTable(journal)
        for kind in self.load.servers:
            if kind.keyed:
                table.put(self._make_map(kind), "test")
        dispatcher = dispatch.Dispatcher(
            self.load.dispatch_settings,
            instance,
            registry,
            table,
            _Client(self),
            journal,
            metrics.Metrics(),
            self._clock,
            self._make_permits(instance, registry, journal),
        )
        dispatcher.instance_count = self.load.instance_count
        dispatcher.configure(self._make_configuration())
        return dispatcher

    def _make_permits(
        self,
        instance: model.InstanceSettings,
        registry: server_registry.ServerRegistry,
        journal: journals.Journal,
    ) -> permit_client.PermitClient | None:
        if self.load.with_permits is False:
            return None
        issuer = permit_issuer.PermitIssuer(
            permit_issuer.IssuerSettings(),
            permit_issuer.SERVER_SETTINGS,
            instance.failure_domain,
            registry,
            journal,
            metrics.Metrics(),
            self._clock,
        )
        self.issuers[instance.peer_address] = issuer
        settings = self.load.permit_settings
        if self.load.with_permits:
            settings = dataclasses.replace(settings, min_slot_share=math.inf)
        client = permit_client.PermitClient(
            settings,
            instance,
            issuer,
            lambda domain: self._domains.get(domain, ()),
            registry.domains_of,
            journal,
            self._clock,
            lambda address: _PeerLink(self, address),
            registry.slot_share,
        )
        self._clients.append(client)
        return client

    def _start_permits(self, tasks: anyio.abc.TaskGroup) -> None:
        for issuer in self.issuers.values():
            issuer.start(tasks)
        for client in self._clients:
            client.start(tasks)

    async def _sweep_permits(self) -> None:
        while True:
            await anyio.sleep(1.0)
            for issuer in self.issuers.values():
                issuer.sweep()

    def _make_map(self, kind: ServerKind) -> keymap.KeyMap:
        """Returns a map whose key ranges are proportional to server speeds."""
        total = sum(kind.speeds)
        ranges = []
        first_key = 0
        speed_sum = 0.0
        for number, speed in enumerate(kind.speeds):
            speed_sum += speed
            last_key = round(speed_sum / total * (keymap.LAST_KEY + 1)) - 1
            owner = ids.ServerId(f"{kind.name}-{number}")
            ranges.append(keymap.KeyRange(first_key, last_key, owner, 1))
            first_key = last_key + 1
        return keymap.KeyMap(
            ids.ServiceName(kind.name),
            1,
            ids.InstanceId("entry-0"),
            model.Address("127.0.0.1", 1),
            tuple(ranges),
        )

    def _make_configuration(self) -> model.Configuration:
        routes = tuple(
            model.Route(
                kind.name,
                "h",
                f"/{kind.name}/",
                kind.idempotent,
                kind.timeout_s * 1_000,
                kind.target_s * 1_000,
                kind.priority,
                (model.WeightedService(ids.ServiceName(kind.service), 1.0),),
                2,
            )
            for kind in self.load.callers
        )
        services = {
            ids.ServiceName(kind.name): model.Service(
                ids.ServiceName(kind.name), 130, kind.keyed, 5_000.0
            )
            for kind in self.load.servers
        }
        limits = model.CallerLimits(16_384, 65_536, 3_000, 15_000)
        return model.Configuration(1, routes, services, limits)

    # Callers.

    async def run(self) -> Report:
        """Runs until the last caller has finished."""
        async with anyio.create_task_group() as background:
            self._background = background
            self._start_permits(background)
            background.start_soon(self._sweep_permits)
            await self._run_callers()
            background.cancel_scope.cancel()
        self.report.dropped_count = sum(
            s.dropped_count for s in self.servers.values()
        )
        return self.report

    async def _run_callers(self) -> None:
        async with anyio.create_task_group() as tasks:
            if math.isfinite(self.load.outage_s[1]):
                tasks.start_soon(self._restart_instances)
            for number, kind in enumerate(self.load.callers):
                rng = random.Random(self.load.seed * 100 + number)
                tasks.start_soon(self._start_callers, kind, rng, tasks)

    async def _restart_instances(self) -> None:
        await anyio.sleep(self.load.outage_s[1] - 1e-6)
        self.start_instances()
        self._start_permits(self._background)

    async def _start_callers(
        self,
        kind: CallerKind,
        rng: random.Random,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        sequence = 0
        while True:
            now_s = self._clock.monotonic_s()
            rate_per_s = kind.rate_per_s
            if _is_within(self.load.surge_s, now_s):
                rate_per_s *= self.load.surge_ratio
            await anyio.sleep(rng.expovariate(rate_per_s))
            if self._clock.monotonic_s() >= self.load.length_s:
                return
            sequence += 1
            work_s = min(
                rng.lognormvariate(math.log(kind.work_s) - 0.125, 0.5),
                6 * kind.work_s,
            )
            key = rng.randrange(keymap.LAST_KEY + 1)
            is_hot = _is_within(self.load.hot_key_s, self._clock.monotonic_s())
            if is_hot and rng.random() < kind.hot_key_share:
                key = 26_851
            # Callers are distributed unevenly over instances.
            weights = [1.0 + n % 3 for n in range(len(self.instances))]
            order = rng.choices(
                range(len(self.instances)), weights, k=kind.retries + 1
            )
            name = f"{kind.name}-{sequence}"
            tasks.start_soon(self._run_caller, kind, name, work_s, key, order)

    async def _run_caller(
        self,
        kind: CallerKind,
        name: str,
        work_s: float,
        key: int,
        order: list[int],
    ) -> None:
        """Sends the attempts of one caller and records the result."""
        first_sent_s = self._clock.monotonic_s()
        deadline_s = first_sent_s + kind.patience_s
        refusals_count = 0
        for attempt, index in enumerate(order):
            left_s = deadline_s - self._clock.monotonic_s()
            if left_s <= 0:
                break
            outcome = await self._send_attempt(
                kind, f"{name}-{attempt}", work_s, key, index, left_s
            )
            elapsed_s = self._clock.monotonic_s() - first_sent_s
            if _is_served(outcome):
                in_time = elapsed_s <= kind.target_s
                value = kind.value if in_time else kind.late_value
                result = "in_time" if in_time else "late"
                self.report.record(kind, first_sent_s, value, result)
                return
            if isinstance(outcome, outcomes.Unknown) and not kind.idempotent:
                break
            left_s = deadline_s - self._clock.monotonic_s()
            pause_s = _RETRY_PAUSE_S
            if isinstance(outcome, outcomes.NotRun):
                refusals_count += 1
                if kind.heeds_retry_after:
                    retry_after_s = outcome.retry_after_ms / 1_000
                    pause_s = max(min(retry_after_s, left_s / 3), pause_s)
            await anyio.sleep(max(pause_s, 0.0))
        self.report.refused_again_count += refusals_count > 1
        self.report.record(kind, first_sent_s, 0.0, "unserved")

    async def _send_attempt(
        self,
        kind: CallerKind,
        request_id: str,
        work_s: float,
        key: int,
        index: int,
        left_s: float,
    ) -> outcomes.Outcome | None:
        """Sends one attempt; returns None if no instance answered."""
        if _is_within(self.load.outage_s, self._clock.monotonic_s()):
            pause_s = min(_CONNECT_TIMEOUT_S, left_s / 3)
            await anyio.sleep(pause_s)
            return None
        # Half of the attempts have no open connection and establish one first.
        handshake_s = 0.0
        if zlib.crc32(request_id.encode()) % 2:
            handshake_s = 2 * _CALLER_LINK_S
        await anyio.sleep(_CALLER_LINK_S + handshake_s)
        left_s -= handshake_s
        started_s = self._clock.monotonic_s()
        request = attempts.EntryRequest(
            request_id=request_id,
            method=b"GET",
            target=f"/{kind.name}/x".encode(),
            path=f"/{kind.name}/x",
            host="h",
            headers=(outcomes.Header(b"work", str(work_s).encode()),),
            body=b"",
            key=key,
            received_s=started_s,
            caller_timeout_ms=float(int(left_s * 1_000)),
            caller=_find_address(kind, request_id),
        )
        self.report.attempts_count += 1
        outcome: outcomes.Outcome | None = None
        with anyio.move_on_after(left_s - _CALLER_LINK_S):
            outcome = await self.instances[index].run(request)
        label = type(outcome).__name__
        self.report.outcome_counts[f"{kind.name} {label}"] += 1
        if isinstance(outcome, outcomes.NotRun):
            self.report.held_s.append(self._clock.monotonic_s() - started_s)
        await anyio.sleep(_CALLER_LINK_S)
        return outcome


def _is_served(outcome: outcomes.Outcome | None) -> bool:
    return (
        isinstance(outcome, outcomes.Answered)
        and outcome.status < _FIRST_CALLER_ERROR
    )


def _find_address(kind: CallerKind, request_id: str) -> str:
    """Returns the address of a caller; empty if it is not known."""
    if not kind.addresses_count:
        return ""
    number = int(request_id.split("-")[-2]) % kind.addresses_count
    return f"{kind.name}-{number}"


def _is_within(period_s: tuple[float, float], now_s: float) -> bool:
    return period_s[0] <= now_s < period_s[1]


def run(load: Load) -> Report:
    """Runs a simulation to its end."""
    environment = simpy.Environment()

    async def main() -> Report:
        return await Cluster(load, environment).run()

    return virtual.run(environment, main)
