"""Background tasks whose exceptions do not end the process."""

from collections.abc import Awaitable
from collections.abc import Callable
import traceback

import anyio

from bridgecross_entry import journal as journals

_PAUSE_S = 0.5
"""The pause before a failed task is restarted: long enough not to flood the
log, and short enough for leases of 2.5 s."""


async def run_once(
    work: Callable[[], Awaitable[None]], journal: journals.Journal
) -> None:
    """Runs a task once; an exception is logged and ends only this task.

    Args:
        work: The task.
        journal: Logs an exception.
    """
    try:
        await work()
    except Exception as error:
        _log_failure(work, error, journal)


async def keep_running(
    work: Callable[[], Awaitable[None]], journal: journals.Journal
) -> None:
    """Runs a task until it returns, and restarts it after an exception.

    An exception in a background task must not end the requests in flight.

    Args:
        work: The task.
        journal: Logs each exception.
    """
    while True:
        try:
            await work()
            return
        except Exception as error:
            _log_failure(work, error, journal)
        await anyio.sleep(_PAUSE_S)


def _log_failure(
    work: Callable[[], Awaitable[None]],
    error: Exception,
    journal: journals.Journal,
) -> None:
    """Logs an exception of a task."""
    journal.lifecycle(
        "task_failed",
        task=getattr(work, "__qualname__", str(work)),
        error=repr(error),
        where="".join(traceback.format_exception(error, limit=-3)),
    )
