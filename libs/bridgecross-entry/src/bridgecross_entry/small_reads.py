"""Receives at most a few kilobytes of a connection at a time."""

import asyncio

READ_BYTES = 16 * 1_024
"""What one read returns at most. A connection whose reading is paused may hold
the rest of the last read."""


class SmallReads(asyncio.BufferedProtocol):
    """Passes what a connection receives to a protocol, read by read."""

    def __init__(self, protocol: asyncio.Protocol, buffer: bytearray) -> None:
        """Creates the receiving side of a connection.

        Args:
            protocol: Handles the connection.
            buffer: Receives the bytes of a read, which are passed on at once,
                so that all connections of an event loop can share it.
        """
        self._protocol = protocol
        self._buffer = memoryview(buffer)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Passes on the transport."""
        self._protocol.connection_made(transport)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        del sizehint
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Passes on the bytes of a read."""
        self._protocol.data_received(bytes(self._buffer[:nbytes]))

    def eof_received(self) -> bool | None:
        """Passes on the end of what the client sends."""
        return self._protocol.eof_received()

    def pause_writing(self) -> None:
        """Passes on that the send buffer is full."""
        self._protocol.pause_writing()

    def resume_writing(self) -> None:
        """Passes on that the send buffer has room."""
        self._protocol.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        """Passes on the end of the connection."""
        self._protocol.connection_lost(exc)
