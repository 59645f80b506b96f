"""Assembles the components of an entry instance and runs them."""

import anyio
import anyio.abc
import loguru

from bridgecross_core import hashing
from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_daemon import _failed_request_log
from bridgecross_daemon import _heartbeats
from bridgecross_daemon import _peer_log_reader
from bridgecross_daemon import _platform
from bridgecross_daemon import _poison_broadcast
from bridgecross_daemon import _service
from bridgecross_daemon import _snapshots
from bridgecross_daemon import control
from bridgecross_daemon import peer_protocol
from bridgecross_daemon import ports
from bridgecross_log import appender as appenders
from bridgecross_log import follower as followers
from bridgecross_ownership import authority as authorities
from bridgecross_ownership import cell as cells
from bridgecross_ownership import membership as memberships
from bridgecross_ownership import releases
from bridgecross_request import intents
from bridgecross_request import poison_requests
from bridgecross_request import requests
from bridgecross_settings import policy as policies
from bridgecross_settings import process
from bridgecross_settings import tree
from bridgecross_timeline import events
from bridgecross_timeline import ring as rings

_DRAIN_POLL_S = 0.05
_GRPC_GRACE_S = 1.0
_CONTROL_WAIT_MS = 400
_INTENT_WAIT_MS = 10_000
_PEER_BOOTSTRAP_INTERVAL_S = 0.5
_NO_REASONS: list[str] = []


def name_control_stream(house: str, place: str) -> str:
    """Returns the name of the stream of a place's settings and ownership."""
    return f"control-{house}-{place}"


def name_intent_stream(house: str, place: str) -> str:
    """Returns the name of the stream of non-repeatable requests of a place."""
    return f"intents-{house}-{place}"


class Instance:
    """An entry instance; all entry instances have the same function."""

    def __init__(
        self,
        settings: process.ProcessSettings,
        outside: ports.InstancePorts,
    ) -> None:
        """Creates the components; ``run`` starts them.

        Args:
            settings: The settings of the process.
            outside: The interfaces to the environment.
        """
        self._settings = settings
        self._outside = outside
        self._me = ids.InstanceId(settings.instance)
        self._clock = outside.clock
        self._stamps = outside.stamps
        self._ring = rings.Ring(
            rings.RingSettings(settings.instance, settings.timeline_events),
            self._stamps,
        )
        self._log = outside.log
        self.control = control.ControlState(self._ring)
        self._control_follower = self._create_follower(
            name_control_stream(settings.house, settings.place),
            self.control,
            wait_ms=_CONTROL_WAIT_MS,
        )
        self._control_appender = self._create_appender(
            name_control_stream(settings.house, settings.place)
        )
        self.control.attach(self._control_appender, self._control_follower)
        self.control.on_change = self._apply_change
        self._intents = intents.IntentRegistry(intents.IntentRegistrySettings())
        # No authority depends on reading this stream in time, so the log may
        # delay its answer for long while there are no new records.
        self._intent_follower = self._create_follower(
            name_intent_stream(settings.house, settings.place),
            self._intents,
            wait_ms=_INTENT_WAIT_MS,
        )
        self._intent_appender = self._create_appender(
            name_intent_stream(settings.house, settings.place)
        )
        self._intents.attach(self._intent_appender)
        self._authority = authorities.Authority(
            authorities.AuthoritySettings(policies.Policy().authority_ms),
            self.control,
            self._clock,
        )
        self._membership = memberships.Membership()
        self._addresses = _platform.Addresses(self._membership)
        self._instance_list_poller = _platform.InstanceListPoller(
            outside.listing, settings.list_interval_ms, self._membership
        )
        self._peer_watcher = _heartbeats.PeerWatcher(
            self._me, self._membership, self._clock
        )
        self._peer_client = outside.peers
        self._peer_log_reader = _peer_log_reader.PeerLogReader(
            self._me,
            self.control,
            self._authority,
            self._peer_client,
            self._addresses,
            self._clock,
        )
        self._ledger = poison_requests.PoisonLedger(
            poison_requests.PoisonSettings(), self._clock
        )
        self._poison_broadcaster = _poison_broadcast.PoisonBroadcaster(
            self._me,
            self._ledger,
            self._peer_client,
            self._addresses,
            self._clock,
        )
        self._lease_transport = outside.make_leases(self._addresses)
        self._heartbeats = _heartbeats.HeartbeatSender(
            _heartbeats.HeartbeatSettings(
                policies.Policy().heartbeat_interval_ms
            ),
            self._peer_client,
            self._addresses,
            self._peer_watcher,
            self._make_heartbeats,
        )
        self._snapshots = _snapshots.SnapshotWriter(
            _snapshots.SnapshotSettings(
                settings.snapshot_records, settings.snapshot_interval_s
            ),
            self.control,
            self._control_appender,
            self._clock,
        )
        self._failed_requests = _failed_request_log.FailedRequestLog(
            self._me, self._clock
        )
        self._services: dict[ids.ServiceName, _service.ServiceParts] = {}
        self._applied_version = ids.NO_OFFSET
        self._in_flight = 0
        self._stopping = anyio.Event()
        self._drained = anyio.Event()
        self._closing = anyio.Event()
        self._tasks: anyio.abc.TaskGroup | None = None

    async def run(self) -> None:
        """Runs until a planned shutdown is complete."""
        loguru.logger.info(
            "{} started for {}/{}",
            self._me,
            self._settings.house,
            self._settings.place,
        )
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            self._apply_change()
            tasks.start_soon(self._control_follower.run)
            tasks.start_soon(self._intent_follower.run)
            tasks.start_soon(self._instance_list_poller.run)
            tasks.start_soon(self._heartbeats.run)
            tasks.start_soon(self._append_snapshots)
            tasks.start_soon(self._peer_log_reader.run)
            tasks.start_soon(self._poison_broadcaster.run)
            tasks.start_soon(self._bootstrap_from_peers)
            await self._stopping.wait()
            await self._drain()
            self._drained.set()
            await self._closing.wait()
            tasks.cancel_scope.cancel()
        for parts in self._services.values():
            await parts.aclose()
        loguru.logger.info("{} has stopped", self._me)

    def stop(self) -> None:
        """Starts a planned shutdown."""
        self._stopping.set()

    def now_s(self) -> float:
        """Returns the instance's monotonic time, for deadlines."""
        return self._clock.monotonic_s()

    async def wait_drained(self) -> None:
        """Waits until a planned shutdown has ended its drain."""
        await self._drained.wait()

    def close(self) -> None:
        """Ends ``run``; called after the HTTP and gRPC servers have stopped."""
        self._closing.set()

    def drain_limit_s(self) -> float:
        """Returns how long the drain of a planned shutdown may take."""
        policy = self._find_policy()
        return (policy.drain_notice_ms + policy.drain_ms) / 1_000

    # The ``CallerBackend`` interface; see ``_caller_api``.

    def list_not_ready(self) -> list[str]:
        """Returns why the instance accepts no requests; empty if it does."""
        if self._applied_version != ids.NO_OFFSET and self._services:
            return _NO_REASONS
        return self._list_obstacles()

    def find_house(self) -> tree.House | None:
        """Returns the settings in force."""
        return self.control.settings.house

    def find_place(self) -> tree.Place | None:
        """Returns this instance's place in the settings in force."""
        house = self.control.settings.house
        return house.places.get(self._settings.place) if house else None

    async def handle(self, request: requests.Request) -> outcomes.Outcome:
        """Routes a request to the owner of its key."""
        outcome = await self._services[request.service].router.handle(request)
        if not isinstance(outcome, outcomes.Answered):
            self._failed_requests.record(request, outcome)
        if isinstance(outcome, outcomes.NotRun):
            self._ring.add(
                events.RequestRefused(
                    request.service, request.tier, outcome.reason
                )
            )
        return outcome

    def begin_request(self) -> None:
        """Counts a request as in flight."""
        self._in_flight += 1

    def end_request(self) -> None:
        """Counts a request as done."""
        self._in_flight -= 1

    def is_leaving(self) -> bool:
        """Returns whether the instance is stopping."""
        return self._peer_watcher.self_leaving

    # The ``PeerService`` interface; see ``peer_server``.

    async def forward(
        self, request: requests.WireRequest
    ) -> peer_protocol.WireOutcome:
        """Runs a request if this instance is its server's queue owner."""
        parts = self._services.get(request.service)
        if parts is None:
            return self._describe_unknown_service()
        self._in_flight += 1
        try:
            return await parts.run_forwarded(request)
        finally:
            self._in_flight -= 1

    async def inherit(
        self, request: peer_protocol.InheritRequest
    ) -> peer_protocol.WireOutcome:
        """Runs a request at the backup of the key's lost owner."""
        parts = self._services.get(request.request.service)
        if parts is None:
            return self._describe_unknown_service()
        self._in_flight += 1
        try:
            return await parts.run_takeover(request.request, request.bequest)
        finally:
            self._in_flight -= 1

    async def heartbeat(
        self, request: peer_protocol.Heartbeat
    ) -> peer_protocol.HeartbeatReply:
        """Processes the reports of an instance."""
        self._peer_watcher.record_contact(request.instance, request.leaving)
        self._add_reports(request)
        coordinates = [
            service
            for service, parts in self._services.items()
            if parts.cell.coordinator == self._me
        ]
        return peer_protocol.HeartbeatReply(
            leaving=self._peer_watcher.self_leaving,
            coordinates=coordinates if self._authority.has_log() else [],
        )

    async def await_release(
        self, request: releases.ReleaseQuery
    ) -> releases.ReleaseReply:
        """Waits until a server has released slices."""
        parts = self._services.get(request.service)
        if parts is None:
            return releases.ReleaseReply([])
        return await parts.lease_managers.answer_release(request)

    async def answer_queue_owner_drained(
        self, request: releases.QueueOwnerDrainedQuery
    ) -> releases.QueueOwnerDrainedReply:
        """Returns whether this instance has drained as a queue owner."""
        parts = self._services.get(request.service)
        if parts is None:
            return releases.QueueOwnerDrainedReply(self._me, is_drained=False)
        return await parts.lease_managers.answer_queue_owner_drained(request)

    async def exchange_poison_reports(
        self, request: poison_requests.PoisonReport
    ) -> poison_requests.PoisonReport:
        """Merges a report on requests under which servers ended."""
        return self._poison_broadcaster.answer(request)

    async def news(
        self, request: peer_protocol.NewsRequest
    ) -> peer_protocol.NewsReply:
        """Returns records of the control stream that were read here."""
        return self._peer_log_reader.answer(request)

    async def status(
        self, request: peer_protocol.StatusRequest
    ) -> peer_protocol.InstanceStatus:
        """Returns the status of the instance."""
        return self.describe()

    async def owner(
        self, request: peer_protocol.OwnerRequest
    ) -> peer_protocol.OwnerReply:
        """Returns the owner of a key, with the log records behind it."""
        cell = self.control.cells.get(request.service)
        if cell is None or not cell.slices:
            return _NOT_FOUND
        index = hashing.find_slice(request.key, len(cell.slices))
        state = cell.slices[index]
        queue_owner = cell.queue_owners.get(state.server)
        return peer_protocol.OwnerReply(
            found=True,
            slice=index,
            server=state.server,
            token=state.token,
            front=queue_owner.instance if queue_owner else cells.NO_INSTANCE,
            front_token=queue_owner.token if queue_owner else ids.NO_TOKEN,
            prior=list(state.prior),
            term=cell.term,
            coordinator=cell.coordinator,
        )

    async def drain(
        self, request: peer_protocol.DrainRequest
    ) -> peer_protocol.DrainReply:
        """Starts a planned shutdown."""
        self.stop()
        return peer_protocol.DrainReply(self._in_flight)

    async def timeline(
        self, request: peer_protocol.TimelineRequest
    ) -> peer_protocol.TimelineReply:
        """Returns the events that the instance has recorded."""
        return peer_protocol.TimelineReply(
            [events.to_wire(event) for event in self._ring.list_events()]
        )

    def describe(self) -> peer_protocol.InstanceStatus:
        """Returns the status of the instance."""
        age_s = min(self._control_follower.age_s(), 1e9)
        obstacles = self._list_obstacles()
        if self._peer_watcher.self_leaving:
            obstacles.append("the instance is stopping")
        return peer_protocol.InstanceStatus(
            instance=self._me,
            house=self._settings.house,
            place=self._settings.place,
            failure_domain=self._settings.failure_domain,
            leaving=self._peer_watcher.self_leaving,
            not_ready=obstacles,
            settings_version=self.control.settings.offset,
            log_offset=self.control.next_offset - 1,
            log_age_ms=int(age_s * 1_000),
            in_flight=self._in_flight,
            services=[parts.describe() for parts in self._services.values()],
        )

    def _describe_unknown_service(self) -> peer_protocol.WireOutcome:
        """Returns the outcome of a request for a service not yet known here."""
        return peer_protocol.outcome_to_wire(
            outcomes.NotRun(
                outcomes.NotRunProof.REFUSED_BY_ADMISSION,
                f"{self._me} does not know the service yet",
                reroute=True,
            )
        )

    def _list_obstacles(self) -> list[str]:
        """Returns the reasons why requests cannot be routed yet."""
        obstacles = []
        is_read = self._control_follower.caught_up.is_set()
        if not is_read and self.control.settings.house is None:
            obstacles.append("neither the log nor a peer could be read yet")
        elif self.control.awaits_snapshot:
            obstacles.append("older records are gone and no snapshot came yet")
        house = self.control.settings.house
        if house is None:
            obstacles.append("no settings have been published")
        elif self._settings.place not in house.places:
            obstacles.append(
                f"the settings have no place {self._settings.place}"
            )
        return obstacles

    def _apply_change(self) -> None:
        """Updates the services after a change of the control state."""
        version = self.control.settings.offset
        if version != self._applied_version and self._tasks is not None:
            self._applied_version = version
            self._apply_settings()
        for parts in self._services.values():
            parts.notify()
        self._peer_log_reader.witnesses = {
            witness
            for cell in self.control.cells.values()
            for state in cell.queue_owners.values()
            if state.instance == self._me
            for witness in state.witnesses
        }

    async def _bootstrap_from_peers(self) -> None:
        """Reads the state from peers until there are settings.

        This lets an instance start while the log is unavailable.
        """
        while True:
            await anyio.sleep(_PEER_BOOTSTRAP_INTERVAL_S)
            if self._control_follower.caught_up.is_set():
                return
            instances = set(self._membership.list_instances())
            await self._peer_log_reader.read_from_peers(instances)
            if self.control.settings.house is not None:
                return

    def _apply_settings(self) -> None:
        """Applies new settings and starts new services."""
        place = self.find_place()
        if place is None or self._tasks is None:
            return
        self._authority.settings = authorities.AuthoritySettings(
            place.policy.authority_ms
        )
        self._heartbeats.settings = _heartbeats.HeartbeatSettings(
            place.policy.heartbeat_interval_ms
        )
        for name, service in place.services.items():
            service_name = ids.ServiceName(name)
            if service_name in self._services:
                self._services[service_name].replace_settings(service)
                continue
            parts = _service.ServiceParts(
                service,
                self.control.find_cell(service_name),
                self._build_shared_parts(),
            )
            self._services[service_name] = parts
            self._tasks.start_soon(parts.run)

    def _build_shared_parts(self) -> _service.SharedParts:
        """Returns the dependencies that all services share."""
        return _service.SharedParts(
            me=self._me,
            clock=self._clock,
            ring=self._ring,
            authority=self._authority,
            membership=self._membership,
            addresses=self._addresses,
            peers=self._peer_watcher,
            peer_client=self._peer_client,
            lease_transport=self._lease_transport,
            make_backend=self._outside.make_backend,
            news=self._peer_log_reader,
            control=self._control_appender,
            intents=self._intent_appender,
            ledger=self._ledger,
            tell_others=self._poison_broadcaster.broadcast,
        )

    def _make_heartbeats(self) -> dict[ids.InstanceId, peer_protocol.Heartbeat]:
        """Returns the heartbeat for each coordinator.

        If this instance coordinates a service, its own report is added to the
        service's registry directly.
        """
        by_coordinator: dict[ids.InstanceId, peer_protocol.Heartbeat] = {}
        for parts in self._services.values():
            coordinator = parts.cell.coordinator
            report = parts.build_report()
            if coordinator == self._me:
                parts.report_registry.add(self._me, report)
            elif coordinator != cells.NO_INSTANCE:
                heartbeat = by_coordinator.setdefault(
                    coordinator,
                    peer_protocol.Heartbeat(
                        self._me, self._peer_watcher.self_leaving, []
                    ),
                )
                heartbeat.reports.append(report)
        return by_coordinator

    def _add_reports(self, heartbeat: peer_protocol.Heartbeat) -> None:
        """Adds each report to the registry of its service."""
        for report in heartbeat.reports:
            parts = self._services.get(report.service)
            if parts is not None:
                parts.report_registry.add(heartbeat.instance, report)

    async def _append_snapshots(self) -> None:
        """Appends snapshots while this instance is responsible for them."""
        await self._snapshots.run(self._should_snapshot)

    def _should_snapshot(self) -> bool:
        """Returns whether this instance coordinates the first service."""
        if not self._services or not self._authority.has_log():
            return False
        first = min(self._services)
        return self._services[first].cell.coordinator == self._me

    def _find_policy(self) -> policies.Policy:
        """Returns the policy of this instance's place, or the defaults."""
        place = self.find_place()
        return place.policy if place else policies.Policy()

    async def _drain(self) -> None:
        """Announces the shutdown; waits for handovers and requests to end."""
        self._peer_watcher.self_leaving = True
        self._ring.add(events.DrainBegan(self._in_flight))
        loguru.logger.info("draining, {} requests in flight", self._in_flight)
        policy = self._find_policy()
        with anyio.move_on_after(self.drain_limit_s()):
            await anyio.sleep(policy.drain_notice_ms / 1_000)
            while self._in_flight or self._has_servers_to_hand_over():
                await anyio.sleep(_DRAIN_POLL_S)
        self._ring.add(events.DrainEnded(self._in_flight))
        loguru.logger.info(
            "drain ended, {} requests in flight", self._in_flight
        )

    def _has_servers_to_hand_over(self) -> bool:
        """Returns whether servers remain whose queue another can own."""
        others = [
            instance
            for instance, listing in self._membership.list_instances().items()
            if instance != self._me
            and listing.state is memberships.ListedState.LIVE
        ]
        has_servers = any(
            parts.lease_managers.managers for parts in self._services.values()
        )
        return has_servers and bool(others)

    def _create_follower(
        self, stream: str, handler: followers.RecordHandler, wait_ms: int
    ) -> followers.Follower:
        """Creates the follower of a stream."""
        settings = followers.FollowerSettings(stream, wait_ms)
        return followers.Follower(settings, self._log, handler, self._clock)

    def _create_appender(self, stream: str) -> appenders.Appender:
        """Creates the appender to a stream."""
        settings = appenders.AppenderSettings(stream, self._settings.instance)
        return appenders.Appender(settings, self._log, self._stamps)


_NOT_FOUND = peer_protocol.OwnerReply(
    found=False,
    slice=-1,
    server=cells.NO_SERVER,
    token=ids.NO_TOKEN,
    front=cells.NO_INSTANCE,
    front_token=ids.NO_TOKEN,
    prior=[],
    term=ids.NO_OFFSET,
    coordinator=cells.NO_INSTANCE,
)
