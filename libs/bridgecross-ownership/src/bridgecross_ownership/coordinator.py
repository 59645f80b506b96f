"""Claims a service and appends the planner's changes.

Every instance runs this task for every service, but only the one with the
newest valid claim in the log coordinates. The others monitor it, and the best
ranked of them claims the service when it falls silent. Two claims at the same
time do no harm: the log orders them, and the second is void.
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

_LATE_RATIO = 0.25
"""The part of the allowed silence by which a round may come late. With three
missed heartbeats allowed, one that is up to two intervals old and this together
are less than the allowed silence."""

_LATE_ROUNDS_MAX_COUNT = 3
"""How many late rounds in a row are not acted upon."""


@dataclasses.dataclass(frozen=True)
class CoordinatorSettings:
    """How a service is coordinated."""

    # The number of slices of the service; used in the first claim only.
    slice_count: int
    # The interval at which instances report and the coordinator plans.
    heartbeat_interval_ms: int
    # The number of missed reports in a row after which an instance is lost.
    heartbeat_misses: int
    # The highest accepted load of a server over the mean.
    imbalance_target_ratio: float
    # The most slices that may move per minute for balance alone.
    churn_budget_slices_per_min: int
    # The share of servers that may be evicted on one instance's report.
    eviction_limit_ratio: float

    @property
    def silence_s(self) -> float:
        """How long an instance may be silent before it counts as lost."""
        return self.heartbeat_interval_ms * self.heartbeat_misses / 1_000


class PeerWatch(Protocol):
    """This instance's view of the state of its peers."""

    def silent_s(self, instance: ids.InstanceId) -> float:
        """Returns the seconds since an instance last answered."""

    def is_leaving(self, instance: ids.InstanceId) -> bool:
        """Returns whether an instance has said that it is stopping."""


class CoordinatorPorts(NamedTuple):
    """The dependencies of a coordinator."""

    me: ids.InstanceId
    cell: cells.Cell
    appender: appenders.Appender
    authority: authorities.Authority
    membership: memberships.Membership
    registry: reports.ReportRegistry
    peers: PeerWatch
    clock: clocks.Clock
    ring: rings.Ring


class _Eviction(NamedTuple):
    """A server that was evicted on the report of one instance."""

    server: ids.ServerId
    reporter: ids.InstanceId
    at_s: float


class Coordinator:
    """A task that coordinates one service, or is a standby for it."""

    def __init__(
        self, settings: CoordinatorSettings, ports: CoordinatorPorts
    ) -> None:
        """Starts as a standby.

        Args:
            settings: The service's settings; replaced when they change.
            ports: The coordinator's dependencies.
        """
        self.settings = settings
        self._ports = ports
        self._log = loguru.logger.bind(service=ports.cell.service)
        self._evictions: list[_Eviction] = []
        self._unfit_queue_owners: set[planner.UnfitQueueOwner] = set()
        self._moved_at_s: list[float] = []
        self._applied_at_s = -math.inf
        self._first_plan_at_s: float | None = None
        self._unclaimed_since_s = ports.clock.monotonic_s()
        self._log_since_s = math.inf
        # The newest term in the log, and when it was first read.
        self._newest_term = ids.Term(ids.NO_OFFSET)
        self._newest_term_since_s = ports.clock.monotonic_s()
        self._grace_term = ids.Term(ids.NO_OFFSET)
        self._grace_until_s = 0.0
        self._lost_coordinator = cells.NO_INSTANCE
        # When the wait for this round began, and how many rounds before it
        # came late.
        self._paused_s = ports.clock.monotonic_s()
        self._late_count = 0

    async def run(self) -> None:
        """Coordinates the service or stands by until cancelled."""
        while True:
            self._record_term()
            if self._has_log():
                await self._step()
            self._paused_s = self._ports.clock.monotonic_s()
            await anyio.sleep(self.settings.heartbeat_interval_ms / 1_000)

    def _comes_late(self) -> bool:
        """Returns whether this round comes too late to act on silence.

        This process or its machine stalled then, and what others sent meanwhile
        may not have been taken in yet; they send again within one interval. A
        machine that is always late acts every few rounds.
        """
        interval_s = self.settings.heartbeat_interval_ms / 1_000
        late_s = self._ports.clock.monotonic_s() - self._paused_s - interval_s
        is_in_time = late_s <= _LATE_RATIO * self.settings.silence_s
        if is_in_time or self._late_count == _LATE_ROUNDS_MAX_COUNT:
            self._late_count = 0
            return False
        self._late_count += 1
        return True

    def _record_term(self) -> None:
        """Records when the newest term was first read."""
        term = self._ports.cell.term
        if term != self._newest_term:
            self._newest_term = term
            self._newest_term_since_s = self._ports.clock.monotonic_s()

    def _has_log(self) -> bool:
        """Returns whether the log can be read; records since when."""
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
        elif self._should_claim() and not self._comes_late():
            await self._claim()

    def _should_claim(self) -> bool:
        """Returns whether this instance should claim the service now.

        Each rank waits one silence period longer than the rank before it.
        """
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
            # During an outage of the log no instance answers as coordinator,
            # nor does one before its claim. Only silence since then counts.
            now_s = ports.clock.monotonic_s()
            silent_s = min(
                ports.peers.silent_s(current),
                now_s - self._log_since_s,
                now_s - self._newest_term_since_s,
            )
            allowed_s = self.settings.silence_s
        return silent_s >= allowed_s + rank * self.settings.silence_s

    def _rank_candidates(self) -> list[str]:
        """Ranks the live instances other than the coordinator.

        Instances that are stopping are left out.
        """
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
        """Appends a claim that supersedes the newest term."""
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
        self._log.info("result of the claim: {}", outcome)
        # The wait for the log does not make this round late.
        self._paused_s = ports.clock.monotonic_s()
        # A later claim may have been read together with this one.
        is_newest = ports.cell.coordinator == ports.me
        if isinstance(outcome, appenders.Applied) and is_newest:
            self._lost_coordinator = lost
            await self._coordinate()

    def _in_grace(self) -> bool:
        """Returns whether the newest term is in its grace period.

        In that time, instances have not all reported to the new coordinator.
        """
        now_s = self._ports.clock.monotonic_s()
        if self._grace_term != self._ports.cell.term:
            self._grace_term = self._ports.cell.term
            self._grace_until_s = now_s + self.settings.silence_s
        return now_s < self._grace_until_s

    async def _coordinate(self) -> None:
        """Makes a plan and appends its changes to the log."""
        ports = self._ports
        view = self._build_view()
        if self._awaits_first_reports(view):
            view = view._replace(servers=_mark_all_held(view.servers))
        plan = planner.plan(view, self._planner_settings())
        settled = self._list_settled()
        accepted_queue_owners = self._list_accepted_queue_owners()
        due = ports.clock.monotonic_s() - self._applied_at_s
        settle_only = (
            bool(settled or accepted_queue_owners) and due >= _SETTLE_INTERVAL_S
        )
        if plan.is_empty and not settle_only:
            return
        if self._comes_late():
            return
        assignment = self._build_assignment(
            plan, settled, accepted_queue_owners
        )
        outcome = await ports.appender.append(
            records.ASSIGNMENT_KIND, records.ASSIGNMENTS.encode(assignment)
        )
        if isinstance(outcome, appenders.Applied):
            self._record_applied(plan, outcome)
        else:
            self._log.warning("result of the assignment: {}", outcome)

    def _awaits_first_reports(self, view: planner.PlannerView) -> bool:
        """Returns whether the first assignment should wait for more servers.

        If all slices were given to the first server that answers, many moves
        would be needed later for balance.
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
        accepted_queue_owners: list[ids.ServerId],
    ) -> records.Assignment:
        """Returns the record for a plan, built on the newest record."""
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
            queue_owners=tuple(plan.queue_owners),
            settled=tuple(settled),
            accepted_queue_owners=tuple(accepted_queue_owners),
            retired=tuple(plan.retired),
            reason=f"restore {plan.restored}, balance {plan.balanced}",
        )

    def _record_applied(
        self, plan: planner.Plan, outcome: appenders.Applied
    ) -> None:
        """Counts the moves for balance and records moves on the timeline."""
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
        """Returns the balance target and the rest of the churn budget."""
        since_s = self._ports.clock.monotonic_s() - _MINUTE_S
        self._moved_at_s = [at for at in self._moved_at_s if at >= since_s]
        left = self.settings.churn_budget_slices_per_min - len(self._moved_at_s)
        return planner.PlannerSettings(
            imbalance_target_ratio=self.settings.imbalance_target_ratio,
            balance_moves=max(left, 0),
        )

    def _list_settled(self) -> list[ids.SliceIndex]:
        """Returns the slices whose earlier owners the log may forget."""
        slices = self._ports.cell.slices
        return sorted(
            index
            for index in self._list_current(self._ports.registry.list_settled())
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

    def _list_accepted_queue_owners(self) -> list[ids.ServerId]:
        """Returns the servers whose earlier queue owners the log may forget."""
        registry = self._ports.registry
        return [
            server
            for server, state in self._ports.cell.queue_owners.items()
            if state.earlier
            and registry.is_queue_owner_accepted(
                server, state.instance, state.token
            )
        ]

    def _build_view(self) -> planner.PlannerView:
        """Returns the planner's view of servers, instances and load."""
        ports = self._ports
        eligibility_by_server = self._assess_servers()
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
            servers=eligibility_by_server,
            instances=self._list_instances(),
            domains=domains,
            loads=ports.registry.list_loads(),
            unfit_queue_owners=self._unfit_queue_owners,
            handed_over=self._list_current(ports.registry.list_handed_over()),
        )

    def _list_instances(self) -> list[ids.InstanceId]:
        """Returns the instances that may be the queue owner of a server."""
        ports = self._ports
        live = set(ports.registry.list_live(self.settings.silence_s))
        live.add(ports.me)
        if self._in_grace():
            live |= set(ports.membership.list_instances())
            live |= {
                state.instance for state in ports.cell.queue_owners.values()
            }
            live.discard(self._lost_coordinator)
        return sorted(i for i in live if not ports.peers.is_leaving(i))

    def _assess_servers(self) -> dict[ids.ServerId, planner.Eligibility]:
        """Returns the eligibility of each listed server."""
        listed = self._ports.membership.list_servers(self._ports.cell.service)
        self._unfit_queue_owners = set()
        eligibility_by_server = {}
        for server, listing in listed.items():
            leaving = listing.state is memberships.ListedState.LEAVING
            eligibility_by_server[server] = (
                planner.Eligibility.UNUSABLE
                if leaving
                else self._assess_server(server, len(listed))
            )
        return eligibility_by_server

    def _assess_server(
        self, server: ids.ServerId, server_count: int
    ) -> planner.Eligibility:
        """Returns the eligibility of a server that is not leaving."""
        ports = self._ports
        state = ports.cell.queue_owners.get(server)
        if state is None:
            return planner.Eligibility.HELD
        health = ports.registry.find_health(server, state.instance)
        if health is lease_manager.ServerHealth.UP:
            return planner.Eligibility.USABLE
        if health is lease_manager.ServerHealth.DRAINING:
            return planner.Eligibility.UNUSABLE
        if health is lease_manager.ServerHealth.DOWN:
            return self._assess_down(server, state.instance, server_count)
        return planner.Eligibility.HELD

    def _assess_down(
        self,
        server: ids.ServerId,
        queue_owner: ids.InstanceId,
        server_count: int,
    ) -> planner.Eligibility:
        """Decides whether a server reported down by its queue owner is evicted.

        One instance may be cut off from the network and find many servers
        down, so only a share of the servers is evicted on its report alone.
        Beyond that, the planner gives the server another queue owner, whose
        report then counts too.
        """
        ports = self._ports
        if len(ports.registry.list_down_reporters(server)) > 1:
            return planner.Eligibility.UNUSABLE
        now_s = ports.clock.monotonic_s()
        self._evictions = [
            eviction
            for eviction in self._evictions
            if eviction.at_s >= now_s - _EVICTION_WINDOW_S
        ]
        evicted = {
            e.server for e in self._evictions if e.reporter == queue_owner
        }
        limit = max(1, int(server_count * self.settings.eviction_limit_ratio))
        if server not in evicted and len(evicted) >= limit:
            self._unfit_queue_owners.add(
                planner.UnfitQueueOwner(server, queue_owner)
            )
            return planner.Eligibility.HELD
        if server not in evicted:
            self._evictions.append(_Eviction(server, queue_owner, now_s))
        return planner.Eligibility.UNUSABLE


def _mark_all_held(
    servers: dict[ids.ServerId, planner.Eligibility],
) -> dict[ids.ServerId, planner.Eligibility]:
    """Returns the servers, with all marked as held."""
    return dict.fromkeys(servers, planner.Eligibility.HELD)
