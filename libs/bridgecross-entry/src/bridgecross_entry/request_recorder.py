"""Logs the outcomes of requests, and counts them in the metrics."""

from bridgecross_core import clock as clocks
from bridgecross_core import outcomes
from bridgecross_entry import journal as journals
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import request_state
from bridgecross_entry import tally as tallies

_FIRST_ERROR_STATUS = 500


class RequestRecorder:
    """Records how requests ended."""

    def __init__(
        self,
        journal: journals.Journal,
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
    ) -> None:
        """Starts without any requests.

        Args:
            journal: Logs the outcome of each request.
            metrics: Counts requests.
            clock: The time source.
        """
        # The totals of each route.
        self.tally = tallies.RequestTally(journal)
        self._journal = journal
        self._metrics = metrics
        self._clock = clock

    def record(
        self,
        state: request_state.RequestState,
        abort_reason: str,
        outcome: outcomes.Outcome | None = None,
    ) -> None:
        """Logs a request's outcome and counts it in the metrics."""
        now_s = self._clock.monotonic_s()
        took_s = now_s - state.request.received_s
        outcome_name = abort_reason or type(outcome).__name__
        self._metrics.requests.inc(
            {"service": state.service, "outcome": outcome_name}
        )
        labels = {"service": state.service}
        self._metrics.request_seconds.observe(labels, took_s)
        self._tally_outcome(state, abort_reason, outcome, now_s)
        is_routine = (
            isinstance(outcome, outcomes.Answered)
            and outcome.status < _FIRST_ERROR_STATUS
            and len(state.trail) == 1
            and took_s * 1_000 <= state.route.target_latency_ms
        )
        write = self._journal.routine if is_routine else self._journal.decision
        write(
            "request",
            request=state.request.request_id,
            caller=state.request.caller,
            target=state.request.target.decode("latin-1"),
            route=state.route.name,
            service=state.service,
            key=state.request.key,
            configuration=state.configuration_version,
            outcome=outcome_name,
            status=getattr(outcome, "status", None),
            trail=state.trail,
            **_describe_forwards(state),
            took_ms=round(took_s * 1_000, 1),
            left_ms=round((state.deadline_s - now_s) * 1_000, 1),
        )

    def _tally_outcome(
        self,
        state: request_state.RequestState,
        abort_reason: str,
        outcome: outcomes.Outcome | None,
        now_s: float,
    ) -> None:
        """Adds a request to the totals of its route."""
        if abort_reason:
            outcome_label = tallies.CALLER_LEFT
        elif isinstance(outcome, outcomes.Answered) and (
            outcome.status < _FIRST_ERROR_STATUS
        ):
            in_time = now_s <= state.target_s
            outcome_label = tallies.IN_TIME if in_time else tallies.LATE
        else:
            outcome_label = tallies.find_cause(state.trail)
        result = tallies.RequestResult(
            state.caller_age_s == 0.0,
            outcome_label,
            now_s - state.request.received_s,
        )
        self.tally.count(state.route, state.service, result)


def _describe_forwards(
    state: request_state.RequestState,
) -> dict[str, list[str]]:
    """Returns the field of the instances that a request was sent through."""
    if not state.forwarded_by:
        return {}
    return {"forwarded_by": [str(each) for each in state.forwarded_by]}
