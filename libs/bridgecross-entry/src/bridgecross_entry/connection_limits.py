"""Decides which connections are closed since they bring no request.

A connection takes a descriptor and memory whether it is used or not.
"""

from collections.abc import Iterable
import dataclasses
import enum
import math
from typing import Protocol

from bridgecross_core import clock as clocks


class Reason(enum.Enum):
    """Why a connection is closed."""

    CROWDED = "there are too many connections"
    IDLE = "it has been idle for too long"
    SLOW_HEAD = "its head takes too long"
    SLOW_BODY = "its body takes too long"


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """How many connections there may be, and how long they may take."""

    # The maximum number of connections.
    max_count: float = math.inf
    # How long a client may take to send a head, from its first byte.
    head_timeout_s: float = math.inf
    # How long it may take to send a body, from the end of the head.
    body_timeout_s: float = math.inf
    # How long a connection may go without a head that has begun.
    idle_timeout_s: float = math.inf
    # The interval between checks.
    interval_s: float = 0.5
    # If checks are this far apart, this process was suspended or stalled, and
    # has not read what clients sent meanwhile.
    stall_s: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionShares:
    """How listeners share the descriptors of a process.

    The rest is for connections to servers, to other instances and to the log.
    """

    callers_ratio: float = 0.5
    instances_ratio: float = 0.15
    readiness_ratio: float = 0.02
    metrics_ratio: float = 0.02


class Connection(Protocol):
    """A connection of a client."""

    # When it began to wait for a request; None while it has a request whose
    # head is complete and which is not answered.
    waiting_since_s: float | None
    # When a head began that is not complete; None if there is none.
    head_since_s: float | None
    # When a head was complete whose body is not; None if there is none.
    body_since_s: float | None

    @property
    def is_reading(self) -> bool:
        """Whether what the client sends is read."""

    @property
    def is_ending(self) -> bool:
        """Whether it is being closed already."""

    def end(self, reason: Reason) -> None:
        """Closes the connection, whose newest request is not complete."""


class ConnectionLimiter:
    """Closes connections that exceed the limits."""

    def __init__(self, clock: clocks.Clock) -> None:
        """Starts without limits."""
        self.limits = ConnectionLimits()
        self._clock = clock
        # The connections that were overdue at the last check.
        self._overdue: set[Connection] = set()
        self._checked_s = clock.monotonic_s()

    def now_s(self) -> float:
        """Returns the time in which connections state theirs."""
        return self._clock.monotonic_s()

    def admit(
        self, newcomer: Connection, connections: Iterable[Connection]
    ) -> None:
        """Makes room for a new connection.

        Closes the connection that has waited longest for a request, or the new
        one if all others have one.

        Args:
            newcomer: The new connection.
            connections: All connections, with the new one.
        """
        if math.isinf(self.limits.max_count):
            return
        others = [
            each
            for each in connections
            if each is not newcomer and not each.is_ending
        ]
        if len(others) < self.limits.max_count:
            return
        ended = newcomer
        longest_s = math.inf
        for each in others:
            since_s = each.waiting_since_s
            if since_s is not None and since_s < longest_s:
                ended, longest_s = each, since_s
        ended.end(Reason.CROWDED)

    def check(self, connections: Iterable[Connection]) -> None:
        """Closes connections that have been overdue at two checks in a row.

        What a client has sent is read in between, unless this process stalled.
        """
        now_s = self._clock.monotonic_s()
        has_stalled = now_s - self._checked_s > self.limits.stall_s
        self._checked_s = now_s
        overdue: dict[Connection, Reason] = {}
        for each in connections:
            if not each.is_reading:
                _restart(each, now_s)
            reason = self._find_reason(each, now_s)
            if reason is not None and not each.is_ending:
                overdue[each] = reason
        for each, reason in overdue.items():
            if each in self._overdue and not has_stalled:
                each.end(reason)
        self._overdue = set(overdue)

    def _find_reason(self, each: Connection, now_s: float) -> Reason | None:
        """Returns why a connection is overdue; None if it is not."""
        if each.head_since_s is not None:
            is_slow = now_s - each.head_since_s > self.limits.head_timeout_s
            return Reason.SLOW_HEAD if is_slow else None
        if each.body_since_s is not None:
            is_slow = now_s - each.body_since_s > self.limits.body_timeout_s
            return Reason.SLOW_BODY if is_slow else None
        if each.waiting_since_s is None:
            return None
        is_idle = now_s - each.waiting_since_s > self.limits.idle_timeout_s
        return Reason.IDLE if is_idle else None


def _restart(connection: Connection, now_s: float) -> None:
    """Gives a client anew the time that it had when reading was paused."""
    if connection.head_since_s is not None:
        connection.head_since_s = now_s
    if connection.body_since_s is not None:
        connection.body_since_s = now_s
