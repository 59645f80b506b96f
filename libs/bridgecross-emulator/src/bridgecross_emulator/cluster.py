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
"""What the platform promises and asks for; the users' figures."""

_PEER_PORT = 7_620
_SERVER_PORT = 8_609
_LONGEST_UP_S = 100_000.0
"""Steady clocks start anywhere: machines have run for up to a day or so."""


def name_domain(number: int) -> str:
    """Returns the name of a failure domain, by its number from 0."""
    return f"zone-{number}"


def make_settings(
    number: int, *, is_first_start: bool = False
) -> model.InstanceSettings:
    """Returns what the platform tells an instance, by its number from 0."""
    address = model.Address(f"10.1.0.{number + 1}", _PEER_PORT)
    return model.InstanceSettings(
        name=f"entry-{number}",
        failure_domain=name_domain(number % 4),
        caller_address=address,
        ready_address=address,
        peer_address=address,
        metrics_address=address,
        log_address=address,
        cores=1.0,
        link_mbps=1_000.0,
        bounds=BOUNDS,
        is_first_start=is_first_start,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterSettings:
    """What a cluster consists of."""

    instance_count: int = 5
    # Servers of the service divided by key, and of the other one.
    server_count: int = 0
    free_server_count: int = 0
    # Failure domains among which the servers are spread.
    server_domain_count: int = 1
    # How servers warm up that start while the cluster runs; None if they need
    # not.
    warmup: instances.Warmup | None = None
    # Whether the platform tells the first lives of the instances that the
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
    """A configuration that the log has taken."""

    version: int
    acknowledged_s: float


class Cluster:
    """Instances, their log and the links between them."""

    def __init__(
        self,
        settings: ClusterSettings,
        environment: simpy.Environment,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        """Builds the cluster; nothing runs yet.

        Args:
            settings: What it consists of.
            environment: Brings the time.
            tasks: Where instances run.
        """
        loguru.logger.remove()
        self._settings = settings
        # What all instances wrote, in order.
        self.lines: list[instances.Line] = []
        self.published: list[Published] = []
        # When the log took it that a failure domain is evacuated; those that
        # were taken back are left out.
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
        # Every life of every instance, also those that were killed.
        self._lives: list[instances.EmulatedInstance] = []
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
        """Returns a new life of an instance."""
        host = virtual.Host()
        clock = virtual.Clock(
            self._environment, self._rng.uniform(0.0, _LONGEST_UP_S), host
        )
        settings = make_settings(number, is_first_start=is_first_start)
        address = settings.peer_address
        life = instances.EmulatedInstance(
            settings,
            log_model.LogWay(self.log, clock),
            servers_lib.Orders(self.fleet, address),
            servers_lib.Requests(self.fleet, address, clock),
            self.network,
            host,
            clock,
            instances.Recorder(settings.name, clock, self.lines),
        )
        self._lives.append(life)
        return life

    async def start(self, settle_s: float = 4.0) -> None:
        """Starts all instances, and waits until they have found together."""
        if self._settings.warmup is not None:
            self.fleet.warmup_s = self._settings.warmup.for_s
        self._tasks.start_soon(self.fleet.run)
        for instance in self.instances:
            self._tasks.start_soon(instance.run)
        await anyio.sleep(settle_s)

    def stop(self) -> None:
        """Ends everything that runs in the cluster's task group.

        Tasks of hosts that stand still could not be cancelled.
        """
        loop = asyncio.get_running_loop()
        for life in self._lives:
            life.host.run_again(loop)
        self._tasks.cancel_scope.cancel()

    def publish(self) -> Published:
        """Lets the operator change the configuration."""
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
        """Lets the operator evacuate a failure domain of servers.

        Returns:
            When the log had taken it.
        """
        key = instances.EVACUATION_PREFIX + domain
        record = logs.KeyedRecord(key, b"{}")
        self.log.add(instances.CONFIGURATION_TOPIC, record)
        self.evacuated_s.setdefault(domain, self.now_s)
        return self.now_s

    def take_back(self, domain: str) -> None:
        """Lets the operator take a failure domain back; it is cold then."""
        self.evacuated_s.pop(domain, None)
        self.fleet.cool(domain)
        key = instances.EVACUATION_PREFIX + domain
        self.log.add(instances.CONFIGURATION_TOPIC, logs.KeyedRecord(key, b""))

    def run_beside(
        self, work: Callable[..., Coroutine[Any, Any, None]], *args: object
    ) -> None:
        """Runs something until it ends, or the cluster stops."""
        self._tasks.start_soon(work, *args)

    @property
    def leader(self) -> instances.EmulatedInstance:
        """The instance that made the newest claim."""
        leads = [line for line in self.lines if line.event == "leads"]
        name = leads[-1].instance
        return next(i for i in self.instances if i.settings.name == name)

    def others(self) -> list[instances.EmulatedInstance]:
        """Returns all instances but the leader."""
        leader = self.leader
        return [each for each in self.instances if each is not leader]

    # What happens to instances.

    def freeze(self, instance: instances.EmulatedInstance) -> None:
        """Makes the host of an instance stand still."""
        instance.host.stands_still = True

    def thaw(self, instance: instances.EmulatedInstance) -> None:
        """Lets the host of an instance run again, unless it was killed."""
        if not instance.is_dead:
            instance.host.run_again(asyncio.get_running_loop())

    async def suspend(
        self, instance: instances.EmulatedInstance, for_s: float
    ) -> None:
        """Suspends the machine of an instance for a while."""
        self.freeze(instance)
        await anyio.sleep(for_s)
        instance.host.suspended_s += for_s
        self.thaw(instance)

    def restart(self, instance: instances.EmulatedInstance) -> None:
        """Starts another life of an instance that was killed."""
        number = self.instances.index(instance)
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
        """Makes all open connections silent for good; new ones work."""
        self.network.silence()
        for instance in self.instances:
            instance.way.silence()

    async def wait_until_in_force(
        self,
        published: Published,
        where: list[instances.EmulatedInstance],
        longest_s: float = 10.0,
    ) -> float:
        """Waits until a configuration is in force at some instances.

        Returns:
            How long after it was acknowledged the last of them took it.
        """
        step_s = 0.01
        while self.now_s < published.acknowledged_s + longest_s:
            versions = [each.configuration_version or 0 for each in where]
            if min(versions) >= published.version:
                break
            await anyio.sleep(step_s)
        return self.now_s - published.acknowledged_s
