"""Callers of a cluster, and their poison requests, which crash servers."""

import itertools
import random

import anyio

from bridgecross_core import outcomes
from bridgecross_emulator import cluster as clusters
from bridgecross_emulator import instances
from bridgecross_entry import attempts

_CALLER_TIMEOUT_MS = 500.0
_GAP_S = 0.25
_KEYS_COUNT = 65_536


def name_caller(number: int) -> str:
    """Returns the address of a caller, by its number from 0."""
    return f"10.9.{number // 250}.{number % 250 + 1}"


def list_reachable(
    cluster: clusters.Cluster,
) -> list[instances.EmulatedInstance]:
    """Returns the instances that can serve callers."""
    return [
        each
        for each in cluster.instances
        if not each.host.is_paused and each.configuration_version
    ]


async def send(
    instance: instances.EmulatedInstance,
    request_id: str,
    target: bytes,
    key: int,
    caller: str,
    body: bytes = b"",
) -> outcomes.Outcome:
    """Sends one request of a caller; returns its outcome."""
    request = attempts.EntryRequest(
        request_id=request_id,
        method=b"GET",
        target=target,
        path=target.decode(),
        host=instances.HOST,
        headers=(),
        body=body,
        key=key,
        received_s=instance.parts.clock.monotonic_s(),
        caller_timeout_ms=_CALLER_TIMEOUT_MS,
        caller=caller,
    )
    return await instance.request(request)


class PoisonCallers:
    """Callers that send poison requests; each caller sends two of each."""

    def __init__(self, cluster: clusters.Cluster, seed: int) -> None:
        """Initializes the callers without sending requests."""
        self._cluster = cluster
        self._rng = random.Random(seed)

    async def run(self) -> None:
        """Sends each poison request repeatedly, until cancelled."""
        async with anyio.create_task_group() as tasks:
            for number in itertools.count():
                for target in sorted(self._cluster.fleet.poison_targets):
                    tasks.start_soon(self._send_requests, target, number)
                await anyio.sleep(_GAP_S)

    async def _send_requests(self, target: bytes, number: int) -> None:
        """Sends one request to a random reachable instance."""
        reachable = list_reachable(self._cluster)
        if not reachable:
            return
        instance = self._rng.choice(reachable)
        key = self._rng.randrange(_KEYS_COUNT)
        caller = name_caller(number // 2)
        request_id = f"{target.decode()}-{number}"
        await send(instance, request_id, target, key, caller)
