"""Backends reject requests, and repeat some of their answers late."""

import asyncio
import itertools
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from lab import backend
from lab import deployment
from lab import record
from lab import verdict
from lab import wire

_MACHINE_COUNT = 11
_BACKEND_COUNT = 8
_SLOTS = 2
_WORK_S = 0.05
_LIMIT_MS = 3_000
_INTERVAL_S = 0.01
_LAST_KEY = 65_535
_WARM_UP_S = 6.0
_PERIODS_COUNT = 8
_PERIOD_S = 5.0
_REST_S = 1.0
_SHED_RATIO = 0.55
_EXTRA_RATIO = 0.03
_REPEATING_COUNT = 4


class _FaultyBackend(backend.Backend):
    """A backend that may reject requests and repeat answers."""

    sheds = False
    repeats = False

    async def serve(self, request: wire.Message, channel: wire.Channel) -> None:
        """Sends an answer that is owed, and serves the request."""
        if channel.pending:
            self.log.write("extra", self.name, "before the next answer")
            owed, channel.pending = channel.pending, b""
            await channel.send(owed)
        request_id = request.headers["request-id"]
        if self.sheds and random.random() < _SHED_RATIO:
            self.log.write("rejected", request_id, self.name, 503)
            headers = {"Request-Id": request_id, "Not-Executed": "1"}
            await self.answer(channel, 503, headers, b"")
            return
        await super().serve(request, channel)

    async def answer(
        self,
        channel: wire.Channel,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        """Sends an answer, and may owe the same once more."""
        await super().answer(channel, status, headers, body)
        if self.repeats and random.random() < _EXTRA_RATIO:
            channel.pending = wire.encode_answer(status, headers, body)


async def _send_all(system: deployment.Deployment) -> None:
    """Sends requests to the machines in turn."""
    for number in itertools.count():
        machine = system.machines[number % len(system.machines)]
        system.send(machine, _LIMIT_MS, random.randint(0, _LAST_KEY))
        await asyncio.sleep(_INTERVAL_S)


def _set_faulty(backends: list[_FaultyBackend], is_faulty: bool) -> None:
    """Lets all backends reject requests, and some repeat answers."""
    for each in backends:
        each.sheds = is_faulty
        each.repeats = False
    for each in random.sample(backends, _REPEATING_COUNT):
        each.repeats = is_faulty


async def _play(log: record.Record) -> None:
    """Runs the system while its backends are faulty at times."""
    system = deployment.Deployment(log, _MACHINE_COUNT, sharded=True)
    system.configure(_LIMIT_MS)
    faulty = []
    for _ in range(_BACKEND_COUNT):
        added = system.add_backend(_FaultyBackend, slots=_SLOTS, work_s=_WORK_S)
        assert isinstance(added, _FaultyBackend)
        faulty.append(added)
    async with system:
        sender = asyncio.create_task(_send_all(system))
        await asyncio.sleep(_WARM_UP_S)
        for _ in range(_PERIODS_COUNT):
            _set_faulty(faulty, deployment.has_trouble())
            log.write("faulty", deployment.has_trouble())
            await asyncio.sleep(_PERIOD_S)
            _set_faulty(faulty, False)
            log.write("sound")
            await asyncio.sleep(_REST_S)
        sender.cancel()


if __name__ == "__main__":
    sys.exit(
        verdict.run(
            _play,
            verdict.judge_refused,
            pathlib.Path(__file__).with_name("record.txt"),
        )
    )
