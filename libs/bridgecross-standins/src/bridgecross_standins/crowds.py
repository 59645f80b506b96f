"""Crowds of clients that send what they like, and what a process then holds."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import pathlib
import re

import anyio
import httpx

_PIECE_BYTES = 65_536
_SEND_TIMEOUT_S = 20.0
"""How long a client sends at most; a process may stop to read."""

_ANSWER_TIMEOUT_S = 30.0
"""How long an ordinary caller tries until it is served."""

_SETTLE_S = 2.0
"""How long a process has for what has been sent, before it is looked at."""


@dataclasses.dataclass(frozen=True)
class Script:
    """What one client sends on one connection."""

    # Sent once.
    opening: bytes
    # Sent again and again.
    repeated: bytes = b""
    # The total size of the repeated part.
    repeated_bytes: int = 0


async def _play(address: tuple[str, int], script: Script) -> None:
    """Sends a script, and keeps the connection until it is cancelled."""
    writer = None
    try:
        with anyio.move_on_after(_SEND_TIMEOUT_S):
            _, writer = await asyncio.open_connection(*address)
            writer.write(script.opening)
            count = max(_PIECE_BYTES // max(len(script.repeated), 1), 1)
            piece = script.repeated * count
            sent_bytes = 0
            while sent_bytes < script.repeated_bytes:
                writer.write(piece)
                await writer.drain()
                sent_bytes += len(piece)
        await anyio.sleep_forever()
    except OSError:
        pass  # The process closed the connection.
    finally:
        if writer is not None:
            writer.transport.abort()


@contextlib.asynccontextmanager
async def crowd(
    address: tuple[str, int], script: Script, count: int
) -> AsyncIterator[None]:
    """Runs clients that have sent their scripts and stay connected."""
    async with anyio.create_task_group() as tasks:
        for _ in range(count):
            tasks.start_soon(_play, address, script)
        await anyio.sleep(_SETTLE_S)
        yield
        tasks.cancel_scope.cancel()


async def wait_for_answer(
    url: str, headers: dict[str, str], status: int = 200
) -> None:
    """Sends an ordinary request again and again until it is served.

    Raises:
        TimeoutError: It is not served in time.
    """
    with anyio.fail_after(_ANSWER_TIMEOUT_S):
        while True:
            with contextlib.suppress(httpx.TransportError):
                async with httpx.AsyncClient(trust_env=False) as client:
                    answer = await client.get(url, headers=headers)
                if answer.status_code == status:
                    return
            await anyio.sleep(0.1)


def peak_memory_mb(pid: int) -> float:
    """Returns the peak of a process's resident memory, in 10^6 bytes."""
    status = pathlib.Path(f"/proc/{pid}/status").read_text(encoding="utf-8")
    found = re.search(r"VmHWM:\s+(\d+)", status)
    assert found, "the process has ended"
    return int(found[1]) * 1_024 / 1_000_000


def count_sockets(pid: int) -> int:
    """Returns the number of open sockets of a process."""
    count = 0
    for descriptor in pathlib.Path(f"/proc/{pid}/fd").iterdir():
        with contextlib.suppress(OSError):
            count += str(descriptor.readlink()).startswith("socket:")
    return count
