"""Measures how long an instance has waited for a heartbeat in vain."""

from bridgecross_core import clock as clocks


class HeartbeatWait:
    """Counts down the time for which an instance still expects a heartbeat.

    The time is counted at regular checks, and each check counts for one
    interval at most, however late it comes. A late check shows that this
    process or its machine stalled, and heartbeats that arrived meanwhile may
    not have been handled yet. So an instance that stalls for any time, at any
    point and however often, waits for as many checks as one that does not.
    """

    def __init__(self, check_interval_s: float, clock: clocks.Clock) -> None:
        """Creates a wait that is over.

        Args:
            check_interval_s: The time between two checks.
            clock: Measures the time between two checks.
        """
        # How often the wait was restarted; a change shows that a heartbeat, or
        # another reason to wait, came in between.
        self.restart_count = 0
        self._check_interval_s = check_interval_s
        self._clock = clock
        # The time that is left at the last check.
        self._left_s = 0.0
        self._checked_s = clock.monotonic_s()

    @property
    def overdue_s(self) -> float:
        """For how long the wait has been over; negative before that."""
        return -self._left_s

    def restart(self, for_s: float) -> None:
        """Begins to wait, from now on."""
        self.restart_count += 1
        self._left_s = for_s
        self._checked_s = self._clock.monotonic_s()

    def extend(self, by_s: float) -> None:
        """Waits for longer than so far."""
        self._left_s += by_s

    def end(self) -> None:
        """Ends the wait, unless it is already over.

        This is no restart: a claim that is being made goes on.
        """
        self._left_s = min(self._left_s, 0.0)

    def check(self) -> None:
        """Counts the time since the last check."""
        now_s = self._clock.monotonic_s()
        passed_s = now_s - self._checked_s
        self._checked_s = now_s
        self._left_s -= min(passed_s, self._check_interval_s)
