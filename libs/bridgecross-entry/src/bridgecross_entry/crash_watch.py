"""Finds out which requests were running at a server when its run ended.

A broken connection proves little: an overloaded server resets connections too,
and so does a faulty link. Therefore the server is probed right after: an
address that refuses connections just after it broke one has no process any
more. A probe sends nothing, and if it connects, the connection is kept for the
next request.
"""

from collections.abc import Callable
import dataclasses
import enum
import functools
import math
from typing import Protocol

import anyio
import anyio.abc

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_entry import attempts
from bridgecross_entry import journal as journals
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import model
from bridgecross_entry import server_registry
from bridgecross_entry import tasks as tasks_lib
from bridgecross_request import error_answers
from bridgecross_request import poison_requests

_FIRST_ERROR_STATUS = 500
_TRIALS_MAX_COUNT = 64


@dataclasses.dataclass(frozen=True, slots=True)
class CrashWatchSettings:
    """Timing of probes, and how long evidence remains valid."""

    # A terminating process closes its connections one after the other, and may
    # still accept new ones meanwhile; the second probe finds it gone.
    second_probe_delay_s: float = 0.05
    # The longest that a request waits for the result of a probe of its server
    # before it is sent to another one; a probe takes one round trip.
    verdict_wait_s: float = 0.15
    # A request that broke or was given up longer ago is not attributed to a
    # connection refused now.
    refused_evidence_s: float = 1.0
    # A server that restarts immediately refuses no connection; the list shows
    # its next run after one or two heartbeats.
    listed_evidence_s: float = 5.0
    # While one more end would make a request refused, only one instance may
    # send it at first, and twice as many after each such interval. Otherwise
    # all requests waiting for a lost key would be running at the third server
    # when it ends.
    trial_interval_s: float = 0.5
    # The number of unanswered requests that are remembered, at 0.3 KB each.
    unanswered_max_count: int = 2_048


class _State(enum.Enum):
    """The state of a request sent to a server."""

    RUNNING = "running"
    BROKEN = "broken"
    GIVEN_UP = "given up"


@dataclasses.dataclass(eq=False, slots=True)
class SentRequest:
    """A request that was sent to a run of a server."""

    subject: poison_requests.Fingerprint
    # The id under which it was sent, for log lines.
    request_id: str
    server: model.BackendServer
    sent_s: float
    state: _State = _State.RUNNING
    # When it broke or was given up.
    unanswered_since_s: float = 0.0


class ServerProber(Protocol):
    """Finds out whether servers have no process any more."""

    async def is_refusing(self, server: model.BackendServer) -> bool:
        """Whether a server's address refuses connections."""


class CrashWatch:
    """Tracks this instance's requests at servers and the ends of runs."""

    def __init__(
        self,
        settings: CrashWatchSettings,
        ledger: poison_requests.PoisonLedger,
        client: ServerProber,
        registry: server_registry.ServerRegistry,
        journal: journals.Journal,
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
    ) -> None:
        """Starts without any requests.

        Args:
            settings: Timing of probes.
            ledger: Receives ends and answers.
            client: Probes servers.
            registry: Reports runs that have ended.
            journal: Records ends.
            metrics: Counts ends.
            clock: Measures all times.
        """
        self.ledger = ledger
        # Called with newly found ends, to inform other instances.
        self.on_ends: Callable[[list[poison_requests.RunEnd]], None] = (
            lambda _: None
        )
        # Called with an answered request that was refused, or would have been
        # after another end.
        self.on_cleared: Callable[[poison_requests.Fingerprint], None] = (
            lambda _: None
        )
        # Returns how many other instances may try a request before this one.
        self.rank: Callable[[poison_requests.Fingerprint], int] = lambda _: 0
        # When a request may be tried here, by request and its newest end.
        self._trial_starts_s: dict[
            tuple[poison_requests.Fingerprint, float], float
        ] = {}
        self._settings = settings
        self._client = client
        self._registry = registry
        self._journal = journal
        self._metrics = metrics
        self._clock = clock
        # Requests that are running or remained unanswered, by run.
        self._sent_requests: dict[ids.ServerId, set[SentRequest]] = {}
        # Unanswered requests, oldest first.
        self._unanswered: dict[SentRequest, None] = {}
        self._errors = error_answers.ErrorAnswers()
        # Probes in progress.
        self._probes: dict[ids.ServerId, anyio.Event] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        registry.on_run_ended = self.note_ended

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Enables probes.

        Args:
            tasks: Runs the probes.
        """
        self._tasks = tasks

    # Trials of suspect requests.

    def may_send(self, subject: poison_requests.Fingerprint) -> bool:
        """Whether this instance may send a request now."""
        if self.ledger.refused_for_s(subject):
            return False
        if self.ledger.is_nearly_refused(subject):
            self._schedule_trial(subject)
        return self.trial_wait_s(subject) <= 0

    def trial_wait_s(self, subject: poison_requests.Fingerprint) -> float:
        """Returns how long other instances try a request first; 0 if none."""
        if not self.ledger.is_nearly_refused(subject):
            return 0.0
        trial_start_s = self._trial_starts_s.get(
            self._trial_key(subject), -math.inf
        )
        wait_s = trial_start_s - self._clock.monotonic_s()
        if wait_s <= 0 and self._is_running(subject):
            return self._settings.trial_interval_s
        return max(wait_s, 0.0)

    def _schedule_trial(self, subject: poison_requests.Fingerprint) -> None:
        """Determines when this instance may try a request, once per end.

        The time counts from when a server could serve the request: a key that
        has lost its owner may have none for seconds.
        """
        trial_key = self._trial_key(subject)
        if trial_key in self._trial_starts_s:
            return
        wait_s = (
            self._settings.trial_interval_s * self.rank(subject).bit_length()
        )
        self._trial_starts_s[trial_key] = self._clock.monotonic_s() + wait_s
        if len(self._trial_starts_s) > _TRIALS_MAX_COUNT:
            del self._trial_starts_s[next(iter(self._trial_starts_s))]

    def _trial_key(
        self, subject: poison_requests.Fingerprint
    ) -> tuple[poison_requests.Fingerprint, float]:
        """Returns a request and the time of its newest end."""
        ends = self.ledger.ends_of(subject)
        return subject, max(end.ended_s for end in ends)

    def _is_running(self, subject: poison_requests.Fingerprint) -> bool:
        """Whether a request sent by this instance is running at a server."""
        return any(
            sent_request.subject == subject
            and sent_request.state is _State.RUNNING
            for sent_requests in self._sent_requests.values()
            for sent_request in sent_requests
        )

    # Requests at servers.

    def begin(
        self,
        subject: poison_requests.Fingerprint,
        request_id: str,
        server: model.BackendServer,
    ) -> SentRequest:
        """Records that a request is sent to a server."""
        now_s = self._clock.monotonic_s()
        sent_request = SentRequest(subject, request_id, server, now_s)
        self._sent_requests.setdefault(server.server_id, set()).add(
            sent_request
        )
        return sent_request

    def end(
        self,
        sent_request: SentRequest,
        result: attempts.Attempt | attempts.Withheld | None,
    ) -> None:
        """Records the result of a sent request.

        Args:
            sent_request: As returned by ``begin``.
            result: The result; None if nobody waits for it any more.
        """
        server_id = sent_request.server.server_id
        if result is not None and not isinstance(result, attempts.Interrupted):
            self._forget(sent_request)
            self._process_result(sent_request, result)
            return
        sent_request.unanswered_since_s = self._clock.monotonic_s()
        self._unanswered[sent_request] = None
        if len(self._unanswered) > self._settings.unanswered_max_count:
            self._forget(next(iter(self._unanswered)))
        if result is None:
            sent_request.state = _State.GIVEN_UP
            return
        sent_request.state = _State.BROKEN
        if self._registry.has_ended(server_id):
            self.note_ended(server_id)
        else:
            self._start_probe(sent_request.server)

    def _process_result(
        self,
        sent_request: SentRequest,
        result: attempts.Attempt | attempts.Withheld,
    ) -> None:
        """Processes an answer or a refused connection."""
        if isinstance(result, outcomes.Answered):
            self._process_answered(sent_request, result.status)
        elif isinstance(result, attempts.NotSent) and result.refused:
            self._note_refused(sent_request.server.server_id)

    def _process_answered(self, sent_request: SentRequest, status: int) -> None:
        """Processes an answer of a server, which may be about to end."""
        server_id = sent_request.server.server_id
        now_s = self._clock.monotonic_s()
        for answer in self._errors.pop_confirmed(
            server_id, sent_request.sent_s
        ):
            self._record_answer(answer)
        if status < _FIRST_ERROR_STATUS:
            self._record_answer(
                poison_requests.Answer(sent_request.subject, now_s)
            )
        else:
            self._errors.record_error(server_id, sent_request.subject, now_s)

    def _record_answer(self, answer: poison_requests.Answer) -> None:
        """Records that a server answered a request and kept running."""
        is_relevant_to_others = self.ledger.is_nearly_refused(answer.subject)
        self.ledger.record_answer(answer)
        if is_relevant_to_others:
            self.on_cleared(answer.subject)

    async def wait_for_verdict(self, server: model.BackendServer) -> None:
        """Waits for the probe of a server, if one is in progress."""
        probe = self._probes.get(server.server_id)
        if probe is not None:
            with anyio.move_on_after(self._settings.verdict_wait_s):
                await probe.wait()

    def sweep(self) -> None:
        """Forgets unanswered requests that are too old to be evidence."""
        now_s = self._clock.monotonic_s()
        longest_s = self._settings.listed_evidence_s
        for sent_request in list(self._unanswered):
            if now_s - sent_request.unanswered_since_s <= longest_s:
                break
            self._forget(sent_request)
        self.ledger.remove_expired()

    def _forget(self, sent_request: SentRequest) -> None:
        """Removes a sent request."""
        self._unanswered.pop(sent_request, None)
        server_id = sent_request.server.server_id
        sent_requests = self._sent_requests.get(server_id)
        if sent_requests is not None:
            sent_requests.discard(sent_request)
            if not sent_requests:
                del self._sent_requests[server_id]

    # Runs that end.

    def _start_probe(self, server: model.BackendServer) -> None:
        """Starts a probe of a server, unless one is in progress."""
        if self._tasks is None or server.server_id in self._probes:
            return
        self._probes[server.server_id] = anyio.Event()
        probe = functools.partial(self._probe, server)
        self._tasks.start_soon(tasks_lib.run_once, probe, self._journal)

    async def _probe(self, server: model.BackendServer) -> None:
        """Probes a server, up to twice, for whether its run has ended."""
        probe = self._probes[server.server_id]
        try:
            if await self._is_refusing(server):
                return
            await anyio.sleep(self._settings.second_probe_delay_s)
            await self._is_refusing(server)
        finally:
            del self._probes[server.server_id]
            probe.set()

    async def _is_refusing(self, server: model.BackendServer) -> bool:
        """Whether a server's address refuses connections."""
        if self._registry.notices.wants_backoff(server.server_id):
            return False
        if not await self._client.is_refusing(server):
            return False
        self._note_refused(server.server_id)
        return True

    def _note_refused(self, server_id: ids.ServerId) -> None:
        """Records that a server's address refuses connections.

        A server that is shutting down also refuses connections while it answers
        its last requests, so only unanswered requests count.
        """
        window_s = self._settings.refused_evidence_s
        self._count_ends(server_id, window_s, "it refuses connections")

    def note_ended(self, server_id: ids.ServerId) -> None:
        """Records that a run has certainly ended."""
        window_s = self._settings.listed_evidence_s
        self._errors.forget(server_id)
        self._count_ends(server_id, window_s, "another run is known")

    def note_ended_elsewhere(self, server_id: ids.ServerId) -> None:
        """Records that another instance saw a run end under a request.

        This instance has not probed the server if it gave up its requests.
        """
        window_s = self._settings.refused_evidence_s
        self._count_ends(server_id, window_s, "another instance saw it end")

    def _count_ends(
        self, server_id: ids.ServerId, window_s: float, reason: str
    ) -> None:
        """Records an end for each recent request that got no answer."""
        now_s = self._clock.monotonic_s()
        affected = [
            sent_request
            for sent_request in self._sent_requests.get(server_id, ())
            if sent_request.state is not _State.RUNNING
            and now_s - sent_request.unanswered_since_s <= window_s
        ]
        for sent_request in affected:
            self._forget(sent_request)
        ends = [
            self._record_end(sent_request, reason) for sent_request in affected
        ]
        new = [end for end in ends if self.ledger.record_end(end)]
        if new:
            self.on_ends(new)

    def _record_end(
        self, sent_request: SentRequest, reason: str
    ) -> poison_requests.RunEnd:
        """Logs and returns the end of a run under a request."""
        self._metrics.crashes.inc({"service": sent_request.server.service})
        self._journal.decision(
            "ended_under_request",
            server=sent_request.server.server_id,
            service=sent_request.server.service,
            request=sent_request.request_id,
            subject=sent_request.subject.hex(),
            left=sent_request.state.value,
            at_work_ms=round(
                (sent_request.unanswered_since_s - sent_request.sent_s) * 1_000,
                1,
            ),
            reason=reason,
        )
        return poison_requests.RunEnd(
            sent_request.subject,
            sent_request.server.server_id,
            sent_request.sent_s,
            sent_request.unanswered_since_s,
        )
