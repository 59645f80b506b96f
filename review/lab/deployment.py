"""A small deployment: the store, backends and machines of the system."""

import asyncio
import os
import pathlib
import tempfile
from types import TracebackType
from typing import Self

from lab import backend
from lab import consumer
from lab import record
from lab import store
from lab import system

SERVICE = "service"
PATH = "/things/1"
_PREFIX = "/things/"


class Deployment:
    """A context manager that starts everything and ends it again."""

    def __init__(
        self, log: record.Record, machine_count: int, *, sharded: bool = False
    ) -> None:
        """Creates the deployment; entering the context starts it.

        Args:
            log: Receives what happens.
            machine_count: The number of machines of the system.
            sharded: Whether the service is divided by key.
        """
        self.log = log
        self.machines: list[system.Machine] = []
        self.backends: list[backend.Backend] = []
        self._network = system.Network()
        self.store = store.Store(self._network.take_host(), system.STORE_PORT)
        self._machine_count = machine_count
        self._sharded = sharded
        self._requests: set[asyncio.Task[None]] = set()
        self._folder = tempfile.TemporaryDirectory()

    def configure(self, limit_ms: int, kind: str = "unsafe") -> None:
        """Writes a desired state with one route."""
        route: dict[str, object] = {
            "Name": "route",
            "Host": consumer.HOST,
            "PathPrefix": _PREFIX,
            "Kind": kind,
            "Timeout": f"{limit_ms}ms",
            "TargetLatency": f"{limit_ms}ms",
            "Priority": 0,
            "Service": SERVICE,
            "MaxAttempts": 2,
        }
        service: dict[str, object] = {
            "Name": SERVICE,
            "HealthCheckPath": "/health",
            "MaxConnections": 130,
            "Sharded": self._sharded,
        }
        if self._sharded:
            service["Warm"] = "3s"
        state = system.make_desired_state([route], [service])
        self.store.put("keyed.op", "config", state)

    def add_backend(
        self,
        kind: type[backend.Backend],
        *,
        slots: int,
        work_s: float,
    ) -> backend.Backend:
        """Adds a backend, which is started with the deployment."""
        added = kind(
            f"b-{len(self.backends)}",
            SERVICE,
            self._network.take_host(),
            system.SERVER_PORT,
            self.store,
            self.log,
            slots=slots,
            work_s=work_s,
            keyed=self._sharded,
        )
        self.backends.append(added)
        return added

    async def __aenter__(self) -> Self:
        """Starts everything, and waits until the machines are ready."""
        await self.store.start()
        for each in self.backends:
            await each.start()
        folder = pathlib.Path(os.environ.get("LOGS", self._folder.name))
        address = f"{self.store.host}:{self.store.port}"
        try:
            for number in range(self._machine_count):
                host = self._network.take_host()
                machine = system.Machine(
                    f"front-{number}", host, address, folder
                )
                self.machines.append(machine)
                machine.start()
            for machine in self.machines:
                await machine.wait_ready()
        except BaseException:
            self._end()
            raise
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        """Waits for the answers to all requests, and ends everything."""
        try:
            if error is None:
                await asyncio.gather(*self._requests)
        finally:
            self._end()

    def _end(self) -> None:
        """Ends the processes."""
        for machine in self.machines:
            machine.kill()
        self._folder.cleanup()

    def send(
        self, machine: system.Machine, limit_ms: int, key: int | None = None
    ) -> None:
        """Begins to send one request, unless the machine is down."""
        if not machine.is_up:
            return
        request = consumer.send(machine, self.log, "POST", PATH, limit_ms, key)
        task = asyncio.create_task(request)
        self._requests.add(task)
        task.add_done_callback(self._requests.discard)


def has_trouble() -> bool:
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"
