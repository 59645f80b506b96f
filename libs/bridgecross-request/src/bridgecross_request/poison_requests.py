"""Poison requests: those under which one server after another ends.

Such a request comes again under another id, from anybody, at any instance. So
requests are known by what they ask for, and what became of them is remembered:
on which runs of servers one was at work when the run ended, and when one was
last answered. Being at work where a server ends proves nothing, since a server
may end for any reason; what tells a poison request from a popular one is that
no run of it ever comes to an answer. A popular one may get none either while
each server that it reaches ends under another request; one that was answered
shortly before is then not held to account for those ends.

Pure bookkeeping: bounded in entries and in time, without I/O.
"""

from collections.abc import Iterable
import dataclasses
import math
from typing import NamedTuple
from typing import NewType

import xxhash

from bridgecross_core import clock as clocks

Fingerprint = NewType("Fingerprint", bytes)
"""Names a request whatever its id, by what it asks for."""

FINGERPRINT_BYTES = 16


def compute_fingerprint(
    host: str, method: bytes, target: bytes, body: bytes
) -> Fingerprint:
    """Returns what a request is known by when it comes again.

    Who asks is no part of it: what servers end under ends them whoever asks,
    and the same caller may come from many addresses.

    Args:
        host: The host that is asked.
        method: What is to be done.
        target: The path and the query.
        body: All of the body.
    """
    digest = xxhash.xxh3_128()
    for part in (host.encode(), method, target, body):
        # Lengths keep parts apart: no two requests read the same in a row.
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return Fingerprint(digest.digest())


@dataclasses.dataclass(frozen=True, slots=True)
class PoisonSettings:
    """When a request counts as poison, and what is remembered."""

    # Servers that may end under a request before it is refused. One or two are
    # chance: servers end for other reasons, and requests are at work there.
    ends_max_count: int = 3
    # For how long an end counts. A request that is refused wrongly is served
    # again after that; one that is poison may end servers once more.
    retention_s: float = 600.0
    # A request that was answered so shortly before servers ended is one that
    # servers can run. Ends at the same time then have another cause, such as
    # the loss of a failure domain, and count as one.
    recent_answer_s: float = 10.0
    # Servers that ended under another request, one without an answer lately,
    # before it accounts for them. Of one end, anything may be the cause.
    likelier_cause_min_ends: int = 2
    # Requests whose ends are remembered, 0.5 KB each.
    subjects_max_count: int = 1_024
    # Requests whose answers are remembered, 0.2 KB each: at 400 a second those
    # of ten seconds, and at ten times that the ones of one second, in which
    # whoever asks often enough to be at three servers has been answered.
    answers_max_count: int = 4_096


class RunEnd(NamedTuple):
    """A server's run that ended while a request was at work there."""

    subject: Fingerprint
    # Names the run.
    server: str
    # When the request went there, and when its connection broke, on the
    # steady clock of whoever reads this.
    sent_s: float
    ended_s: float


class Answer(NamedTuple):
    """A request has been answered by a server."""

    subject: Fingerprint
    answered_s: float


class RunEndReport(NamedTuple):
    """An ``RunEnd`` between hosts, whose steady clocks differ."""

    subject: bytes
    server: str
    sent_ago_s: float
    ended_ago_s: float


class AnswerReport(NamedTuple):
    """An ``Answer`` between hosts."""

    subject: bytes
    answered_ago_s: float


class PoisonReport(NamedTuple):
    """What one host tells another of some requests."""

    ends: tuple[RunEndReport, ...] = ()
    answers: tuple[AnswerReport, ...] = ()


class InvalidReportError(ValueError):
    """What a host tells cannot be true; says where."""


class _Suspect:
    """A request that was at work at servers that ended."""

    def __init__(self) -> None:
        """Knows of no end."""
        self.ends: dict[str, RunEnd] = {}
        self.answered_s = -math.inf


class PoisonLedger:
    """What is remembered of requests, by their subject."""

    def __init__(self, settings: PoisonSettings, clock: clocks.Clock) -> None:
        """Remembers nothing yet.

        Args:
            settings: When a request counts as poison.
            clock: For how long ago something was.
        """
        self.settings = settings
        self._clock = clock
        # Both with the newest last.
        self._suspects: dict[Fingerprint, _Suspect] = {}
        self._answers: dict[Fingerprint, float] = {}

    def record_answer_now(self, subject: Fingerprint) -> None:
        """Remembers that a server has just answered a request."""
        self.record_answer(Answer(subject, self._clock.monotonic_s()))

    def record_answer(self, answer: Answer) -> None:
        """Remembers when a request was answered."""
        known_s = self._answers.pop(answer.subject, -math.inf)
        self._answers[answer.subject] = max(known_s, answer.answered_s)
        if len(self._answers) > self.settings.answers_max_count:
            del self._answers[next(iter(self._answers))]
        suspect = self._suspects.get(answer.subject)
        if suspect is not None:
            suspect.answered_s = max(suspect.answered_s, answer.answered_s)

    def record_end(self, end: RunEnd) -> bool:
        """Remembers that a run ended under a request.

        Returns:
            Whether that was not known.
        """
        suspect = self._suspects.pop(end.subject, None)
        if suspect is None:
            suspect = _Suspect()
            suspect.answered_s = self._answers.get(end.subject, -math.inf)
            self._evict_oldest()
        self._suspects[end.subject] = suspect
        known = suspect.ends.get(end.server)
        if known is not None:
            # Of several that were at work, the first has gone without an
            # answer for the longest; and all hosts come to know the same.
            if end.sent_s < known.sent_s:
                suspect.ends[end.server] = end
            return False
        suspect.ends[end.server] = end
        if len(suspect.ends) > self.settings.ends_max_count:
            # Any that are not the newest say nothing more.
            oldest = min(suspect.ends.values(), key=lambda each: each.ended_s)
            del suspect.ends[oldest.server]
        return True

    def _evict_oldest(self) -> None:
        """Forgets the oldest suspect; one that is refused, last of all."""
        if len(self._suspects) < self.settings.subjects_max_count:
            return
        for subject in self._suspects:
            if not self.refused_for_s(subject):
                del self._suspects[subject]
                return
        del self._suspects[next(iter(self._suspects))]

    def is_nearly_refused(self, subject: Fingerprint) -> bool:
        """Whether one more end would be enough."""
        return len(self.ends_of(subject)) >= self.settings.ends_max_count - 1

    def is_suspect(self, subject: Fingerprint) -> bool:
        """Whether a server ended under a request, with no answer since."""
        return bool(self.ends_of(subject))

    def refused_for_s(self, subject: Fingerprint) -> float:
        """Returns for how much longer a request is to be refused; 0 if not."""
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
        """Returns the ends that count: no answer has come since."""
        suspect = self._suspects.get(subject)
        if suspect is None:
            return []
        from_s = self._clock.monotonic_s() - self.settings.retention_s
        return [
            end
            for end in suspect.ends.values()
            # An answer to a run that began later is as good: whatever ended
            # the server, it was not the request alone.
            if end.sent_s > suspect.answered_s and end.ended_s > from_s
        ]

    def _count_blamed(self, suspect: _Suspect, ends: list[RunEnd]) -> int:
        """Returns how many ends speak against a request."""
        first_s = min((end.sent_s for end in ends), default=math.inf)
        if not self._was_answered_before(suspect, first_s):
            return len(ends)
        own = [end for end in ends if not self._has_likelier_cause(end)]
        return _count_consecutive(own)

    def _was_answered_before(self, suspect: _Suspect, at_s: float) -> bool:
        """Whether a request was answered shortly before a moment."""
        return at_s - suspect.answered_s <= self.settings.recent_answer_s

    def _has_likelier_cause(self, end: RunEnd) -> bool:
        """Whether a run ended under a request that is the likelier cause."""
        return any(
            end.server in other.ends and self._is_likelier_cause(subject)
            for subject, other in self._suspects.items()
            if subject != end.subject
        )

    def _is_likelier_cause(self, subject: Fingerprint) -> bool:
        """Whether servers ended under a request without an answer lately."""
        ends = self.ends_of(subject)
        if len(ends) < self.settings.likelier_cause_min_ends:
            return False
        first_s = min(end.sent_s for end in ends)
        return not self._was_answered_before(self._suspects[subject], first_s)

    def list_suspects(self) -> list[Fingerprint]:
        """Returns the requests with ends that count, the newest last."""
        return [each for each in self._suspects if self.ends_of(each)]

    def list_known(self) -> list[Fingerprint]:
        """Returns all requests that servers ended under, answered or not."""
        return list(self._suspects)

    def answer_of(self, subject: Fingerprint) -> Answer | None:
        """Returns when a request was last answered, as far as remembered."""
        answered_s = self._answers.get(subject)
        suspect = self._suspects.get(subject)
        if suspect is not None:
            answered_s = max(suspect.answered_s, answered_s or -math.inf)
        if answered_s is None or math.isinf(answered_s):
            return None
        return Answer(subject, answered_s)

    # Between hosts.

    def build_report(
        self, subjects: Iterable[Fingerprint], ends_max_count: int
    ) -> PoisonReport:
        """Returns what is known of some requests, as of now.

        Args:
            subjects: The requests.
            ends_max_count: Ends that are told, the last of them.
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

    def merge_report(self, told: PoisonReport) -> list[Fingerprint]:
        """Takes in what another host knows.

        Returns:
            The requests that are refused from now on.

        Raises:
            InvalidReportError: It cannot be true; nothing of it is taken in.
        """
        validate_report(told)
        named = {Fingerprint(end.subject) for end in told.ends}
        passed = [each for each in named if not self.refused_for_s(each)]
        now_s = self._clock.monotonic_s()
        for answer in told.answers:
            answered_s = now_s - answer.answered_ago_s
            self.record_answer(Answer(Fingerprint(answer.subject), answered_s))
        for end in told.ends:
            self.record_end(
                RunEnd(
                    Fingerprint(end.subject),
                    end.server,
                    now_s - end.sent_ago_s,
                    now_s - end.ended_ago_s,
                )
            )
        return [each for each in passed if self.refused_for_s(each)]

    def remove_expired(self) -> None:
        """Drops what no longer counts."""
        for subject in list(self._suspects):
            if not self.ends_of(subject):
                del self._suspects[subject]


def validate_report(told: PoisonReport) -> None:
    """Looks whether what another host tells can be true.

    Raises:
        InvalidReportError: It cannot.
    """
    for number, end in enumerate(told.ends):
        ages_s = (end.sent_ago_s, end.ended_ago_s)
        _check_entry(f"ends[{number}]", end.subject, ages_s)
    for number, answer in enumerate(told.answers):
        place = f"answers[{number}]"
        _check_entry(place, answer.subject, (answer.answered_ago_s,))


def _check_entry(place: str, subject: bytes, ages_s: Iterable[float]) -> None:
    """Looks whether one entry can be true."""
    if len(subject) != FINGERPRINT_BYTES:
        raise InvalidReportError(
            f"{place}: the subject has {len(subject)} bytes"
        )
    for age_s in ages_s:
        if not math.isfinite(age_s) or age_s < 0:
            raise InvalidReportError(f"{place}: the age is {age_s} s")


def _count_consecutive(ends: Iterable[RunEnd]) -> int:
    """Returns how many ends lie one after the other.

    Each of them is of a run that got the request after the one before ended.
    """
    count = 0
    free_s = -math.inf
    for end in sorted(ends, key=lambda each: each.ended_s):
        if end.sent_s >= free_s:
            count += 1
            free_s = end.ended_s
    return count
