"""A cluster of emulated instances, servers and links around one log."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import random
from typing import Any
from typing import NamedTuple

import anyio
import anyio.abc
import loguru
import simpy

from bridgecross_emulator import instances
from bridgecross_emulator import log_model
from bridgecross_emulator import network as networks
from bridgecross_emulator import server_clients
from bridgecross_emulator import servers as servers_lib
from bridgecross_emulator import virtual
from bridgecross_entry import log as logs
from bridgecross_entry import model

BOUNDS = model.Bounds(
    drain_ms=2_000,
    grace_ms=6_000,
    retry_ratio=0.2,
    retry_window_ms=10_000,
    retry_slack=64,
    lease_max_ms=10_000,
    configuration_ms=2_000,
    warmup_overage_ratio=1.5,
    warmup_slack=8.0,
)
"""The bounds that the platform sets; figures from the users."""

_PEER_PORT = 7_620
_SERVER_PORT = 8_609
_LONGEST_UP_S = 100_000.0
"""Monotonic clocks start at random: machines have run for up to about a day."""


def name_domain(number: int) -> str:
    """Returns the name of a failure domain, by its number from 0."""
    return f"zone-{number}"


_WEAK_CORES = 0.4
"""The cores of instances that are too weak for tasks for others."""


def make_settings(
    number: int, *, is_first_start: bool = False, cores: float = 1.0
) -> model.InstanceSettings:
    """Returns the settings of an instance, by its number from 0."""
    address = model.Address(f"10.1.0.{number + 1}", _PEER_PORT)
    return model.InstanceSettings(
        name=f"entry-{number}",
        failure_domain=name_domain(number % 4),
        caller_address=address,
        ready_address=address,
        peer_address=address,
        metrics_address=address,
        log_address=address,
        cores=cores,
        link_mbps=1_000.0,
        bounds=BOUNDS,
        is_first_start=is_first_start,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterSettings:
    """The parts of a cluster."""

    instance_count: int = 5
    # The first so many instances are strong; all of them, if None.
    strong_instance_count: int | None = None
    # Servers of the service whose keys have owners, and of the other service.
    server_count: int = 0
    free_server_count: int = 0
    # Failure domains among which the servers are spread.
    server_domain_count: int = 1
    # How servers warm up that start while the cluster runs; None if they don't.
    warmup: instances.Warmup | None = None
    # Whether the platform tells the instances, when they first start, that the
    # whole system starts for the first time.
    is_first_start: bool = False
    seed: int = 1
    log: log_model.LogSettings = dataclasses.field(
        default_factory=log_model.LogSettings
    )
    network: networks.NetworkSettings = dataclasses.field(
        default_factory=networks.NetworkSettings
    )
    servers: servers_lib.ServerSettings = dataclasses.field(
        default_factory=servers_lib.ServerSettings
    )


class Published(NamedTuple):
    """A configuration that the log has acknowledged."""

    version: int
    acknowledged_s: float


class Cluster:
    """Instances and servers, their log, and the links between them."""

    def __init__(
        self,
        settings: ClusterSettings,
        environment: simpy.Environment,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Builds the cluster; nothing runs yet.

        Args:
            settings: The parts of the cluster.
            environment: The source of the virtual time.
            tasks: The task group in which the instances run.
        """
        loguru.logger.remove()
        self._settings = settings
        # The log lines of all instances, in order.
        self.lines: list[instances.Line] = []
        self.published: list[Published] = []
        # When the log acknowledged the evacuation of each failure domain;
        # without evacuations that have ended.
        self.evacuated_s: dict[str, float] = {}
        self.log = log_model.LogModel(settings.log)
        self.network = networks.Network(settings.network)
        self.fleet = servers_lib.Fleet(
            settings.servers, self.log, self.network, environment
        )
        for number in range(settings.server_count):
            address = model.Address(f"10.2.0.{number + 1}", _SERVER_PORT)
            domain = name_domain(number % settings.server_domain_count)
            self.fleet.add(f"i-{number}", instances.SERVICE, address, domain)
        for number in range(settings.free_server_count):
            address = model.Address(f"10.3.0.{number + 1}", _SERVER_PORT)
            domain = name_domain(number % settings.server_domain_count)
            name = f"f-{number}"
            self.fleet.add(name, instances.FREE_SERVICE, address, domain)
        self.fleet.keyed.add(instances.SERVICE)
        self._environment = environment
        self._tasks = tasks
        self._rng = random.Random(settings.seed)
        # All processes of all instances, including those that were killed.
        self._processes: list[instances.EmulatedInstance] = []
        self.instances = [
            self._make(number, is_first_start=settings.is_first_start)
            for number in range(settings.instance_count)
        ]
        self.publish()

    @property
    def now_s(self) -> float:
        """The virtual time."""
        return float(self._environment.now)

    def _make(
        self, number: int, *, is_first_start: bool = False
    ) -> instances.EmulatedInstance:
        """Returns a new process of an instance."""
        host = virtual.Host()
        clock = virtual.Clock(
            self._environment, self._rng.uniform(0.0, _LONGEST_UP_S), host
        )
        strong_count = self._settings.strong_instance_count
        is_strong = strong_count is None or number < strong_count
        settings = make_settings(
            number,
            is_first_start=is_first_start,
            cores=1.0 if is_strong else _WEAK_CORES,
        )
        address = settings.peer_address
        process = instances.EmulatedInstance(
            settings,
            log_model.LogClient(self.log, clock),
            server_clients.EmulatedLeaseClient(self.fleet, address),
            server_clients.EmulatedBackendClient(self.fleet, address, clock),
            self.network,
            host,
            clock,
            instances.MemoryJournal(settings.name, clock, self.lines),
        )
        self._processes.append(process)
        return process

    async def start(self, settle_s: float = 4.0) -> None:
        """Starts all instances, and waits for them to elect a leader."""
        if self._settings.warmup is not None:
            self.fleet.warmup_s = self._settings.warmup.for_s
        self._tasks.start_soon(self.fleet.run)
        for instance in self.instances:
            self._tasks.start_soon(instance.run)
        await anyio.sleep(settle_s)

    def stop(self) -> None:
        """Cancels everything that runs in the cluster's task group.

        Resumes paused hosts first, because their tasks cannot be cancelled.
        """
        loop = asyncio.get_running_loop()
        for process in self._processes:
            process.host.resume(loop)
        self._tasks.cancel_scope.cancel()

    def publish(self) -> Published:
        """Publishes the next configuration, as an operator would."""
        version = 1 + len(self.published)
        record = logs.KeyedRecord(
            instances.CONFIGURATION_KEY,
            instances.encode_configuration(version, self._settings.warmup),
        )
        self.log.add(instances.CONFIGURATION_TOPIC, record)
        published = Published(version, self.now_s)
        self.published.append(published)
        return published

    def evacuate(self, domain: str) -> float:
        """Evacuates a failure domain of servers, as an operator would.

        Returns:
            When the log acknowledged it.
        """
        key = instances.EVACUATION_PREFIX + domain
        record = logs.KeyedRecord(key, b"{}")
        self.log.add(instances.CONFIGURATION_TOPIC, record)
        self.evacuated_s.setdefault(domain, self.now_s)
        return self.now_s

    def end_evacuation(self, domain: str) -> None:
        """Ends an evacuation, as an operator would; the servers are cold."""
        self.evacuated_s.pop(domain, None)
        self.fleet.make_cold(domain)
        key = instances.EVACUATION_PREFIX + domain
        self.log.add(instances.CONFIGURATION_TOPIC, logs.KeyedRecord(key, b""))

    def run_in_background(
        self, work: Callable[..., Coroutine[Any, Any, None]], *args: object
    ) -> None:
        """Runs a coroutine until it ends, or the cluster stops."""
        self._tasks.start_soon(work, *args)

    @property
    def leader(self) -> instances.EmulatedInstance:
        """The instance that claimed the lead last."""
        leads = [line for line in self.lines if line.event == "leads"]
        name = leads[-1].instance
        return next(i for i in self.instances if i.settings.name == name)

    def others(self) -> list[instances.EmulatedInstance]:
        """Returns all instances but the leader."""
        leader = self.leader
        return [each for each in self.instances if each is not leader]

    # Faults of instances.

    def pause(self, instance: instances.EmulatedInstance) -> None:
        """Pauses the host of an instance."""
        instance.host.is_paused = True

    def resume(self, instance: instances.EmulatedInstance) -> None:
        """Resumes the host of an instance, unless the instance was killed."""
        if not instance.is_killed:
            instance.host.resume(asyncio.get_running_loop())

    async def suspend(
        self, instance: instances.EmulatedInstance, for_s: float
    ) -> None:
        """Suspends the machine of an instance for a while."""
        self.pause(instance)
        await anyio.sleep(for_s)
        instance.host.suspended_s += for_s
        self.resume(instance)

    def restart(self, instance: instances.EmulatedInstance) -> None:
        """Starts a new process of an instance that was killed."""
        number = self.instances.index(instance)
        self.fleet.forget_told(instance.settings.peer_address)
        new = self._make(number)
        self.instances[number] = new
        self._tasks.start_soon(new.run)

    def isolate(self, instance: instances.EmulatedInstance) -> None:
        """Cuts an instance off from all others, in both directions."""
        own = instance.settings.peer_address
        for other in self.instances:
            address = other.settings.peer_address
            if address != own:
                self.network.cut(own, address)
                self.network.cut(address, own)

    def silence(self) -> None:
        """Makes all open connections permanently silent; new ones work."""
        self.network.silence()
        for instance in self.instances:
            instance.log_client.silence()

    async def wait_until_in_force(
        self,
        published: Published,
        where: list[instances.EmulatedInstance],
        longest_s: float = 10.0,
    ) -> float:
        """Waits until a configuration is in force at the given instances.

        Returns:
            The time from its acknowledgement until the last of them applied it.
        """
        step_s = 0.01
        while self.now_s < published.acknowledged_s + longest_s:
            versions = [each.configuration_version or 0 for each in where]
            if min(versions) >= published.version:
                break
            await anyio.sleep(step_s)
        return self.now_s - published.acknowledged_s
