"""Who owns which keys of a service: decided and carried out by one instance.

Which instance that is, leadership says. What it may do, the log's order says:
a key map is appended before any order follows from it, and only on top of the
one that it builds on. Its version is the fencing token of the ranges that it
moves, so a backend server refuses orders of a coordinator that is out of date.
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
from bridgecross_entry import servers as servers_lib
from bridgecross_entry import warmups


@dataclasses.dataclass(frozen=True, slots=True)
class CoordinatorSettings:
    """When a coordinator acts."""

    # Four renewals a lease, so that one lost order does not end it.
    renew_interval_s: float = 0.6
    # How often moves are considered. A plan over all keys takes 5 ms.
    plan_interval_s: float = 0.25
    # The same for each server of the service, if that is more. Each map goes
    # to all instances, and both grow with the site: 120 servers make 5 KB for
    # 80 instances, deflated, which fills a link of 10 Mbit/s for 0.3 s.
    plan_interval_per_server_s: float = 0.005
    # Moves that have ended are written down after this time without others:
    # a write costs as much as serving a request, and most moves come in
    # groups.
    settled_rest_s: float = 1.5
    # The first plan waits until no server has joined for this long: servers
    # that start together list themselves over some heartbeats of 0.9 s.
    list_quiet_s: float = 1.5
    # But no longer than this, counted from the claim.
    list_wait_max_s: float = 5.0
    # The pause before the log is tried again.
    log_pause_s: float = 0.1
    # The part of what a cold server may get that its keys may draw on average.
    # Requests come at random; what is beyond its permits is turned away.
    cold_room_ratio: float = 0.5
    # How often it is looked whether a renewal or a plan is due.
    look_interval_s: float = 0.1


class Coordinator:
    """Looks after the keys of one service while this instance leads."""

    def __init__(
        self,
        service: ids.ServiceName,
        settings: CoordinatorSettings,
        plan_settings: planner.PlanSettings,
        instance: model.InstanceSettings,
        log: logs.PlatformLog,
        topic: str,
        follower: followers.Follower,
        keeper: leases.LeaseKeeper,
        book: servers_lib.ServerRegistry,
        table: keymap.KeyTable,
        loads: load_view.LoadView,
        list_is_fresh: Callable[[], bool],
        publish_map: Callable[[keymap.KeyMap], Awaitable[None]],
        publish_settled: Callable[[keymap.KeyRange], None],
        journal: journals.Journal,
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
    ) -> None:
        """Does nothing before ``run``.

        Args:
            service: The service whose keys are looked after.
            settings: When to act.
            plan_settings: When keys move.
            instance: This instance.
            log: The platform's log.
            topic: The topic of key maps.
            follower: Follows that topic at this instance.
            keeper: Gives orders to backend servers.
            book: The backend servers.
            table: The key maps that this instance uses.
            loads: The load of the service.
            list_is_fresh: Whether the list of servers was read just now.
            publish_map: Tells the other instances of a new map.
            publish_settled: Tells them that a move has ended.
            journal: Told of each decision.
            metrics: Counts moves.
            clock: For intervals.
        """
        self._service = service
        self._settings = settings
        self._plan_settings = plan_settings
        self._instance = instance
        self._log = log
        self._topic = topic
        self._follower = follower
        self._keeper = keeper
        self._book = book
        self._table = table
        self._loads = loads
        self._list_is_fresh = list_is_fresh
        self._publish_map = publish_map
        self._publish_settled = publish_settled
        self._journal = journal
        self._metrics = metrics
        self._clock = clock
        self._version = 0
        self._ranges: tuple[keymap.KeyRange, ...] = ()
        # The same, to be found at once: each renewal looks twice.
        self._range_set: frozenset[keymap.KeyRange] = frozenset()
        self._wake = notifier.Notifier()
        # Ranges whose move is under way, by first key.
        self._moving: set[int] = set()
        # Ranges that their prior owners hold no longer, by token and first
        # key, until their next owners have taken them.
        self._taken_back: dict[tuple[int, int], proofs.TakenBack] = {}
        # Since when the log has not been told that moves have ended; None if
        # it has.
        self._unwritten_since_s: float | None = None
        # When a hot key was last moved, and servers relieved without hurry.
        self._hot_moved_s = float("-inf")
        self._relieved_s = float("-inf")
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

    # Claiming.

    async def _claim(self) -> bool:
        """Writes a map with this instance as coordinator."""
        begun_s = self._clock.monotonic_s()
        while not self._superseded:
            if self._may_claim(begun_s) and await self._follower.reload():
                newest = self._table.newest(self._service)
                if newest is None:
                    claimed = await self._found()
                else:
                    self._adopt(newest)
                    claimed = await self._append(self._ranges)
                if claimed:
                    return True
            await anyio.sleep(self._settings.log_pause_s)
        return False

    def _may_claim(self, begun_s: float) -> bool:
        """Whether enough is known to write a map."""
        if not self._list_is_fresh():
            return False
        known = self._table.newest(self._service) is not None
        return known or self._list_is_complete(begun_s)

    def _list_is_complete(self, begun_s: float) -> bool:
        """Whether the list of servers seems to be all there."""
        now_s = self._clock.monotonic_s()
        joined_s = [
            server.joined_s for server in self._book.of_service(self._service)
        ]
        if not joined_s:
            return False
        if now_s - begun_s > self._settings.list_wait_max_s:
            return True
        return now_s - max(joined_s) > self._settings.list_quiet_s

    def _adopt(self, newest: keymap.KeyMap) -> None:
        """Goes on from a map that another coordinator wrote."""
        self._version = newest.version
        self._keeper.assume_held(newest.ranges)
        self._go_by(newest)

    def _go_by(self, key_map: keymap.KeyMap) -> None:
        """Goes by the ranges of a map.

        Moves that have ended since it was made up, or of whose end this
        instance was told, need no second release.
        """
        self._set_ranges(
            r._replace(prior_owner=keymap.NO_SERVER)
            if self._table.is_settled(self._service, r)
            else r
            for r in key_map.ranges
        )

    def _set_ranges(self, ranges: Iterable[keymap.KeyRange]) -> None:
        """Replaces the ranges; forgets what was taken back of others."""
        self._ranges = tuple(ranges)
        self._range_set = frozenset(self._ranges)
        moves = {(r.token, r.first_key) for r in self._ranges if r.prior_owner}
        self._taken_back = {
            move: taken
            for move, taken in self._taken_back.items()
            if move in moves
        }

    async def _found(self) -> bool:
        """Writes the first map of the service."""
        rooms = self._rooms(self._takers())
        if not rooms:
            return False
        ranges: tuple[keymap.KeyRange, ...] = (
            keymap.KeyRange(
                keymap.FIRST_KEY, keymap.LAST_KEY, keymap.NO_SERVER, 0
            ),
        )
        version = self._version + 1
        for move in planner.plan_first(rooms):
            ranges = keymap.assign(ranges, *move, version)
        return await self._append(ranges)

    # Writing.

    async def _append(self, ranges: tuple[keymap.KeyRange, ...]) -> bool:
        """Puts a new map into force; returns whether it is in the log."""
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
            self._version = new.version
            self._table.put(new, "written")
            self._go_by(new)
            self._follower.note_own_append(result.offset, record)
            await self._publish_map(new)
            return True
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
        # One that was given up before may have been done in its place.
        return self._table.newest(self._service) == new

    async def _catch_up(self) -> None:
        """Reads what is in the log after an append that did not go well."""
        await self._follower.catch_up()
        if not self._is_superseded():
            self._adopt_late_append()

    # Renewing and planning.

    async def _renew_leases(self, tasks: anyio.abc.TaskGroup) -> None:
        """Renews leases; waits neither for the log nor for any server."""
        while not self._is_superseded():
            for server_id in self._owners().union(self._keeper.silent_ids()):
                tasks.start_soon(
                    self._keeper.renew,
                    server_id,
                    self._ranges,
                    lambda r, s=server_id: self._holds(s, r),
                )
            await anyio.sleep(self._settings.renew_interval_s)

    async def _plan_moves(self, tasks: anyio.abc.TaskGroup) -> None:
        """Moves keys until superseded."""
        planned_s = float("-inf")
        while not self._is_superseded():
            if self._adopt_late_append():
                self._resume_moves(tasks)
            self._retry_moves(tasks)
            now_s = self._clock.monotonic_s()
            relief_due = now_s - planned_s >= self._plan_interval_s()
            await self._plan(tasks, with_relief=relief_due)
            if relief_due:
                planned_s = now_s
            await self._wake.wait(self._settings.look_interval_s)

    def _plan_interval_s(self) -> float:
        """Returns how long to wait between plans for relief."""
        settings = self._settings
        servers = len(self._owners())
        by_size_s = servers * settings.plan_interval_per_server_s
        return max(settings.plan_interval_s, by_size_s)

    def _is_superseded(self) -> bool:
        """Whether another coordinator has written a map on top of ours.

        Nothing is ordered from the moment on at which that is heard of.
        """
        newest = self._table.newest(self._service)
        if newest is not None and newest.version > self._version:
            foreign = newest.coordinator != self._instance.name
            self._superseded = self._superseded or foreign
        return self._superseded

    def _adopt_late_append(self) -> bool:
        """Takes in a map of our own that was done after it was given up."""
        newest = self._table.newest(self._service)
        if newest is None or newest.version <= self._version:
            return False
        self._version = newest.version
        self._go_by(newest)
        return True

    async def _watch_list(self) -> None:
        """Wakes the planning when the list of servers changes."""
        while True:
            await self._book.changed.wait(60)
            self._wake.notify()

    def _owners(self) -> set[ids.ServerId]:
        """Returns the servers that hold ranges for sure."""
        return {
            r.owner
            for r in self._ranges
            if r.owner and r.first_key not in self._moving
        }

    def _holders(self) -> set[ids.ServerId]:
        """Returns the servers that may hold ranges."""
        return {r.owner for r in self._ranges} | {
            r.prior_owner for r in self._ranges
        }

    def _holds(
        self, server_id: ids.ServerId, key_range: keymap.KeyRange
    ) -> bool:
        """Whether a server holds a range at this moment, and keeps it."""
        return (
            not self._is_superseded()
            and key_range.owner == server_id
            and not key_range.prior_owner
            and key_range.first_key not in self._moving
            and key_range in self._range_set
        )

    def _still_gives(self, key_range: keymap.KeyRange) -> bool:
        """Whether a range is still to be given to its owner."""
        if self._is_superseded():
            return False
        # Its prior owner may have been struck out meanwhile.
        wanted = key_range._replace(prior_owner=keymap.NO_SERVER)
        return any(
            r._replace(prior_owner=keymap.NO_SERVER) == wanted
            for r in self._ranges
        )

    def _takers(self) -> list[model.BackendServer]:
        """Returns the servers that can take keys."""
        now_s = self._clock.monotonic_s()
        return [
            server.listed
            for server in self._book.of_service(self._service)
            if self._book.is_staying(server, now_s)
            and not self._keeper.is_lost(server.listed.server_id)
            and not self._keeper.is_unreachable(server.listed.server_id)
        ]

    def _rooms(
        self, takers: list[model.BackendServer]
    ) -> dict[ids.ServerId, float]:
        """Returns the requests a second that servers can work on.

        Cold ones that bear next to nothing are left out, if there are others.
        """
        rooms = self._loads.rooms(takers)
        warm = {}
        for server_id, room in rooms.items():
            cold_room = self._cold_room_per_s(server_id)
            if cold_room is None:
                warm[server_id] = room
            elif cold_room > 0:
                warm[server_id] = min(room, cold_room)
        return warm or rooms

    def _cold_room_per_s(self, server_id: ids.ServerId) -> float | None:
        """Returns what keys of a cold server may draw; None if it is warm."""
        server = self._book.get(server_id)
        rate_per_s = self._book.cold_rate_per_s(server) if server else None
        if rate_per_s is None:
            return None
        settings = warmups.WarmupSettings()
        bounds = self._instance.bounds
        issued = warmups.count_issued(settings, bounds, rate_per_s)
        return self._settings.cold_room_ratio * issued / settings.window_s

    async def _plan(
        self, tasks: anyio.abc.TaskGroup, *, with_relief: bool
    ) -> None:
        """Moves keys away from servers that leave, and off busy ones."""
        takers = self._takers()
        if not takers or not self._list_is_fresh():
            return
        self._book.note_owners(self._service, self._holders())
        self._loads.advance(takers, self._clock.monotonic_s())
        rooms = self._rooms(takers)
        still = tuple(r for r in self._ranges if self._is_free(r))
        moves: tuple[planner.Move, ...] = ()
        reason = "owner leaves or is gone"
        restarted = self._plan_restarts(still, rooms)
        if restarted:
            await self._move(tasks, restarted, "owner has started again")
            return
        if any(r.owner not in rooms for r in still):
            load = self._loads.slow_load()
            moves = planner.plan_evacuation(still, load, rooms)
            moves = tuple(m for m in moves if self._may_move_now(m))
        most_moves = self._plan_settings.most_moves(len(rooms))
        may_relieve = with_relief and self._keeper.earlier_is_over
        if not moves and may_relieve and self._prompt_moves() < most_moves:
            moves = self._plan_relief(rooms)
            moves = tuple(m for m in moves if self._may_move_now(m))
            reason = "owner is busier than others"
        if moves or self._keeper.outranked:
            await self._move(tasks, moves, reason)
        elif self._unwritten_since_s is not None and not self._moving:
            await self._write_settled()

    def _plan_restarts(
        self,
        still: tuple[keymap.KeyRange, ...],
        rooms: Mapping[ids.ServerId, float],
    ) -> tuple[planner.Move, ...]:
        """Returns moves of what earlier runs of servers held to the latest.

        The new run holds nothing, or what an order that was meant for the
        earlier one gave it: either way nobody else can hold the range, so it is
        served again as soon as the log has taken the move.
        """
        moves = [
            planner.Move(
                r.first_key, r.last_key, self._book.latest_run(r.owner)
            )
            for r in still
            if self._book.latest_run(r.owner) != r.owner
        ]
        # What is cold takes no more than others would give it.
        return tuple(
            m
            for m in moves
            if m.owner in rooms and self._cold_room_per_s(m.owner) is None
        )

    def _is_taken_back(self, key_range: keymap.KeyRange) -> bool:
        """Whether nobody but the owner of a range may hold it."""
        prior = key_range.prior_owner
        if not prior or prior == key_range.owner:
            return True
        return (key_range.token, key_range.first_key) in self._taken_back

    def _is_free(self, key_range: keymap.KeyRange) -> bool:
        """Whether a range may be moved on.

        A map names one prior owner of a range. One that has not been taken back
        would be forgotten, and its keys given on while it works on them.
        """
        moving = key_range.first_key in self._moving
        return not moving and self._is_taken_back(key_range)

    def _prompt_moves(self) -> int:
        """Returns how many moves are under way that will end soon.

        Those that wait for the lease of a silent server last up to 3 s, and
        tell nothing of how busy the others are.
        """
        return sum(
            r.first_key in self._moving
            and (not r.prior_owner or self._keeper.is_heard(r.prior_owner))
            for r in self._ranges
        )

    async def _write_settled(self) -> None:
        """Writes down that moves have ended, once things are quiet.

        An instance that starts later need not ask itself who holds the keys,
        and a coordinator that follows need not carry the moves out again.
        """
        now_s = self._clock.monotonic_s()
        since_s = self._unwritten_since_s
        if since_s is None or now_s - since_s < self._settings.settled_rest_s:
            return
        if await self._append(self._ranges):
            self._unwritten_since_s = None

    def _plan_relief(
        self, rooms: dict[ids.ServerId, float]
    ) -> tuple[planner.Move, ...]:
        """Returns moves off busy servers."""
        now_s = self._clock.monotonic_s()
        settings = self._plan_settings
        fast = self._loads.fast_load()
        if now_s - self._hot_moved_s >= settings.hot_key_rest_s:
            hot = planner.plan_hot_key(self._ranges, fast, rooms, settings)
            if hot is not None:
                self._hot_moved_s = now_s
                return (hot,)
        moves = planner.plan_relief(
            self._ranges, fast, rooms, settings, settings.urgent
        )
        if moves or now_s - self._relieved_s < settings.relief_rest_s:
            return moves
        self._relieved_s = now_s
        return planner.plan_relief(
            self._ranges,
            self._loads.slow_load(),
            rooms,
            settings,
            settings.steady,
        )

    def _may_move_now(self, move: planner.Move) -> bool:
        """Whether a move can go on once it is begun.

        Nothing that is under way may stand against it; and while an earlier
        leader may give orders, no release is proof, so keys stay with an owner
        that serves them.
        """
        crossed = [
            r
            for r in self._ranges
            if r.first_key <= move.last_key and move.first_key <= r.last_key
        ]
        if not all(self._is_free(r) for r in crossed):
            return False
        return self._keeper.earlier_is_over or not any(
            self._keeper.is_heard(r.owner) for r in crossed
        )

    # Moving.

    async def _move(
        self,
        tasks: anyio.abc.TaskGroup,
        moves: tuple[planner.Move, ...],
        reason: str,
    ) -> None:
        """Writes moves into the log, and carries them out after that."""
        version = self._version + 1
        ranges = self._ranges
        for move in moves:
            ranges = keymap.assign(ranges, *move, version)
        outranked = set(self._keeper.outranked)
        ranges = tuple(
            r._replace(token=version, prior_owner=r.owner)
            if r.owner in outranked and self._is_free(r)
            else r
            for r in ranges
        )
        if not await self._append(ranges):
            return
        self._keeper.outranked -= outranked
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
        """Carries out the moves of a map that was adopted or founded."""
        for key_range in self._ranges:
            if key_range.prior_owner or key_range.token == self._version:
                self._start_move(tasks, key_range, resumed=True)

    def _retry_moves(self, tasks: anyio.abc.TaskGroup) -> None:
        """Goes on with moves that nobody carries out.

        Ranges are given again that their owners did not take before, once
        those are heard of; what is not taken back yet waits for no owner.
        """
        for key_range in self._ranges:
            if not key_range.prior_owner:
                continue
            heard = self._keeper.is_heard(key_range.owner)
            if heard or not self._is_taken_back(key_range):
                self._start_move(tasks, key_range, resumed=True)

    def _start_move(
        self,
        tasks: anyio.abc.TaskGroup,
        key_range: keymap.KeyRange,
        *,
        resumed: bool,
    ) -> None:
        """Starts the task that carries one move out, unless one does."""
        if not key_range.owner or key_range.first_key in self._moving:
            return
        self._moving.add(key_range.first_key)
        tasks.start_soon(self._carry_out, key_range, resumed)

    async def _carry_out(
        self, key_range: keymap.KeyRange, resumed: bool
    ) -> None:
        """Takes a range from its old owner and gives it to the new one.

        Args:
            key_range: The range as it is after the move.
            resumed: Whether the move may have been begun before.
        """
        begun_s = self._clock.monotonic_s()
        try:
            prior = key_range.prior_owner
            taken = await self._take_back(key_range, resumed)
            granted = await self._keeper.give(
                key_range, taken.handover, self._still_gives
            )
            if granted:
                self._settle(key_range)
        finally:
            self._moving.discard(key_range.first_key)
            self._wake.notify()
        self._metrics.keys_moved.add({"service": self._service}, key_range.size)
        self._journal.decision(
            "keys_moved",
            service=self._service,
            first_key=key_range.first_key,
            last_key=key_range.last_key,
            prior=prior,
            to=key_range.owner,
            token=key_range.token,
            proof=taken.proof,
            resumed=resumed,
            warm=bool(taken.handover),
            granted=granted,
            took_ms=round((self._clock.monotonic_s() - begun_s) * 1_000),
        )
        if granted and prior:
            self._publish_settled(key_range)

    async def _take_back(
        self, key_range: keymap.KeyRange, resumed: bool
    ) -> proofs.TakenBack:
        """Takes a range from its old owner; returns what it handed over."""
        prior = key_range.prior_owner
        if not prior:
            return proofs.TakenBack(proofs.Proof.NO_PRIOR_OWNER)
        if prior == key_range.owner:
            return proofs.TakenBack(proofs.Proof.SAME_SERVER)
        move = (key_range.token, key_range.first_key)
        if move not in self._taken_back:
            self._taken_back[move] = await self._keeper.take_back(
                prior, key_range, asked_before=resumed
            )
        return self._taken_back[move]

    def _settle(self, key_range: keymap.KeyRange) -> None:
        """Keeps that the owner of a range holds it."""
        self._taken_back.pop((key_range.token, key_range.first_key), None)
        self._set_ranges(
            r._replace(prior_owner=keymap.NO_SERVER)
            if r.first_key == key_range.first_key and r.token == key_range.token
            else r
            for r in self._ranges
        )
        if key_range.prior_owner:
            self._unwritten_since_s = self._clock.monotonic_s()
        self._table.mark_settled(
            self._service, key_range.token, key_range.first_key
        )
