"""Callers of a cluster that also send a poison request."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import itertools
import math
import random
import statistics
from typing import NamedTuple

import anyio
import simpy

from bridgecross_core import outcomes
from bridgecross_emulator import callers
from bridgecross_emulator import cluster as clusters
from bridgecross_emulator import instances
from bridgecross_emulator import servers
from bridgecross_emulator import virtual

POISON_KEY = 26_851
"""The key of the poison requests; each of them crashes the key's owner."""


class Result(NamedTuple):
    """The outcome of one request of a caller."""

    at_s: float
    target: bytes
    outcome: outcomes.Outcome
    body: bytes = b""
    # The name of the instance that received it.
    instance: str = ""

    @property
    def is_served(self) -> bool:
        """Whether a backend server answered the request."""
        return isinstance(self.outcome, outcomes.Answered)


class Scene:
    """A cluster with callers that send requests until cancelled."""

    def __init__(
        self, cluster: clusters.Cluster, service: str, seed: int
    ) -> None:
        self.cluster = cluster
        self.service = service
        self.results: list[Result] = []
        # The time from which the cluster counts as recovered.
        self.recovered_s = 0.0
        self._rng = random.Random(seed)
        self._count = 0

    @property
    def poison_target(self) -> bytes:
        """The target of the poison request."""
        return f"/{self.service}/deadly".encode()

    async def call(
        self,
        target: bytes,
        key: int | None = None,
        instance: instances.EmulatedInstance | None = None,
        caller: str = "10.9.0.1",
        body: bytes = b"",
    ) -> outcomes.Outcome:
        """Sends one request with a new id; returns its outcome."""
        if instance is None:
            reachable = callers.list_reachable(self.cluster)
            if not reachable:
                return outcomes.Unknown("no instance is reachable", 502)
            instance = self._rng.choice(reachable)
        if key is None:
            key = self._rng.randrange(65_536)
        self._count += 1
        outcome = await callers.send(
            instance, f"id-{self._count}", target, key, caller, body
        )
        self.results.append(
            Result(
                self.cluster.now_s,
                target,
                outcome,
                body,
                instance.settings.name,
            )
        )
        return outcome

    async def send_repeatedly(
        self, target: bytes, gap_s: float, key: int | None = None
    ) -> None:
        """Sends a request repeatedly, each time after the last one finished."""
        while True:
            await self.call(target, key)
            await anyio.sleep(gap_s)

    async def send_from_many_callers(
        self,
        target: bytes,
        gap_s: float,
        key: int | None = None,
        leave_after_s: float = math.inf,
        body: bytes = b"",
    ) -> None:
        """Sends a request repeatedly; no caller sends it more than twice.

        Args:
            target: The target of the request.
            gap_s: The time between requests, whatever their outcome.
            key: The key; a random one for each request if omitted.
            leave_after_s: The time after which callers abandon a request.
            body: The body of the request.
        """

        async def send(caller: str) -> None:
            with anyio.move_on_after(leave_after_s):
                await self.call(target, key, caller=caller, body=body)

        async with anyio.create_task_group() as tasks:
            for number in itertools.count():
                tasks.start_soon(send, callers.name_caller(number // 2))
                await anyio.sleep(gap_s)

    async def send_harmless(self, gap_s: float = 0.02) -> None:
        """Sends harmless requests, each with a target of its own."""
        async with anyio.create_task_group() as tasks:
            number = 0
            while True:
                number += 1
                target = f"/{self.service}/harmless-{number}".encode()
                tasks.start_soon(self.call, target)
                await anyio.sleep(gap_s)

    async def send_at_rate(self, service: str, rate_per_s: float) -> None:
        """Sends requests to a service for random keys."""
        number = 0
        async with anyio.create_task_group() as tasks:
            while True:
                number += 1
                target = f"/{service}/{number}".encode()
                tasks.start_soon(self.call, target)
                await anyio.sleep(1 / rate_per_s)

    def end_times_s(self, target: bytes) -> list[float]:
        """Returns the times at which a target crashed servers."""
        ends = self.cluster.fleet.ends
        return [each.at_s for each in ends if each.target == target]

    def run_times_s(self, target: bytes) -> list[float]:
        """Returns the times at which servers began to run a target."""
        return [r.at_s for r in self.cluster.fleet.runs if r.target == target]

    def served_ratio(self, from_s: float, prefix: bytes) -> float:
        """Returns the share of requests served, of those finished since."""
        served = [
            result.is_served
            for result in self.results
            if result.at_s >= from_s and result.target.startswith(prefix)
        ]
        return statistics.fmean(served)


@dataclasses.dataclass(frozen=True, slots=True)
class Simulation:
    """The settings of a simulated cluster and its callers."""

    service: str = instances.SERVICE
    instance_count: int = 5
    server_count: int = 6
    # How many slots each server has, and how many instances are strong.
    slots: int = servers.DEFAULT_SLOTS
    strong_instance_count: int | None = None
    seed: int = 1
    # Number of failure domains of the servers.
    server_domain_count: int = 1
    warmup: instances.Warmup | None = None
    # How long the cluster runs before the scenario starts.
    settle_s: float = 8.0
    # Background requests per second to each service.
    requests_per_s: float = 0.0

    def run(self, scenario: Callable[[Scene], Awaitable[None]]) -> Scene:
        """Runs a scenario; returns its scene in the final state."""
        environment = simpy.Environment()

        async def main() -> Scene:
            async with anyio.create_task_group() as tasks:
                cluster = clusters.Cluster(
                    clusters.ClusterSettings(
                        instance_count=self.instance_count,
                        server_count=self.server_count,
                        free_server_count=self.server_count,
                        server_domain_count=self.server_domain_count,
                        warmup=self.warmup,
                        strong_instance_count=self.strong_instance_count,
                        seed=self.seed,
                        servers=servers.ServerSettings(slots=self.slots),
                    ),
                    environment,
                    tasks,
                )
                await cluster.start(self.settle_s)
                scene = Scene(cluster, self.service, self.seed)
                async with anyio.create_task_group() as senders:
                    if self.requests_per_s:
                        for each in (instances.SERVICE, instances.FREE_SERVICE):
                            senders.start_soon(
                                scene.send_at_rate, each, self.requests_per_s
                            )
                    await scenario(scene)
                    senders.cancel_scope.cancel()
                cluster.stop()
            return scene

        random.seed(self.seed)
        return virtual.run(environment, main)
