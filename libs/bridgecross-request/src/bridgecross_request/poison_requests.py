"""Detects poison requests: requests that crash one server after another.

A poison request may be repeated under another id, by any caller, at any
instance. Requests are therefore identified by a fingerprint of their content.
For each fingerprint the ledger remembers during which server runs such a
request was in flight when the run ended, and when one was last answered.

A request that was in flight when a server ended need not be the cause, because
a server may end for any reason. What distinguishes a poison request from a
popular one is that it is never answered. A popular request may also get no
answers while each server that it reaches is crashed by another request; if it
was answered shortly before, those ends do not count against it.

This module does no I/O, and its memory is bounded in entries and in time.
"""

from collections.abc import Iterable
import dataclasses
import math
from typing import NamedTuple
from typing import NewType

import xxhash

from bridgecross_core import clock as clocks

Fingerprint = NewType("Fingerprint", bytes)
"""Identifies a request by its content, independent of its id."""

FINGERPRINT_BYTES = 16


def compute_fingerprint(
    host: str, method: bytes, target: bytes, body: bytes
) -> Fingerprint:
    """Returns the fingerprint by which a repeated request is recognized.

    It does not include the caller: a poison request crashes servers whoever
    sends it, and the same caller may use many addresses.

    Args:
        host: The requested host.
        method: The HTTP method.
        target: The path and the query.
        body: The whole body.
    """
    digest = xxhash.xxh3_128()
    for part in (host.encode(), method, target, body):
        # The length prefix keeps two requests from giving the same sequence.
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return Fingerprint(digest.digest())


@dataclasses.dataclass(frozen=True, slots=True)
class PoisonSettings:
    """When a request counts as poison, and how much is remembered."""

    # The number of server runs that may end under a request before it is
    # refused. One or two may be coincidence: servers also end for other
    # reasons while requests are in flight.
    ends_max_count: int = 3
    # How long an end counts. After that, a request that was refused by mistake
    # is served again; a poison request may crash servers once more.
    retention_s: float = 600.0
    # A request that was answered within this time before servers ended is one
    # that servers can run. Ends at the same time then have another cause, such
    # as the loss of a failure domain, and count as one.
    recent_answer_s: float = 10.0
    # How many servers must have ended under another request, one that was not
    # answered recently, for that request to be the likelier cause. A single
    # end may have any cause.
    likelier_cause_min_ends: int = 2
    # Requests whose ends are remembered, 0.5 KB each.
    subjects_max_count: int = 1_024
    # Requests whose answers are remembered, 0.2 KB each. At 400 requests per
    # second that covers ten seconds. At ten times that rate it covers one
    # second, in which a request that is sent often enough to be in flight at
    # three servers has been answered.
    answers_max_count: int = 4_096


class RunEnd(NamedTuple):
    """The end of a server's run while a request was in flight there."""

    subject: Fingerprint
    # Identifies the run of the server.
    server: str
    # When the request was sent, and when its connection broke, on the
    # monotonic clock of this host.
    sent_s: float
    ended_s: float


class Answer(NamedTuple):
    """A server's answer to a request."""

    subject: Fingerprint
    answered_s: float


class RunEndReport(NamedTuple):
    """A ``RunEnd`` as sent between hosts, whose monotonic clocks differ."""

    subject: bytes
    server: str
    sent_ago_s: float
    ended_ago_s: float


class AnswerReport(NamedTuple):
    """An ``Answer`` as sent between hosts."""

    subject: bytes
    answered_ago_s: float


class PoisonReport(NamedTuple):
    """What one host reports to another about some requests."""

    ends: tuple[RunEndReport, ...] = ()
    answers: tuple[AnswerReport, ...] = ()


class InvalidReportError(ValueError):
    """A report contains an impossible value; the message says where."""


class _Suspect:
    """A request that was in flight at servers that ended."""

    def __init__(self) -> None:
        """Starts without ends and answers."""
        self.ends: dict[str, RunEnd] = {}
        self.answered_s = -math.inf


class PoisonLedger:
    """The recent server ends and answers of requests, by fingerprint."""

    def __init__(self, settings: PoisonSettings, clock: clocks.Clock) -> None:
        """Starts empty.

        Args:
            settings: When a request counts as poison.
            clock: The clock that ends and answers are timed by.
        """
        self.settings = settings
        self._clock = clock
        # Both are ordered from the oldest to the newest entry.
        self._suspects: dict[Fingerprint, _Suspect] = {}
        self._answers: dict[Fingerprint, float] = {}

    def record_answer_now(self, subject: Fingerprint) -> None:
        """Records that a server has just answered a request."""
        self.record_answer(Answer(subject, self._clock.monotonic_s()))

    def record_answer(self, answer: Answer) -> None:
        """Records when a request was answered."""
        known_s = self._answers.pop(answer.subject, -math.inf)
        self._answers[answer.subject] = max(known_s, answer.answered_s)
        if len(self._answers) > self.settings.answers_max_count:
            del self._answers[next(iter(self._answers))]
        suspect = self._suspects.get(answer.subject)
        if suspect is not None:
            suspect.answered_s = max(suspect.answered_s, answer.answered_s)

    def record_end(self, end: RunEnd) -> bool:
        """Records that a server's run ended while a request was in flight.

        Returns:
            Whether this end was new.
        """
        suspect = self._suspects.pop(end.subject, None)
        if suspect is None:
            suspect = _Suspect()
            suspect.answered_s = self._answers.get(end.subject, -math.inf)
            self._evict_oldest()
        self._suspects[end.subject] = suspect
        known = suspect.ends.get(end.server)
        if known is not None:
            # If several such requests were in flight, the one sent first has
            # waited longest for an answer. Keeping that one also makes all
            # hosts arrive at the same state.
            if end.sent_s < known.sent_s:
                suspect.ends[end.server] = end
            return False
        suspect.ends[end.server] = end
        if len(suspect.ends) > self.settings.ends_max_count:
            # Only the newest ends can count.
            oldest = min(suspect.ends.values(), key=lambda each: each.ended_s)
            del suspect.ends[oldest.server]
        return True

    def _evict_oldest(self) -> None:
        """Forgets the oldest suspect if there are too many.

        A suspect that is being refused goes only if all of them are.
        """
        if len(self._suspects) < self.settings.subjects_max_count:
            return
        for subject in self._suspects:
            if not self.refused_for_s(subject):
                del self._suspects[subject]
                return
        del self._suspects[next(iter(self._suspects))]

    def is_nearly_refused(self, subject: Fingerprint) -> bool:
        """Whether one more end would make a request poison."""
        return len(self.ends_of(subject)) >= self.settings.ends_max_count - 1

    def is_suspect(self, subject: Fingerprint) -> bool:
        """Whether a server ended under a request that has no answer since."""
        return bool(self.ends_of(subject))

    def refused_for_s(self, subject: Fingerprint) -> float:
        """Returns how much longer a request is refused; 0 if it is not."""
        suspect = self._suspects.get(subject)
        if suspect is None or len(suspect.ends) < self.settings.ends_max_count:
            return 0.0
        ends = self.ends_of(subject)
        if self._count_blamed(suspect, ends) < self.settings.ends_max_count:
            return 0.0
        newest_s = max(end.ended_s for end in ends)
        left_s = newest_s + self.settings.retention_s
        return max(left_s - self._clock.monotonic_s(), 0.0)

    def ends_of(self, subject: Fingerprint) -> list[RunEnd]:
        """Returns the ends that count: recent, and without an answer since."""
        suspect = self._suspects.get(subject)
        if suspect is None:
            return []
        from_s = self._clock.monotonic_s() - self.settings.retention_s
        return [
            end
            for end in suspect.ends.values()
            # An answer to a request that was sent later clears this end too:
            # whatever ended the server, it was not the request alone.
            if end.sent_s > suspect.answered_s and end.ended_s > from_s
        ]

    def _count_blamed(self, suspect: _Suspect, ends: list[RunEnd]) -> int:
        """Returns how many ends count against a request."""
        first_s = min((end.sent_s for end in ends), default=math.inf)
        if not self._was_answered_before(suspect, first_s):
            return len(ends)
        unexplained = [end for end in ends if not self._has_likelier_cause(end)]
        return _count_consecutive(unexplained)

    def _was_answered_before(self, suspect: _Suspect, at_s: float) -> bool:
        """Whether a request was answered shortly before a time."""
        return at_s - suspect.answered_s <= self.settings.recent_answer_s

    def _has_likelier_cause(self, end: RunEnd) -> bool:
        """Whether another request is the likelier cause of an end."""
        return any(
            end.server in other.ends and self._is_likelier_cause(subject)
            for subject, other in self._suspects.items()
            if subject != end.subject
        )

    def _is_likelier_cause(self, subject: Fingerprint) -> bool:
        """Whether servers ended under a request that was not answered lately.

        That takes at least ``likelier_cause_min_ends`` ends.
        """
        ends = self.ends_of(subject)
        if len(ends) < self.settings.likelier_cause_min_ends:
            return False
        first_s = min(end.sent_s for end in ends)
        return not self._was_answered_before(self._suspects[subject], first_s)

    def list_suspects(self) -> list[Fingerprint]:
        """Returns the requests with ends that count, in order of age."""
        return [each for each in self._suspects if self.ends_of(each)]

    def list_known(self) -> list[Fingerprint]:
        """Returns all requests with remembered ends, answered or not."""
        return list(self._suspects)

    def answer_of(self, subject: Fingerprint) -> Answer | None:
        """Returns the last answer to a request, if it is remembered."""
        answered_s = self._answers.get(subject)
        suspect = self._suspects.get(subject)
        if suspect is not None:
            answered_s = max(suspect.answered_s, answered_s or -math.inf)
        if answered_s is None or math.isinf(answered_s):
            return None
        return Answer(subject, answered_s)

    # Reports between hosts.

    def build_report(
        self, subjects: Iterable[Fingerprint], ends_max_count: int
    ) -> PoisonReport:
        """Returns a report on some requests, with ages as of now.

        Args:
            subjects: The requests.
            ends_max_count: The most ends in the report; the last are kept.
        """
        now_s = self._clock.monotonic_s()
        subjects = list(subjects)
        ends = [end for each in subjects for end in self.ends_of(each)]
        answers = [self.answer_of(each) for each in subjects]
        return PoisonReport(
            tuple(
                RunEndReport(
                    end.subject,
                    end.server,
                    now_s - end.sent_s,
                    now_s - end.ended_s,
                )
                for end in ends[-ends_max_count:]
            ),
            tuple(
                AnswerReport(each.subject, now_s - each.answered_s)
                for each in answers
                if each is not None
            ),
        )

    def merge_report(self, report: PoisonReport) -> list[Fingerprint]:
        """Merges a report of another host into the ledger.

        Returns:
            The requests that are refused as a result.

        Raises:
            InvalidReportError: The report is invalid; none of it is merged.
        """
        validate_report(report)
        reported = {Fingerprint(end.subject) for end in report.ends}
        unrefused = [each for each in reported if not self.refused_for_s(each)]
        now_s = self._clock.monotonic_s()
        for answer in report.answers:
            answered_s = now_s - answer.answered_ago_s
            self.record_answer(Answer(Fingerprint(answer.subject), answered_s))
        for end in report.ends:
            self.record_end(
                RunEnd(
                    Fingerprint(end.subject),
                    end.server,
                    now_s - end.sent_ago_s,
                    now_s - end.ended_ago_s,
                )
            )
        return [each for each in unrefused if self.refused_for_s(each)]

    def remove_expired(self) -> None:
        """Removes requests without ends that count."""
        for subject in list(self._suspects):
            if not self.ends_of(subject):
                del self._suspects[subject]


def validate_report(report: PoisonReport) -> None:
    """Checks the fingerprints and ages in a report of another host.

    Raises:
        InvalidReportError: A fingerprint's length or an age is impossible.
    """
    for number, end in enumerate(report.ends):
        ages_s = (end.sent_ago_s, end.ended_ago_s)
        _check_entry(f"ends[{number}]", end.subject, ages_s)
    for number, answer in enumerate(report.answers):
        location = f"answers[{number}]"
        _check_entry(location, answer.subject, (answer.answered_ago_s,))


def _check_entry(
    location: str, subject: bytes, ages_s: Iterable[float]
) -> None:
    """Checks the fingerprint and the ages of one entry."""
    if len(subject) != FINGERPRINT_BYTES:
        raise InvalidReportError(
            f"{location}: the subject has {len(subject)} bytes"
        )
    for age_s in ages_s:
        if not math.isfinite(age_s) or age_s < 0:
            raise InvalidReportError(f"{location}: the age is {age_s} s")


def _count_consecutive(ends: Iterable[RunEnd]) -> int:
    """Returns how many ends followed one another.

    Each run counted received the request after the previous one had ended.
    """
    count = 0
    free_s = -math.inf
    for end in sorted(ends, key=lambda each: each.ended_s):
        if end.sent_s >= free_s:
            count += 1
            free_s = end.ended_s
    return count
