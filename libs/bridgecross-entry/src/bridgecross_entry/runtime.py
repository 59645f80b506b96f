"""Runs an entry instance: listeners, signals, draining and metrics."""

import dataclasses
import math
import resource
import signal
import time

import anyio
import anyio.abc

from bridgecross_core import clock as clocks
from bridgecross_entry import assembly
from bridgecross_entry import caller_protocol
from bridgecross_entry import client_guard
from bridgecross_entry import client_monitor
from bridgecross_entry import connection_limits
from bridgecross_entry import draining
from bridgecross_entry import edge
from bridgecross_entry import follower as followers
from bridgecross_entry import journal as journals
from bridgecross_entry import listener
from bridgecross_entry import memory_limits
from bridgecross_entry import model
from bridgecross_entry import pipeline_monitor
from bridgecross_entry import pipeline_order
from bridgecross_entry import tasks as tasks_lib


@dataclasses.dataclass(frozen=True, slots=True)
class RuntimeSettings:
    """Settings for the process; the parts have settings of their own."""

    # The part of the time between the stop signal and the kill in which new
    # connections are still accepted: the platform goes on sending some for up
    # to 2 s after the instance stopped being ready.
    drain_accept_ratio: float = 0.5
    # How long before the kill the process ends at the latest.
    drain_margin_s: float = 0.5
    # The interval between removals of stale state.
    sweep_interval_s: float = 1.0
    # The interval between log lines with the totals of requests. A surge or a
    # fault shows in single seconds; a line costs 40 us of CPU time per route.
    tally_interval_s: float = 1.0


class Instance:
    """One entry instance."""

    def __init__(
        self,
        adapter: assembly.Adapter,
        settings: RuntimeSettings,
        clock: clocks.Clock,
        journal: journals.Journal,
    ) -> None:
        """Creates all parts; nothing runs yet."""
        self._settings = settings
        self._clock = clock
        self._journal = journal
        self._parts = assembly.Assembly(adapter, clock, journal)
        self._parts.on_configuration = self._apply_caller_limits
        self._memory = self._parts.memory
        self._edge = edge.Edge(
            self._parts.dispatcher,
            adapter.make_caller_codec(),
            journal,
            clock,
            self._memory.gate,
        )
        self._clients = client_monitor.ClientMonitor(
            journal, self._parts.metrics, clock
        )
        self._make_listeners()
        self._stop_requested = anyio.Event()
        self._stopping = False

    def _make_listeners(self) -> None:
        """Creates the listeners."""
        platform = self._parts.settings
        peer_server = self._parts.cluster_tasks.make_peer_server()
        shares = connection_limits.ConnectionShares()
        self._caller_guard = self._make_guard(shares.callers_ratio)
        peer_guard = self._make_guard(shares.instances_ratio)
        ready_guard = self._make_guard(shares.readiness_ratio)
        metrics_guard = self._make_guard(shares.metrics_ratio)
        self._pipelines = pipeline_monitor.PipelineMonitor(
            self._parts.metrics, self._journal, self._clock
        )
        self._caller_listener = listener.Listener(
            platform.caller_address,
            self._edge.serve,
            caller_protocol.make_protocol(
                caller_protocol.PipelineParts(
                    self._edge.is_idempotent,
                    self._memory.ledger,
                    self._pipelines,
                    self._clock,
                    pipeline_order.PipelineLimits(),
                )
            ),
            buffers=self._memory.buffers,
            guard=self._caller_guard,
        )
        self._peer_listener = listener.Listener(
            platform.peer_address,
            edge.make_peer_app(
                peer_server,
                self._parts.issuer,
                self._parts.cluster_tasks.poison_broadcast,
                self._parts.quota_issuer,
                self._parts.cluster_tasks.limit_broadcaster,
                self._parts.forward_server,
                self._memory.gate,
            ),
            guard=peer_guard,
        )
        self._listeners = [
            self._caller_listener,
            self._peer_listener,
            listener.Listener(
                platform.ready_address,
                edge.make_readiness_app(self._is_ready),
                guard=ready_guard,
            ),
            listener.Listener(
                platform.metrics_address,
                edge.make_metrics_app(
                    self._parts.metrics, self._refresh_metrics
                ),
                guard=metrics_guard,
            ),
        ]

    def _make_guard(self, ratio: float) -> client_guard.ClientGuard:
        """Returns the limits of a listener.

        Args:
            ratio: Its share of the descriptors of this process.
        """
        limiter = connection_limits.ConnectionLimiter(self._clock)
        max_count = self._parts.settings.max_descriptors * ratio
        if max_count:
            limiter.limits = connection_limits.ConnectionLimits(max_count)
        return client_guard.ClientGuard(
            limiter, self._memory.ledger, self._clients
        )

    # Running.

    async def run(self) -> None:
        """Runs until SIGTERM or SIGINT, and then drains."""
        listener.route_library_logs(self._journal)
        for each in self._listeners:
            await each.start()
        self._journal.lifecycle(
            "started",
            caller_address=str(self._parts.settings.caller_address),
            processor_s=round(time.process_time(), 3),
        )
        async with anyio.create_task_group() as tasks:
            self._parts.start(tasks)
            tasks.start_soon(tasks_lib.keep_running, self._sweep, self._journal)
            tasks.start_soon(
                tasks_lib.keep_running, self._write_tally, self._journal
            )
            tasks.start_soon(
                tasks_lib.keep_running,
                self._caller_listener.watch_send_buffers,
                self._journal,
            )
            tasks.start_soon(
                tasks_lib.keep_running,
                self._caller_listener.watch_connections,
                self._journal,
            )
            tasks.start_soon(self._watch_signals)
            await self._stop_requested.wait()
            await self._drain()
            tasks.cancel_scope.cancel()
        self._parts.dispatcher.tally.write(0.0)
        self._journal.lifecycle("stopped")

    async def _watch_signals(self) -> None:
        """Handles signals until the process ends.

        This continues while the process drains: an unhandled signal would kill
        the process, and with it the requests in flight.
        """
        watched = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*watched) as received:
            async for number in received:
                if number != signal.SIGHUP:
                    self._stop_requested.set()
                    continue
                # The settings that this process uses cannot change while it
                # runs, so there is nothing to reload and nothing is cut off.
                self._journal.lifecycle("reloaded")

    async def _drain(self) -> None:
        """Stops accepting work and waits until all answers are sent."""
        started_s = self._clock.monotonic_s()
        grace_s = self._parts.settings.bounds.grace_ms / 1_000
        self._journal.lifecycle(
            "draining", in_flight=self._parts.dispatcher.in_flight_count
        )
        self._stopping = True
        self._edge.draining = True
        end_s = started_s + grace_s - self._settings.drain_margin_s
        self._parts.dispatcher.shutdown_deadline_s = end_s
        self._parts.issuer.is_stopping = True
        self._parts.forward_server.is_stopping = True
        await self._parts.cluster_tasks.hand_over_lead()
        accept_until_s = started_s + grace_s * self._settings.drain_accept_ratio
        await anyio.sleep(accept_until_s - self._clock.monotonic_s())
        self._caller_listener.stop()
        self._caller_listener.close_idle()
        await draining.wait_until_idle(
            lambda: (
                self._edge.open_count
                + self._pipelines.unanswered_count
                + self._parts.forward_server.open_count
            ),
            lambda: self._parts.cluster_tasks.coordinated_count,
            self._count_unsent_bytes,
            self._caller_listener.close_idle,
            end_s,
            self._clock,
        )
        self._journal.lifecycle(
            "drained",
            cut_off=self._edge.open_count,
            unsent_bytes=self._count_unsent_bytes(),
            took_s=round(self._clock.monotonic_s() - started_s, 3),
        )

    def _count_unsent_bytes(self) -> int:
        """Returns the bytes of answers that the end of the process drops.

        Another instance waits for an answer on behalf of its caller.
        """
        return (
            self._caller_listener.unsent_bytes
            + self._peer_listener.unsent_bytes
        )

    def _is_ready(self) -> bool:
        """Whether callers may be sent to this instance."""
        return not self._stopping and self._parts.cluster_state.is_complete

    def _apply_caller_limits(self, new: model.Configuration) -> None:
        """Applies the configured limits to callers' connections."""
        self._caller_guard.configure(new)
        idle_s = new.limits.idle_timeout_ms / 1_000
        self._caller_listener.set_idle_timeout(idle_s)

    # Upkeep.

    async def _sweep(self) -> None:
        """Removes stale state at regular intervals."""
        while True:
            await anyio.sleep(self._settings.sweep_interval_s)
            self._journal.flush()
            self._parts.sweep()
            self._memory.sweep()
            self._clients.log_faults()

    async def _write_tally(self) -> None:
        """Logs the totals of requests at regular intervals."""
        written_s = self._clock.monotonic_s()
        while True:
            await anyio.sleep(self._settings.tally_interval_s)
            now_s = self._clock.monotonic_s()
            self._parts.dispatcher.tally.write(now_s - written_s)
            written_s = now_s

    def _refresh_metrics(self) -> None:
        """Updates the gauges, which are set only when metrics are read."""
        gauge = self._parts.metrics.instance_state
        now_s = self._clock.monotonic_s()
        configuration = self._parts.cluster_state.configuration
        version = configuration.version if configuration else math.nan
        gauge.set({"what": "configuration_version"}, version)
        warning_count = len(configuration.warnings) if configuration else 0
        gauge.set({"what": "configuration_warnings"}, warning_count)
        as_of_s = self._parts.cluster_state.server_list_as_of_s
        age_s = math.nan if as_of_s is None else now_s - as_of_s
        gauge.set({"what": "server_list_age_s"}, age_s)
        for status in self._parts.cluster_state.take_topic_statuses():
            self._set_topic_metrics(status)
        counts = self._parts.cluster_state.invalid_record_counts()
        for topic, count in counts.items():
            labels = {"what": "unreadable", "topic": topic}
            self._parts.metrics.topics.set(labels, count)
        evacuated = self._parts.registry.evacuations.domains
        gauge.set({"what": "evacuated_domains"}, len(evacuated))
        notices = self._parts.registry.notices
        gauge.set({"what": "servers_said_leaving"}, notices.leaving_count)
        gauge.set({"what": "servers_resting"}, notices.backoff_count)
        unknown_count = notices.unknown_header_count
        gauge.set({"what": "unknown_server_headers"}, unknown_count)
        limited_count = self._parts.registry.limited_count
        gauge.set({"what": "servers_limited"}, limited_count)
        self._parts.links.refresh_metrics()
        paused_count = self._pipelines.paused_count
        self._parts.metrics.pipelines_paused.set({}, paused_count)
        memory_limits.refresh_metrics(self._memory, self._parts.metrics)
        gauge.set({"what": "instances"}, self._parts.dispatcher.instance_count)
        gauge.set({"what": "in_flight"}, self._parts.dispatcher.in_flight_count)
        gauge.set(
            {"what": "coordinated"}, self._parts.cluster_tasks.coordinated_count
        )
        resource_usage = resource.getrusage(resource.RUSAGE_SELF)
        gauge.set({"what": "memory_peak_mb"}, resource_usage.ru_maxrss / 1_024)
        gauge.set({"what": "processor_s"}, time.process_time())
        for service in self._parts.table.services():
            key_map = self._parts.table.newest(service)
            if key_map is not None:
                labels = {"what": "key_map_version", "service": service}
                gauge.set(labels, key_map.version)
        self._parts.metrics.journal_dropped.set({}, self._journal.dropped_count)

    def _set_topic_metrics(self, status: followers.TopicStatus) -> None:
        """Updates the gauges of one topic."""
        values = {
            "offset": status.next_offset,
            "age_s": status.age_s,
            "longest_age_s": status.longest_age_s,
            "left_aside": status.dropped_batch_count,
        }
        for what, value in values.items():
            labels = {"what": what, "topic": status.topic}
            self._parts.metrics.topics.set(
                labels, math.nan if value is None else value
            )
