"""Wakes every task that waits for some state to change."""

from collections.abc import Callable

import anyio


class Notifier:
    """A broadcast: ``notify`` wakes all tasks that wait at that moment."""

    def __init__(self) -> None:
        """Nobody waits yet."""
        self._event = anyio.Event()
        # How often it was notified, for those that were busy meanwhile.
        self.count = 0

    def notify(self) -> None:
        """Wakes every waiting task."""
        self.count += 1
        self._event.set()
        self._event = anyio.Event()

    async def wait(self, timeout_s: float) -> bool:
        """Waits for the next ``notify``.

        Args:
            timeout_s: The longest wait.

        Returns:
            Whether it was notified in time.
        """
        event = self._event
        with anyio.move_on_after(timeout_s):
            await event.wait()
        return event.is_set()

    async def wait_until(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> bool:
        """Waits until a condition holds, looking again at each ``notify``.

        Returns:
            Whether the condition came to hold in time.
        """
        with anyio.move_on_after(timeout_s):
            while not condition():
                await self._event.wait()
        return condition()
