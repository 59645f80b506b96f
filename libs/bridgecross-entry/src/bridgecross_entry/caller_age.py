"""How long a caller has waited already when one of its attempts arrives.

A caller states how long it will still wait. All callers of a route start with
the same time, and one that comes back after a refusal states what is left of
it, so the difference is how long it has waited. What they start with is in no
configuration; it is the longest time that many of them state: first attempts
all state about the same, less the time in which a connection was made, and
later ones each a different one.
"""

import collections
import dataclasses
import math


@dataclasses.dataclass(frozen=True, slots=True)
class CallerAgeSettings:
    """How the time that callers start with is learned."""

    # Attempts that count. Among 200, first attempts stand out even while most
    # callers come back; an instance sees that many in 2 to 20 s.
    sample_count: int = 200
    # Times that differ by less count as the same. Making a connection takes
    # two trips to the caller, 6 to 20 ms of the 400 ms and more that callers
    # wait; one that was refused has been away for longer.
    same_ratio: float = 0.04
    # The part of the sample that must state about the same time; with fewer,
    # callers differ among themselves, and nobody is taken to have waited.
    agreed_ratio: float = 0.1
    # And at least so many, lest one attempt that comes back after a restart
    # of this instance stands for all.
    agreed_count: int = 3


class CallerAgeEstimator:
    """Learns the time that the callers of one route start with."""

    def __init__(self, settings: CallerAgeSettings) -> None:
        """Has seen nobody yet."""
        self._settings = settings
        # Stated times by their logarithm, in steps of half of what counts as
        # the same.
        self._step = math.log1p(settings.same_ratio / 2)
        self._sample: collections.deque[int] = collections.deque()
        self._counts: collections.Counter[int] = collections.Counter()

    def note(self, caller_timeout_ms: float) -> None:
        """Counts an attempt whose caller will wait for so long."""
        step = self._to_step(caller_timeout_ms)
        self._sample.append(step)
        self._counts[step] += 1
        if len(self._sample) > self._settings.sample_count:
            oldest = self._sample.popleft()
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                del self._counts[oldest]

    def age_s(self, caller_timeout_ms: float | None) -> float:
        """Returns how long a caller has waited that will wait for so long.

        Zero for a first attempt.
        """
        usual_ms = self._usual_ms()
        if caller_timeout_ms is None or usual_ms is None:
            return 0.0
        missing_ms = usual_ms - caller_timeout_ms
        if missing_ms <= self._settings.same_ratio * usual_ms:
            return 0.0
        return missing_ms / 1_000

    def _usual_ms(self) -> float | None:
        """Returns the time that callers start with; None if none is known."""
        settings = self._settings
        least = settings.agreed_ratio * len(self._sample)
        least = max(least, settings.agreed_count)
        agreed = [s for s, count in self._counts.items() if count >= least]
        if not agreed:
            return None
        return math.exp((max(agreed) + 1) * self._step)

    def _to_step(self, caller_timeout_ms: float) -> int:
        """Returns where a time stands among the steps."""
        return int(math.log(max(caller_timeout_ms, 1.0)) / self._step)
