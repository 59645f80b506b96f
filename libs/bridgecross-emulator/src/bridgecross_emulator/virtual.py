"""Runs asyncio on the virtual time of a simpy environment.

Whenever no task is ready, time jumps to the next timer, so that a minute of
waiting costs nothing and every run is the same. Tasks belong to the host that
started them; those of a host that stands still go on once it runs again.
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
    """A machine that runs one process, which may stand still."""

    def __init__(self) -> None:
        """Runs."""
        self.stands_still = False
        # For how long its machine has been suspended. Neither its steady
        # clock nor its timers count that time.
        self.suspended_s = 0.0
        # What became due while it stood still, in order.
        self._held: list[asyncio.Handle] = []

    def hold(self, handle: asyncio.Handle) -> None:
        """Keeps a callback until the host runs again."""
        self._held.append(handle)

    def run_again(self, loop: asyncio.AbstractEventLoop) -> None:
        """Runs what became due in the meantime, in order."""
        self.stands_still = False
        held, self._held = self._held, []
        for handle in held:
            if not handle.cancelled():
                loop.call_soon(handle._run)


_HOST: contextvars.ContextVar[Host | None] = contextvars.ContextVar(
    "host", default=None
)


def enter(host: Host) -> contextvars.Context:
    """Makes the current task, and those that it starts, belong to a host.

    Returns:
        A context in which callbacks belong to it as well.
    """
    _HOST.set(host)
    return contextvars.copy_context()


def _find_host(context: contextvars.Context | None) -> Host | None:
    """Returns the host that a callback belongs to."""
    return _HOST.get() if context is None else context.get(_HOST)


class _VirtualSelector(selectors.EpollSelector):
    """A selector that advances virtual time instead of waiting."""

    def __init__(self, environment: simpy.Environment) -> None:
        """Takes the environment's time from now on."""
        super().__init__()
        self._environment = environment

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Advances time by the timeout; raises if nothing will ever happen."""
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            raise RuntimeError("every task waits for ever")
        self._environment.run(until=self._environment.now + timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock is a simpy environment's."""

    def __init__(self, environment: simpy.Environment) -> None:
        """Takes the environment's time from now on."""
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
        """Runs a callback, once its host runs."""
        host = _find_host(context)
        if host is None or not host.stands_still:
            return super().call_soon(callback, *args, context=context)
        handle = asyncio.Handle(callback, args, self, context)
        host.hold(handle)
        return handle

    def call_at(
        self,
        when: float,
        callback: Callable[[*Ts], object],
        *args: *Ts,
        context: contextvars.Context | None = None,
    ) -> asyncio.TimerHandle:
        """Runs a callback at a time, or once its host runs after that."""
        host = _find_host(context)
        if host is None:
            return super().call_at(when, callback, *args, context=context)

        begun_s = host.suspended_s

        def fire() -> None:
            missed_s = host.suspended_s - begun_s
            if host.stands_still:
                # It can still be cancelled, as one that is due can.
                handle = asyncio.Handle(fire, (), self, context)
                host.hold(handle)
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
    """The clock of one host, whose start nobody else knows.

    It reads the host's clocks as it would read a real machine's.
    """

    def __init__(
        self,
        environment: simpy.Environment,
        started_s: float = 0.0,
        host: Host | None = None,
    ) -> None:
        """Shows the virtual time, and for how long the host has run.

        Args:
            environment: Whose time it is.
            started_s: What the steady clock shows at time 0.
            host: May be suspended; one that never is, if left out.
        """
        super().__init__(self._read)
        self._environment = environment
        self._started_s = started_s
        self._host = host or Host()

    def _read(self, clock_id: int) -> float:
        """Returns what one of the host's clocks shows, in seconds."""
        now_s = float(self._environment.now)
        if clock_id == time.CLOCK_REALTIME:
            return now_s
        if clock_id == time.CLOCK_BOOTTIME:
            return self._started_s + now_s
        return self._started_s + now_s - self._host.suspended_s
