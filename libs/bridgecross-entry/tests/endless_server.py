"""A server that sends bytes without end until the caller closes."""

import asyncio
import contextlib

from bridgecross_entry import model

_PIECE_BYTES = 32_768
_HEAD = b"HTTP/1.1 200 OK\r\nrequest-id: 1\r\n"
_CHUNKED = _HEAD + b"transfer-encoding: chunked\r\n\r\n"
_OTHER = b"HTTP/1.1 200 OK\r\nrequest-id: 2\r\ncontent-length: 0\r\n\r\n"
_LONG = b"a" * _PIECE_BYTES

FRAMING = {
    "a reason": (b"HTTP/1.1 200 ", _LONG),
    "a name": (_HEAD, _LONG),
    "a value": (_HEAD + b"etag: ", _LONG),
    "headers": (_HEAD, b"etag: 1\r\n" * 3_000),
    "trailers": (_CHUNKED + b"2\r\nok\r\n0\r\n", b"etag: 1\r\n" * 3_000),
    "a chunk's extension": (_CHUNKED + b"2;", _LONG),
    "chunks of a byte": (_CHUNKED, b"1\r\na\r\n" * 5_000),
    "interim answers": (b"", b"HTTP/1.1 102 Processing\r\n\r\n" * 1_000),
    "answers to others": (b"", _OTHER * 500),
}
"""What comes once, and what comes again and again; most of it is no body."""

BODIES = {
    "a body without a length": (_HEAD + b"\r\n", _LONG),
    "a body of a length": (
        _HEAD + b"content-length: 99999999999\r\n\r\n",
        _LONG,
    ),
    "chunks": (_CHUNKED, b"2000\r\n" + b"a" * 8_192 + b"\r\n"),
    "bodies of answers to others": (
        b"",
        b"HTTP/1.1 200 OK\r\nrequest-id: 2\r\ncontent-length: 32768\r\n\r\n"
        + _LONG,
    ),
}


class EndlessServer:
    """Answers each request with bytes without end."""

    def __init__(self, begin: bytes, again: bytes) -> None:
        self._begin = begin
        self._again = again
        self.closed_count = 0

    async def serve(self, reader, writer):
        with contextlib.suppress(ConnectionError):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._begin)
            while True:
                writer.write(self._again)
                await writer.drain()
        self.closed_count += 1
        writer.close()


@contextlib.asynccontextmanager
async def serving(begin: bytes, again: bytes):
    """Runs such a server; yields its address and the server."""
    endless = EndlessServer(begin, again)
    server = await asyncio.start_server(endless.serve, "127.0.0.1", 0)
    address = model.Address(*server.sockets[0].getsockname()[:2])
    try:
        yield address, endless
    finally:
        server.close()
