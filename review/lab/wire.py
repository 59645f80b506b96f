"""HTTP/1.1 for the stand-ins, with the standard library only."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import dataclasses

_REASONS = {
    200: "OK",
    404: "Not Found",
    409: "Conflict",
    410: "Gone",
    412: "Precondition Failed",
    421: "Misdirected Request",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}


@dataclasses.dataclass(frozen=True, slots=True)
class Message:
    """A request or an answer."""

    # The words of the first line.
    start: tuple[str, ...]
    # The names are in lower case.
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start[1])


class BrokenError(Exception):
    """The connection ended before the message was complete."""


async def read_message(
    reader: asyncio.StreamReader, *, is_answer: bool
) -> Message | None:
    """Returns the next message; None if the connection ended before it.

    Raises:
        BrokenError: The connection ended within the message.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenError(f"ended after {error.partial!r}") from error
        return None
    except OSError as error:
        raise BrokenError(str(error)) from error
    first, *rest = head.decode("latin-1").strip().split("\r\n")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    try:
        body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError) as error:
        raise BrokenError("ended within the body") from error
    return Message(tuple(first.split(" ", 2)), headers, body)


def encode_answer(
    status: int, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns an answer as it is sent."""
    lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def encode_request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Returns a request as it is sent."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method not in {"GET", "HEAD"}:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Channel:
    """One accepted connection."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Stores both directions."""
        self.reader = reader
        self.writer = writer
        # What a faulty server still owes on this connection.
        self.pending = b""

    async def send(self, data: bytes) -> None:
        """Writes bytes."""
        self.writer.write(data)
        with contextlib.suppress(OSError):
            await self.writer.drain()

    @property
    def is_closed(self) -> bool:
        """Whether the peer has closed the connection."""
        return self.reader.at_eof() or self.writer.transport.is_closing()


Handler = Callable[[Message, Channel], Awaitable[None]]


async def listen(host: str, port: int, handle: Handler) -> asyncio.Server:
    """Serves connections, one request at a time on each."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        channel = Channel(reader, writer)
        with contextlib.suppress(BrokenError, OSError, asyncio.CancelledError):
            while True:
                request = await read_message(reader, is_answer=False)
                if request is None:
                    break
                await handle(request, channel)
        writer.transport.abort()

    return await asyncio.start_server(serve, host, port, backlog=512)
