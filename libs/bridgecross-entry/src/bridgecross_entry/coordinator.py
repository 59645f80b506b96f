"""Assigns the keys of a service to backend servers.

Leader election (``leadership``) decides which instance coordinates. The log
serializes its decisions: a key map is appended before any order that follows
from it is sent, and only directly after the map that it builds on. The version
of a map is the fencing token of the ranges that it moves, so backend servers
refuse orders from a coordinator that is out of date.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

import anyio
import anyio.abc

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_core import notifier
from bridgecross_entry import follower as followers
from bridgecross_entry import journal as journals
from bridgecross_entry import keymap
from bridgecross_entry import leases
from bridgecross_entry import load_view
from bridgecross_entry import log as logs
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import model
from bridgecross_entry import planner
from bridgecross_entry import proofs
from bridgecross_entry import server_capacities
from bridgecross_entry import server_registry


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorSettings:
    """Intervals and limits of a coordinator."""

    # Four renewals per lease, so that one lost order does not let it expire.
    renew_interval_s: float = 0.6
    # How often moves are planned. Planning over all keys takes 5 ms.
    plan_interval_s: float = 0.25
    # The same per server of the service; the longer interval applies. Each map
    # is sent to all instances, and both grow with the deployment: with 120
    # servers it has 5 KB, deflated, for each of 80 instances, which fills a
    # link of 10 Mbit/s for 0.3 s.
    plan_interval_per_server_s: float = 0.005
    # Completed moves are recorded in the log after this time without further
    # ones: a write costs as much as serving a request, and most moves come in
    # groups.
    settled_write_delay_s: float = 1.5
    # The first map is written once no server has joined for this long: servers
    # that start together register over several heartbeats of 0.9 s.
    list_stable_s: float = 1.5
    # The limit of that wait, counted from the start of coordination.
    list_wait_max_s: float = 5.0
    # The pause before a failed append is retried.
    log_retry_interval_s: float = 0.1
    # How the capacities of servers are determined.
    capacities: server_capacities.CapacitySettings = dataclasses.field(
        default_factory=server_capacities.CapacitySettings
    )
    # How often to check whether planning is due.
    check_interval_s: float = 0.1


class Coordinator:
    """Assigns the keys of one service while this instance leads."""

    def __init__(
        self,
        service: ids.ServiceName,
        settings: CoordinatorSettings,
        plan_settings: planner.PlanSettings,
        instance: model.InstanceSettings,
        log: logs.PlatformLog,
        topic: str,
        follower: followers.Follower,
        lease_manager: leases.LeaseManager,
        registry: server_registry.ServerRegistry,
        table: keymap.KeyTable,
        loads: load_view.LoadView,
        list_is_fresh: Callable[[], bool],
        publish_map: Callable[[keymap.KeyMap], Awaitable[None]],
        publish_settled: Callable[[keymap.KeyRange], None],
        journal: journals.Journal,
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
    ) -> None:
        """Starts nothing; ``run`` does the work.

        Args:
            service: The service whose keys are assigned.
            settings: Intervals and limits.
            plan_settings: Thresholds for moving keys.
            instance: This instance.
            log: The platform's log.
            topic: The log topic of key maps.
            follower: This instance's reader of that topic.
            lease_manager: Sends grants and releases to backend servers.
            registry: The known backend servers.
            table: The key maps in use at this instance.
            loads: The measured load of the service.
            list_is_fresh: Whether the list of servers is up to date.
            publish_map: Sends a new map to the other instances.
            publish_settled: Notifies them that a move has completed.
            journal: Records each decision.
            metrics: Counts moved keys.
            clock: Measures intervals.
        """
        self._service = service
        self._settings = settings
        self._plan_settings = plan_settings
        self._instance = instance
        self._log = log
        self._topic = topic
        self._follower = follower
        self._lease_manager = lease_manager
        self._registry = registry
        self._table = table
        self._loads = loads
        self._capacities = server_capacities.ServerCapacities(
            settings.capacities, instance.bounds, registry, loads
        )
        self._list_is_fresh = list_is_fresh
        self._publish_map = publish_map
        self._publish_settled = publish_settled
        self._journal = journal
        self._metrics = metrics
        self._clock = clock
        self._version = 0
        self._ranges: tuple[keymap.KeyRange, ...] = ()
        # The same ranges for fast lookup: each renewal needs two.
        self._range_set: frozenset[keymap.KeyRange] = frozenset()
        self._wake = notifier.Notifier()
        # The first keys of ranges whose move is in progress.
        self._moving: set[int] = set()
        # Ranges that their previous owners no longer hold and whose new owners
        # have not accepted them yet, by token and first key.
        self._reclaimed: dict[tuple[int, int], proofs.Reclaimed] = {}
        # When the last completed move that is not yet recorded in the log
        # ended; None if all are recorded.
        self._unrecorded_since_s: float | None = None
        # When a hot key was last moved, and when load was last rebalanced
        # without urgency.
        self._hot_key_moved_s = float("-inf")
        self._rebalanced_s = float("-inf")
        self._superseded = False

    async def run(self) -> None:
        """Coordinates the service until cancelled or superseded."""
        self._journal.lifecycle("coordinator_begins", service=self._service)
        try:
            if not await self._claim():
                return
            async with anyio.create_task_group() as tasks:
                self._resume_moves(tasks)
                tasks.start_soon(self._watch_list)
                tasks.start_soon(self._renew_leases, tasks)
                await self._plan_moves(tasks)
                tasks.cancel_scope.cancel()
        finally:
            self._journal.lifecycle(
                "coordinator_ends",
                service=self._service,
                version=self._version,
                superseded=self._superseded,
            )

    # Taking over.

    async def _claim(self) -> bool:
        """Writes a key map that names this instance as the coordinator."""
        begun_s = self._clock.monotonic_s()
        while not self._superseded:
            if self._may_claim(begun_s) and await self._follower.reload():
                newest = self._table.newest(self._service)
                if newest is None:
                    claimed = await self._create_first_map()
                else:
                    self._adopt_map(newest)
                    claimed = await self._append(self._ranges)
                if claimed:
                    return True
            await anyio.sleep(self._settings.log_retry_interval_s)
        return False

    def _may_claim(self, begun_s: float) -> bool:
        """Whether enough is known to write a key map."""
        if not self._list_is_fresh():
            return False
        known = self._table.newest(self._service) is not None
        return known or self._list_is_complete(begun_s)

    def _list_is_complete(self, begun_s: float) -> bool:
        """Whether all servers seem to have registered."""
        now_s = self._clock.monotonic_s()
        joined_s = [
            server.joined_s
            for server in self._registry.of_service(self._service)
        ]
        if not joined_s:
            return False
        if now_s - begun_s > self._settings.list_wait_max_s:
            return True
        return now_s - max(joined_s) > self._settings.list_stable_s

    def _adopt_map(self, newest: keymap.KeyMap) -> None:
        """Continues from the key map of another coordinator."""
        self._version = newest.version
        self._lease_manager.assume_held(newest.ranges)
        self._apply_map(newest)

    def _apply_map(self, key_map: keymap.KeyMap) -> None:
        """Replaces the ranges by those of a key map.

        Moves that completed since the map was composed, or whose completion
        this instance was notified of, need no second release.
        """
        self._set_ranges(
            r._replace(previous_owner=keymap.NO_SERVER)
            if self._table.is_settled(self._service, r)
            else r
            for r in key_map.ranges
        )

    def _set_ranges(self, ranges: Iterable[keymap.KeyRange]) -> None:
        """Replaces the ranges; drops reclaims that no longer belong to one."""
        self._ranges = tuple(ranges)
        self._range_set = frozenset(self._ranges)
        moves = {
            (r.token, r.first_key) for r in self._ranges if r.previous_owner
        }
        self._reclaimed = {
            move: reclaimed
            for move, reclaimed in self._reclaimed.items()
            if move in moves
        }

    async def _create_first_map(self) -> bool:
        """Writes the first key map of the service."""
        capacities = self._capacities.of(self._eligible_servers())
        if not capacities:
            return False
        ranges: tuple[keymap.KeyRange, ...] = (
            keymap.KeyRange(
                keymap.FIRST_KEY, keymap.LAST_KEY, keymap.NO_SERVER, 0
            ),
        )
        version = self._version + 1
        for move in planner.plan_initial(capacities):
            ranges = keymap.assign(ranges, *move, version)
        return await self._append(ranges)

    # Writing key maps.

    async def _append(self, ranges: tuple[keymap.KeyRange, ...]) -> bool:
        """Appends and applies a new key map.

        Returns:
            Whether it was written and is still the newest.
        """
        expected_end = self._follower.next_offset
        if expected_end is None:
            return False
        new = keymap.KeyMap(
            self._service,
            self._version + 1,
            ids.InstanceId(self._instance.name),
            self._instance.peer_address,
            keymap.merge_neighbours(ranges),
        )
        record = logs.KeyedRecord(self._service, keymap.encode(new))
        result = await self._log.append(self._topic, record, expected_end)
        if isinstance(result, logs.Appended):
            if self._is_superseded():
                return False
            self._version = new.version
            self._table.put(new, "written")
            self._apply_map(new)
            self._follower.note_own_append(result.offset, record)
            await self._publish_map(new)
            # A later map may have been read during either call.
            return not self._is_superseded()
        self._journal.decision(
            "key_map_not_written",
            service=self._service,
            version=new.version,
            expected_end=expected_end,
            result=type(result).__name__,
            reason=getattr(result, "reason", ""),
        )
        if isinstance(result, logs.Unreachable):
            return False
        await self._catch_up()
        # An earlier append that had been given up may have written this map.
        return self._table.newest(self._service) == new

    async def _catch_up(self) -> None:
        """Reads the log after a failed append."""
        await self._follower.catch_up()
        if not self._is_superseded():
            self._adopt_late_append()

    # Renewing leases and planning moves.

    async def _renew_leases(self, tasks: anyio.abc.TaskGroup) -> None:
        """Renews leases periodically, without waiting for log or servers."""
        while not self._is_superseded():
            for server_id in self._confirmed_owners().union(
                self._lease_manager.silent_servers()
            ):
                tasks.start_soon(
                    self._lease_manager.renew,
                    server_id,
                    self._ranges,
                    lambda r, s=server_id: self._may_renew(s, r),
                )
            await anyio.sleep(self._settings.renew_interval_s)

    async def _plan_moves(self, tasks: anyio.abc.TaskGroup) -> None:
        """Plans moves until another coordinator takes over."""
        planned_s = float("-inf")
        while not self._is_superseded():
            if self._adopt_late_append():
                self._resume_moves(tasks)
            self._retry_moves(tasks)
            now_s = self._clock.monotonic_s()
            rebalancing_due = now_s - planned_s >= self._plan_interval_s()
            await self._plan(tasks, with_rebalancing=rebalancing_due)
            if rebalancing_due:
                planned_s = now_s
            await self._wake.wait(self._settings.check_interval_s)

    def _plan_interval_s(self) -> float:
        """Returns the interval between plans that rebalance load."""
        settings = self._settings
        servers = len(self._confirmed_owners())
        by_size_s = servers * settings.plan_interval_per_server_s
        return max(settings.plan_interval_s, by_size_s)

    def _is_superseded(self) -> bool:
        """Whether another coordinator has written a newer key map.

        No order is sent once this instance has learned of one.
        """
        newest = self._table.newest(self._service)
        if newest is not None and newest.version > self._version:
            is_foreign = newest.coordinator != self._instance.name
            self._superseded = self._superseded or is_foreign
        return self._superseded

    def _adopt_late_append(self) -> bool:
        """Adopts our own map if its append completed after it was given up."""
        newest = self._table.newest(self._service)
        if newest is None or newest.version <= self._version:
            return False
        self._version = newest.version
        self._apply_map(newest)
        return True

    async def _watch_list(self) -> None:
        """Triggers planning when the list of servers changes."""
        while True:
            await self._registry.changed.wait(60)
            self._wake.notify()

    def _confirmed_owners(self) -> set[ids.ServerId]:
        """Returns the owners of ranges that are not being moved."""
        return {
            r.owner
            for r in self._ranges
            if r.owner and r.first_key not in self._moving
        }

    def _possible_holders(self) -> set[ids.ServerId]:
        """Returns the servers that may hold ranges, now or from before."""
        return {r.owner for r in self._ranges} | {
            r.previous_owner for r in self._ranges
        }

    def _may_renew(
        self, server_id: ids.ServerId, key_range: keymap.KeyRange
    ) -> bool:
        """Whether a server holds a range that is not being moved."""
        return (
            not self._is_superseded()
            and key_range.owner == server_id
            and not key_range.previous_owner
            and key_range.first_key not in self._moving
            and key_range in self._range_set
        )

    def _is_grant_current(self, key_range: keymap.KeyRange) -> bool:
        """Whether a range should still be granted to its owner."""
        if self._is_superseded():
            return False
        # Its previous owner may have been cleared in the meantime.
        current = key_range._replace(previous_owner=keymap.NO_SERVER)
        return any(
            r._replace(previous_owner=keymap.NO_SERVER) == current
            for r in self._ranges
        )

    def _eligible_servers(self) -> list[model.BackendServer]:
        """Returns the servers to which keys may be assigned."""
        now_s = self._clock.monotonic_s()
        return [
            server.listed
            for server in self._registry.of_service(self._service)
            if self._registry.is_staying(server, now_s)
            and not self._lease_manager.is_lost(server.listed.server_id)
            and not self._lease_manager.is_unreachable(server.listed.server_id)
        ]

    async def _plan(
        self, tasks: anyio.abc.TaskGroup, *, with_rebalancing: bool
    ) -> None:
        """Moves keys off leaving and lost servers, and off overloaded ones."""
        eligible = self._eligible_servers()
        if not eligible or not self._list_is_fresh():
            return
        self._registry.note_owners(self._service, self._possible_holders())
        self._loads.advance(eligible, self._clock.monotonic_s())
        capacities = self._capacities.of(eligible)
        movable = tuple(r for r in self._ranges if self._is_movable(r))
        moves: tuple[planner.Move, ...] = ()
        reason = "owner is leaving or lost"
        restarted = self._plan_restarts(movable, capacities)
        if restarted:
            await self._append_moves(tasks, restarted, "owner has restarted")
            return
        if any(r.owner not in capacities for r in movable):
            load = self._loads.slow_load()
            moves = planner.plan_evacuation(movable, load, capacities)
            moves = tuple(m for m in moves if self._may_move_now(m))
        max_moves = self._plan_settings.max_moves(len(capacities))
        may_rebalance = (
            with_rebalancing and self._lease_manager.previous_orders_expired
        )
        if (
            not moves
            and may_rebalance
            and self._count_short_moves() < max_moves
        ):
            moves = self._plan_rebalancing(capacities)
            moves = tuple(m for m in moves if self._may_move_now(m))
            reason = "owner is busier than others"
        if moves or self._lease_manager.outranked:
            await self._append_moves(tasks, moves, reason)
        elif self._unrecorded_since_s is not None and not self._moving:
            await self._record_settled()

    def _plan_restarts(
        self,
        movable: tuple[keymap.KeyRange, ...],
        capacities: Mapping[ids.ServerId, float],
    ) -> tuple[planner.Move, ...]:
        """Returns moves of ranges from earlier runs of servers to the latest.

        The new run holds nothing, or a range granted by an order that was meant
        for the earlier run. Either way no other server can hold the range, so
        it is served again as soon as the move is in the log.
        """
        moves = [
            planner.Move(
                r.first_key, r.last_key, self._registry.latest_run(r.owner)
            )
            for r in movable
            if self._registry.latest_run(r.owner) != r.owner
        ]
        # A cold server gets no more keys than evacuation would assign to it.
        return tuple(
            m
            for m in moves
            if m.owner in capacities
            and self._capacities.cold_capacity_per_s(m.owner) is None
        )

    def _is_reclaimed(self, key_range: keymap.KeyRange) -> bool:
        """Whether no server other than the owner of a range may hold it."""
        previous = key_range.previous_owner
        if not previous or previous == key_range.owner:
            return True
        return (key_range.token, key_range.first_key) in self._reclaimed

    def _is_movable(self, key_range: keymap.KeyRange) -> bool:
        """Whether a range may be moved again.

        A key map names a single previous owner of a range. If the range were
        moved before that owner released it, the owner would be forgotten, and
        its keys granted to another server while it still works on them.
        """
        moving = key_range.first_key in self._moving
        return not moving and self._is_reclaimed(key_range)

    def _count_short_moves(self) -> int:
        """Returns the number of moves in progress that will complete soon.

        Moves that wait for the lease of a silent server take up to 3 s, and
        say nothing about the load of the other servers.
        """
        return sum(
            r.first_key in self._moving
            and (
                not r.previous_owner
                or self._lease_manager.is_responsive(r.previous_owner)
            )
            for r in self._ranges
        )

    async def _record_settled(self) -> None:
        """Records completed moves in the log, once no more of them follow.

        Then an instance that starts later knows for certain who holds the keys,
        and the next coordinator need not repeat the moves.
        """
        now_s = self._clock.monotonic_s()
        since_s = self._unrecorded_since_s
        if (
            since_s is None
            or now_s - since_s < self._settings.settled_write_delay_s
        ):
            return
        if await self._append(self._ranges):
            self._unrecorded_since_s = None

    def _plan_rebalancing(
        self, capacities: dict[ids.ServerId, float]
    ) -> tuple[planner.Move, ...]:
        """Returns moves that relieve overloaded servers."""
        now_s = self._clock.monotonic_s()
        settings = self._plan_settings
        fast = self._loads.fast_load()
        if now_s - self._hot_key_moved_s >= settings.hot_key_interval_s:
            hot = planner.plan_hot_key(self._ranges, fast, capacities, settings)
            if hot is not None:
                self._hot_key_moved_s = now_s
                return (hot,)
        moves = planner.plan_rebalancing(
            self._ranges, fast, capacities, settings, settings.urgent
        )
        if moves or now_s - self._rebalanced_s < settings.rebalance_interval_s:
            return moves
        self._rebalanced_s = now_s
        return planner.plan_rebalancing(
            self._ranges,
            self._loads.slow_load(),
            capacities,
            settings,
            settings.steady,
        )

    def _may_move_now(self, move: planner.Move) -> bool:
        """Whether a move could proceed at once.

        It must not overlap another move in progress. While a previous leader
        may still send orders, a release proves nothing, so keys stay with a
        responsive owner, which serves them.
        """
        overlapping = [
            r
            for r in self._ranges
            if r.first_key <= move.last_key and move.first_key <= r.last_key
        ]
        if not all(self._is_movable(r) for r in overlapping):
            return False
        return self._lease_manager.previous_orders_expired or not any(
            self._lease_manager.is_responsive(r.owner) for r in overlapping
        )

    # Executing moves.

    async def _append_moves(
        self,
        tasks: anyio.abc.TaskGroup,
        moves: tuple[planner.Move, ...],
        reason: str,
    ) -> None:
        """Appends moves to the log, then starts them."""
        version = self._version + 1
        ranges = self._ranges
        for move in moves:
            ranges = keymap.assign(ranges, *move, version)
        outranked = set(self._lease_manager.outranked)
        ranges = tuple(
            r._replace(token=version, previous_owner=r.owner)
            if r.owner in outranked and self._is_movable(r)
            else r
            for r in ranges
        )
        if not await self._append(ranges):
            return
        self._lease_manager.outranked -= outranked
        for move in moves:
            self._journal.decision(
                "keys_move",
                service=self._service,
                first_key=move.first_key,
                last_key=move.last_key,
                to=move.owner,
                version=version,
                reason=reason,
            )
        for key_range in self._ranges:
            if key_range.token == version:
                self._start_move(tasks, key_range, resumed=False)

    def _resume_moves(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts the pending moves of a map that was adopted or created."""
        for key_range in self._ranges:
            if key_range.previous_owner or key_range.token == self._version:
                self._start_move(tasks, key_range, resumed=True)

    def _retry_moves(self, tasks: anyio.abc.TaskGroup) -> None:
        """Restarts pending moves that no task is executing.

        A range that its owner did not accept is granted again once that owner
        responds; reclaiming a range does not wait for the new owner.
        """
        for key_range in self._ranges:
            if not key_range.previous_owner:
                continue
            heard = self._lease_manager.is_responsive(key_range.owner)
            if heard or not self._is_reclaimed(key_range):
                self._start_move(tasks, key_range, resumed=True)

    def _start_move(
        self,
        tasks: anyio.abc.TaskGroup,
        key_range: keymap.KeyRange,
        *,
        resumed: bool,
    ) -> None:
        """Starts a task that executes one move, unless one is running."""
        if not key_range.owner or key_range.first_key in self._moving:
            return
        self._moving.add(key_range.first_key)
        tasks.start_soon(self._execute_move, key_range, resumed)

    async def _execute_move(
        self, key_range: keymap.KeyRange, resumed: bool
    ) -> None:
        """Reclaims a range from its old owner and grants it to the new one.

        Args:
            key_range: The range as it is after the move.
            resumed: Whether the move may have been started before.
        """
        begun_s = self._clock.monotonic_s()
        try:
            previous = key_range.previous_owner
            reclaimed = await self._reclaim(key_range, resumed)
            granted = await self._lease_manager.grant(
                key_range, reclaimed.handover, self._is_grant_current
            )
            if granted:
                self._mark_settled(key_range)
        finally:
            self._moving.discard(key_range.first_key)
            self._wake.notify()
        self._metrics.keys_moved.add({"service": self._service}, key_range.size)
        self._journal.decision(
            "keys_moved",
            service=self._service,
            first_key=key_range.first_key,
            last_key=key_range.last_key,
            prior=previous,
            to=key_range.owner,
            token=key_range.token,
            proof=reclaimed.proof,
            resumed=resumed,
            warm=bool(reclaimed.handover),
            granted=granted,
            took_ms=round((self._clock.monotonic_s() - begun_s) * 1_000),
        )
        if granted and previous:
            self._publish_settled(key_range)

    async def _reclaim(
        self, key_range: keymap.KeyRange, resumed: bool
    ) -> proofs.Reclaimed:
        """Reclaims a range from its old owner; returns proof and state."""
        previous = key_range.previous_owner
        if not previous:
            return proofs.Reclaimed(proofs.Proof.NO_PRIOR_OWNER)
        if previous == key_range.owner:
            return proofs.Reclaimed(proofs.Proof.SAME_SERVER)
        move = (key_range.token, key_range.first_key)
        if move not in self._reclaimed:
            self._reclaimed[move] = await self._lease_manager.reclaim(
                previous, key_range, may_have_been_asked=resumed
            )
        return self._reclaimed[move]

    def _mark_settled(self, key_range: keymap.KeyRange) -> None:
        """Records that the owner of a range holds it."""
        self._reclaimed.pop((key_range.token, key_range.first_key), None)
        self._set_ranges(
            r._replace(previous_owner=keymap.NO_SERVER)
            if r.first_key == key_range.first_key and r.token == key_range.token
            else r
            for r in self._ranges
        )
        if key_range.previous_owner:
            self._unrecorded_since_s = self._clock.monotonic_s()
        self._table.mark_settled(
            self._service, key_range.token, key_range.first_key
        )
