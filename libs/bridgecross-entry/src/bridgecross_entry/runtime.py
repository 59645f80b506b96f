"""Puts an entry instance together and runs it until it is told to stop."""

import dataclasses
import math
import resource
import signal
import time

import anyio
import anyio.abc

from bridgecross_core import clock as clocks
from bridgecross_entry import assembly
from bridgecross_entry import draining
from bridgecross_entry import edge
from bridgecross_entry import follower as followers
from bridgecross_entry import journal as journals
from bridgecross_entry import listener
from bridgecross_entry import model
from bridgecross_entry import tasks as tasks_lib


@dataclasses.dataclass(frozen=True, slots=True)
class RuntimeSettings:
    """How an instance is run; the parts bring their own settings."""

    # The part of the time between the signal to stop and the kill in which
    # connections are still taken: the platform goes on sending some for up
    # to 2 s after readiness is gone.
    drain_accept_ratio: float = 0.5
    # What is left of that time when the process ends at the latest.
    drain_margin_s: float = 0.5
    # How often lists are swept.
    sweep_interval_s: float = 1.0
    # How often the sums of requests are written. A surge or a fault shows in
    # single seconds; a line costs 40 us of processor time a route.
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
        """Builds all parts; nothing runs yet."""
        self._settings = settings
        self._clock = clock
        self._journal = journal
        self._parts = assembly.Assembly(adapter, clock, journal)
        self._parts.on_configuration = self._limit_callers
        self._edge = edge.Edge(
            self._parts.dispatcher, adapter.make_caller_codec(), journal, clock
        )
        self._make_listeners()
        self._stop_asked = anyio.Event()
        self._stopping = False

    def _make_listeners(self) -> None:
        """Builds the listeners."""
        platform = self._parts.settings
        peer_server = self._parts.duties.make_peer_server()
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
                platform.peer_address,
                edge.make_peer_app(
                    peer_server,
                    self._parts.issuer,
                    self._parts.duties.poison_broadcast,
                ),
            ),
            listener.Listener(
                platform.metrics_address,
                edge.make_metrics_app(
                    self._parts.metrics, self._refresh_metrics
                ),
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
            caller_address=str(self._parts.settings.caller_address),
            processor_s=round(time.process_time(), 3),
        )
        async with anyio.create_task_group() as tasks:
            self._parts.start(tasks)
            tasks.start_soon(tasks_lib.keep_running, self._sweep, self._journal)
            tasks.start_soon(
                tasks_lib.keep_running, self._write_tally, self._journal
            )
            tasks.start_soon(self._watch_signals)
            await self._stop_asked.wait()
            await self._drain()
            tasks.cancel_scope.cancel()
        self._parts.dispatcher.tally.write(0.0)
        self._journal.lifecycle("stopped")

    async def _watch_signals(self) -> None:
        """Takes signals until the process ends.

        It goes on while the process drains: one that nobody handles would end
        it at once, and with it the requests that still run.
        """
        watched = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
        with anyio.open_signal_receiver(*watched) as received:
            async for number in received:
                if number != signal.SIGHUP:
                    self._stop_asked.set()
                    continue
                # The parts of the settings that this process uses cannot
                # change while it runs; nothing is cut.
                self._journal.lifecycle("reloaded")

    async def _drain(self) -> None:
        """Stops taking work, lets what runs end, and returns."""
        begun_s = self._clock.monotonic_s()
        grace_s = self._parts.settings.bounds.grace_ms / 1_000
        self._journal.lifecycle(
            "draining", in_flight=self._parts.dispatcher.in_flight_count
        )
        self._stopping = True
        self._edge.draining = True
        end_s = begun_s + grace_s - self._settings.drain_margin_s
        self._parts.dispatcher.shutdown_deadline_s = end_s
        self._parts.issuer.is_stopping = True
        await self._parts.duties.hand_over_lead()
        accept_until_s = begun_s + grace_s * self._settings.drain_accept_ratio
        await anyio.sleep(accept_until_s - self._clock.monotonic_s())
        self._caller_listener.stop()
        self._caller_listener.close_idle()
        await draining.wait_until_idle(
            lambda: self._edge.open_count,
            lambda: self._parts.duties.coordinated_count,
            self._caller_listener.close_idle,
            end_s,
            self._clock,
        )
        self._journal.lifecycle(
            "drained",
            cut_off=self._edge.open_count,
            took_s=round(self._clock.monotonic_s() - begun_s, 3),
        )

    def _is_ready(self) -> bool:
        """Whether callers may be sent here."""
        return not self._stopping and self._parts.beliefs.is_complete

    def _limit_callers(self, new: model.Configuration) -> None:
        """Lets callers' connections rest for as long as configured."""
        idle_s = new.limits.idle_timeout_ms / 1_000
        self._caller_listener.set_idle_timeout(idle_s)

    # Upkeep.

    async def _sweep(self) -> None:
        """Drops what is stale, now and then."""
        while True:
            await anyio.sleep(self._settings.sweep_interval_s)
            self._journal.flush()
            self._parts.sweep()

    async def _write_tally(self) -> None:
        """Writes what became of requests, second by second."""
        written_s = self._clock.monotonic_s()
        while True:
            await anyio.sleep(self._settings.tally_interval_s)
            now_s = self._clock.monotonic_s()
            self._parts.dispatcher.tally.write(now_s - written_s)
            written_s = now_s

    def _refresh_metrics(self) -> None:
        """Brings the figures up to date that are read, not counted."""
        beliefs = self._parts.metrics.beliefs
        now_s = self._clock.monotonic_s()
        configuration = self._parts.beliefs.configuration
        version = configuration.version if configuration else math.nan
        beliefs.set({"what": "configuration_version"}, version)
        heard_s = self._parts.beliefs.server_list_as_of_s
        age_s = math.nan if heard_s is None else now_s - heard_s
        beliefs.set({"what": "server_list_age_s"}, age_s)
        for status in self._parts.beliefs.take_topic_statuses():
            self._set_topic(status)
        counts = self._parts.beliefs.invalid_record_counts()
        for topic, count in counts.items():
            labels = {"what": "unreadable", "topic": topic}
            self._parts.metrics.topics.set(labels, count)
        evacuated = self._parts.book.evacuations.domains
        beliefs.set({"what": "evacuated_domains"}, len(evacuated))
        notices = self._parts.book.notices
        beliefs.set({"what": "servers_said_leaving"}, notices.leaving_count)
        beliefs.set({"what": "servers_resting"}, notices.backoff_count)
        beliefs.set(
            {"what": "instances"}, self._parts.dispatcher.instance_count
        )
        beliefs.set(
            {"what": "in_flight"}, self._parts.dispatcher.in_flight_count
        )
        beliefs.set(
            {"what": "coordinated"}, self._parts.duties.coordinated_count
        )
        usage = resource.getrusage(resource.RUSAGE_SELF)
        beliefs.set({"what": "memory_peak_mb"}, usage.ru_maxrss / 1_024)
        beliefs.set({"what": "processor_s"}, time.process_time())
        for service in self._parts.table.services():
            key_map = self._parts.table.newest(service)
            if key_map is not None:
                labels = {"what": "key_map_version", "service": service}
                beliefs.set(labels, key_map.version)
        self._parts.metrics.journal_dropped.set({}, self._journal.dropped_count)

    def _set_topic(self, status: followers.TopicStatus) -> None:
        """Brings the figures of one topic up to date."""
        figures = {
            "offset": status.next_offset,
            "age_s": status.age_s,
            "longest_age_s": status.longest_age_s,
            "left_aside": status.dropped_batch_count,
        }
        for what, figure in figures.items():
            labels = {"what": what, "topic": status.topic}
            self._parts.metrics.topics.set(
                labels, math.nan if figure is None else figure
            )
