"""The log service over HTTP.

Protocol: ``POST /streams/{stream}`` appends the request's body and returns
``{"offset": n}``; ``GET /streams/{stream}?from=n&wait_ms=m`` returns a
MessagePack ``ReadBatch``, or 410 with ``{"first_offset": n}``.
"""

import dataclasses
from typing import TypedDict

import httpx

from bridgecross_core import codec
from bridgecross_core import ids
from bridgecross_log import service

_HTTP_OK = 200
_HTTP_GONE = 410
_HTTP_REFUSALS = frozenset({400, 404, 413, 429})


class AppendReply(TypedDict):
    """The body of the reply to an append."""

    offset: ids.Offset


class ExpiredReply(TypedDict):
    """The body of the reply to a read below the retention limit."""

    first_offset: ids.Offset


@dataclasses.dataclass(frozen=True)
class HttpLogSettings:
    """Settings of the HTTP client of a log service."""

    # The base URL, with an IP address as host.
    url: str
    # How long an append may take before its outcome counts as unknown.
    append_timeout_ms: int = 1_000
    # How long a read may take in addition to its ``wait_ms``.
    read_timeout_ms: int = 1_000


class HttpLogService:
    """A ``service.LogService`` over HTTP."""

    def __init__(self, settings: HttpLogSettings) -> None:
        """Initializes the client; connections are opened on first use."""
        self._settings = settings
        self._client = httpx.AsyncClient(base_url=settings.url, trust_env=False)
        self._batches = codec.Codec(service.ReadBatch)

    async def append(self, stream: str, data: bytes) -> ids.Offset:
        """Appends one record; see ``service.LogService.append``."""
        timeout_s = self._settings.append_timeout_ms / 1_000
        try:
            response = await self._client.post(
                f"/streams/{stream}", content=data, timeout=timeout_s
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as error:
            raise service.AppendRefusedError(repr(error)) from error
        except httpx.HTTPError as error:
            raise service.AppendOutcomeUnknownError(repr(error)) from error
        if response.status_code in _HTTP_REFUSALS:
            raise service.AppendRefusedError(response.text)
        if response.status_code != _HTTP_OK:
            raise service.AppendOutcomeUnknownError(response.text)
        try:
            return codec.from_json(response.content, AppendReply)["offset"]
        except codec.CodecError as error:
            raise service.AppendOutcomeUnknownError(str(error)) from error

    async def read(
        self, stream: str, from_offset: ids.Offset, wait_ms: int
    ) -> service.ReadBatch:
        """Reads a stream; see ``service.LogService.read``."""
        timeout_s = (wait_ms + self._settings.read_timeout_ms) / 1_000
        try:
            response = await self._client.get(
                f"/streams/{stream}",
                params={"from": from_offset, "wait_ms": wait_ms},
                timeout=timeout_s,
            )
        except httpx.HTTPError as error:
            raise service.LogUnavailableError(repr(error)) from error
        try:
            if response.status_code == _HTTP_GONE:
                expired = codec.from_json(response.content, ExpiredReply)
                raise service.OffsetExpiredError(expired["first_offset"])
            if response.status_code != _HTTP_OK:
                raise service.LogUnavailableError(response.text)
            return self._batches.decode(response.content)
        except codec.CodecError as error:
            raise service.LogUnavailableError(str(error)) from error

    async def aclose(self) -> None:
        """Closes the connections."""
        await self._client.aclose()
