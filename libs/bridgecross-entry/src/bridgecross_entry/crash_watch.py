"""Finds out which requests were at work at a server when its run ended.

A connection that breaks proves little: a full server resets too, and so does a
link. So the server is looked at right after: an address that refuses
connections just after it broke one has no process any more. Nothing is sent on
such a look, and a connection that comes about is kept for the next request.
"""

from collections.abc import Callable
import dataclasses
import enum
import functools
import math

import anyio
import anyio.abc

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_entry import attempts
from bridgecross_entry import journal as journals
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import model
from bridgecross_entry import servers as servers_lib
from bridgecross_entry import tasks as tasks_lib
from bridgecross_request import error_answers
from bridgecross_request import poison_requests

_FIRST_ERROR_STATUS = 500
_TRIALS_MAX_COUNT = 64


@dataclasses.dataclass(frozen=True, slots=True)
class CrashWatchSettings:
    """How servers are looked at, and for how long that says something."""

    # A process that is ending closes its connections one after the other, and
    # may still accept new ones meanwhile; the second look finds it gone.
    look_again_s: float = 0.05
    # The longest that a request waits to be told whether its server has ended
    # before it goes to another one; a look takes a round trip.
    verdict_wait_s: float = 0.15
    # What broke or was given up longer ago has no part in a refusal now.
    refused_evidence_s: float = 1.0
    # A server that starts again at once refuses nobody; the list shows its
    # next run after a heartbeat or two.
    listed_evidence_s: float = 5.0
    # While one more end would be enough to refuse a request, one instance may
    # send it at first, and after each such pause twice as many. Else all that
    # wait for a lost key would be at work where the third server ends.
    trial_step_s: float = 0.5
    # Requests that left without an answer and are remembered, 0.3 KB each.
    left_max_count: int = 2_048


class _State(enum.Enum):
    """What has become of a request at a server."""

    RUNNING = "running"
    BROKEN = "broken"
    GIVEN_UP = "given up"


@dataclasses.dataclass(eq=False, slots=True)
class Visit:
    """A request at a server's run."""

    subject: poison_requests.Fingerprint
    # Under which id it went there, for logs.
    request_id: str
    server: model.BackendServer
    sent_s: float
    state: _State = _State.RUNNING
    # When it broke or was given up.
    left_s: float = 0.0


class CrashWatch:
    """This instance's requests at servers, and which of them ended there."""

    def __init__(
        self,
        settings: CrashWatchSettings,
        ledger: poison_requests.PoisonLedger,
        client: attempts.BackendClient,
        book: servers_lib.ServerRegistry,
        journal: journals.Journal,
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
    ) -> None:
        """Watches nothing yet.

        Args:
            settings: How servers are looked at.
            ledger: Told of ends and answers.
            client: Looks at servers.
            book: Tells of runs that have ended.
            journal: Told of ends.
            metrics: Counts them.
            clock: For all times.
        """
        self.ledger = ledger
        # Called with ends that were not known, to tell other instances.
        self.on_ends: Callable[[list[poison_requests.RunEnd]], None] = (
            lambda _: None
        )
        # Called with a request that is refused, or would be after another
        # end, and is answered.
        self.on_cleared: Callable[[poison_requests.Fingerprint], None] = (
            lambda _: None
        )
        # Returns how many other instances are to try a request before this one.
        self.rank: Callable[[poison_requests.Fingerprint], int] = lambda _: 0
        # When a request may be tried here, by it and its newest end.
        self._opens_s: dict[
            tuple[poison_requests.Fingerprint, float], float
        ] = {}
        self._settings = settings
        self._client = client
        self._book = book
        self._journal = journal
        self._metrics = metrics
        self._clock = clock
        # What is at servers, or left them without an answer, by their runs.
        self._visits: dict[ids.ServerId, set[Visit]] = {}
        # Those that left, the first of them first.
        self._left: dict[Visit, None] = {}
        self._errors = error_answers.ErrorAnswers()
        # Looks that are under way.
        self._looks: dict[ids.ServerId, anyio.Event] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        book.on_run_ended = self.note_ended

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Begins to look at servers.

        Args:
            tasks: Where looks run.
        """
        self._tasks = tasks

    # What may be sent.

    def may_send(self, subject: poison_requests.Fingerprint) -> bool:
        """Whether a request that could be sent now may be, from here."""
        if self.ledger.refused_for_s(subject):
            return False
        if self.ledger.is_nearly_refused(subject):
            self._begin_trial(subject)
        return self.trial_wait_s(subject) <= 0

    def trial_wait_s(self, subject: poison_requests.Fingerprint) -> float:
        """Returns for how long others try a request first; 0 if none do."""
        if not self.ledger.is_nearly_refused(subject):
            return 0.0
        opens_s = self._opens_s.get(self._name_trial(subject), -math.inf)
        wait_s = opens_s - self._clock.monotonic_s()
        if wait_s <= 0 and self._is_at_work(subject):
            return self._settings.trial_step_s
        return max(wait_s, 0.0)

    def _begin_trial(self, subject: poison_requests.Fingerprint) -> None:
        """Finds out when it is this instance's turn, once for each end.

        Counted from when a server could take it: a key that has lost its owner
        may have none for seconds.
        """
        name = self._name_trial(subject)
        if name in self._opens_s:
            return
        wait_s = self._settings.trial_step_s * self.rank(subject).bit_length()
        self._opens_s[name] = self._clock.monotonic_s() + wait_s
        if len(self._opens_s) > _TRIALS_MAX_COUNT:
            del self._opens_s[next(iter(self._opens_s))]

    def _name_trial(
        self, subject: poison_requests.Fingerprint
    ) -> tuple[poison_requests.Fingerprint, float]:
        """Returns a request and its newest end, after which it is tried."""
        ends = self.ledger.ends_of(subject)
        return subject, max(end.ended_s for end in ends)

    def _is_at_work(self, subject: poison_requests.Fingerprint) -> bool:
        """Whether a server runs a request that went there from here."""
        return any(
            visit.subject == subject and visit.state is _State.RUNNING
            for visits in self._visits.values()
            for visit in visits
        )

    # Requests at servers.

    def begin(
        self,
        subject: poison_requests.Fingerprint,
        request_id: str,
        server: model.BackendServer,
    ) -> Visit:
        """Takes it that a request is sent to a server."""
        now_s = self._clock.monotonic_s()
        visit = Visit(subject, request_id, server, now_s)
        self._visits.setdefault(server.server_id, set()).add(visit)
        return visit

    def end(
        self,
        visit: Visit,
        result: attempts.Attempt | attempts.Withheld | None,
    ) -> None:
        """Takes in how a visit ended.

        Args:
            visit: As ``begin`` returned it.
            result: What came of it; None if nobody waits for it any more.
        """
        server_id = visit.server.server_id
        if result is not None and not isinstance(result, attempts.Interrupted):
            self._drop(visit)
            self._take_result(visit, result)
            return
        visit.left_s = self._clock.monotonic_s()
        self._left[visit] = None
        if len(self._left) > self._settings.left_max_count:
            self._drop(next(iter(self._left)))
        if result is None:
            visit.state = _State.GIVEN_UP
            return
        visit.state = _State.BROKEN
        if self._book.has_ended(server_id):
            self.note_ended(server_id)
        else:
            self._look_soon(visit.server)

    def _take_result(
        self, visit: Visit, result: attempts.Attempt | attempts.Withheld
    ) -> None:
        """Takes in an answer, or that nobody listens at the server."""
        if isinstance(result, outcomes.Answered):
            self._take_answered(visit, result.status)
        elif isinstance(result, attempts.NotSent) and result.refused:
            self._note_refused(visit.server.server_id)

    def _take_answered(self, visit: Visit, status: int) -> None:
        """Takes in that a server answered, which may be ending."""
        server_id = visit.server.server_id
        now_s = self._clock.monotonic_s()
        for answer in self._errors.take_confirmed(server_id, visit.sent_s):
            self._take_answer(answer)
        if status < _FIRST_ERROR_STATUS:
            self._take_answer(poison_requests.Answer(visit.subject, now_s))
        else:
            self._errors.note_error(server_id, visit.subject, now_s)

    def _take_answer(self, answer: poison_requests.Answer) -> None:
        """Takes in that a server ran a request, and lived."""
        concerns_others = self.ledger.is_nearly_refused(answer.subject)
        self.ledger.record_answer(answer)
        if concerns_others:
            self.on_cleared(answer.subject)

    async def wait_for_verdict(self, server: model.BackendServer) -> None:
        """Waits until it is known whether a server's run has ended."""
        look = self._looks.get(server.server_id)
        if look is not None:
            with anyio.move_on_after(self._settings.verdict_wait_s):
                await look.wait()

    def sweep(self) -> None:
        """Forgets what left its server so long ago that it says nothing."""
        now_s = self._clock.monotonic_s()
        longest_s = self._settings.listed_evidence_s
        for visit in list(self._left):
            if now_s - visit.left_s <= longest_s:
                break
            self._drop(visit)
        self.ledger.remove_expired()

    def _drop(self, visit: Visit) -> None:
        """Remembers a visit no longer."""
        self._left.pop(visit, None)
        server_id = visit.server.server_id
        visits = self._visits.get(server_id)
        if visits is not None:
            visits.discard(visit)
            if not visits:
                del self._visits[server_id]

    # Servers that end.

    def _look_soon(self, server: model.BackendServer) -> None:
        """Looks at a server, unless that is being done."""
        if self._tasks is None or server.server_id in self._looks:
            return
        self._looks[server.server_id] = anyio.Event()
        look = functools.partial(self._look, server)
        self._tasks.start_soon(tasks_lib.run_once, look, self._journal)

    async def _look(self, server: model.BackendServer) -> None:
        """Finds out whether a server's run has ended."""
        look = self._looks[server.server_id]
        try:
            if await self._is_refusing(server):
                return
            await anyio.sleep(self._settings.look_again_s)
            await self._is_refusing(server)
        finally:
            del self._looks[server.server_id]
            look.set()

    async def _is_refusing(self, server: model.BackendServer) -> bool:
        """Whether nobody listens at a server's address any more."""
        if self._book.notices.wants_backoff(server.server_id):
            return False
        if not await self._client.is_refusing(server):
            return False
        self._note_refused(server.server_id)
        return True

    def _note_refused(self, server_id: ids.ServerId) -> None:
        """Takes in that an address refuses connections.

        A server that is about to end refuses too while it answers the last
        requests; so only what it left without an answer counts.
        """
        window_s = self._settings.refused_evidence_s
        self._count_ends(server_id, window_s, "it refuses connections")

    def note_ended(self, server_id: ids.ServerId) -> None:
        """Takes in that a run has certainly ended."""
        window_s = self._settings.listed_evidence_s
        self._errors.forget(server_id)
        self._count_ends(server_id, window_s, "another run is known")

    def note_seen_elsewhere(self, server_id: ids.ServerId) -> None:
        """Takes in that another instance saw a run end under a request.

        Who has given up its own requests there has not looked.
        """
        window_s = self._settings.refused_evidence_s
        self._count_ends(server_id, window_s, "another instance saw it end")

    def _count_ends(
        self, server_id: ids.ServerId, window_s: float, reason: str
    ) -> None:
        """Counts an end for each request that got no answer."""
        now_s = self._clock.monotonic_s()
        struck = [
            visit
            for visit in self._visits.get(server_id, ())
            if visit.state is not _State.RUNNING
            and now_s - visit.left_s <= window_s
        ]
        for visit in struck:
            self._drop(visit)
        ends = [self._make_end(visit, reason) for visit in struck]
        new = [end for end in ends if self.ledger.record_end(end)]
        if new:
            self.on_ends(new)

    def _make_end(self, visit: Visit, reason: str) -> poison_requests.RunEnd:
        """Returns the end of a run under a request, and writes it."""
        self._metrics.crashes.inc({"service": visit.server.service})
        self._journal.decision(
            "ended_under_request",
            server=visit.server.server_id,
            service=visit.server.service,
            request=visit.request_id,
            subject=visit.subject.hex(),
            left=visit.state.value,
            at_work_ms=round((visit.left_s - visit.sent_s) * 1_000, 1),
            reason=reason,
        )
        return poison_requests.RunEnd(
            visit.subject,
            visit.server.server_id,
            visit.sent_s,
            visit.left_s,
        )
