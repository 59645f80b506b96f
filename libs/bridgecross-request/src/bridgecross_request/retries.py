"""A retry budget that is a share of the traffic."""

import dataclasses
import random

_BASE_BACKOFF_S = 0.01
_MAX_BACKOFF_S = 0.2
_RESERVE_RETRIES = 10.0


@dataclasses.dataclass(frozen=True)
class RetrySettings:
    """How often requests may be retried."""

    # Retries allowed, as a share of first attempts.
    budget_ratio: float
    # Attempts for one request, the first included.
    max_attempts: int


class RetryBudget:
    """Allows retries as a share of first attempts.

    Each first attempt earns a fraction of a retry. A small reserve allows
    retries for a service with little traffic. The balance never exceeds the
    reserve, so retries cannot accumulate for a later burst.
    """

    def __init__(self, settings: RetrySettings) -> None:
        """Starts with a full reserve."""
        self.settings = settings
        self._balance = _RESERVE_RETRIES

    def earn(self) -> None:
        """Adds the share that a first attempt earns."""
        earned = self._balance + self.settings.budget_ratio
        self._balance = min(earned, _RESERVE_RETRIES)

    def spend(self) -> bool:
        """Spends one retry; returns whether the budget had one."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


def draw_backoff_s(attempt: int, randomness: random.Random) -> float:
    """Returns the pause before the next attempt: exponential, full jitter.

    Args:
        attempt: The number of the attempt that failed, counted from 1.
        randomness: The source of the jitter.
    """
    ceiling_s: float = min(_MAX_BACKOFF_S, _BASE_BACKOFF_S * 2.0**attempt)
    return randomness.uniform(0, ceiling_s)
