"""A stand-in for a sound backend."""

import asyncio
import contextlib
import json
import time
import uuid

from lab import record
from lab import store
from lab import wire

_HEARTBEAT_S = 0.87
_WATCH_INTERVAL_S = 0.02


class Backend:
    """Serves requests, grants and releases, and lists itself."""

    def __init__(
        self,
        name: str,
        service: str,
        host: str,
        port: int,
        platform: store.Store,
        log: record.Record,
        *,
        slots: int = 4,
        work_s: float = 0.05,
        keyed: bool = False,
    ) -> None:
        """Creates a backend that holds no keys."""
        self.name = name
        self.service = service
        self.host = host
        self.port = port
        self.state = "ready"
        self.keyed = keyed
        self._slots = slots
        self._work_s = work_s
        self._store = platform
        self.log = log
        self._born_ms = int(time.time() * 1_000)
        self._sequence = 0
        self._room = asyncio.Semaphore(slots)
        # First key, last key, fence, and until when they are held.
        self._held: list[tuple[int, int, int, float]] = []
        self._seen: list[tuple[int, int, int]] = []
        # The keys that requests run on; -1 for requests without a key.
        self._running: list[int] = []
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Starts to listen and to write its entry."""
        await wire.listen(self.host, self.port, self._handle)
        self._tasks.append(asyncio.create_task(self._beat()))

    async def _beat(self) -> None:
        """Writes the entry at regular intervals."""
        while True:
            self.list_itself()
            await asyncio.sleep(_HEARTBEAT_S)

    def list_itself(self) -> None:
        """Writes the entry."""
        self._sequence += 1
        entry = {
            "Address": f"{self.host}:{self.port}",
            "born": self._born_ms,
            "Info": {
                "Service": self.service,
                "Version": "v1",
                "Zone": "hall-1",
                "Capacity": self._slots,
            },
            "Status": {
                "State": self.state,
                "Sequence": self._sequence,
                "WarmupLeft": "0ms",
            },
        }
        self._store.put("keyed.servers", self.name, json.dumps(entry).encode())

    def holds(self, key: int) -> bool:
        """Whether a lease on a key runs."""
        now_s = time.monotonic()
        return any(f <= key <= to and now_s < u for f, to, _, u in self._held)

    async def _handle(
        self, request: wire.Message, channel: wire.Channel
    ) -> None:
        """Answers one request, order or status check."""
        arrived_s = time.monotonic()
        path = request.start[1]
        expected = request.headers.get("expected-instance", self.name)
        if expected != self.name:
            rejected = {"Not-Executed": "1", "Instance-Id": self.name}
            await channel.send(wire.encode_answer(421, rejected))
        elif path == "/api/grant":
            await self.take_grant(request, channel, arrived_s)
        elif path == "/api/release":
            await self._release(request, channel)
        elif path == "/health":
            healthy = {"Instance-Id": self.name}
            await channel.send(wire.encode_answer(200, healthy))
        else:
            await self.serve(request, channel)

    # Orders.

    async def take_grant(
        self, request: wire.Message, channel: wire.Channel, arrived_s: float
    ) -> None:
        """Carries out a grant and answers it."""
        await channel.send(
            wire.encode_answer(self.grant(request, arrived_s), {})
        )

    def grant(self, request: wire.Message, arrived_s: float) -> int:
        """Carries out a grant, whose time runs from its arrival."""
        order = json.loads(request.body)
        first, last = order["From"], order["TargetVersion"]
        fence = order["fence"]
        if any(
            f <= last and first <= to and seen > fence
            for f, to, seen in self._seen
        ):
            return 409
        until_s = arrived_s + _seconds(order["Hold"])
        self._seen.append((first, last, fence))
        is_new = (first, last, fence) not in [h[:3] for h in self._held]
        self._drop(first, last)
        self._held.append((first, last, fence, until_s))
        if is_new:
            self.log.write("granted", self.name, f"{first}-{last}", fence)
        return 200

    async def _release(
        self, request: wire.Message, channel: wire.Channel
    ) -> None:
        """Takes keys back; answers once nothing runs on them."""
        order = json.loads(request.body)
        first, last = order["From"], order["TargetVersion"]
        self._seen.append((first, last, order["fence"]))
        self._drop(first, last)
        while any(first <= key <= last for key in self._running):
            await asyncio.sleep(_WATCH_INTERVAL_S)
        self.log.write("released", self.name, f"{first}-{last}")
        handover = {"Handover": uuid.uuid4().hex[:16]}
        await channel.send(wire.encode_answer(200, handover))

    def _drop(self, first: int, last: int) -> None:
        """Removes keys from those that are held."""
        kept = []
        for held in self._held:
            if held[1] < first or held[0] > last:
                kept.append(held)
                continue
            if held[0] < first:
                kept.append((held[0], first - 1, *held[2:]))
            if held[1] > last:
                kept.append((last + 1, *held[1:]))
        self._held = kept

    # Requests.

    async def serve(self, request: wire.Message, channel: wire.Channel) -> None:
        """Serves one request, or says that it does not run it."""
        request_id = request.headers["request-id"]
        key = int(request.headers.get("shard-key", "0"))
        if self.keyed and not self.holds(key):
            self.log.write("rejected", request_id, self.name, 421)
            headers = {
                "Request-Id": request_id,
                "Not-Executed": "1",
                "Instance-Id": self.name,
            }
            await self.answer(channel, 421, headers, b"")
            return
        arrived_s = time.monotonic()
        limit_s = int(request.headers["request-deadline-ms"]) / 1_000
        if not await self._wait_for_room(channel, limit_s):
            self.log.write("rejected", request_id, self.name, 503)
            headers = {"Request-Id": request_id, "Not-Executed": "1"}
            await self.answer(channel, 503, headers, b"")
            return
        left_s = arrived_s + limit_s - time.monotonic()
        try:
            self.log.note_run(request_id, self.name)
            self._running.append(key if self.keyed else -1)
            try:
                is_done = await self._work(channel, min(self._work_s, left_s))
            finally:
                self._running.remove(key if self.keyed else -1)
        finally:
            self._room.release()
        if not is_done:
            self.log.write("dropped", request_id, self.name)
            return
        headers = {
            "Request-Id": request_id,
            "Response-Signature": f"{self.name}.{request_id}",
        }
        if left_s < self._work_s:
            self.log.write("late", request_id, self.name, 504)
            await self.answer(channel, 504, headers, b"")
            return
        self.log.write("done", request_id, self.name)
        await self.answer(channel, 200, headers, f"by {self.name}".encode())

    async def answer(
        self,
        channel: wire.Channel,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        """Sends the answer to a request."""
        await channel.send(wire.encode_answer(status, headers, body))

    async def _wait_for_room(
        self, channel: wire.Channel, limit_s: float
    ) -> bool:
        """Waits for a slot; returns whether the request is still wanted."""
        try:
            async with asyncio.timeout(limit_s):
                await self._room.acquire()
        except TimeoutError:
            return False
        if channel.is_closed:
            self._room.release()
            return False
        return True

    async def _work(self, channel: wire.Channel, for_s: float) -> bool:
        """Works on a request; returns whether its sender waited for it."""
        closed = asyncio.create_task(_wait_closed(channel))
        done, _ = await asyncio.wait({closed}, timeout=for_s)
        closed.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await closed
        return not done


async def _wait_closed(channel: wire.Channel) -> None:
    """Waits until the sender has closed the connection."""
    while not channel.is_closed:
        await asyncio.sleep(_WATCH_INTERVAL_S)


def _seconds(text: str) -> float:
    """Parses a duration such as ``1500ms`` or ``1.5s``."""
    if text.endswith("ms"):
        return float(text[:-2]) / 1_000
    return float(text[:-1])
