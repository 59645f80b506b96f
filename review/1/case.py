"""Machines are stopped in turn while long requests pass through them."""

import asyncio
import itertools
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lab import backend
from lab import deployment
from lab import record
from lab import verdict

_MACHINE_COUNT = 4
_BACKEND_COUNT = 24
_SLOTS = 2
_WORK_S = 8.0
_LIMIT_MS = 10_000
_INTERVAL_S = 0.25
_WARM_UP_S = 6.0
_UP_S = 4.0


async def _send_all(system: deployment.Deployment) -> None:
    """Sends requests to the machines that are up, one after the other."""
    for number in itertools.count():
        machine = system.machines[number % len(system.machines)]
        system.send(machine, _LIMIT_MS)
        await asyncio.sleep(_INTERVAL_S)


async def _play(log: record.Record) -> None:
    """Runs the system, and stops its machines in turn."""
    system = deployment.Deployment(log, _MACHINE_COUNT)
    system.configure(_LIMIT_MS)
    for _ in range(_BACKEND_COUNT):
        system.add_backend(backend.Backend, slots=_SLOTS, work_s=_WORK_S)
    async with system:
        sender = asyncio.create_task(_send_all(system))
        await asyncio.sleep(_WARM_UP_S)
        for machine in system.machines:
            if deployment.has_trouble():
                log.write("SIGTERM", machine.name)
                machine.signal(signal.SIGTERM)
                await machine.wait_ended()
                log.write("ended", machine.name)
                machine.start()
                await machine.wait_ready()
                log.write("ready", machine.name)
            await asyncio.sleep(_UP_S)
        sender.cancel()


if __name__ == "__main__":
    sys.exit(
        verdict.run(
            _play,
            verdict.judge_twice,
            pathlib.Path(__file__).with_name("record.txt"),
        )
    )
