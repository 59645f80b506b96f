"""What instances do for one another: the leader's duties and the others'.

The leader reads the log for all and coordinates the services divided by key.
Every instance lists itself, takes the leader's word, and reports its load.
"""

from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
from typing import Any

import anyio
import anyio.abc

from bridgecross_core import clock as clocks
from bridgecross_core import hashing
from bridgecross_core import ids
from bridgecross_entry import attempts
from bridgecross_entry import cluster_state
from bridgecross_entry import coordinator
from bridgecross_entry import dispatch
from bridgecross_entry import journal as journals
from bridgecross_entry import keymap
from bridgecross_entry import leadership
from bridgecross_entry import leases
from bridgecross_entry import load
from bridgecross_entry import load_view
from bridgecross_entry import log as logs
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import model
from bridgecross_entry import peers
from bridgecross_entry import planner
from bridgecross_entry import poison_broadcast
from bridgecross_entry import relaying
from bridgecross_entry import servers as servers_lib
from bridgecross_entry import tasks as tasks_lib
from bridgecross_request import poison_requests


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterTaskSettings:
    """How often duties are done."""

    # How often load is reported: a hot key is seen after two reports.
    report_interval_s: float = 0.25
    # Reports that a coordinator gets in a second at most. One costs about
    # 0.4 ms there; 360 of them held up all else on 0.43 cores.
    reports_max_per_s: float = 90.0
    # Ends of moves are gathered for this long before peers are told: requests
    # wait for them, and moves come in groups.
    settled_wait_s: float = 0.005
    # How often an instance looks whether it is on the list of instances.
    register_interval_s: float = 0.5
    # An instance that has not answered the leader for this long is taken off
    # the list; restarts take about a second, cuts some.
    peer_lost_s: float = 20.0


class ClusterTasks:
    """What this instance does for others, and hears from them."""

    def __init__(
        self,
        settings: ClusterTaskSettings,
        instance: model.InstanceSettings,
        log: logs.PlatformLog,
        lease_client: attempts.LeaseClient,
        peer_client: peers.PeerClient,
        held: cluster_state.ClusterState,
        book: servers_lib.ServerRegistry,
        table: keymap.KeyTable,
        dispatcher: dispatch.Dispatcher,
        journal: journals.Journal,
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
    ) -> None:
        """Does nothing yet.

        Args:
            settings: How often duties are done.
            instance: This instance.
            log: The platform's log.
            lease_client: Gives orders to backend servers.
            peer_client: Calls other instances.
            held: What this instance believes.
            book: The backend servers.
            table: The key maps.
            dispatcher: Counts the load of this instance.
            journal: Told of decisions.
            metrics: Counts orders.
            clock: For intervals.
        """
        self._settings = settings
        self._platform = instance
        self._log = log
        self._lease_client = lease_client
        self._beliefs = held
        self._book = book
        self._table = table
        self._dispatcher = dispatcher
        self._journal = journal
        self._metrics = metrics
        self._clock = clock
        self._peer_client = peer_client
        self._leadership = leadership.Leadership(
            leadership.LeadershipSettings(),
            instance,
            log,
            lambda: self._beliefs.instances,
            lambda: self._beliefs.weak_instances,
            lambda: held.list_is_fresh and not held.list_is_lost,
            self._take_lead,
            journal,
            clock,
        )
        self.poison_broadcast = poison_broadcast.PoisonBroadcaster(
            poison_broadcast.PoisonBroadcastSettings(),
            dispatcher.watch.ledger,
            self._peer_client,
            self._peers,
            lambda record: log.put(cluster_state.INSTANCE_TOPIC, record),
            journal,
            clock,
        )
        dispatcher.watch.rank = self._rank
        dispatcher.watch.on_ends = self.poison_broadcast.report_ends
        dispatcher.watch.on_cleared = self.poison_broadcast.report_answer
        self.poison_broadcast.on_ended_elsewhere = (
            dispatcher.watch.note_ended_elsewhere
        )
        held.on_refused = self.poison_broadcast.load_record
        self._relayer = relaying.Relayer(
            relaying.RelaySettings(),
            held,
            self._leadership,
            self._peer_client,
            self.poison_broadcast,
            self._peers,
            journal,
            clock,
        )
        self._views: dict[ids.ServiceName, load_view.LoadView] = {}
        self._coordinators: dict[ids.ServiceName, anyio.CancelScope] = {}
        # Moves that have ended, and of which peers are told soon.
        self._settled: list[peers.Settled] = []
        self._tasks: anyio.abc.TaskGroup
        self._stopping = False

    @property
    def coordinated_count(self) -> int:
        """The services that this instance coordinates."""
        return len(self._coordinators)

    @property
    def may_order(self) -> bool:
        """Whether this instance leads for certain at this moment."""
        return self._leadership.may_order

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts all duties."""
        self._tasks = tasks
        for work in (
            self._leadership.run,
            self._keep_registered,
            self._relayer.run,
            self._match_on_news,
            self._report_load,
        ):
            tasks.start_soon(tasks_lib.keep_running, work, self._journal)
        self.poison_broadcast.start(tasks)

    def make_peer_server(self) -> peers.PeerServer:
        """Returns what answers other instances."""
        return peers.PeerServer(
            lambda report: self._view(report.service).add_report(
                report.keys, report.servers
            ),
            self._take_map,
            self._take_settled,
            self._relayer.receive,
            self._journal,
        )

    async def hand_over_lead(self) -> None:
        """Lets another instance lead; goes on coordinating until it does.

        It stays on the list of instances. Most stops are restarts; the leader
        takes off whoever does not come back.
        """
        self._stopping = True
        self._relayer.resigns = True
        if self._leadership.is_leader:
            self._leadership.resign()
            await self._relayer.broadcast(self._tasks)

    async def _match_on_news(self) -> None:
        """Starts coordinators once enough is known, in whatever order.

        The lead, the configuration and the list of servers may come one after
        another; the last of them says nothing of the others.
        """
        while True:
            await self._beliefs.updated.wait(self._settings.register_interval_s)
            self.match_coordinators()

    def match_coordinators(self) -> None:
        """Starts and stops coordinators as this instance leads or not."""
        configuration = self._beliefs.configuration
        if configuration is None or not self._beliefs.is_complete:
            return
        wanted = {
            service.name
            for service in configuration.services.values()
            if service.keyed and self._leadership.is_leader
        }
        for service in wanted - self._coordinators.keys():
            scope = anyio.CancelScope()
            self._coordinators[service] = scope
            self._tasks.start_soon(self._coordinate, service, scope)
        for service in self._coordinators.keys() - wanted:
            self._coordinators[service].cancel()

    # Telling and hearing.

    async def _keep_registered(self) -> None:
        """Keeps this instance on the list, and those that are gone off it."""
        own = self._platform.peer_address
        is_weak = leadership.LeadershipSettings().is_weak(self._platform)
        listed = cluster_state.ListedInstance(
            self._platform.name, is_weak, self._platform.failure_domain
        )
        record = logs.KeyedRecord(
            str(own), cluster_state.INSTANCES.encode(listed)
        )
        while not self._stopping:
            self._set_instances()
            known = self._beliefs.knows_instances
            known = known or self._platform.is_first_start
            missing = known and own not in self._beliefs.instances
            if missing and await self._log.put(
                cluster_state.INSTANCE_TOPIC, record
            ):
                self._beliefs.instances.add(own)
            if self._leadership.is_leader:
                await self._drop_lost_peers()
                await self.poison_broadcast.remove_old_records()
            # The first look comes at once: the log may turn this instance away
            # a moment later, and nobody would know of it.
            await self._beliefs.updated.wait(self._settings.register_interval_s)

    async def _drop_lost_peers(self) -> None:
        """Takes instances off the list that have been gone for long."""
        for peer in self._peers():
            lost_s = self._peer_client.unresponsive_for_s(peer)
            if lost_s < self._settings.peer_lost_s:
                continue
            self._journal.decision(
                "instance_dropped", address=str(peer), lost_s=round(lost_s, 1)
            )
            gone = logs.KeyedRecord(str(peer), b"")
            if await self._log.put(cluster_state.INSTANCE_TOPIC, gone):
                self._beliefs.instances.discard(peer)

    def _peers(self) -> tuple[model.Address, ...]:
        """Returns where the other instances listen."""
        own = self._platform.peer_address
        return tuple(sorted(self._beliefs.instances - {own}))

    def _rank(self, subject: poison_requests.Fingerprint) -> int:
        """Returns how many others try a suspect request before this one."""
        own = str(self._platform.peer_address)
        names = [own, *map(str, self._peers())]
        return hashing.rank_by_rendezvous(subject.hex(), names).index(own)

    def _set_instances(self) -> None:
        """Divides among instances what all of them share."""
        count = len(self._peers()) + 1
        if count != self._dispatcher.instance_count:
            self._dispatcher.instance_count = count
            self._book.set_instances(count)

    def _take_map(self, key_map: keymap.KeyMap) -> None:
        """Takes a map that its coordinator pushed."""
        self._table.put(key_map, "peer")

    def _take_settled(self, settled: tuple[peers.Settled, ...]) -> None:
        """Takes the end of moves."""
        for each in settled:
            self._table.mark_settled(*each)

    def _view(self, service: ids.ServiceName) -> load_view.LoadView:
        """Returns the load of a service over all instances."""
        return self._views.setdefault(
            service, load_view.LoadView(load_view.LoadSettings())
        )

    async def _report_load(self) -> None:
        """Tells coordinators of the load that this instance sees."""
        reported_s = self._clock.monotonic_s()
        while True:
            count = self._dispatcher.instance_count
            least_s = count / self._settings.reports_max_per_s
            await anyio.sleep(max(self._settings.report_interval_s, least_s))
            now_s = self._clock.monotonic_s()
            window_s, reported_s = now_s - reported_s, now_s
            for service in self._table.services():
                await self._report_service(service, window_s)

    async def _report_service(
        self, service: ids.ServiceName, window_s: float
    ) -> None:
        """Tells one coordinator."""
        key_map = self._table.newest(service)
        counter = self._dispatcher.loads.setdefault(service, load.LoadCounter())
        keys, servers = counter.pop_counts()
        if key_map is None or not (keys or servers):
            return
        if key_map.coordinator == self._platform.name:
            self._view(service).add_report(keys, servers)
            return
        report = load.LoadReport(
            ids.InstanceId(self._platform.name),
            service,
            window_s,
            keys,
            servers,
        )
        await self._peer_client.report_load(key_map.coordinator_address, report)

    # Coordination.

    def _take_lead(self) -> None:
        """Takes the duties of the leader, or gives them up."""
        if self._leadership.is_leader:
            self._beliefs.start_relaying()
            # The sooner the others know, the sooner orders may be given.
            self._beliefs.updated.notify()
        self.match_coordinators()

    async def _coordinate(
        self, service: ids.ServiceName, scope: anyio.CancelScope
    ) -> None:
        """Coordinates a service for as long as this instance leads.

        A coordinator ends when it reads of another's map. That may be one of
        an earlier leader, whose append was done late; then the next one goes
        on from it.
        """
        try:
            with scope:
                while self._leadership.is_leader:
                    coordinating = self._make_coordinator(service)
                    await tasks_lib.keep_running(
                        coordinating.run, self._journal
                    )
                    await self._leadership.confirm()
        finally:
            del self._coordinators[service]

    def _make_coordinator(
        self, service: ids.ServiceName
    ) -> coordinator.Coordinator:
        """Returns a coordinator of a service."""
        keeper = leases.LeaseManager(
            service,
            leases.LeaseSettings(),
            self._platform.bounds,
            self._leadership,
            self._lease_client,
            self._book,
            self._journal,
            self._metrics,
            self._clock,
        )
        return coordinator.Coordinator(
            service,
            coordinator.CoordinatorSettings(),
            planner.PlanSettings(),
            self._platform,
            self._log,
            cluster_state.KEY_TOPIC,
            self._beliefs.key_follower,
            keeper,
            self._book,
            self._table,
            self._view(service),
            lambda: self._beliefs.list_is_fresh,
            self._publish_map,
            lambda key_range: self._publish_settled(service, key_range),
            self._journal,
            self._metrics,
            self._clock,
        )

    async def _publish_map(self, key_map: keymap.KeyMap) -> None:
        """Tells all peers of a new map."""
        encoded = peers.encode_map(key_map)
        await self._tell_peers(
            lambda peer: self._peer_client.push_map(peer, encoded)
        )

    def _publish_settled(
        self, service: ids.ServiceName, key_range: keymap.KeyRange
    ) -> None:
        """Tells all peers of the end of a move, soon."""
        settled = peers.Settled(service, key_range.token, key_range.first_key)
        self._settled.append(settled)
        if len(self._settled) == 1:
            self._tasks.start_soon(self._push_settled)

    async def _push_settled(self) -> None:
        """Tells all peers of the moves that ended within a short time."""
        await anyio.sleep(self._settings.settled_wait_s)
        settled = tuple(self._settled)
        self._settled.clear()
        await self._tell_peers(
            lambda peer: self._peer_client.push_settled(peer, settled)
        )

    async def _tell_peers(
        self, tell: Callable[[model.Address], Coroutine[Any, Any, None]]
    ) -> None:
        """Calls every peer at the same time."""
        async with anyio.create_task_group() as calls:
            for peer in self._peers():
                calls.start_soon(tell, peer)
