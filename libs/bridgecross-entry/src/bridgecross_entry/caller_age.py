"""How long a caller has waited already when one of its attempts arrives.

A caller states how long it will still wait. All callers of a route start with
the same time, and one that comes back after a refusal states what is left of
it, so the difference is how long it has waited. What they start with is in no
configuration; it is the value that is stated most often, since first attempts
all state the same one and later ones each a different one.
"""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CallerAgeSettings:
    """How the time that callers start with is learned."""

    # Attempts that count. Among 200, first attempts stand out even while most
    # callers come back; an instance sees that many in 2 to 20 s.
    sample_count: int = 200
    # The part of the sample that must state the same time; with fewer, callers
    # differ among themselves, and nobody is taken to have waited.
    agreed_ratio: float = 0.1


class CallerAge:
    """Learns the time that the callers of one route start with."""

    def __init__(self, settings: CallerAgeSettings) -> None:
        """Has seen nobody yet."""
        self._settings = settings
        self._sample_ms: collections.deque[int] = collections.deque()
        self._counts: collections.Counter[int] = collections.Counter()
        self._usual_ms: int | None = None

    def note(self, patience_ms: float) -> None:
        """Counts an attempt whose caller will wait for so long."""
        stated_ms = int(patience_ms)
        self._sample_ms.append(stated_ms)
        self._counts[stated_ms] += 1
        if len(self._sample_ms) > self._settings.sample_count:
            self._forget(self._sample_ms.popleft())
        usual = self._usual_ms
        if usual is None or self._counts[stated_ms] > self._counts[usual]:
            self._usual_ms = stated_ms

    def age_s(self, patience_ms: float | None) -> float:
        """Returns how long a caller has waited that will wait for so long."""
        usual = self._usual_ms
        if patience_ms is None or usual is None:
            return 0.0
        agreed = self._settings.agreed_ratio * len(self._sample_ms)
        if self._counts[usual] < max(agreed, 2.0):
            return 0.0
        return max(usual - patience_ms, 0.0) / 1_000

    def _forget(self, stated_ms: int) -> None:
        """Takes an attempt out of the sample."""
        self._counts[stated_ms] -= 1
        if not self._counts[stated_ms]:
            del self._counts[stated_ms]
        if stated_ms == self._usual_ms:
            self._usual_ms = self._counts.most_common(1)[0][0]
