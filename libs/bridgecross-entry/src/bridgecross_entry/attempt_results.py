"""Handles the results of attempts: answers, retries and statistics."""

from collections.abc import Callable
import dataclasses

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_entry import attempts
from bridgecross_entry import crash_watch
from bridgecross_entry import keymap
from bridgecross_entry import refusals as refusals_lib
from bridgecross_entry import request_state
from bridgecross_entry import server_registry
from bridgecross_entry import servers as servers_lib

_FIRST_ERROR_STATUS = 500


@dataclasses.dataclass(frozen=True, slots=True)
class ResultSettings:
    """Settings for how requests are retried."""

    # The pause after a server answered that it does not own the key, cut short
    # by a newer key map; it doubles with each such answer. After a restart of
    # all instances the keys are granted again within 0.1 to 0.3 s, and each
    # attempt counts as a retry.
    not_owner_pause_s: float = 0.05
    # Attempts in addition to the route's maximum, available when answers prove
    # that nothing ran.
    extra_attempts: int = 2
    # A connection that breaks within this fraction of the server's usual
    # latency was reset because the server is full; answers that break off do
    # so after the work.
    early_reset_ratio: float = 0.25
    # How often a request is sent again to the owner of its key that rejected it
    # although it had a permit. The owner has a free slot then, so it does not
    # reject for lack of one, and the caller would have to return for the same
    # owner. Each time costs a retry of the service's budget.
    owner_retries_max_count: int = 1


class ResultHandler:
    """Decides how a request goes on after an attempt."""

    def __init__(
        self,
        settings: ResultSettings,
        registry: server_registry.ServerRegistry,
        table: keymap.KeyTable,
        refusals: refusals_lib.Refusals,
        watch: crash_watch.CrashWatch,
        is_keyed: Callable[[request_state.RequestState], bool],
        count_answer: Callable[[ids.ServiceName, ids.ServerId, float], None],
        clock: clocks.Clock,
    ) -> None:
        """Stores what results are reported to.

        Args:
            settings: How requests are retried.
            registry: Is told of servers that have ended.
            table: Tells when the owners of keys change.
            refusals: Makes the outcomes of requests that are given up.
            watch: Finds out which requests crash servers.
            is_keyed: Whether the servers of a request's service own keys.
            count_answer: Counts an answer for the load of its service: the
                service, the server, and how long the attempt took in seconds.
            clock: The time source.
        """
        self._settings = settings
        self._registry = registry
        self._table = table
        self._refusals = refusals
        self._watch = watch
        self._is_keyed = is_keyed
        self._count_answer = count_answer
        self._clock = clock

    async def handle(
        self,
        state: request_state.RequestState,
        server: servers_lib.Server,
        result: attempts.Attempt,
        held_s: float,
        *,
        had_permit: bool = False,
    ) -> outcomes.Outcome | None:
        """Records the result of an attempt, and decides how to go on.

        Args:
            state: The request.
            server: The server that it was sent to.
            result: The result.
            held_s: How long the attempt took.
            had_permit: Whether a slot of the server was granted for it.

        Returns:
            The outcome of the request; None if another attempt is allowed.
        """
        server_id = server.listed.server_id
        now_s = self._clock.monotonic_s()
        if not isinstance(result, attempts.NotSent):
            state.delivered_count += 1
        if isinstance(result, outcomes.Answered):
            return self._handle_answer(state, server, result, held_s)
        if isinstance(result, attempts.Interrupted):
            return await self._handle_interrupted(state, server, result, held_s)
        if isinstance(result, attempts.NotSent):
            if result.refused:
                server.note_refused(now_s)
            else:
                server.note_unreachable(now_s)
            state.trail.append(f"{server_id}: not sent: {result.reason}")
        elif isinstance(result, attempts.Shed):
            server.note_answer(held_s, failed=True)
            self._note_shed(state, server, result, had_permit=had_permit)
        else:
            state.trail.append(f"{server_id}: not the owner")
            is_other_server = result.answered_by != server.listed.name
            if result.answered_by and is_other_server:
                self._registry.end(
                    server_id, f"{result.answered_by} has its address"
                )
            else:
                pause_s = (
                    self._settings.not_owner_pause_s * 2**state.not_owner_count
                )
                state.not_owner_count += 1
                await self._table.changed.wait(pause_s)
        if self._may_retry(state):
            return None
        refusal = self._refusals.refuse(
            "no server took it", self._refusals.default_retry_after_ms(state)
        )
        return self._refusals.make_final_outcome(state, refusal)

    def _note_shed(
        self,
        state: request_state.RequestState,
        server: servers_lib.Server,
        result: attempts.Shed,
        *,
        had_permit: bool,
    ) -> None:
        """Records that a server rejected a request."""
        server_id = server.listed.server_id
        backoff_s = self._registry.notices.backoff_left_s(server_id)
        if had_permit and not backoff_s and self._may_try_owner(state):
            state.owner_retries_count += 1
        else:
            state.shed_by = server_id
        server.lower_concurrency(self._clock.monotonic_s())
        backoff_text = (
            f", asks for {backoff_s:.1f} s of rest" if backoff_s else ""
        )
        state.trail.append(
            f"{server_id}: shed with {result.status}{backoff_text}"
        )

    async def _handle_interrupted(
        self,
        state: request_state.RequestState,
        server: servers_lib.Server,
        result: attempts.Interrupted,
        held_s: float,
    ) -> outcomes.Outcome | None:
        """Retries an interrupted attempt if a repetition is harmless."""
        state.possible_runs += 1
        if result.blames_server:
            server.note_interrupted()
            server.lower_concurrency(self._clock.monotonic_s())
        server_id = server.listed.server_id
        state.trail.append(f"{server_id}: interrupted: {result.reason}")
        if self._watch.ledger.is_suspect(state.fingerprint):
            # The request may crash another server, so it waits until it is
            # known whether this one has crashed.
            await self._watch.wait_for_verdict(server.listed)
        # Only the owner of the key could serve the request, and an owner that
        # resets the connection this early is full, so the caller has to retry.
        early_s = self._settings.early_reset_ratio * server.latency_s
        is_early = result.blames_server and held_s < early_s
        is_full = self._is_keyed(state) and is_early
        if not is_full and state.route.idempotent and self._may_retry(state):
            return None
        return self._refusals.make_final_outcome(
            state, self._refusals.refuse(result.reason)
        )

    def _handle_answer(
        self,
        state: request_state.RequestState,
        server: servers_lib.Server,
        answer: outcomes.Answered,
        held_s: float,
    ) -> outcomes.Outcome | None:
        """Returns a server's answer, or None to retry a harmless failure."""
        failed = answer.status >= _FIRST_ERROR_STATUS
        server_id = server.listed.server_id
        server.note_answer(held_s, failed=failed)
        state.possible_runs += 1
        if not failed:
            server.raise_concurrency()
            self._count_answer(state.service, server_id, held_s)
            state.trail.append(f"{server_id}: {answer.status}")
            return answer
        state.trail.append(f"{server_id}: failed with {answer.status}")
        state.last_failure = answer
        if state.route.idempotent and self._may_retry(state):
            return None
        return answer

    def _may_try_owner(self, state: request_state.RequestState) -> bool:
        """Whether the owner of a key may be tried again after it rejected.

        It is only for services whose servers have few slots; callers of other
        services have to return.
        """
        return (
            self._is_keyed(state)
            and self._registry.has_few_slots(state.service)
            and state.owner_retries_count
            < self._settings.owner_retries_max_count
        )

    def _may_retry(self, state: request_state.RequestState) -> bool:
        """Whether another attempt is allowed and the deadline is not over."""
        trail_count = len(state.trail)
        max_count = state.route.max_attempts + self._settings.extra_attempts
        remaining_s = state.deadline_s - self._clock.monotonic_s()
        return state.possible_runs < state.route.max_attempts and (
            trail_count < max_count and remaining_s > 0
        )
