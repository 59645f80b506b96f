"""Wakes all tasks that wait for a state change."""

from collections.abc import Callable

import anyio


class Notifier:
    """Broadcasts changes: ``notify`` wakes all tasks that currently wait."""

    def __init__(self) -> None:
        """Initializes the notifier."""
        self._event = anyio.Event()
        # The number of notifications; lets a task that did not wait at the
        # time detect that it missed some.
        self.count = 0

    def notify(self) -> None:
        """Wakes every waiting task."""
        self.count += 1
        self._event.set()
        self._event = anyio.Event()

    async def wait(self, timeout_s: float) -> bool:
        """Waits for the next ``notify``.

        Args:
            timeout_s: The maximum time to wait.

        Returns:
            Whether the notification came before the timeout.
        """
        event = self._event
        with anyio.move_on_after(timeout_s):
            await event.wait()
        return event.is_set()

    async def wait_until(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> bool:
        """Waits until a condition holds; checks it at each ``notify``.

        Returns:
            Whether the condition held before the timeout.
        """
        with anyio.move_on_after(timeout_s):
            while not condition():
                await self._event.wait()
        return condition()
