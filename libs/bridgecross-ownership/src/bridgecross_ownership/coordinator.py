"""Claims a service and appends what the planner wants.

Every instance runs this task for every service, but only the one whose claim
is the newest valid one in the log acts. The others watch it, and the best
ranked of them claims the service when it falls silent. Two that claim at once
do no harm: the log orders their claims, and the second is void.
"""

import dataclasses
import math
from typing import NamedTuple
from typing import Protocol

import anyio
import loguru

from bridgecross_core import clock as clocks
from bridgecross_core import hashing
from bridgecross_core import ids
from bridgecross_log import appender as appenders
from bridgecross_ownership import authority as authorities
from bridgecross_ownership import cell as cells
from bridgecross_ownership import lease_manager
from bridgecross_ownership import leases
from bridgecross_ownership import membership as memberships
from bridgecross_ownership import planner
from bridgecross_ownership import records
from bridgecross_ownership import reports
from bridgecross_timeline import events
from bridgecross_timeline import ring as rings

_EVICTION_WINDOW_S = 10.0
_SETTLE_INTERVAL_S = 2.0
_FIRST_REPORTS_WAIT_S = 3.0
_MINUTE_S = 60.0


@dataclasses.dataclass(frozen=True)
class CoordinatorSettings:
    """How a service is coordinated."""

    # Slices of the service; counts in the first claim only.
    slice_count: int
    # How often instances report, and how often the coordinator plans.
    heartbeat_interval_ms: int
    # Reports in a row that fail before an instance counts as lost.
    heartbeat_misses: int
    # The most loaded server's load over the mean that is accepted.
    imbalance_target_ratio: float
    # Slices that may move each minute for balance alone.
    churn_budget_slices_per_min: int
    # Servers that may be evicted on one instance's word, as a share.
    eviction_limit_ratio: float

    @property
    def silence_s(self) -> float:
        """How long an instance may be silent before it counts as lost."""
        return self.heartbeat_interval_ms * self.heartbeat_misses / 1_000


class PeerWatch(Protocol):
    """What this instance knows of how its peers are."""

    def silent_s(self, instance: ids.InstanceId) -> float:
        """Returns for how long an instance has not answered, in seconds."""

    def is_leaving(self, instance: ids.InstanceId) -> bool:
        """Returns whether an instance has said that it is stopping."""


class CoordinatorPorts(NamedTuple):
    """What a coordinator works with."""

    me: ids.InstanceId
    cell: cells.Cell
    appender: appenders.Appender
    authority: authorities.Authority
    membership: memberships.Membership
    book: reports.ReportBook
    peers: PeerWatch
    clock: clocks.Clock
    ring: rings.Ring


class _Eviction(NamedTuple):
    """A server that was taken out on the word of one instance."""

    server: ids.ServerId
    reporter: ids.InstanceId
    at_s: float


class Coordinator:
    """The task that coordinates one service, or stands by to do so."""

    def __init__(
        self, settings: CoordinatorSettings, ports: CoordinatorPorts
    ) -> None:
        """Stands by.

        Args:
            settings: The service's settings, replaced as they change.
            ports: What the coordinator works with.
        """
        self.settings = settings
        self._ports = ports
        self._log = loguru.logger.bind(service=ports.cell.service)
        self._evictions: list[_Eviction] = []
        self._unfit_fronts: set[planner.UnfitFront] = set()
        self._moved_at_s: list[float] = []
        self._applied_at_s = -math.inf
        self._first_plan_at_s: float | None = None
        self._unclaimed_since_s = ports.clock.monotonic_s()
        self._log_since_s = math.inf
        # The newest term that was seen in the log, and since when.
        self._seen_term = ids.Term(ids.NO_OFFSET)
        self._seen_since_s = ports.clock.monotonic_s()
        self._grace_term = ids.Term(ids.NO_OFFSET)
        self._grace_until_s = 0.0
        self._lost_coordinator = cells.NO_INSTANCE

    async def run(self) -> None:
        """Coordinates or stands by until it is cancelled."""
        while True:
            self._note_term()
            if self._has_log():
                await self._step()
            await anyio.sleep(self.settings.heartbeat_interval_ms / 1_000)

    def _note_term(self) -> None:
        """Notes since when the newest term is known."""
        term = self._ports.cell.term
        if term != self._seen_term:
            self._seen_term = term
            self._seen_since_s = self._ports.clock.monotonic_s()

    def _has_log(self) -> bool:
        """Returns whether the log is read; notes since when it is."""
        if not self._ports.authority.has_log():
            self._log_since_s = math.inf
            return False
        now_s = self._ports.clock.monotonic_s()
        self._log_since_s = min(self._log_since_s, now_s)
        return True

    async def _step(self) -> None:
        """Plans if this instance coordinates; claims if it should."""
        if self._ports.cell.coordinator == self._ports.me:
            await self._coordinate()
        elif self._should_claim():
            await self._claim()

    def _should_claim(self) -> bool:
        """Returns whether this instance is next and its time has come."""
        ports = self._ports
        current = ports.cell.coordinator
        if ports.peers.is_leaving(ports.me):
            return False
        candidates = self._rank_candidates()
        if ports.me not in candidates:
            return False
        rank = candidates.index(ports.me)
        if current == cells.NO_INSTANCE:
            silent_s = ports.clock.monotonic_s() - self._unclaimed_since_s
            allowed_s = 0.0
        elif ports.peers.is_leaving(current):
            silent_s, allowed_s = math.inf, 0.0
            if rank:
                return False
        else:
            # In an outage of the log no coordinator answers as such, so only
            # silence since its end counts; nor does one before its claim.
            now_s = ports.clock.monotonic_s()
            silent_s = min(
                ports.peers.silent_s(current),
                now_s - self._log_since_s,
                now_s - self._seen_since_s,
            )
            allowed_s = self.settings.silence_s
        return silent_s >= allowed_s + rank * self.settings.silence_s

    def _rank_candidates(self) -> list[str]:
        """Ranks the listed instances, without those that are stopping."""
        ports = self._ports
        listed = [
            instance
            for instance, listing in ports.membership.list_instances().items()
            if listing.state is memberships.ListedState.LIVE
            and not ports.peers.is_leaving(instance)
            and instance != ports.cell.coordinator
        ]
        return hashing.rank_by_rendezvous(ports.cell.service, listed)

    async def _claim(self) -> None:
        """Appends a claim that ends the newest term."""
        ports = self._ports
        lost = ports.cell.coordinator
        claim = records.Claim(
            service=ports.cell.service,
            supersedes=ports.cell.term,
            coordinator=ports.me,
            slice_count=self.settings.slice_count,
        )
        outcome = await ports.appender.append(
            records.CLAIM_KIND, records.CLAIMS.encode(claim)
        )
        self._log.info("claim: {}", outcome)
        if isinstance(outcome, appenders.Applied):
            self._lost_coordinator = lost
            await self._coordinate()

    def _in_grace(self) -> bool:
        """Returns whether a new term still waits for first reports."""
        now_s = self._ports.clock.monotonic_s()
        if self._grace_term != self._ports.cell.term:
            self._grace_term = self._ports.cell.term
            self._grace_until_s = now_s + self.settings.silence_s
        return now_s < self._grace_until_s

    async def _coordinate(self) -> None:
        """Plans once and appends the changes."""
        ports = self._ports
        view = self._build_view()
        if self._awaits_first_reports(view):
            view = view._replace(servers=_mark_all_held(view.servers))
        plan = planner.plan(view, self._planner_settings())
        settled = self._list_settled()
        accepted_fronts = self._list_accepted_fronts()
        due = ports.clock.monotonic_s() - self._applied_at_s
        settle_only = (
            bool(settled or accepted_fronts) and due >= _SETTLE_INTERVAL_S
        )
        if plan.is_empty and not settle_only:
            return
        assignment = self._build_assignment(plan, settled, accepted_fronts)
        outcome = await ports.appender.append(
            records.ASSIGNMENT_KIND, records.ASSIGNMENTS.encode(assignment)
        )
        if isinstance(outcome, appenders.Applied):
            self._note_applied(plan, outcome)
        else:
            self._log.warning("assignment: {}", outcome)

    def _awaits_first_reports(self, view: planner.PlannerView) -> bool:
        """Returns whether the first assignment should wait for more servers.

        Were the slices given to the first server that answers, balance would
        need many moves later.
        """
        if self._ports.cell.list_holders():
            return False
        now_s = self._ports.clock.monotonic_s()
        if self._first_plan_at_s is None:
            self._first_plan_at_s = now_s
        waited_s = now_s - self._first_plan_at_s
        unheard = planner.Eligibility.HELD in view.servers.values()
        return unheard and waited_s < _FIRST_REPORTS_WAIT_S

    def _build_assignment(
        self,
        plan: planner.Plan,
        settled: list[ids.SliceIndex],
        accepted_fronts: list[ids.ServerId],
    ) -> records.Assignment:
        """Returns the record for a plan, built on the newest one."""
        cell = self._ports.cell
        by_server: dict[ids.ServerId, list[ids.SliceIndex]] = {}
        for index, server in plan.moves.items():
            by_server.setdefault(server, []).append(index)
        return records.Assignment(
            service=cell.service,
            term=cell.term,
            base=cell.head,
            moves=tuple(
                records.ServerSlices(server, tuple(slices))
                for server, slices in by_server.items()
            ),
            fronts=tuple(plan.fronts),
            settled=tuple(settled),
            accepted_fronts=tuple(accepted_fronts),
            retired=tuple(plan.retired),
            reason=f"restore {plan.restored}, balance {plan.balanced}",
        )

    def _note_applied(
        self, plan: planner.Plan, outcome: appenders.Applied
    ) -> None:
        """Counts the churn and writes the time line."""
        now_s = self._ports.clock.monotonic_s()
        self._applied_at_s = now_s
        self._moved_at_s += [now_s] * plan.balanced
        if plan.moves:
            self._ports.ring.add(
                events.SlicesMoved(
                    self._ports.cell.service,
                    outcome.offset,
                    len(plan.moves),
                    f"restore {plan.restored}, balance {plan.balanced}",
                )
            )

    def _planner_settings(self) -> planner.PlannerSettings:
        """Returns the target and what is left of the churn budget."""
        since_s = self._ports.clock.monotonic_s() - _MINUTE_S
        self._moved_at_s = [at for at in self._moved_at_s if at >= since_s]
        left = self.settings.churn_budget_slices_per_min - len(self._moved_at_s)
        return planner.PlannerSettings(
            imbalance_target_ratio=self.settings.imbalance_target_ratio,
            balance_moves=max(left, 0),
        )

    def _list_settled(self) -> list[ids.SliceIndex]:
        """Returns the slices whose earlier owners may be forgotten."""
        slices = self._ports.cell.slices
        return sorted(
            index
            for index in self._list_current(self._ports.book.list_settled())
            if slices[index].prior
        )

    def _list_current(
        self, reported: set[leases.SliceGrant]
    ) -> set[ids.SliceIndex]:
        """Returns the slices that have not moved since they were reported."""
        slices = self._ports.cell.slices
        return {
            grant.slice
            for grant in reported
            if slices[grant.slice].token == grant.token
        }

    def _list_accepted_fronts(self) -> list[ids.ServerId]:
        """Returns the servers whose earlier fronts may be forgotten."""
        book = self._ports.book
        return [
            server
            for server, state in self._ports.cell.fronts.items()
            if state.earlier
            and book.is_front_accepted(server, state.front, state.token)
        ]

    def _build_view(self) -> planner.PlannerView:
        """Returns what is known of servers, instances and load."""
        ports = self._ports
        eligibilities = self._assess_servers()
        listed = ports.membership.list_servers(ports.cell.service)
        domains: dict[str, str] = {
            name: listing.failure_domain
            for name, listing in (
                *listed.items(),
                *ports.membership.list_instances().items(),
            )
        }
        return planner.PlannerView(
            cell=ports.cell,
            servers=eligibilities,
            instances=self._list_instances(),
            domains=domains,
            loads=ports.book.list_loads(),
            unfit_fronts=self._unfit_fronts,
            handed_over=self._list_current(ports.book.list_handed_over()),
        )

    def _list_instances(self) -> list[ids.InstanceId]:
        """Returns the instances that may front a server."""
        ports = self._ports
        live = set(ports.book.list_live(self.settings.silence_s))
        live.add(ports.me)
        if self._in_grace():
            live |= set(ports.membership.list_instances())
            live |= {state.front for state in ports.cell.fronts.values()}
            live.discard(self._lost_coordinator)
        return sorted(i for i in live if not ports.peers.is_leaving(i))

    def _assess_servers(self) -> dict[ids.ServerId, planner.Eligibility]:
        """Returns the eligibility of each listed server."""
        listed = self._ports.membership.list_servers(self._ports.cell.service)
        self._unfit_fronts = set()
        eligibilities = {}
        for server, listing in listed.items():
            leaving = listing.state is memberships.ListedState.LEAVING
            eligibilities[server] = (
                planner.Eligibility.UNUSABLE
                if leaving
                else self._assess_server(server, len(listed))
            )
        return eligibilities

    def _assess_server(
        self, server: ids.ServerId, server_count: int
    ) -> planner.Eligibility:
        """Returns the eligibility of a server that is not leaving."""
        ports = self._ports
        state = ports.cell.fronts.get(server)
        if state is None:
            return planner.Eligibility.HELD
        health = ports.book.find_health(server, state.front)
        if health is lease_manager.ServerHealth.UP:
            return planner.Eligibility.USABLE
        if health is lease_manager.ServerHealth.DRAINING:
            return planner.Eligibility.UNUSABLE
        if health is lease_manager.ServerHealth.DOWN:
            return self._assess_down(server, state.front, server_count)
        return planner.Eligibility.HELD

    def _assess_down(
        self, server: ids.ServerId, front: ids.InstanceId, server_count: int
    ) -> planner.Eligibility:
        """Decides whether a server that a front finds down is evicted.

        One instance may be cut off and find many servers down, so on its
        word alone only a share of the servers is evicted. Beyond that the
        planner gives the server another front, whose word then counts too.
        """
        ports = self._ports
        if len(ports.book.list_down_reporters(server)) > 1:
            return planner.Eligibility.UNUSABLE
        now_s = ports.clock.monotonic_s()
        self._evictions = [
            eviction
            for eviction in self._evictions
            if eviction.at_s >= now_s - _EVICTION_WINDOW_S
        ]
        evicted = {e.server for e in self._evictions if e.reporter == front}
        limit = max(1, int(server_count * self.settings.eviction_limit_ratio))
        if server not in evicted and len(evicted) >= limit:
            self._unfit_fronts.add(planner.UnfitFront(server, front))
            return planner.Eligibility.HELD
        if server not in evicted:
            self._evictions.append(_Eviction(server, front, now_s))
        return planner.Eligibility.UNUSABLE


def _mark_all_held(
    servers: dict[ids.ServerId, planner.Eligibility],
) -> dict[ids.ServerId, planner.Eligibility]:
    """Returns the same servers, none of which gets a slice yet."""
    return dict.fromkeys(servers, planner.Eligibility.HELD)
