"""How long an instance may act on what it has read from the log.

An instance that is cut off from the log cannot know whether it has been
replaced. It may therefore act only for a bounded time after a complete read
of the log or, while the log is unavailable, after a witness confirmed that it
has read nothing newer. The log names the witnesses of each queue owner. To be
sure that a queue owner has stopped, without an answer from it or its server,
another instance first makes sure that every witness has read the change; see
``docs/design/leases.md``.
"""

from collections.abc import Iterable
import dataclasses
import math
from typing import Protocol

from bridgecross_core import clock as clocks
from bridgecross_core import ids


class LogView(Protocol):
    """Provides how up to date this instance's view of the log is."""

    @property
    def fresh_at_s(self) -> float:
        """The monotonic time up to which all records have been applied."""

    @property
    def awaits_snapshot(self) -> bool:
        """Whether records are missing, so that the state is incomplete."""


@dataclasses.dataclass(frozen=True)
class AuthoritySettings:
    """How long an instance keeps its authority."""

    # How long an instance may act after it last read the log, or a witness
    # confirmed its view.
    authority_ms: int


class Authority:
    """The right of this instance to renew leases and to send requests."""

    def __init__(
        self,
        settings: AuthoritySettings,
        log_view: LogView,
        clock: clocks.Clock,
    ) -> None:
        """Starts without authority, until the log has been read once."""
        self.settings = settings
        self._log_view = log_view
        self._clock = clock
        self._confirmed_s: dict[ids.InstanceId, float] = {}

    def has_log(self) -> bool:
        """Returns whether the log itself was read recently enough."""
        return self._is_fresh(self._log_view.fresh_at_s)

    def may_act_as_queue_owner(
        self, witnesses: Iterable[ids.InstanceId]
    ) -> bool:
        """Returns whether this instance may act as a queue owner now.

        Args:
            witnesses: The queue owner's witnesses; the confirmation of one is
                enough.
        """
        if self._log_view.awaits_snapshot:
            return False
        if self.has_log():
            return True
        return any(
            self._is_fresh(self._confirmed_s.get(witness, -math.inf))
            for witness in witnesses
        )

    def needs_witnesses(self) -> bool:
        """Returns whether half the time since the last log read has passed.

        The witnesses should then be asked for a confirmation.
        """
        silent_s = self._clock.monotonic_s() - self._log_view.fresh_at_s
        return silent_s > self.settings.authority_ms / 2_000

    def confirm(self, witness: ids.InstanceId, sent_s: float) -> None:
        """Records that a witness has read nothing that this instance has not.

        Args:
            witness: The instance that answered.
            sent_s: The monotonic time at which it was asked.
        """
        self._confirmed_s[witness] = sent_s

    def _is_fresh(self, at_s: float) -> bool:
        """Returns whether information of a given time is recent enough."""
        limit_s = at_s + self.settings.authority_ms / 1_000
        return self._clock.monotonic_s() < limit_s
