"""Calls a function on the signals that ask a process to stop."""

from collections.abc import Callable
import signal

import anyio
import anyio.abc


async def watch_stop(
    stop: Callable[[], None],
    *,
    task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Calls a function at each SIGTERM or SIGINT, until cancelled.

    Args:
        stop: Begins a graceful shutdown; may be called more than once.
        task_status: Signals that the handlers are installed.
    """
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
        task_status.started()
        async for _ in received:
            stop()
