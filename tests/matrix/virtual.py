"""Runs asyncio on the virtual time of a simpy environment.

Whenever no task is ready, time jumps to the next timer, so that a minute of
waiting costs nothing and every run is the same.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import selectors
from typing import TypeVar

import anyio
import simpy

T = TypeVar("T")


class _VirtualSelector(selectors.SelectSelector):
    """A selector that advances virtual time instead of waiting."""

    def __init__(self, environment: simpy.Environment) -> None:
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


def run(environment: simpy.Environment, main: Callable[[], Awaitable[T]]) -> T:
    """Runs a coroutine function in virtual time."""
    return anyio.run(
        main,
        backend_options={"loop_factory": lambda: VirtualLoop(environment)},
    )
