"""Connections on which a server can send only so many bytes for each request.

``httpcore`` bounds a head and reads bodies piece by piece, but reads interim
answers without end.
"""

from collections.abc import Iterable
import ssl
from typing import Any

import httpcore


class BoundedBackend(httpcore.AsyncNetworkBackend):
    """Opens connections that end with ``httpcore.ReadError`` at a bound."""

    def __init__(self, answer_max_bytes: int) -> None:
        """Opens nothing yet.

        Args:
            answer_max_bytes: How much is received after a request was written,
                until the next one is; heads and the framing included.
        """
        self._answer_max_bytes = answer_max_bytes
        self._backend = httpcore.AnyIOBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[Any] | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Opens a connection; see ``httpcore.AsyncNetworkBackend``."""
        stream = await self._backend.connect_tcp(
            host, port, timeout, local_address, socket_options
        )
        return _BoundedStream(stream, self._answer_max_bytes)

    async def sleep(self, seconds: float) -> None:
        """Sleeps."""
        await self._backend.sleep(seconds)


class _BoundedStream(httpcore.AsyncNetworkStream):
    """A connection that counts what it receives for each request."""

    def __init__(
        self, stream: httpcore.AsyncNetworkStream, answer_max_bytes: int
    ) -> None:
        """Wraps a connection that has received nothing."""
        self._stream = stream
        self._answer_max_bytes = answer_max_bytes
        self._received_bytes = 0

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Receives some bytes.

        Raises:
            httpcore.ReadError: Too many have been received for a request.
        """
        received = await self._stream.read(max_bytes, timeout)
        self._received_bytes += len(received)
        if self._received_bytes > self._answer_max_bytes:
            raise httpcore.ReadError("the answer is too long")
        return received

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Sends a part of a request."""
        self._received_bytes = 0
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Closes the connection."""
        await self._stream.aclose()

    async def start_tls(
        self,
        ssl_context: ssl.SSLContext,
        server_hostname: str | None = None,
        timeout: float | None = None,
    ) -> httpcore.AsyncNetworkStream:
        """Upgrades the connection to TLS."""
        stream = await self._stream.start_tls(
            ssl_context, server_hostname, timeout
        )
        return _BoundedStream(stream, self._answer_max_bytes)

    def get_extra_info(self, info: str) -> Any:
        """Returns information about the connection."""
        return self._stream.get_extra_info(info)
