"""Counts the requests of callers that compete for slots.

A caller that requests much more than the others goes after them, so that
immediate retries are at the expense of the caller that makes them.
"""

import collections
import dataclasses
import math
from typing import NamedTuple

from bridgecross_core import clock as clocks


class Origin(NamedTuple):
    """What is known of the caller of a request."""

    # A hash of the caller's address; 0 if unknown.
    caller: int = 0
    # How long the caller had waited when the request arrived; 0 for the first
    # attempt.
    caller_age_s: float = 0.0

    @property
    def is_returning(self) -> bool:
        """Whether the caller repeats a request that was not served."""
        return self.caller_age_s > 0.0


UNKNOWN = Origin()


@dataclasses.dataclass(frozen=True, slots=True)
class ShareSettings:
    """When a caller is above its share."""

    # How long requests are counted; the older half of this time is dropped as a
    # whole. A caller with two retries is done within two or three seconds, so
    # this covers all attempts for one request.
    window_s: float = 4.0
    # How many times the mean of the other callers a caller may request. A
    # caller that heeds Retry-After makes at most three attempts where others
    # make between one and three.
    excess_ratio: float = 3.0
    # The fewest requests with which a caller can be above its share: fewer
    # occur when a few of its requests coincide.
    min_count: int = 8
    # The maximum number of callers that are counted, for each tier and half of
    # the window. This bounds memory when many addresses send requests.
    callers_max_count: int = 256


class _Counts:
    """Requests by caller, with the frequent callers only if there are many.

    This is the Misra-Gries summary: a caller whose requests are more than one
    in ``max_count`` is always among those that are kept.
    """

    def __init__(self, max_count: int) -> None:
        self.by_caller: collections.Counter[int] = collections.Counter()
        self.total = 0
        self._max_count = max_count

    def add(self, caller: int) -> None:
        """Counts a request."""
        self.total += 1
        if caller in self.by_caller or len(self.by_caller) < self._max_count:
            self.by_caller[caller] += 1
            return
        self.by_caller -= collections.Counter(dict.fromkeys(self.by_caller, 1))


class CallerShares:
    """Finds callers above their share of the requests of their tier."""

    def __init__(self, settings: ShareSettings, clock: clocks.Clock) -> None:
        """Starts without any requests."""
        self._settings = settings
        self._clock = clock
        # When the current half of the window began, on the monotonic clock.
        self._begun_s = -math.inf
        # By priority, for the current half of the window and the one before.
        self._current: dict[int, _Counts] = {}
        self._previous: dict[int, _Counts] = {}

    def add(self, priority: int, origin: Origin) -> None:
        """Counts a request for which there is no free slot."""
        if not origin.caller:
            return
        self._advance()
        counts = self._current.get(priority)
        if counts is None:
            counts = _Counts(self._settings.callers_max_count)
            self._current[priority] = counts
        counts.add(origin.caller)

    def is_above(self, priority: int, origin: Origin) -> bool:
        """Whether a caller requests much more than others of its tier."""
        if not origin.caller:
            return False
        self._advance()
        return self._is_above(self._halves(priority), origin.caller)

    def count_above(self) -> int:
        """Returns the number of callers above their share, of all tiers."""
        self._advance()
        count = 0
        for priority in self._current.keys() | self._previous.keys():
            halves = self._halves(priority)
            callers = set().union(*(half.by_caller for half in halves))
            count += sum(self._is_above(halves, caller) for caller in callers)
        return count

    def _is_above(self, halves: list[_Counts], caller: int) -> bool:
        """Whether a caller is above its share, by the counts of its tier."""
        settings = self._settings
        own = sum(half.by_caller[caller] for half in halves)
        if own < settings.min_count:
            return False
        others = max(
            len(half.by_caller) - (caller in half.by_caller) for half in halves
        )
        total = sum(half.total for half in halves)
        # Callers that the summary has dropped are missing from ``others``, but
        # their requests are in ``total``. This raises the mean, so that a
        # caller is rather not found to be above its share.
        return others > 0 and (
            own > settings.excess_ratio * (total - own) / others
        )

    def _halves(self, priority: int) -> list[_Counts]:
        """Returns the counts of a tier."""
        both = (self._current.get(priority), self._previous.get(priority))
        return [half for half in both if half is not None]

    def _advance(self) -> None:
        """Drops the counts that are older than the window."""
        now_s = self._clock.monotonic_s()
        half_s = self._settings.window_s / 2
        if now_s - self._begun_s < half_s:
            return
        is_adjacent = now_s - self._begun_s < 2 * half_s
        self._previous = self._current if is_adjacent else {}
        self._current = {}
        self._begun_s = now_s
