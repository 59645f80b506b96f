"""Draining of an instance that has been told to stop."""

from collections.abc import Callable

import anyio

from bridgecross_core import clock as clocks

_CHECK_INTERVAL_S = 0.02
"""The interval between checks; short compared to 3 s of draining."""


async def wait_until_idle(
    count_requests: Callable[[], int],
    count_coordinated: Callable[[], int],
    count_unsent_bytes: Callable[[], int],
    close_idle: Callable[[], None],
    end_s: float,
    clock: clocks.Clock,
) -> None:
    """Waits until nothing depends on this instance, or until a deadline.

    Usually another instance claims the lead at once, but none can while the log
    is unavailable. In that case no lease would be renewed, and all keys would
    be unserved one lease after this instance has ended. The requests of this
    instance are done after 3 s. As it has 6 s to stop, it bridges 2.4 s more of
    an outage of the log (observed in a simulated day).

    Args:
        count_requests: Returns the number of requests without an answer.
        count_coordinated: Returns the number of services whose leases no other
            instance renews.
        count_unsent_bytes: Returns the size of the send buffers, which are
            lost when the process ends. A request counts as answered once its
            answer is in one, however slowly the caller reads.
        close_idle: Closes connections that carry no request.
        end_s: The deadline, on the monotonic clock, after which the instance
            ends in any case.
        clock: Tells the time.
    """
    while count_requests() or count_coordinated() or count_unsent_bytes():
        if clock.monotonic_s() >= end_s:
            return
        await anyio.sleep(_CHECK_INTERVAL_S)
        close_idle()
