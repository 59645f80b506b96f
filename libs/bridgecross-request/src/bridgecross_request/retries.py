"""A retry budget as a share of the traffic."""

import dataclasses
import random

_BASE_S = 0.01
_CAP_S = 0.2
_RESERVE = 10.0


@dataclasses.dataclass(frozen=True)
class RetrySettings:
    """How often requests may be tried again."""

    # Retries allowed, as a share of first attempts.
    budget_ratio: float
    # Attempts for one request, the first included.
    max_attempts: int


class RetryBudget:
    """Earns a fraction of a retry with each first attempt.

    A small reserve lets a quiet service retry at all; it never grows beyond
    that, so retries cannot pile up for a later burst.
    """

    def __init__(self, settings: RetrySettings) -> None:
        """Starts with the whole reserve."""
        self.settings = settings
        self._balance = _RESERVE

    def earn(self) -> None:
        """Counts a first attempt."""
        earned = self._balance + self.settings.budget_ratio
        self._balance = min(earned, _RESERVE)

    def spend(self) -> bool:
        """Takes one retry out; returns whether there was one."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


def draw_backoff_s(attempt: int, randomness: random.Random) -> float:
    """Returns a pause before the next attempt, with full jitter.

    Args:
        attempt: The attempt that failed, from 1.
        randomness: The source of the jitter.
    """
    ceiling_s: float = min(_CAP_S, _BASE_S * 2.0**attempt)
    return randomness.uniform(0, ceiling_s)
