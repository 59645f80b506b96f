"""The metrics of an instance, in the Prometheus format."""

from typing import Any
from typing import NamedTuple

import aioprometheus

from bridgecross_core import outcomes
from bridgecross_daemon import peer_protocol

_LATENCY_BUCKETS_S = [0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.5, 1, 5]
_OUTCOME_NAMES = {
    outcomes.Answered: "answered",
    outcomes.NotRun: "not-run",
    outcomes.Unknown: "unknown",
}


class Exposition(NamedTuple):
    """The metrics as text, and the content type of the text."""

    body: bytes
    content_type: str


class Metrics:
    """Collects the metrics of an instance and renders them."""

    def __init__(self) -> None:
        """Registers all metrics with the value 0."""
        self._registry: Any = aioprometheus.Registry()
        self._requests = aioprometheus.Counter(
            "bridgecross_requests_total",
            "Requests by service, tier and outcome.",
            registry=self._registry,
        )
        self._latency = aioprometheus.Histogram(
            "bridgecross_request_seconds",
            "Time from a request's arrival to its answer.",
            buckets=_LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._log_age = aioprometheus.Gauge(
            "bridgecross_log_age_seconds",
            "Age of the newest complete reading of the log.",
            registry=self._registry,
        )
        self._in_flight = aioprometheus.Gauge(
            "bridgecross_requests_in_flight",
            "Requests being handled.",
            registry=self._registry,
        )
        self._waiting = aioprometheus.Gauge(
            "bridgecross_requests_waiting",
            "Requests that wait for a slot, by service and tier.",
            registry=self._registry,
        )
        self._slices = aioprometheus.Gauge(
            "bridgecross_server_slices",
            "Slices of a server whose queue this instance owns.",
            registry=self._registry,
        )

        self.client_faults = aioprometheus.Counter(
            "bridgecross_client_faults_total",
            "Requests and connections of clients that were ended since they "
            "exceeded a limit, by reason.",
            registry=self._registry,
        )
        self.pipelined_requests = aioprometheus.Counter(
            "bridgecross_pipelined_requests_total",
            "Requests that were read before an earlier one of their connection "
            "was answered: started at once, waited, or cancelled later.",
            registry=self._registry,
        )
        self.memory_refusals = aioprometheus.Counter(
            "bridgecross_memory_refusals_total",
            "Requests refused because their bodies did not fit, by reason.",
            registry=self._registry,
        )

    def count_request(
        self,
        service: str,
        tier: str,
        outcome: outcomes.Outcome,
        duration_s: float,
    ) -> None:
        """Counts a request that has ended, and its duration."""
        name = _OUTCOME_NAMES[type(outcome)]
        self._requests.inc({"service": service, "tier": tier, "outcome": name})
        self._latency.observe({"service": service, "tier": tier}, duration_s)

    def render(self, status: peer_protocol.InstanceStatus) -> Exposition:
        """Returns all metrics; the gauges are set from a status."""
        self._log_age.set({}, status.log_age_ms / 1_000)
        self._in_flight.set({}, status.in_flight)
        for service in status.services:
            for tier, count in service.waiting.items():
                labels = {"service": service.service, "tier": tier}
                self._waiting.set(labels, count)
            for server in service.servers:
                labels = {"service": service.service, "server": server.server}
                self._slices.set(labels, server.slices)
        body, headers = aioprometheus.render(self._registry, [])
        return Exposition(body, headers["Content-Type"])
