"""A backend server must not apply effects after its lease has expired.

A server that was stopped by SIGSTOP and continued ran a request 0.163 s after
the next owner of the key had run one, under an older token. It had checked its
lease before the stop, and applied the effect some iterations of the event loop
later, after the stop, when the lease had expired. A program sees a stop only as
a jump of the clock between two readings, so a jump at each reading in turn
covers all moments at which a request can be stopped.
"""

import contextlib
import pathlib
import random
import signal
import sys
import time
import types
from typing import NamedTuple

import anyio
import httpx
import pytest

from bridgecross_core import codec
from bridgecross_core import ids
from bridgecross_ownership import leases
from bridgecross_request import backends
from bridgecross_standins import backend_standin
from bridgecross_standins import checker
from bridgecross_standins import processes

pytestmark = pytest.mark.anyio

LEASE_MS = 150
STOP_COUNT = 60
"""The stops of the random test, which take about 15 s."""

SEED = 20
CALLER_COUNT = 8
GRANT = leases.SliceGrant(ids.SliceIndex(0), ids.Token(2))
QUEUE_OWNER_TOKEN = ids.Token(1)


class Lease(NamedTuple):
    """The time in which the server may act, on its own clock."""

    since_s: float
    until_s: float


class QueueOwner:
    """Gives leases to a server and records them."""

    def __init__(self, client: httpx.AsyncClient) -> None:
        self.leases: list[Lease] = []
        self._client = client
        self._sequence = 0

    async def give_lease(self, lease_ms: int) -> None:
        """Reads the server's clock and gives a lease from that reading on."""
        clock = await self._exchange(None, lease_ms)
        await self._exchange(clock, lease_ms)
        since_s = clock.reading_ms / 1_000
        self.leases.append(Lease(since_s, since_s + lease_ms / 1_000))

    async def _exchange(
        self, echo: leases.ClockEcho | None, lease_ms: int
    ) -> leases.ClockEcho:
        self._sequence += 1
        request = leases.LeaseRequest(
            service=ids.ServiceName("rapor"),
            front=ids.InstanceId("entry-1"),
            front_token=QUEUE_OWNER_TOKEN,
            sequence=self._sequence,
            echo=echo,
            lease_ms=lease_ms,
            grants=[GRANT],
        )
        answer = await self._client.put(
            "/bridgecross/lease", content=codec.to_json(request)
        )
        return codec.from_json(answer.content, leases.LeaseReply).clock

    def find_effects_without_lease(
        self, journal: list[backend_standin.JournalEntry]
    ) -> list[backend_standin.JournalEntry]:
        """Returns the requests that took effect while no lease was valid."""
        return [
            entry
            for entry in checker.list_executed(journal)
            if not any(
                lease.since_s <= entry.ended_s < lease.until_s
                for lease in self.leases
            )
        ]


async def _write(client: httpx.AsyncClient) -> httpx.Response:
    """Sends one request that changes the key's value."""
    headers = {
        backends.SLICE_HEADER: str(GRANT.slice),
        backends.TOKEN_HEADER: str(GRANT.token),
        backends.QUEUE_OWNER_TOKEN_HEADER: str(QUEUE_OWNER_TOKEN),
        backends.DEADLINE_HEADER: str(int(time.time() * 1_000) + 60_000),
    }
    text_headers = {name.decode(): value for name, value in headers.items()}
    return await client.put("/v1/rapor/k", headers=text_headers)


class JumpingClock:
    """A real clock that jumps ahead by ten seconds at a chosen reading."""

    def __init__(self) -> None:
        self.reading_count = 0
        self.jump_index = -1

    def monotonic(self) -> float:
        """Returns the time, 10 s ahead from the chosen reading on."""
        self.reading_count += 1
        has_jumped = 0 <= self.jump_index < self.reading_count
        return time.monotonic() + (10.0 if has_jumped else 0.0)

    def build(self) -> types.SimpleNamespace:
        """Returns a substitute for the module ``time``."""
        return types.SimpleNamespace(monotonic=self.monotonic, time=time.time)


async def test_no_effect_follows_the_lease_if_the_server_stops_at_a_reading(
    tmp_path, monkeypatch
):
    jump = 0
    while True:
        clock = JumpingClock()
        monkeypatch.setattr(backend_standin, "time", clock.build())
        path = tmp_path / f"{jump}.journal"
        server = backend_standin.BackendStandin(
            backend_standin.BackendStandinSettings(
                "rapor-1", journal_path=str(path)
            )
        )
        transport = httpx.ASGITransport(server.build_app())
        async with httpx.AsyncClient(
            transport=transport, base_url="http://server"
        ) as client:
            queue_owner = QueueOwner(client)
            await queue_owner.give_lease(1_000)
            clock.jump_index = clock.reading_count + jump
            answer = await _write(client)
        journal = backend_standin.read_journal(path)
        assert queue_owner.find_effects_without_lease(journal) == [], (
            f"stopped at reading {jump}"
        )
        ran = bool(checker.list_executed(journal))
        assert ran == (answer.status_code == 200)
        if clock.reading_count <= clock.jump_index:
            break
        jump += 1
    assert ran
    assert jump > 2


async def test_no_effect_follows_the_lease_when_a_process_is_stopped_at_random(
    tmp_path,
):
    """The same with a real process, real signals and concurrent requests."""
    random_source = random.Random(SEED)
    path = tmp_path / "rapor-1.journal"
    settings = backend_standin.BackendStandinSettings(
        "rapor-1", journal_path=str(path)
    )
    address = f"127.0.0.1:{processes.find_free_port()}"
    process = _start(address, settings, tmp_path)
    try:
        async with httpx.AsyncClient(
            base_url=f"http://{address}", trust_env=False, timeout=5.0
        ) as client:
            await _await_server(client)
            queue_owner = QueueOwner(client)
            for _ in range(STOP_COUNT):
                await _stop_once(process, client, queue_owner, random_source)
    finally:
        process.signal(signal.SIGCONT)
        process.kill()
    journal = backend_standin.read_journal(path)
    assert len(checker.list_executed(journal)) > STOP_COUNT
    assert queue_owner.find_effects_without_lease(journal) == []


def _start(address, settings, folder: pathlib.Path) -> processes.Process:
    arguments = ["backend", "--address", address]
    arguments += ["--settings", codec.to_json(settings)]
    program = [sys.executable, "-m", "bridgecross_standins.main"]
    return processes.Process("rapor-1", [*program, *arguments], folder)


async def _await_server(client: httpx.AsyncClient) -> None:
    with anyio.fail_after(20.0):
        while True:
            with contextlib.suppress(httpx.TransportError):
                await client.get("/report")
                return
            await anyio.sleep(0.05)


async def _stop_once(
    process, client, queue_owner: QueueOwner, random_source
) -> None:
    """Gives a lease and stops the busy server until the lease has expired."""
    await queue_owner.give_lease(LEASE_MS)
    async with anyio.create_task_group() as tasks:

        async def call() -> None:
            while time.monotonic() < queue_owner.leases[-1].until_s:
                await _write(client)

        for _ in range(CALLER_COUNT):
            tasks.start_soon(call)
        await anyio.sleep(random_source.uniform(0.0, LEASE_MS / 1_000))
        process.signal(signal.SIGSTOP)
        remaining_s = queue_owner.leases[-1].until_s - time.monotonic()
        await anyio.sleep(max(remaining_s, 0.0) + 0.02)
        process.signal(signal.SIGCONT)
