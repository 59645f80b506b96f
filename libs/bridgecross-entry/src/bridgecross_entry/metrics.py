"""Prometheus metrics of one instance."""

from typing import Protocol

import aioprometheus
import aioprometheus.renderer

# Upper bounds; the target latencies of routes are between 0.15 and 6 s.
_LATENCY_BUCKETS_S = [0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 2, 5, 15]


class ClientMetrics(Protocol):
    """The metrics of connections of clients."""

    client_faults: aioprometheus.Counter
    pipelined_requests: aioprometheus.Counter


class Metrics:
    """The metrics of one process; each label has a bounded set of values."""

    def __init__(self) -> None:
        """Registers all metrics."""
        self.registry = aioprometheus.Registry()
        self.requests = aioprometheus.Counter(
            "bridgecross_requests_total",
            "Requests by service, outcome and reason.",
            registry=self.registry,
        )
        self.attempts = aioprometheus.Counter(
            "bridgecross_attempts_total",
            "Attempts at backend servers by service and result.",
            registry=self.registry,
        )
        self.crashes = aioprometheus.Counter(
            "bridgecross_ended_under_request_total",
            "Requests at servers whose run ended before they were answered, "
            "by service.",
            registry=self.registry,
        )
        self.permits = aioprometheus.Counter(
            "bridgecross_permits_total",
            "Answers to instances that asked for a permit, by service and "
            "verdict.",
            registry=self.registry,
        )
        self.permit_refusals = aioprometheus.Counter(
            "bridgecross_permit_refusals_total",
            "Refused requests for permits, by service, reason and tier.",
            registry=self.registry,
        )
        self.callers_above_share = aioprometheus.Gauge(
            "bridgecross_callers_above_share",
            "Callers that go after others since they request much more, by "
            "service, at the instance that issues permits.",
            registry=self.registry,
        )
        self.limited_requests = aioprometheus.Counter(
            "bridgecross_limited_requests_total",
            "Requests for servers that limit their rate, by service and "
            "verdict.",
            registry=self.registry,
        )
        self.quotas = aioprometheus.Counter(
            "bridgecross_quotas_total",
            "Answers to instances that asked for requests to a server with a "
            "limit, by verdict.",
            registry=self.registry,
        )
        self.log_calls = aioprometheus.Counter(
            "bridgecross_log_calls_total",
            "Calls to the platform's log by call and result.",
            registry=self.registry,
        )
        self.grants = aioprometheus.Counter(
            "bridgecross_grants_total",
            "Lease orders by service, order and result.",
            registry=self.registry,
        )
        self.keys_moved = aioprometheus.Counter(
            "bridgecross_keys_moved_total",
            "Keys given to another owner, by service.",
            registry=self.registry,
        )
        self.unknown_keys = aioprometheus.Counter(
            "bridgecross_unknown_keys_total",
            "Keys in load reports that do not exist, by service.",
            registry=self.registry,
        )
        self.request_seconds = aioprometheus.Histogram(
            "bridgecross_request_seconds",
            "Time from the head of a request to its outcome, by service.",
            registry=self.registry,
            buckets=_LATENCY_BUCKETS_S,
        )
        self.queue_seconds = aioprometheus.Histogram(
            "bridgecross_queue_seconds",
            "Time that a request waited for a slot, by service.",
            registry=self.registry,
            buckets=_LATENCY_BUCKETS_S,
        )
        self.attempt_seconds = aioprometheus.Histogram(
            "bridgecross_attempt_seconds",
            "Time of one attempt at a backend server, by service.",
            registry=self.registry,
            buckets=_LATENCY_BUCKETS_S,
        )
        self.instance_state = aioprometheus.Gauge(
            "bridgecross_beliefs",
            "What the instance believes: versions, ages in seconds, counts.",
            registry=self.registry,
        )
        self.forwards = aioprometheus.Counter(
            "bridgecross_forwards_total",
            "Requests and orders sent through another instance, or for "
            "another, by kind and result.",
            registry=self.registry,
        )
        self.pipelined_requests = aioprometheus.Counter(
            "bridgecross_pipelined_requests_total",
            "Requests that were read before an earlier one of their connection "
            "was answered: started at once, waited, or cancelled later.",
            registry=self.registry,
        )
        self.pipelines_paused = aioprometheus.Gauge(
            "bridgecross_pipelines_paused",
            "Callers' connections whose reading is paused because of their "
            "unanswered requests.",
            registry=self.registry,
        )
        self.servers_unreached = aioprometheus.Gauge(
            "bridgecross_servers_unreached",
            "Servers to which this instance's last connection failed, by "
            "service.",
            registry=self.registry,
        )
        self.memory = aioprometheus.Gauge(
            "bridgecross_memory_bytes",
            "Memory for requests and answers: the limit, and what is in use "
            "by purpose.",
            registry=self.registry,
        )
        self.memory_refusals = aioprometheus.Counter(
            "bridgecross_memory_refusals_total",
            "Requests refused because their bodies did not fit, by reason.",
            registry=self.registry,
        )
        self.client_faults = aioprometheus.Counter(
            "bridgecross_client_faults_total",
            "Requests and connections of clients that were ended since they "
            "exceeded a limit, by reason.",
            registry=self.registry,
        )
        self.answers_broken_off = aioprometheus.Counter(
            "bridgecross_answers_broken_off_total",
            "Answers of servers and instances of which nothing more was "
            "received, by the bound that they exceeded.",
            registry=self.registry,
        )
        self.slow_readers_closed = aioprometheus.Counter(
            "bridgecross_slow_readers_closed_total",
            "Connections closed because the caller did not read its answer.",
            registry=self.registry,
        )
        self.topics = aioprometheus.Gauge(
            "bridgecross_topics",
            "What is known of each topic of the log: offset, age in seconds, "
            "the longest age since the last look, words of the leader that "
            "were left aside.",
            registry=self.registry,
        )
        self.journal_dropped = aioprometheus.Gauge(
            "bridgecross_journal_dropped_lines",
            "Log lines that were not written.",
            registry=self.registry,
        )

    def render(self) -> bytes:
        """Returns all metrics in the text exposition format."""
        text, _ = aioprometheus.renderer.render(self.registry, ["text/plain"])
        return bytes(text)
