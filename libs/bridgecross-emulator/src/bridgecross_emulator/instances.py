"""One emulated instance: real parts, with clients of the modelled outside."""

from typing import Any
from typing import NamedTuple

import anyio
import anyio.abc

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_emulator import log_model
from bridgecross_emulator import network as networks
from bridgecross_emulator import server_clients
from bridgecross_emulator import servers
from bridgecross_emulator import virtual
from bridgecross_entry import answer_bounds
from bridgecross_entry import assembly
from bridgecross_entry import attempts
from bridgecross_entry import edge
from bridgecross_entry import evacuations
from bridgecross_entry import forwards
from bridgecross_entry import journal as journals
from bridgecross_entry import log as logs
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import model
from bridgecross_entry import peers
from bridgecross_entry import permits
from bridgecross_entry import poison_broadcast
from bridgecross_entry import quotas

SERVICE = ids.ServiceName("rapor")
"""The service whose servers own keys exclusively."""

FREE_SERVICE = ids.ServiceName("bulgu")
"""The service whose servers can each serve any request."""

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


class MemoryJournal(journals.Journal):
    """A journal that keeps all its lines in memory."""

    def __init__(
        self, instance: str, clock: clocks.Clock, lines: list[Line]
    ) -> None:
        """Initializes the journal.

        Args:
            instance: The name of the instance, which each line contains.
            clock: The source of each line's time.
            lines: The list to which lines are added.
        """
        self._instance = instance
        self._clock = clock
        self._lines = lines

    @property
    def dropped_count(self) -> int:
        """The number of lines that were not written: always 0."""
        return 0

    def flush(self) -> None:
        """Does nothing, because lines are not buffered."""

    def _write(
        self, level: journals.Level, event: str, fields: dict[str, Any]
    ) -> None:
        """Adds a line."""
        at_s = round(self._clock.wall_s(), 4)
        self._lines.append(Line(at_s, self._instance, event, fields))


class Warmup(NamedTuple):
    """How servers that have just started warm up."""

    # How long the warmup takes.
    for_s: float = 3.0
    # Requests per second that a server can handle during the warmup.
    rate_per_s: float = 5.8


def encode_configuration(version: int, warmup: Warmup | None = None) -> bytes:
    """Returns an encoded configuration; all contain the same services."""
    return " ".join(str(each) for each in (version, *(warmup or ()))).encode()


class _Adapter:
    """An ``assembly.Adapter`` of the emulated platform."""

    server_topic = servers.SERVER_TOPIC
    configuration_topic = CONFIGURATION_TOPIC

    def __init__(
        self,
        settings: model.InstanceSettings,
        log_client: log_model.LogClient,
        orders: server_clients.EmulatedLeaseClient,
        requests: server_clients.EmulatedBackendClient,
    ) -> None:
        """Initializes the adapter with the instance's clients."""
        self.settings = settings
        self._log_client = log_client
        self._orders = orders
        self._requests = requests

    def make_log(self, metrics: metrics_lib.Metrics) -> logs.PlatformLog:
        """Returns the client of the log."""
        return self._log_client

    def make_backend_client(
        self, answers: answer_bounds.AnswerMemory
    ) -> attempts.BackendClient:
        """Returns the client that sends requests."""
        del answers
        return self._requests

    def make_lease_client(
        self, answers: answer_bounds.AnswerMemory
    ) -> attempts.LeaseClient:
        """Returns the client that sends lease orders."""
        del answers
        return self._orders

    def make_caller_codec(self) -> edge.CallerCodec:
        """Is never called: callers call ``EmulatedInstance.request``."""
        raise NotImplementedError

    def decode_server(self, record: logs.KeyedRecord) -> model.BackendServer:
        """Returns the backend server of an entry in the server list."""
        return servers.decode_server(record)

    def decode_configuration(
        self, record: logs.KeyedRecord
    ) -> model.Configuration | None:
        """Returns the configuration in a record; None if it has another key."""
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
        """Returns the evacuation change in a record; None if it has none."""
        if not record.key.startswith(EVACUATION_PREFIX):
            return None
        if record.value not in (b"", b"{}"):
            raise ValueError(f"{record.value!r} is not a valid evacuation")
        domain = record.key.removeprefix(EVACUATION_PREFIX)
        return evacuations.EvacuationChange(domain, bool(record.value))


def _make_service(
    name: ids.ServiceName, warmup: Warmup | None, *, keyed: bool
) -> model.Service:
    """Returns the settings of a service."""
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
    """Returns the route to a service; the service's name begins its paths."""
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
    """One process of an instance."""

    def __init__(
        self,
        settings: model.InstanceSettings,
        log_client: log_model.LogClient,
        orders: server_clients.EmulatedLeaseClient,
        requests: server_clients.EmulatedBackendClient,
        network: networks.Network,
        host: virtual.Host,
        clock: clocks.Clock,
        journal: journals.Journal,
    ) -> None:
        """Builds the parts; nothing runs yet.

        Args:
            settings: The settings that the platform gives to the instance.
            log_client: The client of the log.
            orders: The client that sends lease orders to servers.
            requests: The client that sends requests to servers.
            network: The network to the other instances.
            host: The host on which it runs.
            clock: The host's clock.
            journal: Logs decisions.
        """
        self.settings = settings
        self.log_client = log_client
        self.host = host
        self.is_killed = False
        own = settings.peer_address
        self._network = network
        self.parts = assembly.Assembly(
            _Adapter(settings, log_client, orders, requests),
            clock,
            journal,
            lambda peer: networks.PeerLink(network, own, peer),
        )

    @property
    def configuration_version(self) -> int | None:
        """The version of the configuration in force; None before the first."""
        configuration = self.parts.cluster_state.configuration
        return configuration.version if configuration else None

    async def run(self) -> None:
        """Runs until cancelled."""
        context = virtual.enter_host(self.host)
        self._server = self.parts.cluster_tasks.make_peer_server()
        own = self.settings.peer_address
        self._network.listen(own, self._answer, context)
        async with anyio.create_task_group() as tasks:
            self.parts.start(tasks)

    async def _answer(self, path: bytes, body: bytes) -> peers.PeerReply:
        """Answers a message from another instance."""
        if path == permits.PATH:
            issuer = self.parts.issuer
            return await edge.answer_permit(issuer, self._server, body)
        if path == poison_broadcast.PATH:
            news = self.parts.cluster_tasks.poison_broadcast
            return await edge.answer_poison_update(news, self._server, body)
        if path in forwards.PATHS:
            return await self.parts.forward_server.answer(path, body)
        if path == quotas.PATH:
            return edge.answer_quota(
                self.parts.quota_issuer, self._server, body
            )
        if path == quotas.LIMITS_PATH:
            limits = self.parts.cluster_tasks.limit_broadcaster
            return edge.answer_limits(limits, self._server, body)
        return self._server.answer(path, body)

    def kill(self) -> None:
        """Kills the process: none of its tasks runs or sends anything again."""
        self.is_killed = True
        self.host.is_paused = True
        self._network.close(self.settings.peer_address)

    async def request(self, request: attempts.EntryRequest) -> outcomes.Outcome:
        """Runs a caller's request."""
        return await self.parts.dispatcher.run(request)
