"""Puts an entry instance together and runs it until it is told to stop."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Coroutine
import dataclasses
import math
import resource
import signal
import time
import traceback
from typing import Any
from typing import Protocol

import anyio
import anyio.abc

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_entry import attempts
from bridgecross_entry import beliefs
from bridgecross_entry import dispatch
from bridgecross_entry import edge
from bridgecross_entry import journal as journals
from bridgecross_entry import keymap
from bridgecross_entry import leadership
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


@dataclasses.dataclass(frozen=True, slots=True)
class RuntimeSettings:
    """How an instance is run; the parts bring their own settings."""

    # How often load is reported: a hot key is seen after two reports.
    report_interval_s: float = 0.25
    # Reports that a coordinator gets in a second at most. One costs about
    # 0.4 ms there; 360 of them held up all else on 0.43 cores.
    reports_max_per_s: float = 90.0
    # The instance that reads the log tells the others after each read of the
    # list; this is only how long it waits for one.
    relay_wait_s: float = 1.0
    # Ends of moves are gathered for this long before peers are told: requests
    # wait for them, and moves come in groups.
    settled_wait_s: float = 0.005
    # How often an instance looks whether it is on the list of instances.
    register_interval_s: float = 0.5
    # An instance that has not answered the leader for this long is taken off
    # the list; restarts take about a second, cuts some.
    peer_lost_s: float = 20.0
    # The part of the time between the signal to stop and the kill in which
    # connections are still taken: the platform goes on sending some for up
    # to 2 s after readiness is gone.
    drain_accept_ratio: float = 0.5
    # What is left of that time when the process ends at the latest.
    drain_margin_s: float = 0.5
    # The pause before a task that failed is run again.
    task_pause_s: float = 0.5
    # How often lists are swept.
    sweep_interval_s: float = 1.0


class Adapter(beliefs.Decoder, Protocol):
    """What a platform provides; it decides nothing."""

    @property
    def settings(self) -> model.InstanceSettings:
        """What the platform tells this instance."""

    def make_log(self, metrics: metrics_lib.Metrics) -> logs.PlatformLog:
        """Returns the client of the platform's log."""

    def make_backend_client(self) -> attempts.BackendClient:
        """Returns the client that sends requests."""

    def make_lease_client(self) -> attempts.LeaseClient:
        """Returns the client that gives orders."""

    def make_caller_codec(self) -> edge.CallerCodec:
        """Returns what reads callers' requests."""


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
        self._beliefs = beliefs.Beliefs(
            beliefs.BeliefSettings(),
            self._log,
            adapter,
            self._book,
            self._table,
            self._configure,
            journal,
            clock,
        )
        self._leadership = leadership.Leadership(
            leadership.LeadershipSettings(),
            self._platform,
            self._log,
            lambda: self._beliefs.instances,
            self._take_lead,
            journal,
            clock,
        )
        self._make_listeners()
        self._views: dict[ids.ServiceName, load_view.LoadView] = {}
        self._coordinators: dict[ids.ServiceName, anyio.CancelScope] = {}
        # Moves that have ended, and of which peers are told soon.
        self._settled: list[peers.Settled] = []
        self._tasks: anyio.abc.TaskGroup
        self._stopping = False

    def _make_listeners(self) -> None:
        """Builds the listeners."""
        platform = self._platform
        peer_server = peers.PeerServer(
            lambda report: self._view(report.service).take(
                report.keys, report.servers
            ),
            self._take_map,
            self._take_settled,
            self._take_relay,
            self._journal,
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
            self._tasks = tasks
            self._beliefs.start(tasks)
            for work in (
                self._leadership.run,
                self._keep_registered,
                self._relay,
                self._report_load,
                self._sweep,
            ):
                tasks.start_soon(self._keep_running, work)
            await self._wait_for_stop()
            await self._drain()
            tasks.cancel_scope.cancel()
        self._journal.lifecycle("stopped")

    async def _keep_running(self, work: Callable[[], Awaitable[None]]) -> None:
        """Runs a task of the background, again after a fault in it.

        A fault in one of them must not end the requests that are served.
        """
        while True:
            try:
                await work()
                return
            except Exception as error:
                self._journal.lifecycle(
                    "task_failed",
                    task=getattr(work, "__qualname__", str(work)),
                    error=repr(error),
                    where=traceback.format_exc(limit=-3),
                )
            await anyio.sleep(self._settings.task_pause_s)

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
        await self._give_up_duties()
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
        return not self._stopping and self._beliefs.is_complete

    def _configure(self, new: model.Configuration) -> None:
        """Puts a configuration in force."""
        self._dispatcher.configure(new)
        idle_s = new.limits.idle_timeout_ms / 1_000
        self._caller_listener.set_idle_timeout(idle_s)
        self._match_coordinators()

    # Telling and hearing.

    async def _relay(self) -> None:
        """Tells the others what was read, while it is for this one to read."""
        while True:
            await self._beliefs.news.wait(self._settings.relay_wait_s)
            self._set_instances()
            if not self._leadership.is_leader:
                self._beliefs.stop_telling()
            elif self._beliefs.list_is_fresh:
                news = self._beliefs.take_news()
                claim = self._leadership.claim
                relay = peers.Relay(claim, resigns=False, batches=news)
                await self._relay_to_peers(relay)

    async def _relay_to_peers(self, relay: peers.Relay) -> None:
        """Tells every peer what was read."""
        encoded = peers.encode_relay(relay)
        await self._tell_peers(
            lambda peer: self._peer_client.relay(peer, encoded)
        )

    def _take_relay(self, relay: peers.Relay) -> None:
        """Takes what another instance read for all."""
        if relay.resigns:
            self._leadership.hear_resignation(relay.claim)
        elif self._leadership.hear(relay.claim):
            self._beliefs.take_relayed(relay.batches)

    async def _keep_registered(self) -> None:
        """Keeps this instance on the list, and those that are gone off it."""
        own = self._platform.peer_address
        record = logs.KeyedRecord(str(own), self._platform.name.encode())
        while not self._stopping:
            known = self._beliefs.knows_instances
            missing = known and own not in self._beliefs.instances
            if missing and await self._log.put(beliefs.INSTANCE_TOPIC, record):
                self._beliefs.instances.add(own)
            if self._leadership.is_leader:
                await self._drop_lost_peers()
            await anyio.sleep(self._settings.register_interval_s)

    async def _drop_lost_peers(self) -> None:
        """Takes instances off the list that have been gone for long."""
        for peer in self._peers():
            lost_s = self._peer_client.lost_for_s(peer)
            if lost_s < self._settings.peer_lost_s:
                continue
            self._journal.decision(
                "instance_dropped", address=str(peer), lost_s=round(lost_s, 1)
            )
            gone = logs.KeyedRecord(str(peer), b"")
            if await self._log.put(beliefs.INSTANCE_TOPIC, gone):
                self._beliefs.instances.discard(peer)

    def _peers(self) -> tuple[model.Address, ...]:
        """Returns where the other instances listen."""
        own = self._platform.peer_address
        return tuple(sorted(self._beliefs.instances - {own}))

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
            self._table.settle(*each)

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
        keys, servers = counter.take()
        if key_map is None or not (keys or servers):
            return
        if key_map.coordinator == self._platform.name:
            self._view(service).take(keys, servers)
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
            self._beliefs.begin_telling()
        self._match_coordinators()

    def _match_coordinators(self) -> None:
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

    async def _give_up_duties(self) -> None:
        """Lets another instance lead; goes on coordinating until it does."""
        if self._leadership.is_leader:
            claim = self._leadership.resign()
            await self._relay_to_peers(
                peers.Relay(claim, resigns=True, batches=())
            )
        own = str(self._platform.peer_address)
        gone = logs.KeyedRecord(own, b"")
        await self._log.put(beliefs.INSTANCE_TOPIC, gone)

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
            beliefs.KEY_TOPIC,
            self._beliefs.key_follower,
            self._lease_client,
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
        try:
            with scope:
                await self._keep_running(coordinator.run)
        finally:
            del self._coordinators[service]

    async def _publish_map(self, key_map: keymap.KeyMap) -> None:
        """Tells all peers of a new map."""
        await self._tell_peers(
            lambda peer: self._peer_client.push_map(peer, key_map)
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

    # Upkeep.

    async def _sweep(self) -> None:
        """Drops what is stale, now and then."""
        while True:
            await anyio.sleep(self._settings.sweep_interval_s)
            self._journal.flush()
            self._book.drop_stale()
            self._backend_client.sweep(self._book.known_ids())
            self._lease_client.sweep(self._book.known_ids())

    def _refresh_metrics(self) -> None:
        """Brings the figures up to date that are read, not counted."""
        beliefs = self._metrics.beliefs
        now_s = self._clock.monotonic_s()
        configuration = self._beliefs.configuration
        version = configuration.version if configuration else math.nan
        beliefs.set({"what": "configuration_version"}, version)
        heard_s = self._beliefs.list_heard_s
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
