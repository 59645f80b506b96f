"""How long an instance may act on what it has read.

An instance that is cut off from the log cannot know whether it has been
replaced. It may therefore act only while its news is fresh: for a bounded
time after a complete read of the log or, during an outage of the log, after
a majority of the members confirmed that they have read nothing newer.
"""

import dataclasses
import math
from typing import Protocol

from bridgecross_core import clock as clocks


class NewsSource(Protocol):
    """Something that knows how fresh the reading of the log is."""

    @property
    def fresh_at_s(self) -> float:
        """The monotonic time up to which every record is known applied."""


@dataclasses.dataclass(frozen=True)
class AuthoritySettings:
    """How long news stays fresh."""

    # How long an instance may act after its last news.
    authority_ms: int


class Authority:
    """The right of this instance to renew leases and to send requests."""

    def __init__(
        self,
        settings: AuthoritySettings,
        log_news: NewsSource,
        clock: clocks.Clock,
    ) -> None:
        """Has no authority until the log was read once."""
        self.settings = settings
        self._log_news = log_news
        self._clock = clock
        self._peers_fresh_at_s = -math.inf

    @property
    def valid_until_s(self) -> float:
        """The monotonic time at which the authority ends."""
        fresh_at_s = max(self._log_news.fresh_at_s, self._peers_fresh_at_s)
        return fresh_at_s + self.settings.authority_ms / 1_000

    def is_valid(self) -> bool:
        """Returns whether this instance may act now."""
        return self._clock.monotonic_s() < self.valid_until_s

    def needs_peers(self) -> bool:
        """Returns whether the log has been silent for half the time."""
        silent_s = self._clock.monotonic_s() - self._log_news.fresh_at_s
        return silent_s > self.settings.authority_ms / 2_000

    def confirm_by_peers(self, sent_s: float) -> None:
        """Extends the authority after a majority confirmed it.

        Args:
            sent_s: The monotonic time at which the peers were asked.
        """
        self._peers_fresh_at_s = max(self._peers_fresh_at_s, sent_s)
