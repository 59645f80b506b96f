"""Obtains permits from the instances that issue them.

For each service and failure domain, one of the domain's instances issues
permits: the one ranked first by rendezvous hashing among those that are strong
enough. There is no agreement protocol: an instance that does not answer is not
asked for a while and the next one is used instead. A request that reaches no
issuer proceeds without a permit.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math
import random
from typing import NamedTuple

import anyio
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
from bridgecross_entry import permit_issuer
from bridgecross_entry import permits
from bridgecross_request import fair_share
from bridgecross_request import queueing

_HTTP_OK = 200

_MIN_WAIT_S = 0.001
"""The least wait recorded for a full domain, whatever it estimates."""


@dataclasses.dataclass(frozen=True, slots=True)
class PermitSettings:
    """When and how permits are requested."""

    # Permits are requested where an instance's even share of a server's slots
    # is smaller than this. With a larger share, it sends each server about one
    # request per second and can rely on its own measurements. With a smaller
    # one, the single request that it may always have there is many times its
    # share, and all instances together exceed the server's queue.
    min_slot_share: float = 0.2
    # Once in use, permits stay in use until the share is larger by this ratio,
    # so that one instance or server more or less causes no oscillation.
    slot_share_hysteresis_ratio: float = 1.25
    # How often the share is recomputed.
    slot_share_interval_s: float = 0.5
    # A request is answered within 0.1 s plus the 5 ms of a link; an issuer that
    # does not answer by then is gone, frozen or overloaded.
    timeout_s: float = 0.2
    # The same for the repeated request of a waiter, which is held for longer.
    repeat_timeout_s: float = 0.6
    # A failure faster than this, such as a refused connection, has cost no
    # time, so the next issuer is asked.
    quick_failure_s: float = 0.02
    # How long a failed issuer is not asked again; it doubles with each failure.
    first_pause_s: float = 1.0
    max_pause_s: float = 8.0
    # An issuer that is stopping, or does not know the servers yet, is asked
    # again after this: a restart takes a second or two.
    elsewhere_pause_s: float = 1.0
    # The number of instances of one failure domain tried for one request.
    issuers_max_count: int = 3
    # The number of failure domains asked for a free slot before waiting.
    domains_max_count: int = 3
    # How long a domain that was full is assumed to stay full: slots become free
    # every few ms, but go to requests that wait there first.
    full_for_s: float = 0.1
    # A slot in another failure domain costs as much as waiting for this share
    # of the time to the request's target, since traffic between domains is
    # charged.
    distance_ratio: float = 0.05
    # An idle connection is not reused after this: the other side closes it
    # after 5 s, and a connection closed while a request is in flight looks like
    # a lost issuer.
    idle_timeout_s: float = 4.0


class Applicant(NamedTuple):
    """A request that needs a permit, with times on this instance's clock."""

    service: ids.ServiceName
    priority: int
    deadlines: queueing.Deadlines
    # The only server that can serve it; None if any of the service can.
    server: model.BackendServer | None
    # Servers to which it was sent before.
    tried: Iterable[ids.ServerId]
    # Whether that server can still serve it; checked while it waits.
    is_current: Callable[[], bool]
    # Whether it may be served in a failure domain.
    is_allowed: Callable[[str], bool] = lambda _: True
    # What is known of its caller, for services whose queues use it.
    origin: fair_share.Origin = fair_share.UNKNOWN


class Permit(NamedTuple):
    """Permission to send one request to a server; must be returned."""

    server_id: ids.ServerId
    ticket: str
    # The instance that issued it.
    issuer: model.Address
    # Whether it was counted against the rate of a cold server, and when it was
    # requested.
    covers_cold: bool = False
    asked_s: float = 0.0


class _IssuerScope(NamedTuple):
    """The servers for which one instance issues permits."""

    service: ids.ServiceName
    domain: str


class PermitClient:
    """Obtains and returns permits."""

    def __init__(
        self,
        settings: PermitSettings,
        instance: model.InstanceSettings,
        own: permit_issuer.PermitIssuer,
        candidates: Callable[[str], tuple[model.Address, ...]],
        domains: Callable[[ids.ServiceName], Iterable[str]],
        journal: journals.Journal,
        clock: clocks.Clock,
        connect: Callable[[model.Address], exchange.Exchanger] | None = None,
        slot_share: Callable[[ids.ServiceName], float] = lambda _: math.inf,
    ) -> None:
        """Requests nothing before ``start``.

        Args:
            settings: When and how to request permits.
            instance: This instance.
            own: The issuer at this instance.
            candidates: Returns the instances of a failure domain that may
                issue permits; the same object until they change.
            domains: Returns the failure domains with servers of a service.
            journal: Records issuers that do not answer.
            clock: Measures all times.
            connect: Connects to another instance; by HTTP, if omitted.
            slot_share: Returns each instance's even share of the slots of a
                server of a service; if omitted, permits are never requested.
        """
        self._settings = settings
        self._instance = instance
        self._own = own
        self._candidates = candidates
        self._domains = domains
        self._journal = journal
        self._clock = clock
        self._connect = connect or self._make_pool
        self._slot_share = slot_share
        # Whether permits are in use, and when that was computed.
        self._permits_in_use: dict[ids.ServiceName, tuple[bool, float]] = {}
        self._pools: dict[model.Address, exchange.Exchanger] = {}
        self._ranked: dict[
            _IssuerScope, tuple[tuple[model.Address, ...], list[model.Address]]
        ] = {}
        self._paused_until_s: dict[model.Address, float] = {}
        self._pause_s: dict[model.Address, float] = {}
        # The expected wait at a full domain, and until when that is valid.
        self._full: dict[_IssuerScope, tuple[float, float]] = {}
        # Distinguishes tickets from those of all other and earlier processes.
        self._ticket_prefix = random.getrandbits(64)
        self._sequence = 0
        self._tasks: anyio.abc.TaskGroup | None = None

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts requesting permits.

        Args:
            tasks: Runs the tasks that return permits.
        """
        self._tasks = tasks

    def is_used(self, service: ids.ServiceName) -> bool:
        """Whether requests to a service should have permits."""
        if self._tasks is None:
            return False
        now_s = self._clock.monotonic_s()
        is_used, looked_s = self._permits_in_use.get(
            service, (False, -math.inf)
        )
        if now_s - looked_s < self._settings.slot_share_interval_s:
            return is_used
        limit = self._settings.min_slot_share
        if is_used:
            limit *= self._settings.slot_share_hysteresis_ratio
        share = self._slot_share(service)
        self._permits_in_use[service] = (share < limit, now_s)
        if (share < limit) != is_used:
            self._journal.lifecycle(
                "permits_begin" if share < limit else "permits_end",
                service=service,
                slot_share=round(share, 3),
            )
        return share < limit

    async def obtain(
        self, applicant: Applicant
    ) -> Permit | queueing.Refused | None:
        """Returns a permit or a refusal; None if there is no issuer."""
        if applicant.server is not None:
            scope = _IssuerScope(
                applicant.service, applicant.server.failure_domain
            )
            return _drop_verdict(
                await self._obtain_from(scope, applicant, may_wait=True)
            )
        scopes = [
            _IssuerScope(applicant.service, domain)
            for domain in self._domains(applicant.service)
            if applicant.is_allowed(domain)
        ]
        scopes.sort(key=lambda each: self._rank(each, applicant))
        for scope in scopes[: self._settings.domains_max_count]:
            if self._full_wait_s(scope) > 0:
                continue
            result = await self._obtain_from(scope, applicant, may_wait=False)
            if result is None or isinstance(result, Permit):
                return result
        # All domains that were asked are full: wait in the one with the
        # shortest wait.
        full = [each for each in scopes if self._full_wait_s(each) > 0]
        if not full:
            return None
        least_busy = min(full, key=self._full_wait_s)
        return _drop_verdict(
            await self._obtain_from(least_busy, applicant, may_wait=True)
        )

    def return_permit(
        self,
        permit: Permit,
        held_s: float,
        outcome: permits.Outcome,
        pace_ratio: float = 0.0,
    ) -> None:
        """Returns a permit to its issuer, without waiting for an answer."""
        returned = permits.Return(permit.ticket, held_s, outcome, pace_ratio)
        if permit.issuer == self._instance.peer_address:
            self._own.handle_return(returned)
        elif self._tasks is not None:
            message = permits.MESSAGES.encode(
                permits.Message(returned=returned)
            )
            self._tasks.start_soon(self._send_return, permit.issuer, message)

    async def _send_return(
        self, address: model.Address, message: bytes
    ) -> None:
        """Sends the return of a permit; failures must not end other tasks."""
        try:
            await self._call(address, message, self._settings.timeout_s)
        except Exception as error:
            self._note_failure(address, repr(error))

    # Choosing issuers.

    def _rank(self, scope: _IssuerScope, applicant: Applicant) -> float:
        """Returns the cost of a domain as the expected wait there."""
        wait_s = self._full_wait_s(scope)
        if scope.domain != self._instance.failure_domain:
            left_s = applicant.deadlines.target_s - self._clock.monotonic_s()
            wait_s += self._settings.distance_ratio * max(left_s, 0.0)
        return wait_s

    def _full_wait_s(self, scope: _IssuerScope) -> float:
        """Returns the wait at a domain that is known to be full, else 0."""
        wait_s, until_s = self._full.get(scope, (0.0, 0.0))
        return wait_s if self._clock.monotonic_s() < until_s else 0.0

    def _addresses(self, scope: _IssuerScope) -> list[model.Address]:
        """Returns the possible issuers for a domain, the best ranked first."""
        candidates = self._candidates(scope.domain)
        ranked = self._ranked.get(scope)
        if ranked is None or ranked[0] is not candidates:
            ranked = (candidates, permits.rank_issuers(*scope, candidates))
            self._ranked[scope] = ranked
        now_s = self._clock.monotonic_s()
        return [
            address
            for address in ranked[1]
            if self._paused_until_s.get(address, 0.0) <= now_s
        ]

    # Requesting.

    async def _obtain_from(
        self, scope: _IssuerScope, applicant: Applicant, *, may_wait: bool
    ) -> Permit | queueing.Refused | permits.Verdict | None:
        """Requests a permit for one failure domain.

        Returns:
            A permit; a refusal; the verdict that the domain is full or has no
            issuer; None if time was lost with an issuer that does not answer,
            so that no other should be asked.
        """
        addresses = self._addresses(scope)
        for address in addresses[: self._settings.issuers_max_count]:
            begun_s = self._clock.monotonic_s()
            reply = await self._poll_issuer(
                address, applicant, may_wait=may_wait
            )
            took_s = self._clock.monotonic_s() - begun_s
            if reply is None and took_s < self._settings.quick_failure_s:
                continue
            if reply is None or isinstance(reply, Permit):
                return reply
            if reply.verdict is permits.Verdict.FULL:
                until_s = self._clock.monotonic_s() + self._settings.full_for_s
                self._full[scope] = (max(reply.wait_s, _MIN_WAIT_S), until_s)
                return reply.verdict
            if reply.verdict is permits.Verdict.UNCOUNTED:
                return reply.verdict
            if reply.verdict is permits.Verdict.REFUSED:
                return queueing.Refused(reply.reason, reply.retry_after_ms)
            self._pause(address, self._settings.elsewhere_pause_s)
        return permits.Verdict.ELSEWHERE

    async def _poll_issuer(
        self, address: model.Address, applicant: Applicant, *, may_wait: bool
    ) -> Permit | permits.Reply | None:
        """Repeats a request to one issuer until it decides.

        Returns:
            A permit or another decision; None if the issuer does not answer,
            or if that server can no longer serve the request.
        """
        self._sequence += 1
        ticket = f"{self._ticket_prefix:x}-{self._sequence}"
        permit = Permit(ids.ServerId(""), ticket, address)
        decided: permits.Reply | None = None
        asked_s = self._clock.monotonic_s()
        timeout_s = self._settings.timeout_s
        try:
            while decided is None and applicant.is_current():
                request = self._build_request(
                    applicant, ticket, may_wait=may_wait
                )
                reply = await self._send(address, request, timeout_s)
                timeout_s = self._settings.repeat_timeout_s
                if reply is None:
                    return None
                if reply.verdict is not permits.Verdict.WAITING:
                    decided = reply
        finally:
            if decided is None:
                # A permit may have been granted although nobody waits for it.
                self.return_permit(permit, 0.0, permits.Outcome.UNUSED)
        if decided and decided.verdict is permits.Verdict.GRANTED:
            return permit._replace(
                server_id=decided.server_id,
                covers_cold=decided.covers_cold,
                asked_s=asked_s,
            )
        return decided

    def _build_request(
        self, applicant: Applicant, ticket: str, *, may_wait: bool
    ) -> permits.Request:
        """Builds a request with the remaining times as of now."""
        now_s = self._clock.monotonic_s()
        server = applicant.server
        return permits.Request(
            applicant.service,
            ticket,
            applicant.priority,
            applicant.deadlines.target_s - now_s,
            applicant.deadlines.deadline_s - now_s,
            server.server_id if server else ids.ServerId(""),
            tuple(applicant.tried),
            may_wait,
            applicant.origin.caller_age_s,
            applicant.origin.caller,
        )

    async def _send(
        self, address: model.Address, request: permits.Request, timeout_s: float
    ) -> permits.Reply | None:
        """Sends one request; returns None without a usable answer."""
        if address == self._instance.peer_address:
            return await self._own.handle_request(request)
        message = permits.MESSAGES.encode(permits.Message(request=request))
        body = await self._call(address, message, timeout_s)
        if body is None:
            return None
        try:
            return permits.REPLIES.decode(body)
        except codec.CodecError as error:
            self._note_failure(address, f"the answer cannot be read: {error}")
            return None

    async def _call(
        self, address: model.Address, message: bytes, timeout_s: float
    ) -> bytes | None:
        """Posts a message; pauses an issuer that does not answer."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = self._connect(address)
        head = b"POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n"
        request = head % (permits.PATH, str(address).encode(), len(message))
        result: exchange.Result = exchange.Broken("no answer in time")
        with timeouts.move_on_after(timeout_s, self._clock):
            result = await pool.exchange(request + message, lambda _: True)
        if not isinstance(result, exchange.Reply):
            self._note_failure(address, result.reason)
            return None
        if result.status != _HTTP_OK:
            self._note_failure(address, f"status {result.status}")
            return None
        self._pause_s.pop(address, None)
        return result.body

    def _note_failure(self, address: model.Address, reason: str) -> None:
        """Pauses an issuer that did not answer, with exponential backoff."""
        settings = self._settings
        if self._paused_until_s.get(address, 0.0) > self._clock.monotonic_s():
            return
        pause_s = self._pause_s.get(address, settings.first_pause_s)
        self._pause_s[address] = min(2 * pause_s, settings.max_pause_s)
        self._pause(address, pause_s)
        self._journal.decision(
            "permit_issuer_lost",
            address=str(address),
            reason=reason,
            pause_s=pause_s,
        )

    def _pause(self, address: model.Address, pause_s: float) -> None:
        """Avoids an issuer for a while."""
        until_s = self._clock.monotonic_s() + pause_s
        self._paused_until_s[address] = until_s

    def _make_pool(self, address: model.Address) -> exchange.Exchanger:
        """Returns a connection pool for an address."""
        settings = exchange.ConnectionSettings(
            idle_timeout_s=self._settings.idle_timeout_s,
            drops_idle_on_timeout=True,
            bounds=answer_bounds.SMALL,
        )
        return exchange.ConnectionPool(
            address,
            settings,
            self._clock,
            answer_bounds.AnswerMemory(memory_ledger.UNLIMITED, self._journal),
        )


def _drop_verdict(
    result: Permit | queueing.Refused | permits.Verdict | None,
) -> Permit | queueing.Refused | None:
    """Returns the result; None if the request proceeds without a permit."""
    return None if isinstance(result, permits.Verdict) else result
