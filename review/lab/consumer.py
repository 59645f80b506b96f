"""A stand-in for consumers."""

import asyncio
import contextlib
import uuid

from lab import record
from lab import system
from lab import wire

HOST = "house.example"


async def send(
    machine: system.Machine,
    log: record.Record,
    method: str,
    path: str,
    limit_ms: int,
    key: int | None = None,
) -> None:
    """Sends one request on a new connection, and records its answer."""
    request_id = uuid.uuid4().hex[:16]
    headers = {
        "Host": HOST,
        "Request-Id": request_id,
        "Request-Deadline-Ms": str(limit_ms),
    }
    if key is not None:
        headers["Shard-Key"] = str(key)
    log.write("sent", request_id, method, path, "to", machine.name)
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(limit_ms / 1_000 + 1.0):
            reader, writer = await asyncio.open_connection(*machine.front)
            writer.write(wire.encode_request(method, path, headers))
            answer = await wire.read_message(reader, is_answer=True)
        outcome = "closed" if answer is None else str(answer.status)
    except (OSError, wire.BrokenError) as error:
        outcome = f"failed: {error!r}"
    except TimeoutError:
        outcome = "nothing"
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
    log.note_answer(request_id, outcome)
