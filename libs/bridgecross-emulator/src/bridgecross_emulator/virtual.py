"""Runs asyncio on the virtual time of a simpy environment.

Whenever no task is ready, time jumps to the next timer, so that a minute of
waiting costs nothing and runs are deterministic. Tasks belong to the host that
started them; those of a paused host continue when it is resumed.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextvars
import selectors
import time
from typing import TypeVar
from typing import TypeVarTuple

import anyio
import simpy

from bridgecross_core import clock as clocks

T = TypeVar("T")
Ts = TypeVarTuple("Ts")


class Host:
    """A machine that runs one process, and which can be paused."""

    def __init__(self) -> None:
        """Initializes a running host."""
        self.is_paused = False
        # How long the machine has been suspended in total. Neither its
        # monotonic clock nor its timers count that time.
        self.suspended_s = 0.0
        # Callbacks that became due while the host was paused, in order.
        self._deferred: list[asyncio.Handle] = []

    def defer(self, handle: asyncio.Handle) -> None:
        """Defers a callback until the host is resumed."""
        self._deferred.append(handle)

    def resume(self, loop: asyncio.AbstractEventLoop) -> None:
        """Resumes the host, and runs the deferred callbacks in order."""
        self.is_paused = False
        held, self._deferred = self._deferred, []
        for handle in held:
            if not handle.cancelled():
                loop.call_soon(handle._run)


_HOST: contextvars.ContextVar[Host | None] = contextvars.ContextVar(
    "host", default=None
)


def enter_host(host: Host) -> contextvars.Context:
    """Assigns the current task, and the tasks that it starts, to a host.

    Returns:
        A context whose callbacks belong to the host as well.
    """
    _HOST.set(host)
    return contextvars.copy_context()


def _find_host(context: contextvars.Context | None) -> Host | None:
    """Returns the host that a callback belongs to."""
    return _HOST.get() if context is None else context.get(_HOST)


class _VirtualSelector(selectors.EpollSelector):
    """A selector that advances virtual time instead of waiting."""

    def __init__(self, environment: simpy.Environment) -> None:
        """Initializes the selector with the time of an environment."""
        super().__init__()
        self._environment = environment

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advances time by the timeout; raises if no timer is pending."""
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError("deadlock: all tasks wait without a timeout")
        self._environment.run(until=self._environment.now + timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock is a simpy environment's."""

    def __init__(self, environment: simpy.Environment) -> None:
        """Initializes the loop with the time of an environment."""
        self._environment = environment
        super().__init__(_VirtualSelector(environment))

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return float(self._environment.now)

    def call_soon(
        self,
        callback: Callable[[*Ts], object],
        *args: *Ts,
        context: contextvars.Context | None = None,
    ) -> asyncio.Handle:
        """Runs a callback soon; if its host is paused, once it is resumed."""
        host = _find_host(context)
        if host is None or not host.is_paused:
            return super().call_soon(callback, *args, context=context)
        handle = asyncio.Handle(callback, args, self, context)
        host.defer(handle)
        return handle

    def call_at(
        self,
        when: float,
        callback: Callable[[*Ts], object],
        *args: *Ts,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Runs a callback at a time, or when its paused host is resumed."""
        host = _find_host(context)
        if host is None:
            return super().call_at(when, callback, *args, context=context)

        begun_s = host.suspended_s

        def fire() -> None:
            missed_s = host.suspended_s - begun_s
            if host.is_paused:
                # The timer can still be cancelled before the host is resumed.
                handle = asyncio.Handle(fire, (), self, context)
                host.defer(handle)
            elif timer.cancelled():
                return
            elif self.time() < when + missed_s:
                super(VirtualLoop, self).call_at(
                    when + missed_s, fire, context=context
                )
            else:
                callback(*args)

        timer = super().call_at(when, fire, context=context)
        return timer


def run(environment: simpy.Environment, main: Callable[[], Awaitable[T]]) -> T:
    """Runs a coroutine function in virtual time."""
    return anyio.run(
        main,
        backend_options={"loop_factory": lambda: VirtualLoop(environment)},
    )


class Clock(clocks.SystemClock):
    """The clock of one host; its monotonic clock has its own origin.

    It reads the clocks of the host like those of a real machine.
    """

    def __init__(
        self,
        environment: simpy.Environment,
        started_s: float = 0.0,
        host: Host | None = None,
    ) -> None:
        """Initializes the clock.

        Args:
            environment: The source of the virtual time.
            started_s: The reading of the monotonic clock at time 0.
            host: The host, which may be suspended; if omitted, one that never
                is.
        """
        super().__init__(self._read)
        self._environment = environment
        self._started_s = started_s
        self._host = host or Host()

    def _read(self, clock_id: int) -> float:
        """Returns the reading of one of the host's clocks, in seconds."""
        now_s = float(self._environment.now)
        if clock_id == time.CLOCK_REALTIME:
            return now_s
        if clock_id == time.CLOCK_BOOTTIME:
            return self._started_s + now_s
        return self._started_s + now_s - self._host.suspended_s
