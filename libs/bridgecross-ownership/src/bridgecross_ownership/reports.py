"""The reports that instances send to the coordinator of a service."""

import collections
from typing import NamedTuple

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_ownership import lease_manager
from bridgecross_ownership import leases

_LOAD_HALF_LIFE_S = 5.0
_NEGLIGIBLE_REQUESTS = 0.01


class ServerReport(NamedTuple):
    """What a queue owner observed of its server.

    ``accepted_queue_owner_token`` is the queue owner's token if the server has
    accepted it, otherwise ``NO_TOKEN``.
    """

    server: ids.ServerId
    health: lease_manager.ServerHealth
    accepted_queue_owner_token: ids.Token


class SliceLoad(NamedTuple):
    """The number of requests for a slice since the last report."""

    slice: ids.SliceIndex
    requests: int


class ServiceReport(NamedTuple):
    """What one instance reports about one service.

    ``settled`` are granted slices that all earlier owners have released, and
    ``handed_over`` are slices that the backup of a lost server serves.
    ``loads`` contains only slices that had requests. The first two carry the
    tokens of the slices in the log, because a report may be read later and
    does not apply to a slice that has moved since.
    """

    service: ids.ServiceName
    servers: list[ServerReport]
    settled: list[leases.SliceGrant]
    handed_over: list[leases.SliceGrant]
    loads: list[SliceLoad]


class _ReceivedReport(NamedTuple):
    """An instance's newest report and the time at which it was received."""

    report: ServiceReport
    received_s: float


class ReportRegistry:
    """The newest reports about one service, and its load."""

    def __init__(self, clock: clocks.Clock) -> None:
        """Starts without reports."""
        self._clock = clock
        self._reports: dict[ids.InstanceId, _ReceivedReport] = {}
        self._loads: dict[ids.SliceIndex, float] = {}
        self._loads_at_s = clock.monotonic_s()
        self._down_reporters: collections.defaultdict[
            ids.ServerId, set[ids.InstanceId]
        ] = collections.defaultdict(set)

    def add(self, instance: ids.InstanceId, report: ServiceReport) -> None:
        """Replaces an instance's report and adds its loads."""
        now_s = self._clock.monotonic_s()
        self._reports[instance] = _ReceivedReport(report, now_s)
        self._decay_loads(now_s)
        for load in report.loads:
            self._loads[load.slice] = (
                self._loads.get(load.slice, 0.0) + load.requests
            )
        for observed in report.servers:
            self._record_health(instance, observed)

    def list_live(self, silence_s: float) -> list[ids.InstanceId]:
        """Returns the instances that reported in ``silence_s``, sorted."""
        oldest_s = self._clock.monotonic_s() - silence_s
        return sorted(
            instance
            for instance, remembered in self._reports.items()
            if remembered.received_s >= oldest_s
        )

    def find_health(
        self, server: ids.ServerId, queue_owner: ids.InstanceId
    ) -> lease_manager.ServerHealth:
        """Returns the health that a server's queue owner last reported."""
        observed = self._find(server, queue_owner)
        return (
            observed.health if observed else lease_manager.ServerHealth.UNKNOWN
        )

    def is_queue_owner_accepted(
        self,
        server: ids.ServerId,
        queue_owner: ids.InstanceId,
        token: ids.Token,
    ) -> bool:
        """Returns whether a server has accepted its queue owner's token."""
        observed = self._find(server, queue_owner)
        return (
            observed is not None
            and observed.accepted_queue_owner_token == token
        )

    def list_down_reporters(self, server: ids.ServerId) -> set[ids.InstanceId]:
        """Returns the instances that reported a server down since it was up."""
        return self._down_reporters[server]

    def list_settled(self) -> set[leases.SliceGrant]:
        """Returns the slices that any queue owner reports as settled.

        The reports may be old; the tokens tell which slices moved since.
        """
        return {
            grant
            for remembered in self._reports.values()
            for grant in remembered.report.settled
        }

    def list_handed_over(self) -> set[leases.SliceGrant]:
        """Returns the slices that are reported as served by a backup."""
        return {
            grant
            for remembered in self._reports.values()
            for grant in remembered.report.handed_over
        }

    def list_loads(self) -> dict[ids.SliceIndex, float]:
        """Returns the recent requests per second by slice."""
        self._decay_loads(self._clock.monotonic_s())
        return {
            index: count / _LOAD_HALF_LIFE_S
            for index, count in self._loads.items()
        }

    def _find(
        self, server: ids.ServerId, queue_owner: ids.InstanceId
    ) -> ServerReport | None:
        """Returns the last report of a server by its queue owner."""
        remembered = self._reports.get(queue_owner)
        if remembered is None:
            return None
        for observed in remembered.report.servers:
            if observed.server == server:
                return observed
        return None

    def _record_health(
        self, instance: ids.InstanceId, observed: ServerReport
    ) -> None:
        """Records who reports a server down until any reports it up."""
        if observed.health is lease_manager.ServerHealth.DOWN:
            self._down_reporters[observed.server].add(instance)
        elif observed.health is not lease_manager.ServerHealth.UNKNOWN:
            self._down_reporters.pop(observed.server, None)

    def _decay_loads(self, now_s: float) -> None:
        """Halves the request counts for each half-life since the last call."""
        passed_s = now_s - self._loads_at_s
        if passed_s < _LOAD_HALF_LIFE_S / 10:
            return
        factor = 0.5 ** (passed_s / _LOAD_HALF_LIFE_S)
        self._loads_at_s = now_s
        self._loads = {
            index: count * factor
            for index, count in self._loads.items()
            if count * factor > _NEGLIGIBLE_REQUESTS
        }
