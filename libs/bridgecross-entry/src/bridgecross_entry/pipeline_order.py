"""Decides which requests of one connection start, wait or are dropped.

A caller may send further requests before the first one is answered. Responses
are written in the order of the requests. Idempotent requests run concurrently;
any other request runs alone, so that a caller reads its own writes.
"""

from collections.abc import Callable
import dataclasses
from typing import Generic
from typing import TypeVar

from bridgecross_entry import memory_ledger


@dataclasses.dataclass(frozen=True, slots=True)
class PipelineLimits:
    """What one connection may hold before reading pauses.

    One request is always read, whatever its size.
    """

    # The number of requests without a written response, which is also the
    # maximum that run concurrently.
    max_count: int = 32
    # The size of the heads and bodies of these requests.
    max_bytes: int = 256 * 1_024


@dataclasses.dataclass(slots=True, eq=False, kw_only=True)
class Request:
    """A request whose response has not been written completely."""

    # The size of its head, and of its body as far as it has been read.
    size_bytes: int
    # The size of its response as far as it waits for earlier responses.
    held_bytes: int = 0
    # Whether it may run concurrently with others; decided when it starts.
    is_idempotent: bool = False
    is_started: bool = False
    # Whether its response is complete.
    is_answered: bool = False
    # Whether its response closes the connection.
    closes: bool = False


RequestT = TypeVar("RequestT", bound=Request)


class PipelineOrder(Generic[RequestT]):
    """The requests of one connection, in the order in which they were read."""

    def __init__(
        self,
        limits: PipelineLimits,
        ledger: memory_ledger.Ledger,
        is_idempotent: Callable[[RequestT], bool],
    ) -> None:
        """Creates an order without requests.

        Args:
            limits: The limits of the connection.
            ledger: Counts what the connection holds beyond its first request.
            is_idempotent: Whether a request that is about to start may run
                concurrently with others.
        """
        # The requests without a written response.
        self.requests: list[RequestT] = []
        # Whether further requests are accepted.
        self.accepts = True
        # Whether reading is paused because of the limits.
        self.is_paused = False
        self._limits = limits
        self._ledger = ledger
        self._is_idempotent = is_idempotent
        self._reserved_bytes = 0
        self._kept_bytes = 0
        # Whether the ledger refused to reserve what is held.
        self._lacks_memory = False

    @property
    def must_pause(self) -> bool:
        """Whether nothing more may be read for now."""
        if len(self.requests) <= 1:
            return False
        size_bytes = sum(each.size_bytes for each in self.requests)
        return (
            len(self.requests) >= self._limits.max_count
            or size_bytes >= self._limits.max_bytes
            or self._lacks_memory
        )

    def add(self, request: RequestT) -> bool:
        """Adds the newest request; returns whether it is accepted.

        A request that is not accepted must be treated as not read.
        """
        if not self.accepts:
            return False
        self.requests.append(request)
        self._count_memory()
        return True

    def grow(self, size_bytes: int) -> None:
        """Counts a piece of the newest request's body, by its size."""
        self.requests[-1].size_bytes += size_bytes
        self._count_memory()

    def hold(self, request: RequestT, size_bytes: int) -> None:
        """Counts a piece of a response that waits for earlier ones."""
        request.held_bytes += size_bytes
        self._count_memory()

    def keep(self, size_bytes: int) -> None:
        """Counts what is kept, since it came before reading was paused.

        Args:
            size_bytes: The size of all that is kept.
        """
        purpose = memory_ledger.Purpose.PIPELINE
        self._ledger.release(purpose, self._kept_bytes)
        self._ledger.reserve(purpose, size_bytes)
        self._kept_bytes = size_bytes

    def take_startable(self) -> list[RequestT]:
        """Marks the requests that may run now as started and returns them."""
        startable: list[RequestT] = []
        candidates = self.requests[: self._limits.max_count]
        for index, request in enumerate(candidates):
            if not request.is_started:
                # The configuration may have changed since it was read.
                request.is_idempotent = self._is_idempotent(request)
                if index and not request.is_idempotent:
                    break
                request.is_started = True
                startable.append(request)
            if not request.is_idempotent:
                break
        return startable

    def finish(self, request: RequestT, *, closes: bool) -> list[RequestT]:
        """Records that the response of a request is complete.

        Args:
            request: The request.
            closes: Whether the response closes the connection.

        Returns:
            The requests after it that are dropped, if it does.
        """
        if request.is_answered or request not in self.requests:
            return []
        request.is_answered = True
        request.closes = closes
        if not closes:
            return []
        self.accepts = False
        return self._drop_from(self.requests.index(request) + 1)

    def remove_first(self) -> None:
        """Removes the first request, whose response has been written."""
        del self.requests[0]
        self._count_memory()

    def drop_last(self) -> list[RequestT]:
        """Drops the newest request and returns it."""
        return self._drop_from(len(self.requests) - 1)

    def drop_all(self) -> list[RequestT]:
        """Drops all requests, since the connection has ended."""
        self.accepts = False
        return self._drop_from(0)

    def _drop_from(self, index: int) -> list[RequestT]:
        """Drops the requests from a position on and returns them."""
        dropped = self.requests[index:]
        del self.requests[index:]
        self._count_memory()
        return dropped

    def _count_memory(self) -> None:
        """Reserves what is held beyond the first request, or releases it.

        What is held has been received already and cannot be refused. If the
        ledger has no room for it, reading pauses.
        """
        held_bytes = sum(
            each.size_bytes + each.held_bytes for each in self.requests[1:]
        )
        missing_bytes = held_bytes - self._reserved_bytes
        purpose = memory_ledger.Purpose.PIPELINE
        self._lacks_memory = False
        if missing_bytes < 0:
            self._ledger.release(purpose, -missing_bytes)
        elif missing_bytes > 0:
            self._lacks_memory = not self._ledger.try_reserve(
                purpose, missing_bytes
            )
        if not self._lacks_memory:
            self._reserved_bytes = held_bytes
