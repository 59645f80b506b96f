"""Issues quotas for the servers that limit the rate of requests to them.

Each server has a token bucket. In any time t the issuer grants at most
``rate * t`` requests and what the bucket held at its start, and each is sent
within a bounded time of the grant. A bucket starts empty, since the issuer does
not know what previous ones granted: however often the issuer changes, all of
them together grant no more than a single one.
"""

from collections.abc import Callable
import dataclasses
import math
import secrets

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_entry import journal as journals
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import quotas
from bridgecross_entry import rate_limits

_SERVERS_MAX_COUNT = 10_000
"""Servers whose limits are kept, 0.4 KB each."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaSettings:
    """How quotas are issued and used."""

    # A quota is used within this time after it was requested, or not at all.
    use_within_s: float = 0.5
    # A server that takes less than this gets this many requests per second all
    # the same: only an answer can show that the limit has ended.
    min_rate_per_s: float = 0.2
    # A bucket holds one request and what the server takes in this time. It
    # bridges the time between two requests of an instance.
    burst_s: float = 0.25
    # A lower priority is left waiting for this long after a higher one was
    # refused, or for as long as the server takes for a request if that is more.
    priority_hold_s: float = 0.5
    # Callers that are refused are told to return one after the other, at the
    # rate of the limit, but at the latest after this time: most of them give
    # up before.
    retry_after_max_s: float = 5.0
    # A server that is not asked for during this time is forgotten: it has
    # ended, or has no callers.
    idle_s: float = 60.0
    # The largest number of quotas in one grant.
    batch_max_count: int = 10_000


class _Bucket:
    """The requests that a server may still get, refilled at its rate."""

    def __init__(
        self,
        settings: QuotaSettings,
        report: rate_limits.LimitReport,
        now_s: float,
    ) -> None:
        """Starts without tokens."""
        # What is known of the limit, on this instance's clock.
        self.report = report
        self._settings = settings
        self._tokens = 0.0
        self._refilled_s = now_s
        # When it was last asked for.
        self.asked_s = now_s
        # When each priority was last refused.
        self._refused_s: dict[int, float] = {}
        # When the last of the refused callers returns.
        self._last_return_s = -math.inf

    @property
    def rate_per_s(self) -> float:
        """The rate at which requests are granted."""
        return max(self.report.limit_per_s, self._settings.min_rate_per_s)

    def refill(self, now_s: float) -> None:
        """Adds the tokens since the last refill; none without a limit."""
        passed_s = max(now_s - self._refilled_s, 0.0)
        self._refilled_s = now_s
        if not self.report.is_limited:
            return
        capacity = 1.0 + self.rate_per_s * self._settings.burst_s
        earned = passed_s * self.rate_per_s
        self._tokens = min(self._tokens + earned, capacity)

    def take(self, priority: int, wanted_count: int, now_s: float) -> int:
        """Takes tokens; returns how many were granted.

        One request gets half of the tokens at most, so that other instances
        also get some.
        """
        self.refill(now_s)
        if self._tokens < self._needed(priority, now_s):
            self._refused_s[priority] = now_s
            return 0
        count = min(wanted_count, max(int(self._tokens / 2), 1))
        self._tokens -= count
        return count

    def next_in_s(self, priority: int, now_s: float) -> float:
        """Returns the time until a request may be granted."""
        missing = self._needed(priority, now_s) - self._tokens
        return max(missing, 0.0) / self.rate_per_s

    def queue_return_s(self, next_in_s: float, now_s: float) -> float:
        """Returns how long a refused caller should wait, behind the others."""
        latest_s = now_s + self._settings.retry_after_max_s
        following_s = self._last_return_s + 1.0 / self.rate_per_s
        at_s = min(max(now_s + next_in_s, following_s), latest_s)
        self._last_return_s = at_s
        return at_s - now_s

    def _needed(self, priority: int, now_s: float) -> float:
        """Returns the number of tokens that a priority requires.

        One token is kept for a higher priority that was refused recently.
        """
        hold_s = max(self._settings.priority_hold_s, 1.0 / self.rate_per_s)
        is_held = any(
            each < priority and now_s - refused_s < hold_s
            for each, refused_s in self._refused_s.items()
        )
        return 2.0 if is_held else 1.0


class QuotaIssuer:
    """Grants the requests that limited servers take from all instances."""

    def __init__(
        self,
        settings: QuotaSettings,
        limits: rate_limits.ReportedLimits,
        journal: journals.Journal,
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
    ) -> None:
        """Issues nothing until ``sole_term`` is set.

        Args:
            settings: How quotas are issued.
            limits: The limits that this instance knows.
            journal: Logs the limits that the issuer learns of.
            metrics: Counts verdicts.
            clock: Measures all times; must advance while the machine is
                suspended.
        """
        # Returns the term in which this instance is certain to be the only
        # issuer; None if it is not.
        self.sole_term: Callable[[], int | None] = lambda: None
        # Called when a limit begins, changes or ends.
        self.on_change: Callable[[], None] = lambda: None
        self._settings = settings
        self._limits = limits
        self._journal = journal
        self._metrics = metrics
        self._clock = clock
        self._process_id = secrets.randbits(63)
        self._term: int | None = None
        self._buckets: dict[ids.ServerId, _Bucket] = {}

    @property
    def knows_limits(self) -> bool:
        """Whether any limit was known when quotas were last issued."""
        return bool(self._buckets)

    def list_limits(self) -> tuple[quotas.KnownLimit, ...]:
        """Returns the limits that this instance knows as the issuer."""
        if not self._begin_term():
            return ()
        return tuple(
            quotas.KnownLimit(server_id, bucket.report.limit_per_s)
            for server_id, bucket in self._buckets.items()
            if bucket.report.is_limited
        )

    def handle(self, request: quotas.Request) -> quotas.Reply:
        """Decides on a request."""
        reply = self._decide(request)
        if request.wanted_count:
            self._metrics.quotas.inc({"verdict": reply.verdict.value})
        return reply

    def _decide(self, request: quotas.Request) -> quotas.Reply:
        """Decides on a request without counting it."""
        now_s = self._clock.monotonic_s()
        stamp = quotas.Stamp(self._process_id, now_s)
        if not self._begin_term():
            return quotas.Reply(quotas.Verdict.UNAVAILABLE, stamp)
        bucket = self._apply_report(request)
        if bucket is not None:
            bucket.asked_s = now_s
        if bucket is None or not bucket.report.is_limited:
            return quotas.Reply(quotas.Verdict.UNLIMITED, stamp)
        if not request.wanted_count:
            return quotas.Reply(quotas.Verdict.REFUSED, stamp)
        wanted_count = min(request.wanted_count, self._settings.batch_max_count)
        count = bucket.take(request.priority, wanted_count, now_s)
        if count:
            return quotas.Reply(quotas.Verdict.GRANTED, stamp, count)
        next_in_s = bucket.next_in_s(request.priority, now_s)
        return quotas.Reply(
            quotas.Verdict.REFUSED,
            stamp,
            next_in_s=next_in_s,
            retry_after_s=bucket.queue_return_s(next_in_s, now_s),
        )

    def sweep(self) -> None:
        """Forgets servers that no instance asks for."""
        idle_since_s = self._clock.monotonic_s() - self._settings.idle_s
        self._buckets = {
            server_id: bucket
            for server_id, bucket in self._buckets.items()
            if bucket.asked_s > idle_since_s
        }

    def _begin_term(self) -> bool:
        """Whether quotas may be issued; starts anew in each term.

        Another instance may have issued quotas in between. The limits that this
        instance knows hold, so that the others need not learn of them again.
        """
        term = self.sole_term()
        if term is None:
            return False
        if term != self._term:
            self._term = term
            self._buckets.clear()
            now_s = self._clock.monotonic_s()
            for server_id, limit_per_s in self._limits.list_limited().items():
                self._add_bucket(
                    server_id,
                    rate_limits.LimitReport(limit_per_s, -math.inf, now_s),
                )
        return True

    def _add_bucket(
        self, server_id: ids.ServerId, report: rate_limits.LimitReport
    ) -> _Bucket:
        """Adds a bucket for a server that limits the requests to it."""
        if len(self._buckets) >= _SERVERS_MAX_COUNT:
            del self._buckets[next(iter(self._buckets))]
        now_s = self._clock.monotonic_s()
        bucket = _Bucket(self._settings, report, now_s)
        self._buckets[server_id] = bucket
        self._note_change(server_id, math.inf, bucket)
        return bucket

    def _apply_report(self, request: quotas.Request) -> _Bucket | None:
        """Applies what a server told an instance; returns its bucket."""
        server_id = request.server_id
        bucket = self._buckets.get(server_id)
        if request.report is None:
            return bucket
        report = self._localize(request.report)
        if bucket is None:
            return (
                self._add_bucket(server_id, report)
                if report.is_limited
                else None
            )
        # What was earned until now was earned at the previous rate.
        bucket.refill(self._clock.monotonic_s())
        limit_before_per_s = bucket.report.limit_per_s
        bucket.report = rate_limits.merge(bucket.report, report)
        self._note_change(server_id, limit_before_per_s, bucket)
        return bucket

    def _localize(self, report: quotas.Report) -> rate_limits.LimitReport:
        """Returns a report with times on this instance's clock.

        The message took an unknown time, so the answer was read at this time or
        earlier. A stamp of this process shows when its request was sent at the
        earliest.
        """
        read_s = self._clock.monotonic_s() - report.read_ago_s
        sent_s = -math.inf
        stamp = report.sent_after
        if stamp is not None and stamp.process_id == self._process_id:
            sent_s = stamp.answered_s
        return rate_limits.LimitReport(report.limit_per_s, sent_s, read_s)

    def _note_change(
        self,
        server_id: ids.ServerId,
        limit_before_per_s: float,
        bucket: _Bucket,
    ) -> None:
        """Logs and reports a change of a limit."""
        limit_per_s = bucket.report.limit_per_s
        if limit_per_s == limit_before_per_s:
            return
        self._journal.decision(
            "quota_begins" if bucket.report.is_limited else "quota_ends",
            server=server_id,
            limit_per_s=limit_per_s if bucket.report.is_limited else None,
            term=self._term,
        )
        self.on_change()
