"""The background tasks of an instance for the whole cluster.

Every instance lists itself, applies what the leader relays, and reports its
load. The leader also reads the log for all, removes lost instances from the
list, and coordinates the services whose keys are owned by servers.
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
from bridgecross_entry import instance_list
from bridgecross_entry import invalid_records
from bridgecross_entry import journal as journals
from bridgecross_entry import keymap
from bridgecross_entry import leadership
from bridgecross_entry import leases
from bridgecross_entry import limit_broadcast
from bridgecross_entry import load
from bridgecross_entry import load_view
from bridgecross_entry import log as logs
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import model
from bridgecross_entry import peers
from bridgecross_entry import planner
from bridgecross_entry import poison_broadcast
from bridgecross_entry import quota_client as quota_clients
from bridgecross_entry import quota_issuer as quota_issuers
from bridgecross_entry import relaying
from bridgecross_entry import server_registry
from bridgecross_entry import tasks as tasks_lib
from bridgecross_request import poison_requests


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterTaskSettings:
    """The timing of the tasks."""

    # The interval of load reports. A hot key is detected after two reports.
    report_interval_s: float = 0.25
    # The maximum number of reports that a coordinator gets per second.
    # Processing one takes about 0.4 ms; 360 of them delayed everything else on
    # 0.43 cores.
    reports_max_per_s: float = 90.0
    # Completed moves are collected for this long before they are sent to the
    # peers together: requests wait for them, and moves come in groups.
    settled_batch_s: float = 0.005
    # How often an instance checks whether it is on the list of instances.
    register_interval_s: float = 0.5
    # An instance that has not answered the leader for this long is removed from
    # the list. Restarts take about a second, and network failures some seconds.
    peer_lost_s: float = 20.0


class ClusterTasks:
    """Runs this instance's tasks for the cluster and handles peer messages."""

    def __init__(
        self,
        settings: ClusterTaskSettings,
        instance: model.InstanceSettings,
        log: logs.PlatformLog,
        lease_client: attempts.LeaseClient,
        peer_client: peers.PeerClient,
        state: cluster_state.ClusterState,
        registry: server_registry.ServerRegistry,
        table: keymap.KeyTable,
        dispatcher: dispatch.Dispatcher,
        quota_issuer: quota_issuers.QuotaIssuer,
        quota_client: quota_clients.QuotaClient,
        journal: journals.Journal,
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
    ) -> None:
        """Initializes the tasks without starting them.

        Args:
            settings: The timing of the tasks.
            instance: This instance.
            log: The platform's log.
            lease_client: Sends orders to backend servers.
            peer_client: Calls other instances.
            state: The cluster state of this instance.
            registry: The backend servers.
            table: The key maps.
            dispatcher: Counts the load of this instance.
            quota_issuer: Issues quotas while this instance leads.
            quota_client: Asks the leader for quotas.
            journal: Receives lines about decisions.
            metrics: Counts orders.
            clock: Measures intervals.
        """
        self._settings = settings
        self._instance = instance
        self._log = log
        self._lease_client = lease_client
        self._state = state
        self._registry = registry
        self._table = table
        self._dispatcher = dispatcher
        self._journal = journal
        self._metrics = metrics
        self._clock = clock
        self._invalid_reports = invalid_records.InvalidRecords("load", journal)
        self._peer_client = peer_client
        self._leadership = leadership.Leadership(
            leadership.LeadershipSettings(),
            instance,
            log,
            lambda: self._state.instances,
            lambda: self._state.weak_instances,
            lambda: state.list_is_fresh and not state.list_is_lost,
            self._handle_lead_change,
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
        state.on_refused = self.poison_broadcast.load_record
        self._relayer = relaying.Relayer(
            relaying.RelaySettings(),
            state,
            self._leadership,
            self._peer_client,
            self.poison_broadcast,
            self._peers,
            journal,
            clock,
        )
        self.limit_broadcaster = limit_broadcast.LimitBroadcaster(
            limit_broadcast.LimitBroadcastSettings(),
            self._peer_client,
            self._peers,
            quota_issuer.list_limits,
            lambda: quota_issuer.knows_limits,
            quota_client.hear,
        )
        limits = registry.notices.limits
        self._leadership.needs_sole_term = lambda: limits.any_known
        quota_issuer.sole_term = lambda: self._leadership.sole_term
        quota_issuer.on_change = self.limit_broadcaster.changed.notify
        quota_client.find_issuer = self._find_leader
        self._views: dict[ids.ServiceName, load_view.LoadView] = {}
        self._coordinators: dict[ids.ServiceName, anyio.CancelScope] = {}
        # Completed moves that are yet to be sent to the peers.
        self._settled: list[peers.Settled] = []
        self._tasks: anyio.abc.TaskGroup
        self._stopping = False

    @property
    def coordinated_count(self) -> int:
        """The number of services that this instance coordinates."""
        return len(self._coordinators)

    @property
    def may_order(self) -> bool:
        """Whether this instance certainly leads now and may issue orders."""
        return self._leadership.may_order

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts all tasks."""
        self._tasks = tasks
        for work in (
            self._leadership.run,
            self._keep_registered,
            self._relayer.run,
            self._update_coordinators_on_change,
            self._report_load,
            self.limit_broadcaster.run,
        ):
            tasks.start_soon(tasks_lib.keep_running, work, self._journal)
        self.poison_broadcast.start(tasks)

    def make_peer_server(self) -> peers.PeerServer:
        """Creates the handler of messages from other instances."""
        return peers.PeerServer(
            self._add_report,
            self._apply_map,
            self._mark_settled,
            self._relayer.receive,
            self._journal,
        )

    async def hand_over_lead(self) -> None:
        """Claims no more; coordinates until another instance leads.

        The instance stays on the list of instances, since most stops are
        restarts. The leader removes those that do not return.
        """
        self._stopping = True
        self._relayer.resigns = True
        self._leadership.resign()
        if self._leadership.is_leader:
            await self._relayer.broadcast(self._tasks)

    async def _update_coordinators_on_change(self) -> None:
        """Starts coordinators once all they depend on is known.

        The lead, the configuration and the list of servers may arrive in any
        order, and the arrival of the last one does not show that the others are
        known. So all of them are checked on each update.
        """
        while True:
            await self._state.updated.wait(self._settings.register_interval_s)
            self.update_coordinators()

    def update_coordinators(self) -> None:
        """Starts or stops coordinators to match whether this instance leads."""
        configuration = self._state.configuration
        if configuration is None or not self._state.is_complete:
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

    # Messages to and from other instances.

    async def _keep_registered(self) -> None:
        """Keeps this instance on the list; as the leader, removes lost ones."""
        own = self._instance.peer_address
        is_weak = leadership.LeadershipSettings().is_weak(self._instance)
        listed = instance_list.ListedInstance(
            self._instance.name, is_weak, self._instance.failure_domain
        )
        while not self._stopping:
            self._update_instance_count()
            known = self._state.knows_instances
            known = known or self._instance.is_first_start
            if known and own not in self._state.instances:
                await self._state.put_instance(own, listed)
            if self._leadership.is_leader:
                await self._drop_lost_peers()
                await self.poison_broadcast.remove_old_records()
            # The first check is made at once: a moment later the log may reject
            # this instance, and then no other instance would know of it.
            await self._state.updated.wait(self._settings.register_interval_s)

    async def _drop_lost_peers(self) -> None:
        """Removes instances from the list that have been lost for long."""
        for peer in self._peers():
            lost_s = self._peer_client.unresponsive_for_s(peer)
            if lost_s < self._settings.peer_lost_s:
                continue
            self._journal.decision(
                "instance_dropped", address=str(peer), lost_s=round(lost_s, 1)
            )
            await self._state.put_instance(peer, None)

    def _peers(self) -> tuple[model.Address, ...]:
        """Returns the peer addresses of the other instances."""
        own = self._instance.peer_address
        return tuple(sorted(self._state.instances - {own}))

    def _find_leader(self) -> model.Address | None:
        """Returns the address of the leader; None if it is not known."""
        if self._leadership.is_leader:
            return self._instance.peer_address
        return self._state.find_instance(self._leadership.claim.instance)

    def _rank(self, subject: poison_requests.Fingerprint) -> int:
        """Returns how many instances precede this one for a suspect request.

        Instances try such a request in that order.
        """
        own = str(self._instance.peer_address)
        names = [own, *map(str, self._peers())]
        return hashing.rank_by_rendezvous(subject.hex(), names).index(own)

    def _update_instance_count(self) -> None:
        """Updates this instance's share of limits that all instances share."""
        count = len(self._peers()) + 1
        if count != self._dispatcher.instance_count:
            self._dispatcher.instance_count = count
            self._registry.set_instances(count)

    def _apply_map(self, key_map: keymap.KeyMap) -> None:
        """Applies a map that its coordinator pushed."""
        self._table.put(key_map, "peer")

    def _mark_settled(self, settled: tuple[peers.Settled, ...]) -> None:
        """Records completed moves."""
        for each in settled:
            self._table.mark_settled(*each)

    def _view(self, service: ids.ServiceName) -> load_view.LoadView:
        """Returns the load of a service as reported by all instances."""
        return self._views.setdefault(
            service, load_view.LoadView(load_view.LoadSettings())
        )

    async def _report_load(self) -> None:
        """Reports the load that this instance sees to the coordinators."""
        reported_s = self._clock.monotonic_s()
        while True:
            count = self._dispatcher.instance_count
            min_interval_s = count / self._settings.reports_max_per_s
            await anyio.sleep(
                max(self._settings.report_interval_s, min_interval_s)
            )
            now_s = self._clock.monotonic_s()
            window_s, reported_s = now_s - reported_s, now_s
            for service in self._table.services():
                await self._report_service(service, window_s)

    def _add_report(self, report: load.LoadReport) -> None:
        """Adds a load report of this instance or another one."""
        unknown_count = self._view(report.service).add_report(
            report.keys, report.servers
        )
        if unknown_count:
            self._metrics.unknown_keys.add(
                {"service": report.service}, unknown_count
            )
            self._invalid_reports.note(
                "load_report_invalid",
                report.instance,
                ValueError("it has keys that do not exist"),
            )

    async def _report_service(
        self, service: ids.ServiceName, window_s: float
    ) -> None:
        """Reports the load of one service to its coordinator."""
        key_map = self._table.newest(service)
        counter = self._dispatcher.loads.setdefault(service, load.LoadCounter())
        keys, servers = counter.pop_counts()
        if key_map is None or not (keys or servers):
            return
        report = load.LoadReport(
            ids.InstanceId(self._instance.name),
            service,
            window_s,
            keys,
            servers,
        )
        if key_map.coordinator == self._instance.name:
            self._add_report(report)
            return
        await self._peer_client.report_load(key_map.coordinator_address, report)

    # Coordination.

    def _handle_lead_change(self) -> None:
        """Starts or stops the leader's tasks after a change of the lead."""
        if self._leadership.is_leader:
            self._state.start_relaying()
            # Orders can be issued only once a majority follows, so heartbeats
            # are sent at once.
            self._state.updated.notify()
        self.update_coordinators()

    async def _coordinate(
        self, service: ids.ServiceName, scope: anyio.CancelScope
    ) -> None:
        """Coordinates a service while this instance leads.

        A coordinator ends when it reads a map of another one. That map may be
        from a previous leader whose append was delayed; then a new coordinator
        continues from it.
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
        """Creates a coordinator of a service."""
        lease_manager = leases.LeaseManager(
            service,
            leases.LeaseSettings(),
            self._instance.bounds,
            self._leadership,
            self._lease_client,
            self._registry,
            self._journal,
            self._metrics,
            self._clock,
        )
        return coordinator.Coordinator(
            service,
            coordinator.CoordinatorSettings(),
            planner.PlanSettings(),
            self._instance,
            self._log,
            cluster_state.KEY_TOPIC,
            self._state.key_follower,
            lease_manager,
            self._registry,
            self._table,
            self._view(service),
            lambda: self._state.list_is_fresh,
            self._push_map,
            lambda key_range: self._schedule_settled(service, key_range),
            self._journal,
            self._metrics,
            self._clock,
        )

    async def _push_map(self, key_map: keymap.KeyMap) -> None:
        """Sends a new map to all peers."""
        encoded = peers.encode_map(key_map)
        await self._send_to_peers(
            lambda peer: self._peer_client.push_map(peer, encoded)
        )

    def _schedule_settled(
        self, service: ids.ServiceName, key_range: keymap.KeyRange
    ) -> None:
        """Schedules a message about a completed move to all peers."""
        settled = peers.Settled(service, key_range.token, key_range.first_key)
        self._settled.append(settled)
        if len(self._settled) == 1:
            self._tasks.start_soon(self._push_settled)

    async def _push_settled(self) -> None:
        """Sends the recently completed moves to all peers."""
        await anyio.sleep(self._settings.settled_batch_s)
        settled = tuple(self._settled)
        self._settled.clear()
        await self._send_to_peers(
            lambda peer: self._peer_client.push_settled(peer, settled)
        )

    async def _send_to_peers(
        self, send: Callable[[model.Address], Coroutine[Any, Any, None]]
    ) -> None:
        """Calls every peer at the same time."""
        async with anyio.create_task_group() as calls:
            for peer in self._peers():
                calls.start_soon(send, peer)
