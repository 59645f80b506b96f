"""One emulated instance: real parts, and its ways to the modelled outside."""

from typing import Any
from typing import NamedTuple

import anyio
import anyio.abc

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_emulator import log_model
from bridgecross_emulator import network as networks
from bridgecross_emulator import servers
from bridgecross_emulator import virtual
from bridgecross_entry import assembly
from bridgecross_entry import attempts
from bridgecross_entry import edge
from bridgecross_entry import evacuations
from bridgecross_entry import journal as journals
from bridgecross_entry import log as logs
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import model
from bridgecross_entry import peers
from bridgecross_entry import permits
from bridgecross_entry import poison_broadcast

SERVICE = ids.ServiceName("rapor")
"""The service whose servers own keys."""

FREE_SERVICE = ids.ServiceName("bulgu")
"""The service of which any server serves any request."""

HOST = "house.example"
CONFIGURATION_TOPIC = "emulated-configuration"
CONFIGURATION_KEY = "config"
EVACUATION_PREFIX = "evacuate/"


class Line(NamedTuple):
    """A line of an instance's structured log."""

    at_s: float
    instance: str
    event: str
    fields: dict[str, Any]


class Recorder(journals.Journal):
    """A journal that keeps its lines in memory, all of them."""

    def __init__(
        self, instance: str, clock: clocks.Clock, lines: list[Line]
    ) -> None:
        """Takes over no output.

        Args:
            instance: The name that stands in each line.
            clock: For the time of each line.
            lines: Where lines are added.
        """
        self._instance = instance
        self._clock = clock
        self._lines = lines

    @property
    def dropped_count(self) -> int:
        """Lines that were not written: none."""
        return 0

    def flush(self) -> None:
        """Nothing waits."""

    def _write(
        self, level: journals.Level, event: str, fields: dict[str, Any]
    ) -> None:
        """Keeps a line."""
        at_s = round(self._clock.wall_s(), 4)
        self._lines.append(Line(at_s, self._instance, event, fields))


class Warmup(NamedTuple):
    """How servers are that have started a moment ago."""

    # For how long they stay so.
    for_s: float = 3.0
    # Requests a second that one bears meanwhile.
    rate_per_s: float = 5.8


def encode_configuration(version: int, warmup: Warmup | None = None) -> bytes:
    """Returns a configuration; all of them name the same services."""
    return " ".join(str(each) for each in (version, *(warmup or ()))).encode()


class _Adapter:
    """An ``assembly.Adapter`` of the emulated platform."""

    server_topic = servers.SERVER_TOPIC
    configuration_topic = CONFIGURATION_TOPIC

    def __init__(
        self,
        settings: model.InstanceSettings,
        way: log_model.LogWay,
        orders: servers.Orders,
        requests: servers.Requests,
    ) -> None:
        """Keeps the instance's ways to the log and to servers."""
        self.settings = settings
        self._way = way
        self._orders = orders
        self._requests = requests

    def make_log(self, metrics: metrics_lib.Metrics) -> logs.PlatformLog:
        """Returns the way to the log."""
        return self._way

    def make_backend_client(self) -> attempts.BackendClient:
        """Returns the client that sends requests."""
        return self._requests

    def make_lease_client(self) -> attempts.LeaseClient:
        """Returns the client that gives orders."""
        return self._orders

    def make_caller_codec(self) -> edge.CallerCodec:
        """Callers come without a wire."""
        raise NotImplementedError

    def decode_server(self, record: logs.KeyedRecord) -> model.BackendServer:
        """Returns the backend server of an entry."""
        return servers.decode_server(record)

    def decode_configuration(
        self, record: logs.KeyedRecord
    ) -> model.Configuration | None:
        """Returns a configuration; None if the record holds none."""
        if record.key != CONFIGURATION_KEY:
            return None
        limits = model.CallerLimits(16_384, 1 << 20, 5_000.0, 10_000.0)
        version, *figures = record.value.decode().split()
        warmup = Warmup(*map(float, figures)) if figures else None
        services = {
            name: _make_service(name, warmup, keyed=keyed)
            for name, keyed in ((SERVICE, True), (FREE_SERVICE, False))
        }
        routes = tuple(_make_route(name) for name in services)
        return model.Configuration(int(version), routes, services, limits)

    def decode_evacuation(
        self, record: logs.KeyedRecord
    ) -> evacuations.EvacuationChange | None:
        """Returns what a record says of a failure domain."""
        if not record.key.startswith(EVACUATION_PREFIX):
            return None
        if record.value not in (b"", b"{}"):
            raise ValueError(f"{record.value!r} is no evacuation")
        domain = record.key.removeprefix(EVACUATION_PREFIX)
        return evacuations.EvacuationChange(domain, bool(record.value))


def _make_service(
    name: ids.ServiceName, warmup: Warmup | None, *, keyed: bool
) -> model.Service:
    """Returns what holds for a service."""
    if warmup is None:
        return model.Service(name, 130, keyed=keyed, warm_ms=0.0)
    return model.Service(
        name,
        130,
        keyed=keyed,
        warm_ms=0.0,
        warmup_ms=1_000.0 * warmup.for_s,
        warmup_rate_per_s=warmup.rate_per_s,
        health_path="/health",
    )


def _make_route(service: ids.ServiceName) -> model.Route:
    """Returns the route to a service, which the path begins with."""
    return model.Route(
        name=service,
        host=HOST,
        path_prefix=f"/{service}/",
        idempotent=True,
        timeout_ms=500.0,
        target_latency_ms=200.0,
        priority=1,
        shares=(model.WeightedService(service, 1.0),),
        max_attempts=2,
    )


class EmulatedInstance:
    """One life of an instance's process."""

    def __init__(
        self,
        settings: model.InstanceSettings,
        way: log_model.LogWay,
        orders: servers.Orders,
        requests: servers.Requests,
        network: networks.Network,
        host: virtual.Host,
        clock: clocks.Clock,
        journal: journals.Journal,
    ) -> None:
        """Builds the parts; nothing runs yet.

        Args:
            settings: What the platform tells the instance.
            way: Its way to the log.
            orders: Its way to the servers with orders.
            requests: Its way to the servers with requests.
            network: Leads to the other instances.
            host: Where it runs.
            clock: The host's clock.
            journal: Told of decisions.
        """
        self.settings = settings
        self.way = way
        self.host = host
        self.is_dead = False
        own = settings.peer_address
        self._network = network
        self.parts = assembly.Assembly(
            _Adapter(settings, way, orders, requests),
            clock,
            journal,
            lambda peer: networks.PeerLink(network, own, peer),
        )

    @property
    def configuration_version(self) -> int | None:
        """The version that is in force here; None before the first."""
        configuration = self.parts.cluster_state.configuration
        return configuration.version if configuration else None

    async def run(self) -> None:
        """Runs until cancelled."""
        context = virtual.enter(self.host)
        self._server = self.parts.cluster_tasks.make_peer_server()
        own = self.settings.peer_address
        self._network.listen(own, self._answer, context)
        async with anyio.create_task_group() as tasks:
            self.parts.start(tasks)

    async def _answer(self, path: bytes, body: bytes) -> peers.PeerReply:
        """Answers another instance."""
        if path == permits.PATH:
            issuer = self.parts.issuer
            return await edge.answer_permit(issuer, self._server, body)
        if path == poison_broadcast.PATH:
            news = self.parts.cluster_tasks.poison_broadcast
            return await edge.answer_poison_update(news, self._server, body)
        return self._server.answer(path, body)

    def kill(self) -> None:
        """Ends the process: nothing of it runs again, or says a word."""
        self.is_dead = True
        self.host.stands_still = True
        self._network.close(self.settings.peer_address)

    async def request(self, request: attempts.EntryRequest) -> outcomes.Outcome:
        """Runs a caller's request."""
        return await self.parts.dispatcher.run(request)
