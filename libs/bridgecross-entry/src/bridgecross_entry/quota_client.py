"""Obtains quotas for requests to servers that limit their rate.

The leader issues quotas (``quota_issuer``). An instance that reaches no issuer
sends such servers nothing. After a refusal it does not ask again before the
server may take another request, so its callers are refused immediately.
"""

import collections
from collections.abc import Callable
import dataclasses
import math
import random
from typing import NamedTuple

import anyio.abc

from bridgecross_core import clock as clocks
from bridgecross_core import codec
from bridgecross_core import ids
from bridgecross_core import timeouts
from bridgecross_entry import answer_bounds
from bridgecross_entry import exchange
from bridgecross_entry import journal as journals
from bridgecross_entry import memory_ledger
from bridgecross_entry import model
from bridgecross_entry import quota_issuer
from bridgecross_entry import quotas
from bridgecross_entry import rate_limits
from bridgecross_entry import tasks as tasks_lib

_HTTP_OK = 200

_SERVERS_MAX_COUNT = 10_000
"""Servers whose last refusal is kept, 0.2 KB each."""


@dataclasses.dataclass(frozen=True, slots=True)
class QuotaClientSettings:
    """Timing of requests for quotas."""

    # An issuer answers within some ms; one that does not answer by then is
    # gone, frozen or cut off.
    timeout_s: float = 0.2
    # How long an issuer is not asked again after it did not answer, or was not
    # certain to be the only one. A new leader is certain after 1.6 s.
    pause_s: float = 0.3
    # When callers return while there is no issuer: a change of the leader takes
    # about 3 s, and they return once or twice.
    no_issuer_retry_s: float = 1.5
    # The least time between refusals at the same server and the next question.
    ask_interval_s: float = 0.02
    # The leader tells limits every 0.7 s. They are believed until a next leader
    # has certainly told them, if this one is lost.
    heard_for_s: float = 5.0
    # The time in which the requests to a server are counted, to ask for as many
    # quotas at once. It is shorter than the time to use them.
    demand_window_s: float = 0.25
    # The stamps that are kept: requests take up to a minute.
    stamp_interval_s: float = 0.1
    stamps_max_count: int = 600


class Quota(NamedTuple):
    """Permission to send one request to a server with a limit."""

    server_id: ids.ServerId
    # When it was requested, on the monotonic clock.
    asked_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The server takes no request at the moment."""

    # When the caller should return.
    retry_after_s: float


class _ReceivedStamp(NamedTuple):
    """The stamp of an issuer's answer."""

    stamp: quotas.Stamp
    # When it was received, on the monotonic clock.
    received_s: float


class _Refusal(NamedTuple):
    """The last refusal of a priority at a server."""

    # The server is not asked for before this time.
    until_s: float
    # When the refused caller was told to return.
    returns_s: float


@dataclasses.dataclass(slots=True)
class _ServerState:
    """What is known of a server with a limit."""

    # Quotas that were granted and are not used yet.
    unused_count: int = 0
    asked_s: float = -math.inf
    # The last refusal of each priority.
    refusals: dict[int, _Refusal] = dataclasses.field(default_factory=dict)
    # The requests since a time, and in the window before that.
    counted_since_s: float = -math.inf
    demand_count: int = 0
    previous_demand_count: int = 0


class QuotaClient:
    """Obtains quotas from the leader."""

    def __init__(
        self,
        settings: QuotaClientSettings,
        quota_settings: quota_issuer.QuotaSettings,
        own_address: model.Address,
        own_issuer: quota_issuer.QuotaIssuer,
        limits: rate_limits.ReportedLimits,
        journal: journals.Journal,
        clock: clocks.Clock,
        connect: Callable[[model.Address], exchange.Exchanger] | None = None,
    ) -> None:
        """Asks nobody until ``find_issuer`` is set.

        Args:
            settings: Timing of requests for quotas.
            quota_settings: How quotas are used.
            own_address: The address of this instance.
            own_issuer: The issuer at this instance.
            limits: The limits that servers reported to this instance.
            journal: Logs issuers that cannot be used.
            clock: Measures all times; must advance while the machine is
                suspended.
            connect: Connects to another instance; by HTTP if omitted.
        """
        # Returns the address of the leader; None if it is unknown.
        self.find_issuer: Callable[[], model.Address | None] = lambda: None
        self._settings = settings
        self._quota_settings = quota_settings
        self._own_address = own_address
        self._own_issuer = own_issuer
        self._limits = limits
        self._journal = journal
        self._clock = clock
        self._connect = connect or self._make_pool
        self._paused_until_s = -math.inf
        self._pause_reason = ""
        self._pools: dict[model.Address, exchange.Exchanger] = {}
        self._servers: dict[ids.ServerId, _ServerState] = {}
        # The stamps of the issuers' answers, newest last.
        self._stamps: collections.deque[_ReceivedStamp] = collections.deque(
            maxlen=settings.stamps_max_count
        )
        self._tasks: anyio.abc.TaskGroup | None = None
        limits.on_end = self._report_end

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts reporting limits that have ended.

        Args:
            tasks: Runs the tasks that send reports.
        """
        self._tasks = tasks

    def hear(self, limits: tuple[quotas.KnownLimit, ...]) -> None:
        """Applies the limits that the leader knows."""
        self._limits.hear(dict(limits), self._settings.heard_for_s)

    # Decisions that do not wait.

    def refused_for_s(self, server_id: ids.ServerId, priority: int) -> float:
        """Returns for how long a request to a server is refused without asking.

        0 if it may be possible to obtain a quota.
        """
        if not self._limits.is_limited(server_id):
            return 0.0
        now_s = self._clock.monotonic_s()
        until_s = self._paused_until_s
        state = self._servers.get(server_id)
        if state is not None:
            if self._has_unused(state, now_s):
                return 0.0
            until_s = max(
                until_s,
                *(
                    refusal.until_s
                    for each, refusal in state.refusals.items()
                    if each <= priority
                ),
                -math.inf,
            )
        return max(until_s - now_s, 0.0)

    def retry_after_s(self, server_id: ids.ServerId, priority: int) -> float:
        """Returns when a caller that is refused without asking should return.

        Callers that are refused together return one after the other.
        """
        wait_s = self.refused_for_s(server_id, priority)
        if self._clock.monotonic_s() < self._paused_until_s:
            wait_s = max(wait_s, self._settings.no_issuer_retry_s)
        state = self._servers.get(server_id)
        returns_s = max(
            (
                refusal.returns_s
                for each, refusal in (state.refusals if state else {}).items()
                if each <= priority
            ),
            default=-math.inf,
        )
        queue_s = max(returns_s - self._clock.monotonic_s(), wait_s)
        # Jitter: they must not all return at the end of the queue.
        return wait_s + random.uniform(0.0, max(queue_s - wait_s, wait_s))

    def covers(self, quota: Quota | None, server_id: ids.ServerId) -> bool:
        """Whether a request may be sent to a server now, with this quota."""
        if not self._limits.is_limited(server_id):
            return True
        if quota is None or quota.server_id != server_id:
            return False
        return self._is_usable(quota.asked_s, self._clock.monotonic_s())

    def left_s(self, quota: Quota) -> float:
        """Returns for how long a quota may still be used."""
        age_s = self._clock.monotonic_s() - quota.asked_s
        return max(self._quota_settings.use_within_s - age_s, 0.0)

    def _is_usable(self, asked_s: float, now_s: float) -> bool:
        """Whether quotas that were requested at a time may still be used."""
        return now_s - asked_s < self._quota_settings.use_within_s

    def _has_unused(self, state: _ServerState, now_s: float) -> bool:
        """Whether there are quotas that may still be used."""
        return state.unused_count > 0 and self._is_usable(state.asked_s, now_s)

    def describe_issuer(self) -> str:
        """Returns which instance issues quotas, or why none can be asked."""
        issuer = self.find_issuer()
        address = str(issuer) if issuer else "no known leader"
        if self._clock.monotonic_s() < self._paused_until_s:
            return f"{address}, which cannot be asked: {self._pause_reason}"
        return address

    # Requests for quotas.

    async def obtain(
        self, server_id: ids.ServerId, priority: int
    ) -> Quota | Refused | None:
        """Returns a quota for one request to a server with a limit.

        None if the limit turns out to have ended.
        """
        now_s = self._clock.monotonic_s()
        state = self._get_state(server_id)
        self._count_demand(state, now_s)
        if self._has_unused(state, now_s):
            state.unused_count -= 1
            return Quota(server_id, state.asked_s)
        if self.refused_for_s(server_id, priority):
            return Refused(self.retry_after_s(server_id, priority))
        reply = await self._ask(server_id, priority, state)
        if reply is not None and reply.verdict is quotas.Verdict.GRANTED:
            return Quota(server_id, now_s)
        if not self._limits.is_limited(server_id):
            return None
        if reply is not None and reply.verdict is quotas.Verdict.REFUSED:
            return Refused(reply.retry_after_s)
        # There is no issuer, or a later answer of the server named a limit
        # while the issuer was asked.
        wait_s = self.retry_after_s(server_id, priority)
        return Refused(max(wait_s, self._settings.ask_interval_s))

    async def _ask(
        self, server_id: ids.ServerId, priority: int, state: _ServerState
    ) -> quotas.Reply | None:
        """Asks the issuer, and applies its answer; None without an answer."""
        asked_s = self._clock.monotonic_s()
        wanted_count = max(state.demand_count, state.previous_demand_count)
        report = self._make_report(server_id, asked_s)
        reply = await self._send(
            quotas.Request(server_id, priority, wanted_count, report)
        )
        if reply is None:
            return None
        now_s = self._clock.monotonic_s()
        if reply.verdict is quotas.Verdict.UNLIMITED:
            # What was read since may be newer than what the issuer knows.
            self._limits.end(server_id, asked_s)
        elif reply.verdict is quotas.Verdict.REFUSED:
            wait_s = max(reply.next_in_s, self._settings.ask_interval_s)
            state.refusals[priority] = _Refusal(
                now_s + wait_s, now_s + reply.retry_after_s
            )
        else:
            # The first is for whoever asked.
            self._add_unused(state, reply.granted_count - 1, asked_s, now_s)
            state.refusals.clear()
        return reply

    def _add_unused(
        self, state: _ServerState, count: int, asked_s: float, now_s: float
    ) -> None:
        """Adds quotas to those of other requests that may still be used.

        All of them then expire with the earliest.
        """
        if self._has_unused(state, now_s):
            if not count:
                return
            count += state.unused_count
            asked_s = min(asked_s, state.asked_s)
        state.unused_count = count
        state.asked_s = asked_s

    async def _send(self, request: quotas.Request) -> quotas.Reply | None:
        """Sends a request to the issuer; None without a usable answer."""
        issuer = self.find_issuer()
        if issuer is None:
            self._pause(issuer, "no leader is known")
            return None
        if issuer == self._own_address:
            reply = self._own_issuer.handle(request)
        else:
            body = await self._call(issuer, quotas.REQUESTS.encode(request))
            if body is None:
                return None
            try:
                reply = quotas.REPLIES.decode(body)
            except codec.CodecError as error:
                self._pause(issuer, f"the answer cannot be read: {error}")
                return None
        if reply.verdict is quotas.Verdict.UNAVAILABLE:
            self._pause(issuer, "it is not certain to be the only issuer")
            return None
        self._keep_stamp(reply.stamp)
        return reply

    async def _call(
        self, address: model.Address, message: bytes
    ) -> bytes | None:
        """Posts a message; returns None without a usable answer."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = self._connect(address)
        head = b"POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n"
        request = head % (quotas.PATH, str(address).encode(), len(message))
        result: exchange.Result = exchange.Broken("no answer in time")
        with timeouts.move_on_after(self._settings.timeout_s, self._clock):
            result = await pool.exchange(request + message, lambda _: True)
        if not isinstance(result, exchange.Reply):
            self._pause(address, result.reason)
            return None
        if result.status != _HTTP_OK:
            self._pause(address, f"status {result.status}")
            return None
        return result.body

    def _pause(self, issuer: model.Address | None, reason: str) -> None:
        """Refuses all requests that need quotas for a while."""
        now_s = self._clock.monotonic_s()
        if now_s < self._paused_until_s:
            return
        self._paused_until_s = now_s + self._settings.pause_s
        self._pause_reason = reason
        self._journal.decision(
            "quota_issuer_lost",
            address=str(issuer or ""),
            reason=reason,
            pause_s=self._settings.pause_s,
        )

    # What this instance knows.

    def _make_report(
        self, server_id: ids.ServerId, now_s: float
    ) -> quotas.Report | None:
        """Returns what a server told this instance; None if nothing."""
        known = self._limits.get(server_id)
        if known is None:
            return None
        sent_after = next(
            (
                each.stamp
                for each in reversed(self._stamps)
                if each.received_s <= known.sent_s
            ),
            None,
        )
        return quotas.Report(
            known.limit_per_s, now_s - known.read_s, sent_after
        )

    def _keep_stamp(self, stamp: quotas.Stamp) -> None:
        """Keeps the stamp of an answer, unless the last one is as recent."""
        now_s = self._clock.monotonic_s()
        last = self._stamps[-1] if self._stamps else None
        is_same_process = last and last.stamp.process_id == stamp.process_id
        interval_s = self._settings.stamp_interval_s
        if last and is_same_process and now_s < last.received_s + interval_s:
            return
        self._stamps.append(_ReceivedStamp(stamp, now_s))

    def _report_end(self, server_id: ids.ServerId) -> None:
        """Tells the issuer that a limit has ended, so that others know it."""
        if self._tasks is not None:
            self._tasks.start_soon(
                tasks_lib.run_once,
                lambda: self._send_report(server_id),
                self._journal,
            )

    async def _send_report(self, server_id: ids.ServerId) -> None:
        """Sends what a server told this instance to the issuer."""
        now_s = self._clock.monotonic_s()
        report = self._make_report(server_id, now_s)
        await self._send(quotas.Request(server_id, 0, 0, report))

    def _get_state(self, server_id: ids.ServerId) -> _ServerState:
        """Returns what is known of a server."""
        state = self._servers.get(server_id)
        if state is None:
            if len(self._servers) >= _SERVERS_MAX_COUNT:
                del self._servers[next(iter(self._servers))]
            state = self._servers[server_id] = _ServerState()
        return state

    def _count_demand(self, state: _ServerState, now_s: float) -> None:
        """Counts a request that needs a quota."""
        window_s = self._settings.demand_window_s
        passed_s = now_s - state.counted_since_s
        if passed_s >= window_s:
            is_recent = passed_s < 2 * window_s
            state.previous_demand_count = state.demand_count if is_recent else 0
            state.demand_count = 0
            state.counted_since_s = now_s
        state.demand_count += 1

    def _make_pool(self, address: model.Address) -> exchange.Exchanger:
        """Returns a connection pool for an address."""
        settings = exchange.ConnectionSettings(
            drops_idle_on_timeout=True, bounds=answer_bounds.SMALL
        )
        return exchange.ConnectionPool(
            address,
            settings,
            self._clock,
            answer_bounds.AnswerMemory(memory_ledger.UNLIMITED, self._journal),
        )
