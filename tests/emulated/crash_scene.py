"""Callers of a cluster, one of whose requests ends the servers that run it."""

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
from bridgecross_emulator import virtual

DEADLY_KEY = 26_851
"""The key of the requests that end servers; their owner is lost each time."""


class Told(NamedTuple):
    """What a caller was told."""

    at_s: float
    target: bytes
    outcome: outcomes.Outcome
    body: bytes = b""

    @property
    def is_served(self) -> bool:
        """Whether a server answered."""
        return isinstance(self.outcome, outcomes.Answered)


class Scene:
    """A cluster, and callers who keep coming."""

    def __init__(
        self, cluster: clusters.Cluster, service: str, seed: int
    ) -> None:
        self.cluster = cluster
        self.service = service
        self.told: list[Told] = []
        # From when nothing is wrong any more.
        self.calm_s = 0.0
        self._rng = random.Random(seed)
        self._count = 0

    @property
    def deadly(self) -> bytes:
        """What the request that ends servers asks for."""
        return f"/{self.service}/deadly".encode()

    async def call(
        self,
        target: bytes,
        key: int | None = None,
        instance: instances.EmulatedInstance | None = None,
        caller: str = "10.9.0.1",
        body: bytes = b"",
    ) -> outcomes.Outcome:
        """Sends one request under an id of its own; returns its outcome."""
        if instance is None:
            instance = self._rng.choice(callers.list_reachable(self.cluster))
        if key is None:
            key = self._rng.randrange(65_536)
        self._count += 1
        outcome = await callers.send(
            instance, f"id-{self._count}", target, key, caller, body
        )
        self.told.append(Told(self.cluster.now_s, target, outcome, body))
        return outcome

    async def keep_calling(
        self, target: bytes, gap_s: float, key: int | None = None
    ) -> None:
        """Sends a request again and again, each time when it has ended."""
        while True:
            await self.call(target, key)
            await anyio.sleep(gap_s)

    async def ask_from_everywhere(
        self,
        target: bytes,
        gap_s: float,
        key: int | None = None,
        leave_after_s: float = math.inf,
        body: bytes = b"",
    ) -> None:
        """Sends a request again and again; no caller sends it more than twice.

        Args:
            target: What is asked for.
            gap_s: The time from one to the next, whatever came of it.
            key: The key; another each time, if left out.
            leave_after_s: When callers leave, counted from their requests.
            body: What is sent.
        """

        async def ask(caller: str) -> None:
            with anyio.move_on_after(leave_after_s):
                await self.call(target, key, caller=caller, body=body)

        async with anyio.create_task_group() as tasks:
            for number in itertools.count():
                tasks.start_soon(ask, callers.name_caller(number // 2))
                await anyio.sleep(gap_s)

    async def serve_others(self, gap_s: float = 0.02) -> None:
        """Sends harmless requests, all of them for other things."""
        async with anyio.create_task_group() as tasks:
            number = 0
            while True:
                number += 1
                target = f"/{self.service}/harmless-{number}".encode()
                tasks.start_soon(self.call, target)
                await anyio.sleep(gap_s)

    async def ask_at_rate(self, service: str, rate_per_s: float) -> None:
        """Sends requests to a service for random keys."""
        number = 0
        async with anyio.create_task_group() as tasks:
            while True:
                number += 1
                target = f"/{service}/{number}".encode()
                tasks.start_soon(self.call, target)
                await anyio.sleep(1 / rate_per_s)

    def end_times_s(self, target: bytes) -> list[float]:
        """Returns when servers ended by running some target."""
        ends = self.cluster.fleet.ends
        return [each.at_s for each in ends if each.target == target]

    def run_times_s(self, target: bytes) -> list[float]:
        """Returns when servers began to run what some target asks for."""
        return [r.at_s for r in self.cluster.fleet.runs if r.target == target]

    def served_ratio(self, from_s: float, prefix: bytes) -> float:
        """Returns the part of requests served that came to an end since."""
        served = [
            told.is_served
            for told in self.told
            if told.at_s >= from_s and told.target.startswith(prefix)
        ]
        return statistics.fmean(served)


@dataclasses.dataclass(frozen=True, slots=True)
class Play:
    """What a scene is played with."""

    service: str = instances.SERVICE
    instance_count: int = 5
    server_count: int = 6
    seed: int = 1
    # Failure domains of the servers.
    server_domain_count: int = 1
    warmup: instances.Warmup | None = None
    # For how long the cluster runs before anything happens.
    settle_s: float = 8.0
    # Requests a second to each of the services, all the while.
    asks_per_s: float = 0.0

    def run(self, act: Callable[[Scene], Awaitable[None]]) -> Scene:
        """Plays a scene; returns it as it was at its end."""
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
                        seed=self.seed,
                    ),
                    environment,
                    tasks,
                )
                await cluster.start(self.settle_s)
                scene = Scene(cluster, self.service, self.seed)
                async with anyio.create_task_group() as asking:
                    if self.asks_per_s:
                        for each in (instances.SERVICE, instances.FREE_SERVICE):
                            asking.start_soon(
                                scene.ask_at_rate, each, self.asks_per_s
                            )
                    await act(scene)
                    asking.cancel_scope.cancel()
                cluster.stop()
            return scene

        random.seed(self.seed)
        return virtual.run(environment, main)
