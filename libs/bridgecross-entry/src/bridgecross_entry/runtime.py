"""Puts an entry instance together and runs it until it is told to stop."""

from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import math
import resource
import signal
import time
from typing import Any
from typing import Protocol

import anyio
import anyio.abc

from bridgecross_core import clock as clocks
from bridgecross_core import codec as codecs
from bridgecross_core import findings
from bridgecross_core import ids
from bridgecross_entry import attempts
from bridgecross_entry import dispatch
from bridgecross_entry import edge
from bridgecross_entry import journal as journals
from bridgecross_entry import keymap
from bridgecross_entry import leases
from bridgecross_entry import listener
from bridgecross_entry import load
from bridgecross_entry import load_view
from bridgecross_entry import log as logs
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import model
from bridgecross_entry import peers
from bridgecross_entry import planner
from bridgecross_entry import servers as servers_lib

KEY_TOPIC = "keyed.bridgecross-keys"
"""Key maps, one record a service."""

GROUP = "bridgecross-coordinators"
"""Its members are the instances; its partitions are dealt out to them."""


@dataclasses.dataclass(frozen=True, slots=True)
class RuntimeSettings:
    """How an instance is run; the parts bring their own settings."""

    # Servers write their entries several times a second together, so waiting
    # in the log returns at once; this bounds the age of the list well under
    # the drain bound of 2 s.
    list_pause_s: float = 0.7
    # Key maps change seldom, and their coordinator pushes them: one read of
    # them waits this long.
    quiet_wait_ms: float = 5_000.0
    # A read that arrives while a record is being appended has been seen to
    # wait on although the record was there, until its time was over. So for
    # configurations, in force within 2 s, the time is shorter.
    configuration_wait_ms: float = 1_200.0
    # Bounds the rate of reads while changes come in quick succession.
    quiet_pause_s: float = 0.05
    # The log drops a member that is silent for this long. The least that the
    # platform takes; a new coordinator is wanted soon.
    member_ttl_ms: float = 1_000.0
    # A third of that, so that one lost call does not cost the membership.
    join_interval_s: float = 0.4
    # How often load is reported: a hot key is seen after two reports.
    report_interval_s: float = 0.5
    # The part of the time between the signal to stop and the kill in which
    # connections are still taken: the platform goes on sending some for up
    # to 2 s after readiness is gone.
    drain_accept_ratio: float = 0.5
    # What is left of that time when the process ends at the latest.
    drain_margin_s: float = 0.5
    # A list of servers older than this is not acted upon: two polls, so that
    # one that takes long does not stop the work.
    list_fresh_s: float = 1.6
    # How often lists are swept and figures refreshed.
    sweep_interval_s: float = 1.0


class Adapter(Protocol):
    """What a platform provides; it decides nothing."""

    @property
    def settings(self) -> model.InstanceSettings:
        """What the platform tells this instance."""

    @property
    def server_topic(self) -> str:
        """The topic that lists the backend servers."""

    @property
    def configuration_topic(self) -> str:
        """The topic of the operator's configuration."""

    def make_log(self, metrics: metrics_lib.Metrics) -> logs.PlatformLog:
        """Returns the client of the platform's log."""

    def make_backend_client(self) -> attempts.BackendClient:
        """Returns the client that sends requests."""

    def make_lease_client(self) -> attempts.LeaseClient:
        """Returns the client that gives orders."""

    def make_caller_codec(self) -> edge.CallerCodec:
        """Returns what reads callers' requests."""

    def decode_server(self, record: logs.KeyedRecord) -> model.BackendServer:
        """Returns the backend server of an entry.

        Raises:
            findings.FindingsError: The entry makes no sense.
        """

    def decode_configuration(
        self, record: logs.KeyedRecord
    ) -> model.Configuration | None:
        """Returns a configuration; None if the record holds none.

        Raises:
            findings.FindingsError: The configuration makes no sense.
        """


class Instance:
    """One entry instance."""

    def __init__(
        self,
        adapter: Adapter,
        settings: RuntimeSettings,
        clock: clocks.Clock,
        journal: journals.Journal,
    ) -> None:
        """Builds all parts; nothing runs yet."""
        self._adapter = adapter
        self._settings = settings
        self._clock = clock
        self._journal = journal
        self._platform = adapter.settings
        self._metrics = metrics_lib.Metrics()
        self._log = adapter.make_log(self._metrics)
        self._backend_client = adapter.make_backend_client()
        self._lease_client = adapter.make_lease_client()
        self._book = servers_lib.ServerBook(
            servers_lib.ServerSettings(),
            self._platform.bounds,
            journal,
            clock,
        )
        self._table = keymap.KeyTable(journal)
        self._dispatcher = dispatch.Dispatcher(
            dispatch.DispatchSettings(),
            self._platform,
            self._book,
            self._table,
            self._backend_client,
            journal,
            self._metrics,
            clock,
        )
        self._edge = edge.Edge(
            self._dispatcher, adapter.make_caller_codec(), journal, clock
        )
        self._peer_client = peers.PeerClient(
            peers.PeerSettings(), journal, clock
        )
        self._make_followers()
        self._make_listeners()
        self._views: dict[ids.ServiceName, load_view.LoadView] = {}
        # Instances that reported load, and when.
        self._reporters: dict[model.Address, float] = {}
        self._coordinators: dict[ids.ServiceName, anyio.CancelScope] = {}
        self._membership = logs.Membership(0, frozenset())
        self._stopping = False

    def _make_followers(self) -> None:
        """Builds what follows the log's topics."""
        settings = self._settings
        self._servers_follower = self._make_follower(
            logs.FollowSettings(
                self._adapter.server_topic, 0, settings.list_pause_s
            ),
            self._take_all_servers,
            self._take_servers,
        )
        self._configuration_follower = self._make_follower(
            logs.FollowSettings(
                self._adapter.configuration_topic,
                settings.configuration_wait_ms,
                settings.quiet_pause_s,
            ),
            self._take_configurations,
            self._take_configurations,
        )
        self._keys_follower = self._make_follower(
            logs.FollowSettings(
                KEY_TOPIC, settings.quiet_wait_ms, settings.quiet_pause_s
            ),
            self._take_maps,
            self._take_maps,
        )

    def _make_follower(
        self,
        settings: logs.FollowSettings,
        take_all: Callable[[tuple[logs.KeyedRecord, ...]], None],
        take_changes: Callable[[tuple[logs.KeyedRecord, ...]], None],
    ) -> logs.Follower:
        """Returns a follower of one topic."""
        return logs.Follower(
            settings,
            self._log,
            take_all,
            take_changes,
            self._journal,
            self._clock,
        )

    def _make_listeners(self) -> None:
        """Builds the listeners."""
        platform = self._platform
        peer_server = peers.PeerServer(
            self._take_load, self._take_map, self._take_settled, self._journal
        )
        self._caller_listener = listener.Listener(
            platform.caller_address, self._edge.serve
        )
        self._listeners = [
            self._caller_listener,
            listener.Listener(
                platform.ready_address,
                edge.make_readiness_app(self._is_ready),
            ),
            listener.Listener(
                platform.peer_address, edge.make_peer_app(peer_server)
            ),
            listener.Listener(
                platform.metrics_address,
                edge.make_metrics_app(self._metrics, self._refresh_metrics),
            ),
        ]

    # Running.

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, and drains."""
        listener.route_library_logs(self._journal)
        for each in self._listeners:
            await each.start()
        self._journal.lifecycle(
            "started",
            caller_address=str(self._platform.caller_address),
            processor_s=round(time.process_time(), 3),
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._servers_follower.run)
            tasks.start_soon(self._configuration_follower.run)
            tasks.start_soon(self._keys_follower.run)
            tasks.start_soon(self._keep_membership, tasks)
            tasks.start_soon(self._report_load)
            tasks.start_soon(self._sweep)
            await self._wait_for_stop()
            await self._drain()
            tasks.cancel_scope.cancel()
        self._journal.lifecycle("stopped")

    async def _wait_for_stop(self) -> None:
        """Waits for the signal to stop, reloading on SIGHUP."""
        watched = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*watched) as received:
            async for number in received:
                if number != signal.SIGHUP:
                    return
                # The parts of the settings that this process uses cannot
                # change while it runs; nothing is cut.
                self._journal.lifecycle("reloaded")

    async def _drain(self) -> None:
        """Stops taking work, lets what runs end, and returns."""
        begun_s = self._clock.monotonic_s()
        grace_s = self._platform.bounds.grace_ms / 1_000
        self._journal.lifecycle(
            "draining", in_flight=self._dispatcher.in_flight_count
        )
        self._stopping = True
        self._edge.draining = True
        await self._log.leave(GROUP, self._platform.name)
        accept_until_s = begun_s + grace_s * self._settings.drain_accept_ratio
        await anyio.sleep(accept_until_s - self._clock.monotonic_s())
        self._caller_listener.stop()
        self._caller_listener.close_idle()
        end_s = begun_s + grace_s - self._settings.drain_margin_s
        while self._edge.open_count and self._clock.monotonic_s() < end_s:
            await anyio.sleep(0.02)
            self._caller_listener.close_idle()
        self._journal.lifecycle(
            "drained",
            cut_off=self._edge.open_count,
            took_s=round(self._clock.monotonic_s() - begun_s, 3),
        )

    def _is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return not self._stopping and (
            self._dispatcher.routes is not None
            and self._servers_follower.heard_s is not None
        )

    # What the log says.

    def _take_all_servers(self, records: tuple[logs.KeyedRecord, ...]) -> None:
        """Takes in the whole list of backend servers."""
        listed = [s for s in map(self._decode_server, records) if s]
        self._book.replace_all(listed, log_was_away=self._log_was_away())

    def _take_servers(self, records: tuple[logs.KeyedRecord, ...]) -> None:
        """Takes in changes of the list."""
        newest = {record.key: record for record in records}
        for record in newest.values():
            if not record.value:
                self._book.remove(
                    ids.ServerId(record.key),
                    log_was_away=self._log_was_away(),
                )
                continue
            server = self._decode_server(record)
            if server is not None:
                self._book.put(server)

    def _decode_server(
        self, record: logs.KeyedRecord
    ) -> model.BackendServer | None:
        """Returns the server of an entry; None if it makes no sense."""
        if not record.value:
            return None
        try:
            return self._adapter.decode_server(record)
        except findings.FindingsError as error:
            self._journal.decision("entry_unreadable", reason=str(error))
            return None

    def _list_is_fresh(self) -> bool:
        """Whether the list of servers was read just now."""
        heard_s = self._servers_follower.heard_s
        if heard_s is None:
            return False
        age_s = self._clock.monotonic_s() - heard_s
        return age_s < self._settings.list_fresh_s

    def _log_was_away(self) -> bool:
        """Whether entries may have lapsed only for want of the log."""
        follower = self._servers_follower
        now_s = self._clock.monotonic_s()
        grace_s = self._book.settings.lapse_grace_s
        return (
            follower.lost_since_s is not None
            or now_s < follower.regained_s + grace_s
        )

    def _take_configurations(
        self, records: tuple[logs.KeyedRecord, ...]
    ) -> None:
        """Takes the newest configuration, never an older one."""
        for record in records:
            try:
                new = self._adapter.decode_configuration(record)
            except findings.FindingsError as error:
                self._journal.lifecycle(
                    "configuration_unreadable", reason=str(error)
                )
                continue
            if new is not None:
                self._take_configuration(new)

    def _take_configuration(self, new: model.Configuration) -> None:
        """Puts a configuration in force if it is newer."""
        current = self._dispatcher.routes
        version = current.configuration.version if current else None
        if version is not None and new.version <= version:
            self._journal.lifecycle(
                "configuration_is_older", version=new.version, current=version
            )
            return
        self._dispatcher.configure(new)
        idle_s = new.limits.idle_timeout_ms / 1_000
        self._caller_listener.set_idle_timeout(idle_s)
        self._journal.lifecycle(
            "configuration_in_force",
            version=new.version,
            previous=version,
            routes=len(new.routes),
            services=len(new.services),
        )

    def _take_maps(self, records: tuple[logs.KeyedRecord, ...]) -> None:
        """Takes key maps."""
        for record in records:
            try:
                self._table.put(keymap.decode(record.value), "log")
            except codecs.CodecError as error:
                self._journal.lifecycle(
                    "key_map_unreadable",
                    service=record.key,
                    reason=str(error),
                )

    # What peers say.

    def _take_load(self, report: load.LoadReport) -> int:
        """Takes a report; returns how many instances report."""
        now_s = self._clock.monotonic_s()
        self._reporters[model.Address(report.host, report.port)] = now_s
        self._view(report.service).take(report.keys, report.servers)
        return self._count_instances()

    def _take_map(self, key_map: keymap.KeyMap) -> None:
        """Takes a map that its coordinator pushed."""
        self._table.put(key_map, "peer")

    def _take_settled(self, settled: peers.Settled) -> None:
        """Takes the end of a move."""
        self._table.settle(*settled)

    def _count_instances(self) -> int:
        """Returns how many instances have reported of late, and this one."""
        timeout_s = load_view.LoadSettings().report_timeout_s
        limit_s = self._clock.monotonic_s() - timeout_s
        self._reporters = {
            address: heard_s
            for address, heard_s in self._reporters.items()
            if heard_s >= limit_s
        }
        return len(self._reporters) + 1

    def _view(self, service: ids.ServiceName) -> load_view.LoadView:
        """Returns the load of a service over all instances."""
        return self._views.setdefault(
            service, load_view.LoadView(load_view.LoadSettings())
        )

    async def _report_load(self) -> None:
        """Tells coordinators of the load that this instance sees."""
        reported_s = self._clock.monotonic_s()
        while True:
            await anyio.sleep(self._settings.report_interval_s)
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
        keys, servers = counter.take()
        if key_map is None:
            return
        if key_map.coordinator == self._platform.name:
            self._view(service).take(keys, servers)
            self._set_instances(self._count_instances())
            return
        own = self._platform.peer_address
        report = load.LoadReport(
            ids.InstanceId(self._platform.name),
            own.host,
            own.port,
            service,
            window_s,
            keys,
            servers,
        )
        reply = await self._peer_client.report_load(
            key_map.coordinator_address, report
        )
        if reply is not None:
            self._set_instances(reply.instance_count)

    def _set_instances(self, count: int) -> None:
        """Divides among instances what all of them share."""
        if count != self._dispatcher.instance_count:
            self._dispatcher.instance_count = count
            self._book.set_instances(count)

    # Coordination.

    async def _keep_membership(self, tasks: anyio.abc.TaskGroup) -> None:
        """Stays in the group, and coordinates what the log deals out."""
        ttl_ms = max(
            self._settings.member_ttl_ms, self._platform.member_ttl_min_ms
        )
        while not self._stopping:
            result = await self._log.join(
                GROUP, self._platform.name, ttl_ms, self._membership.generation
            )
            if isinstance(result, logs.Membership):
                if result.partitions != self._membership.partitions:
                    self._journal.decision(
                        "membership",
                        generation=result.generation,
                        partitions=sorted(result.partitions),
                    )
                self._membership = result
            self._match_coordinators(tasks)
            await anyio.sleep(self._settings.join_interval_s)
        for scope in self._coordinators.values():
            scope.cancel()

    def _match_coordinators(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts and stops coordinators as the membership says."""
        routes = self._dispatcher.routes
        if routes is None or self._servers_follower.heard_s is None:
            return
        wanted = {
            service.name
            for service in routes.configuration.services.values()
            if service.keyed
            and self._partition_of(service.name) in self._membership.partitions
        }
        for service in wanted - self._coordinators.keys():
            scope = anyio.CancelScope()
            self._coordinators[service] = scope
            tasks.start_soon(self._coordinate, service, scope)
        for service in self._coordinators.keys() - wanted:
            self._coordinators[service].cancel()

    def _partition_of(self, service: ids.ServiceName) -> int:
        """Returns the partition whose holder coordinates a service."""
        return sum(service.encode()) % self._platform.partitions

    async def _coordinate(
        self, service: ids.ServiceName, scope: anyio.CancelScope
    ) -> None:
        """Coordinates a service until the log deals it to another."""
        coordinator = leases.Coordinator(
            service,
            leases.LeaseSettings(),
            planner.PlanSettings(),
            self._platform,
            self._log,
            KEY_TOPIC,
            self._keys_follower,
            self._lease_client,
            self._book,
            self._table,
            self._view(service),
            self._list_is_fresh,
            self._publish_map,
            lambda key_range: self._publish_settled(service, key_range),
            self._journal,
            self._metrics,
            self._clock,
        )
        try:
            with scope:
                await coordinator.run()
        finally:
            del self._coordinators[service]

    async def _publish_map(self, key_map: keymap.KeyMap) -> None:
        """Tells all peers of a new map."""
        await self._tell_peers(
            lambda peer: self._peer_client.push_map(peer, key_map)
        )

    async def _publish_settled(
        self, service: ids.ServiceName, key_range: keymap.KeyRange
    ) -> None:
        """Tells all peers of the end of a move."""
        settled = peers.Settled(service, key_range.token, key_range.first_key)
        await self._tell_peers(
            lambda peer: self._peer_client.push_settled(peer, settled)
        )

    async def _tell_peers(
        self, tell: Callable[[model.Address], Coroutine[Any, Any, None]]
    ) -> None:
        """Calls every peer at the same time."""
        self._count_instances()
        async with anyio.create_task_group() as tasks:
            for peer in self._reporters:
                tasks.start_soon(tell, peer)

    # Upkeep.

    async def _sweep(self) -> None:
        """Drops what is stale, now and then."""
        while True:
            await anyio.sleep(self._settings.sweep_interval_s)
            self._book.drop_stale()

    def _refresh_metrics(self) -> None:
        """Brings the figures up to date that are read, not counted."""
        beliefs = self._metrics.beliefs
        now_s = self._clock.monotonic_s()
        routes = self._dispatcher.routes
        version = routes.configuration.version if routes else math.nan
        beliefs.set({"what": "configuration_version"}, version)
        heard_s = self._servers_follower.heard_s
        age_s = math.nan if heard_s is None else now_s - heard_s
        beliefs.set({"what": "server_list_age_s"}, age_s)
        beliefs.set({"what": "instances"}, self._dispatcher.instance_count)
        beliefs.set({"what": "in_flight"}, self._dispatcher.in_flight_count)
        beliefs.set({"what": "coordinated"}, len(self._coordinators))
        usage = resource.getrusage(resource.RUSAGE_SELF)
        beliefs.set({"what": "memory_peak_mb"}, usage.ru_maxrss / 1_024)
        beliefs.set({"what": "processor_s"}, time.process_time())
        for service in self._table.services():
            key_map = self._table.newest(service)
            if key_map is not None:
                labels = {"what": "key_map_version", "service": service}
                beliefs.set(labels, key_map.version)
        self._metrics.journal_dropped.set({}, self._journal.dropped_count)
