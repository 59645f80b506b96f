"""Refuses requests that cannot be served, with when their callers may retry."""

from collections.abc import Sequence
import dataclasses
import math
import random

from bridgecross_core import outcomes
from bridgecross_entry import crash_watch
from bridgecross_entry import limited_servers as limited_servers_lib
from bridgecross_entry import request_state
from bridgecross_entry import server_selection
from bridgecross_entry import servers as servers_lib


@dataclasses.dataclass(frozen=True, slots=True)
class RefusalSettings:
    """Settings for when the callers of refused requests may retry."""

    # The Retry-After of a refusal without a better estimate. A move of keys or
    # a restart of all instances is over within 0.1 to 0.3 s.
    retry_after_ms: int = 100
    # The Retry-After of such a refusal if the caller has been waiting already.
    # What is not over by then is a lost server, whose keys others may take over
    # after 2 to 3 s. Callers retry only a few times; 0.1 s apart, they would
    # use up all their attempts in half a second.
    repeat_retry_after_ms: int = 1_000
    # Retry-After values for the end of a server's backoff are spread over this
    # time: callers that all return at once would overload the server again.
    backoff_jitter_s: float = 0.25


class Refusals:
    """Decides whether a request is refused, and when its caller may retry."""

    def __init__(
        self,
        settings: RefusalSettings,
        selector: server_selection.ServerSelector,
        limited_servers: limited_servers_lib.LimitedServers,
        watch: crash_watch.CrashWatch,
    ) -> None:
        """Stores what refusals depend on.

        Args:
            settings: When callers may retry.
            selector: Knows which servers are overloaded or cold.
            limited_servers: Knows which servers take no more requests.
            watch: Knows which requests crash servers.
        """
        self._settings = settings
        self._selector = selector
        self._limited_servers = limited_servers
        self._watch = watch

    @property
    def repeat_retry_after_ms(self) -> int:
        """The Retry-After of refusals that a quick return cannot help."""
        return self._settings.repeat_retry_after_ms

    def refuse_poison(
        self, state: request_state.RequestState
    ) -> outcomes.Outcome | None:
        """Refuses a request that crashed every server it was sent to.

        No server could answer it, and each one that tried would be unavailable
        to all other requests until it has restarted.
        """
        refused_for_s = self._watch.ledger.refused_for_s(state.fingerprint)
        if not refused_for_s:
            return self._refuse_during_trial(state)
        state.trail.append("servers end under it")
        refusal = self.refuse(
            "servers ended while they ran it", math.ceil(refused_for_s * 1_000)
        )
        return self.make_final_outcome(state, refusal)

    def _refuse_during_trial(
        self, state: request_state.RequestState
    ) -> outcomes.Outcome | None:
        """Refuses a suspect request while another instance tries it."""
        wait_s = self._watch.trial_wait_s(state.fingerprint)
        if not wait_s:
            return None
        state.trail.append("it is tried elsewhere first")
        refusal = self.refuse(
            "servers end under it, it seems", math.ceil(wait_s * 1_000)
        )
        return self.make_final_outcome(state, refusal)

    def refuse_if_full(
        self,
        state: request_state.RequestState,
        servers: Sequence[servers_lib.Server],
    ) -> outcomes.NotRun | None:
        """Refuses a request if every server that could serve it is overloaded.

        Each of them asked for a backoff or has just rejected this request, and
        would reject it again.

        Args:
            state: The request.
            servers: The servers that could serve it. If empty, this returns
                None, as the caller has a more precise reason to refuse it.
        """
        if not servers or self._selector.exclude_overloaded(
            servers, state.shed_by
        ):
            return None
        names = ", ".join(s.listed.server_id for s in servers[:3])
        if self._selector.exclude_backoffs(servers):
            state.trail.append(f"{names}: no other server")
            return self.refuse(
                "no server took it", self.default_retry_after_ms(state)
            )
        return self.refuse_for_backoff(state, servers)

    def refuse_if_limited(
        self,
        state: request_state.RequestState,
        servers: Sequence[servers_lib.Server],
    ) -> outcomes.NotRun | None:
        """Refuses a request if every server takes no more requests for now.

        Args:
            state: The request.
            servers: The servers that could serve it. If empty, this returns
                None, as the caller has a more precise reason to refuse it.
        """
        priority = state.route.priority
        if not servers or self._limited_servers.exclude_exhausted(
            servers, priority
        ):
            return None
        retry_after_s = self._limited_servers.retry_after_s(servers, priority)
        return self.refuse_limited(state, servers, retry_after_s)

    def refuse_limited(
        self,
        state: request_state.RequestState,
        servers: Sequence[servers_lib.Server],
        retry_after_s: float,
    ) -> outcomes.NotRun:
        """Refuses a request whose servers take no more requests for now."""
        self._limited_servers.count_refusal(state.service)
        described = self._limited_servers.describe(servers)
        state.trail.append(f"its servers limit their requests: {described}")
        return self.refuse(
            "its servers take no more requests",
            math.ceil(retry_after_s * 1_000),
        )

    def refuse_for_backoff(
        self,
        state: request_state.RequestState,
        servers: Sequence[servers_lib.Server],
    ) -> outcomes.NotRun:
        """Refuses a request whose servers all asked for a backoff."""
        backoff_s = self._selector.backoff_left_s(servers)
        # Jitter: callers that are refused together must not return together.
        backoff_s += random.uniform(0.0, self._settings.backoff_jitter_s)
        state.trail.append("its servers want to be left alone")
        return self.refuse("its servers are full", math.ceil(backoff_s * 1_000))

    def refuse_cold(
        self,
        state: request_state.RequestState,
        servers: Sequence[servers_lib.Server],
    ) -> outcomes.NotRun:
        """Refuses a request that only cold servers could serve."""
        warm_in_s = self._selector.warm_in_s(servers)
        state.trail.append("warming up")
        return self.refuse(
            "servers are warming up", math.ceil(warm_in_s * 1_000)
        )

    def make_final_outcome(
        self, state: request_state.RequestState, refusal: outcomes.NotRun
    ) -> outcomes.Outcome:
        """Returns the outcome of a request that is given up.

        Attempts that ran or may have run take precedence over the refusal.
        """
        if state.last_failure is not None:
            return state.last_failure
        if state.possible_runs:
            return outcomes.Unknown(refusal.reason, 502)
        return refusal

    def time_out(self, state: request_state.RequestState) -> outcomes.Outcome:
        """Returns the outcome of a request whose deadline has passed."""
        state.trail.append("out of time")
        if state.in_flight or state.possible_runs:
            return outcomes.Unknown("no answer came in time", 504)
        return self.refuse("no server had room in time")

    def default_retry_after_ms(self, state: request_state.RequestState) -> int:
        """Returns the Retry-After for a refusal of unknown duration."""
        settings = self._settings
        is_first = state.caller_age_s == 0.0
        return (
            settings.retry_after_ms
            if is_first
            else settings.repeat_retry_after_ms
        )

    def refuse(
        self, reason: str, retry_after_ms: int | None = None
    ) -> outcomes.NotRun:
        """Returns a refusal with a Retry-After."""
        if retry_after_ms is None:
            retry_after_ms = self._settings.retry_after_ms
        return not_run(reason, retry_after_ms=retry_after_ms)


def not_run(
    reason: str, *, status: int = 503, retry_after_ms: int = 0
) -> outcomes.NotRun:
    """Returns a refusal by this instance."""
    return outcomes.NotRun(
        outcomes.NotRunProof.REFUSED_BY_ADMISSION,
        reason,
        status,
        retry_after_ms,
    )
