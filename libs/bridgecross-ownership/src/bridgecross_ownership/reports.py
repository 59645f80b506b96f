"""What the instances tell the coordinator of a service."""

import collections
from typing import NamedTuple

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_ownership import keeper as keeping
from bridgecross_ownership import leases

_LOAD_HALF_LIFE_S = 5.0
_NEGLIGIBLE_REQUESTS = 0.01


class ServerReport(NamedTuple):
    """What a front has seen of a server.

    ``seated`` is the front's token if the server has accepted it, else
    ``NO_TOKEN``.
    """

    server: ids.ServerId
    health: keeping.ServerHealth
    seated: ids.Token


class SliceLoad(NamedTuple):
    """Requests of a slice since the last report."""

    slice: ids.SliceIndex
    requests: int


class ServiceReport(NamedTuple):
    """What one instance reports about one service.

    ``settled`` are granted slices whose earlier owners have let go,
    ``bequeathed`` are slices that the heir of a lost server serves; ``loads``
    names only slices that had requests. The first two carry the tokens that
    the slices have in the log: a report outlives its moment, and says nothing
    of a slice that has moved since.
    """

    service: ids.ServiceName
    servers: list[ServerReport]
    settled: list[leases.SliceGrant]
    bequeathed: list[leases.SliceGrant]
    loads: list[SliceLoad]


class _Remembered(NamedTuple):
    """An instance's newest report and when it came."""

    report: ServiceReport
    received_s: float


class ReportBook:
    """The newest reports about one service, and its load."""

    def __init__(self, clock: clocks.Clock) -> None:
        """Has no report yet."""
        self._clock = clock
        self._reports: dict[ids.InstanceId, _Remembered] = {}
        self._loads: dict[ids.SliceIndex, float] = {}
        self._loads_at_s = clock.monotonic_s()
        self._accusers: collections.defaultdict[
            ids.ServerId, set[ids.InstanceId]
        ] = collections.defaultdict(set)

    def add(self, instance: ids.InstanceId, report: ServiceReport) -> None:
        """Takes a report in."""
        now_s = self._clock.monotonic_s()
        self._reports[instance] = _Remembered(report, now_s)
        self._decay_loads(now_s)
        for load in report.loads:
            self._loads[load.slice] = (
                self._loads.get(load.slice, 0.0) + load.requests
            )
        for seen in report.servers:
            self._note_health(instance, seen)

    def list_live(self, silence_s: float) -> list[ids.InstanceId]:
        """Returns the instances that reported within a time, sorted."""
        oldest_s = self._clock.monotonic_s() - silence_s
        return sorted(
            instance
            for instance, remembered in self._reports.items()
            if remembered.received_s >= oldest_s
        )

    def find_health(
        self, server: ids.ServerId, front: ids.InstanceId
    ) -> keeping.ServerHealth:
        """Returns what a server's front last reported of it."""
        seen = self._find(server, front)
        return seen.health if seen else keeping.ServerHealth.UNKNOWN

    def is_seated(
        self, server: ids.ServerId, front: ids.InstanceId, token: ids.Token
    ) -> bool:
        """Returns whether a server has accepted its front's token."""
        seen = self._find(server, front)
        return seen is not None and seen.seated == token

    def list_accusers(self, server: ids.ServerId) -> set[ids.InstanceId]:
        """Returns the fronts that found a server down since it was last up."""
        return self._accusers[server]

    def list_settled(self) -> set[leases.SliceGrant]:
        """Returns what any front reports as settled, maybe long ago."""
        return {
            grant
            for remembered in self._reports.values()
            for grant in remembered.report.settled
        }

    def list_bequeathed(self) -> set[leases.SliceGrant]:
        """Returns what any front reports as served by an heir."""
        return {
            grant
            for remembered in self._reports.values()
            for grant in remembered.report.bequeathed
        }

    def list_loads(self) -> dict[ids.SliceIndex, float]:
        """Returns requests a second by slice, over the last seconds."""
        self._decay_loads(self._clock.monotonic_s())
        return {
            index: count / _LOAD_HALF_LIFE_S
            for index, count in self._loads.items()
        }

    def _find(
        self, server: ids.ServerId, front: ids.InstanceId
    ) -> ServerReport | None:
        """Returns what a server's front last reported of it."""
        remembered = self._reports.get(front)
        if remembered is None:
            return None
        for seen in remembered.report.servers:
            if seen.server == server:
                return seen
        return None

    def _note_health(
        self, instance: ids.InstanceId, seen: ServerReport
    ) -> None:
        """Keeps who found a server down, until somebody finds it up."""
        if seen.health is keeping.ServerHealth.DOWN:
            self._accusers[seen.server].add(instance)
        elif seen.health is not keeping.ServerHealth.UNKNOWN:
            self._accusers.pop(seen.server, None)

    def _decay_loads(self, now_s: float) -> None:
        """Halves the counts for each half-life that has passed."""
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
