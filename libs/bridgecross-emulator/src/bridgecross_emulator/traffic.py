"""A steady load of requests for random keys, so that moving keys are in use."""

import random

import anyio

from bridgecross_core import outcomes
from bridgecross_emulator import cluster as clusters
from bridgecross_emulator import instances
from bridgecross_emulator import servers
from bridgecross_emulator import virtual
from bridgecross_entry import attempts
from bridgecross_entry import keymap

_WORK_S = (0.05, 0.1, 0.3, 0.3, 0.8, 2.2)
"""Durations of requests. The longest are longer than the callers' timeout and
than the wait for a release."""

_CALLER_TIMEOUT_MS = 500.0


class Traffic:
    """Requests for random keys of a range, through all instances."""

    def __init__(
        self,
        cluster: clusters.Cluster,
        first_key: int,
        last_key: int,
        rate_per_s: float,
    ) -> None:
        """Initializes the load without starting it.

        Args:
            cluster: The cluster that receives the requests.
            first_key: The first key of the range.
            last_key: The last key of the range.
            rate_per_s: Requests per second.
        """
        self._cluster = cluster
        self._keys = range(first_key, min(last_key, keymap.LAST_KEY) + 1)
        self._rate_per_s = rate_per_s
        self._rng = random.Random(f"{first_key} {last_key}")
        self._scope = anyio.CancelScope()
        self._count = 0

    def start(self) -> None:
        """Starts sending requests."""
        self._cluster.run_in_background(self._run)

    def stop(self) -> None:
        """Sends no more requests; those already sent continue."""
        self._scope.cancel()

    async def _run(self) -> None:
        """Sends requests until stopped."""
        with self._scope:
            while True:
                await anyio.sleep(self._rng.expovariate(self._rate_per_s))
                instance = self._rng.choice(self._cluster.instances)
                request = self._make_request(instance)
                if instance.configuration_version:
                    self._cluster.run_in_background(
                        self._send_requests, instance, request
                    )

    def _make_request(
        self, instance: instances.EmulatedInstance
    ) -> attempts.EntryRequest:
        """Returns a request with a unique path."""
        self._count += 1
        path = f"/{instances.SERVICE}/{self._keys.start}-{self._count}"
        work_s = str(self._rng.choice(_WORK_S)).encode()
        return attempts.EntryRequest(
            request_id=path,
            method=b"GET",
            target=path.encode(),
            path=path,
            host=instances.HOST,
            headers=(outcomes.Header(servers.WORK_HEADER, work_s),),
            body=b"",
            key=self._rng.choice(self._keys),
            received_s=instance.parts.clock.monotonic_s(),
            caller_timeout_ms=_CALLER_TIMEOUT_MS,
            caller="10.9.0.1",
        )

    async def _send_requests(
        self,
        instance: instances.EmulatedInstance,
        request: attempts.EntryRequest,
    ) -> None:
        """Sends one request; its task is paused together with the instance."""
        virtual.enter_host(instance.host)
        await instance.request(request)
