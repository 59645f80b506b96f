"""Machines are stopped in turn while consumers read answers slowly."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lab import backend
from lab import deployment
from lab import record
from lab import slow_reader
from lab import verdict
from lab import wire

_MACHINE_COUNT = 3
_BACKEND_COUNT = 3
_SLOTS = 6
_WORK_S = 0.1
_LIMIT_MS = 8_000
_ANSWER_BYTES = 640 * 1_024
_BYTES_PER_S = 100_000
_READER_COUNT = 4
_WARM_UP_S = 4.0
_SENT_BEFORE_S = 0.3
_LONGEST_S = 9.0


class _LargeBackend(backend.Backend):
    """A backend with large answers."""

    async def answer(
        self,
        channel: wire.Channel,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        """Sends an answer; a success is large."""
        if status == 200:  # noqa: PLR2004
            body = body.ljust(_ANSWER_BYTES, b".")
        await super().answer(channel, status, headers, body)


async def _play(log: record.Record) -> None:
    """Runs the system, and stops its machines in turn."""
    system = deployment.Deployment(log, _MACHINE_COUNT)
    system.configure(_LIMIT_MS, "safe")
    for _ in range(_BACKEND_COUNT):
        system.add_backend(_LargeBackend, slots=_SLOTS, work_s=_WORK_S)
    async with system:
        await asyncio.sleep(_WARM_UP_S)
        for machine in system.machines:
            readers = [
                asyncio.to_thread(
                    slow_reader.send,
                    machine,
                    log,
                    "GET",
                    deployment.PATH,
                    _LIMIT_MS,
                    _BYTES_PER_S,
                )
                for _ in range(_READER_COUNT)
            ]
            reading = asyncio.gather(*readers)
            await asyncio.sleep(_SENT_BEFORE_S)
            if deployment.has_trouble():
                log.write("SIGTERM", machine.name)
                machine.signal(signal.SIGTERM)
                await machine.wait_ended()
                log.write("ended", machine.name)
                machine.start()
                await machine.wait_ready()
                log.write("ready", machine.name)
            await asyncio.wait_for(reading, _LONGEST_S)


if __name__ == "__main__":
    sys.exit(
        verdict.run(
            _play,
            verdict.judge_cut,
            pathlib.Path(__file__).with_name("record.txt"),
        )
    )
