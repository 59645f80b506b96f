"""A stand-in for the platform's log service, with fault injection.

``POST /streams/{stream}`` and ``GET /streams/{stream}`` are described in
``bridgecross_log.http_service``; ``PUT /faults`` takes a JSON ``LogFaults``.
"""

import dataclasses
import time

import anyio
from starlette import applications
from starlette import requests
from starlette import responses
from starlette import routing

from bridgecross_core import codec
from bridgecross_core import ids
from bridgecross_core import notifier
from bridgecross_log import service

_MAX_BATCH = 1_000


@dataclasses.dataclass(frozen=True)
class LogFaults:
    """The faults of the log that are in force."""

    # Whether all appends and reads are answered with 503.
    outage: bool = False
    # The additional time that every append and read takes.
    delay_ms: int = 0
    # The number of further appends that are answered with 504 although they
    # take effect.
    lose_acknowledgements: int = 0
    # The time until such an append takes effect; it is answered only then.
    late_effect_ms: int = 0


@dataclasses.dataclass(frozen=True)
class LogStandinSettings:
    """The limits of the log."""

    # The appends per second over all streams; more are delayed.
    appends_per_s: float = 500.0
    # The number of records that a stream keeps; older ones expire.
    retained_records: int = 100_000
    # How long a record is kept.
    retained_s: float = 86_400.0


class _Stream:
    """A stream that is kept in memory."""

    def __init__(self) -> None:
        self.first = 0
        self.records: list[bytes] = []
        self.times_s: list[float] = []

    @property
    def next(self) -> int:
        """The offset of the next record."""
        return self.first + len(self.records)

    def append(self, data: bytes) -> int:
        """Appends a record and returns its offset."""
        self.records.append(data)
        self.times_s.append(time.monotonic())
        return self.next - 1

    def expire(self, settings: LogStandinSettings) -> None:
        """Removes the oldest records beyond the limits of number and age."""
        oldest_s = time.monotonic() - settings.retained_s
        surplus = max(len(self.records) - settings.retained_records, 0)
        while surplus < len(self.times_s) and self.times_s[surplus] < oldest_s:
            surplus += 1
        if surplus:
            del self.records[:surplus]
            del self.times_s[:surplus]
            self.first += surplus


class LogStandin:
    """A log service that is kept in memory."""

    def __init__(self, settings: LogStandinSettings) -> None:
        """Initializes a log without streams or faults."""
        self.faults = LogFaults()
        self._settings = settings
        self._streams: dict[str, _Stream] = {}
        self._appended = notifier.Notifier()
        self._next_append_s = 0.0
        self._batches = codec.Codec(service.ReadBatch)

    def build_app(self) -> applications.Starlette:
        """Returns the ASGI application."""
        return applications.Starlette(
            routes=[
                routing.Route(
                    "/streams/{stream}", self._append, methods=["POST"]
                ),
                routing.Route("/streams/{stream}", self._read),
                routing.Route("/faults", self._set_faults, methods=["PUT"]),
            ]
        )

    async def _set_faults(
        self, request: requests.Request
    ) -> responses.Response:
        """Replaces the faults."""
        self.faults = codec.from_json(await request.body(), LogFaults)
        self._appended.notify()
        return responses.Response(status_code=204)

    async def _append(self, request: requests.Request) -> responses.Response:
        """Appends a record, subject to the faults."""
        data = await request.body()
        await self._throttle()
        if self.faults.outage:
            return _unavailable()
        stream = self._get_stream(request.path_params["stream"])
        if self.faults.lose_acknowledgements > 0:
            return await self._append_unacknowledged(stream, data)
        offset = stream.append(data)
        stream.expire(self._settings)
        self._appended.notify()
        return responses.JSONResponse({"offset": offset})

    async def _append_unacknowledged(
        self, stream: _Stream, data: bytes
    ) -> responses.Response:
        """Makes an append after ``late_effect_ms`` and answers it with 504."""
        remaining = self.faults.lose_acknowledgements - 1
        self.faults = dataclasses.replace(
            self.faults, lose_acknowledgements=remaining
        )
        await anyio.sleep(self.faults.late_effect_ms / 1_000)
        stream.append(data)
        self._appended.notify()
        return responses.PlainTextResponse("timed out", status_code=504)

    async def _read(self, request: requests.Request) -> responses.Response:
        """Returns records; waits up to ``wait_ms`` if there are none yet."""
        from_offset = int(request.query_params["from"])
        wait_s = int(request.query_params["wait_ms"]) / 1_000
        await anyio.sleep(self.faults.delay_ms / 1_000)
        if self.faults.outage:
            return _unavailable()
        stream = self._get_stream(request.path_params["stream"])
        stream.expire(self._settings)
        if from_offset < stream.first:
            return responses.JSONResponse(
                {"first_offset": stream.first}, status_code=410
            )
        await self._appended.wait_until(
            lambda: stream.next > from_offset or self.faults.outage, wait_s
        )
        if self.faults.outage:
            return _unavailable()
        return responses.Response(
            self._batches.encode(_make_batch(stream, from_offset)),
            media_type="application/msgpack",
        )

    async def _throttle(self) -> None:
        """Delays an append to keep to ``appends_per_s``, and by the fault."""
        now_s = time.monotonic()
        start_s = max(now_s, self._next_append_s)
        self._next_append_s = start_s + 1 / self._settings.appends_per_s
        await anyio.sleep(start_s - now_s + self.faults.delay_ms / 1_000)

    def _get_stream(self, name: str) -> _Stream:
        """Returns a stream; creates it on first use."""
        return self._streams.setdefault(name, _Stream())


def _make_batch(stream: _Stream, from_offset: int) -> service.ReadBatch:
    """Returns the records from an offset on, at most ``_MAX_BATCH``."""
    start = max(from_offset - stream.first, 0)
    batch = stream.records[start : start + _MAX_BATCH]
    return service.ReadBatch(
        records=[
            service.StoredRecord(ids.Offset(stream.first + start + i), data)
            for i, data in enumerate(batch)
        ],
        first_offset=ids.Offset(stream.first),
        next_offset=ids.Offset(stream.next),
    )


def _unavailable() -> responses.Response:
    """Returns the answer of the log during an outage."""
    return responses.PlainTextResponse("outage", status_code=503)
