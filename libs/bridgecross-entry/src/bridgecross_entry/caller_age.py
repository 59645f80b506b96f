"""Estimates how long a caller has been waiting when an attempt arrives.

Each attempt states the caller's remaining timeout. All callers of a route start
with the same timeout, and a caller that retries after a refusal states what is
left of it, so the difference is its age. The initial timeout is not configured
anywhere; it is estimated as the longest timeout that many attempts state. First
attempts all state about the same value, less the time to connect, while the
values of retries differ from each other.
"""

import collections
import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class CallerAgeSettings:
    """Settings for how the initial timeout of callers is estimated."""

    # The number of most recent attempts to use. Among 200, first attempts stand
    # out even while most attempts are retries; an instance receives that many
    # in 2 to 20 bucket.
    sample_count: int = 200
    # Timeouts that differ by less than this ratio count as equal. Connecting
    # takes two round trips to the caller, which is 6 to 20 ms of the 400 ms or
    # more that callers wait; a retry arrives later than that.
    tolerance_ratio: float = 0.04
    # The part of the sample that must state about the same timeout. With less,
    # the callers' initial timeouts differ, and all ages are taken to be 0.
    cluster_min_ratio: float = 0.1
    # The minimum number of such attempts, so that after a restart of this
    # instance a single retry does not determine the estimate.
    cluster_min_count: int = 3


class RouteCallerAges:
    """Estimates the age of the callers of all routes."""

    def __init__(self, settings: CallerAgeSettings) -> None:
        """Starts without a sample."""
        self._settings = settings
        self._estimators: dict[str, CallerAgeEstimator] = {}

    def note_attempt(
        self, route_name: str, caller_timeout_ms: float | None
    ) -> float:
        """Returns how long the caller of a new attempt has waited already.

        Args:
            route_name: The route of the attempt.
            caller_timeout_ms: The caller's remaining timeout, if it said so.
        """
        estimator = self._estimators.get(route_name)
        if estimator is None:
            estimator = CallerAgeEstimator(self._settings)
            self._estimators[route_name] = estimator
        if caller_timeout_ms is not None:
            estimator.add(caller_timeout_ms)
        return estimator.age_s(caller_timeout_ms)


class CallerAgeEstimator:
    """Estimates the initial timeout of one route's callers."""

    def __init__(self, settings: CallerAgeSettings) -> None:
        """Starts without a sample."""
        self._settings = settings
        # Timeouts are counted in logarithmic buckets, each half as wide as the
        # difference up to which timeouts count as equal.
        self._bucket_width = math.log1p(settings.tolerance_ratio / 2)
        self._sample: collections.deque[int] = collections.deque()
        self._counts: collections.Counter[int] = collections.Counter()

    def add(self, caller_timeout_ms: float) -> None:
        """Adds the remaining timeout of an attempt to the sample."""
        bucket = self._find_bucket(caller_timeout_ms)
        self._sample.append(bucket)
        self._counts[bucket] += 1
        if len(self._sample) > self._settings.sample_count:
            oldest = self._sample.popleft()
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                del self._counts[oldest]

    def age_s(self, caller_timeout_ms: float | None) -> float:
        """Returns the age of a caller with this remaining timeout.

        It is zero for a first attempt.
        """
        initial_ms = self._initial_timeout_ms()
        if caller_timeout_ms is None or initial_ms is None:
            return 0.0
        elapsed_ms = initial_ms - caller_timeout_ms
        if elapsed_ms <= self._settings.tolerance_ratio * initial_ms:
            return 0.0
        return elapsed_ms / 1_000

    def _initial_timeout_ms(self) -> float | None:
        """Returns the estimated initial timeout; None if it is unknown."""
        settings = self._settings
        min_count = settings.cluster_min_ratio * len(self._sample)
        min_count = max(min_count, settings.cluster_min_count)
        frequent = [
            bucket
            for bucket, count in self._counts.items()
            if count >= min_count
        ]
        if not frequent:
            return None
        return math.exp((max(frequent) + 1) * self._bucket_width)

    def _find_bucket(self, caller_timeout_ms: float) -> int:
        """Returns the index of the bucket of a timeout."""
        return int(math.log(max(caller_timeout_ms, 1.0)) / self._bucket_width)
