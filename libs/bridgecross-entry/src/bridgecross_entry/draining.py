"""What an instance that was told to stop still waits for."""

from collections.abc import Callable

import anyio

from bridgecross_core import clock as clocks

_LOOK_INTERVAL_S = 0.02
"""How often it is looked whether all is done: little beside 3 s of draining."""


async def wait_until_idle(
    count_requests: Callable[[], int],
    count_coordinated: Callable[[], int],
    close_idle: Callable[[], None],
    end_s: float,
    clock: clocks.Clock,
) -> None:
    """Waits until nothing depends on this instance, or its time is over.

    Another claims the lead at once, but nobody can while the log is away: then
    no lease would be renewed, and all keys would be unserved one lease after
    this instance has ended. Its requests are done after 3 s; of 6 s to stop it
    so bridges 2.4 s more of an outage of the log (seen on a played day).

    Args:
        count_requests: Counts requests that have no answer yet.
        count_coordinated: Counts services whose leases nobody else renews.
        close_idle: Closes connections that carry no request.
        end_s: When the instance ends whatever is left, on the monotonic clock.
        clock: For the time.
    """
    while count_requests() or count_coordinated():
        if clock.monotonic_s() >= end_s:
            return
        await anyio.sleep(_LOOK_INTERVAL_S)
        close_idle()
