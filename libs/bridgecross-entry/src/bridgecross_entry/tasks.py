"""Tasks of the background that outlive their faults."""

from collections.abc import Awaitable
from collections.abc import Callable
import traceback

import anyio

from bridgecross_entry import journal as journals

_PAUSE_S = 0.5
"""The pause before a task that failed is run again: long enough not to fill
the log, short enough for leases of 2.5 s."""


async def run_once(
    work: Callable[[], Awaitable[None]], journal: journals.Journal
) -> None:
    """Runs a task to its end; a fault in it is written and ends it alone.

    Args:
        work: The task.
        journal: Told of a fault.
    """
    try:
        await work()
    except Exception as error:
        _write_fault(work, error, journal)


async def keep_running(
    work: Callable[[], Awaitable[None]], journal: journals.Journal
) -> None:
    """Runs a task to its end, again after a fault in it.

    A fault in one of them must not end the requests that are served.

    Args:
        work: The task.
        journal: Told of each fault.
    """
    while True:
        try:
            await work()
            return
        except Exception as error:
            _write_fault(work, error, journal)
        await anyio.sleep(_PAUSE_S)


def _write_fault(
    work: Callable[[], Awaitable[None]],
    error: Exception,
    journal: journals.Journal,
) -> None:
    """Writes a fault in a task."""
    journal.lifecycle(
        "task_failed",
        task=getattr(work, "__qualname__", str(work)),
        error=repr(error),
        where="".join(traceback.format_exception(error, limit=-3)),
    )
