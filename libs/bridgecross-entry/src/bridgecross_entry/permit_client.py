"""Asks for permits: which instance counts for which servers, and what if not.

For each service and failure domain one of the domain's instances counts, the
best ranked by rendezvous hashing of those that are strong enough. Nothing is
agreed: an instance that does not answer is left alone for a while and the next
one is asked, and who reaches none goes on without a permit.
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
from bridgecross_entry import exchange
from bridgecross_entry import journal as journals
from bridgecross_entry import model
from bridgecross_entry import permit_issuer
from bridgecross_entry import permits
from bridgecross_request import queueing

_HTTP_OK = 200

_LEAST_WAIT_S = 0.001
"""A domain without a free slot has some wait, whatever it estimates."""


@dataclasses.dataclass(frozen=True, slots=True)
class PermitSettings:
    """When permits are asked for, and how."""

    # Permits are asked for where an instance's even share of a server's slots
    # is smaller than this. With a greater one it meets each server about once a
    # second and may go by what it sees itself; with a smaller one, the one
    # request that it may always have there is many times its share, and what
    # all have is more than the server's queue takes.
    slot_share_least: float = 0.2
    # Once they are asked for, until the share is greater by this ratio, so that
    # one instance or server more or less changes nothing back and forth.
    slot_share_rest_ratio: float = 1.25
    # How often the share is looked up.
    slot_share_interval_s: float = 0.5
    # An ask is answered within 0.1 s and the 5 ms of a link; whoever does not
    # answer by then is gone, frozen or choked.
    timeout_s: float = 0.2
    # The same for one that waits and asks again, which is held for longer.
    timeout_again_s: float = 0.6
    # One that fails sooner, as by refusing the connection, has cost no time,
    # and the next one is asked.
    quick_failure_s: float = 0.02
    # For so long nobody asks there again; it doubles with each failure.
    first_pause_s: float = 1.0
    longest_pause_s: float = 8.0
    # One that is stopping, or does not know the servers yet, is asked again
    # after this: a restart takes a second or two.
    elsewhere_pause_s: float = 1.0
    # Instances of one failure domain that are tried for one request.
    tries_max_count: int = 3
    # Failure domains that are asked for a free slot before a request waits.
    domains_max_count: int = 3
    # For how long a domain that was full is taken to be full: slots fall free
    # every few ms, but whoever waits there has them first.
    full_for_s: float = 0.1
    # A slot in another failure domain counts as a wait of this part of the
    # time to the request's target. Bytes between domains are priced.
    distance_ratio: float = 0.05
    # A kept connection is not used after this: the other side closes it after
    # 5 s, and one that is closed while an ask is under way looks like an
    # issuer that is lost.
    idle_timeout_s: float = 4.0


class Wanted(NamedTuple):
    """A request that wants a permit, on this instance's clock."""

    service: ids.ServiceName
    priority: int
    due: queueing.Deadlines
    # The only server that can serve it; None if any of the service can.
    server: model.BackendServer | None
    # Servers that it was sent to before.
    tried: Iterable[ids.ServerId]
    # Whether that server can still serve it; asked while it waits.
    is_current: Callable[[], bool]
    # Whether it may be served in a failure domain.
    is_allowed: Callable[[str], bool] = lambda _: True


class Permit(NamedTuple):
    """May be at a server; must be given back."""

    server_id: ids.ServerId
    ticket: str
    # Who gave it.
    issuer: model.Address
    # Whether it was counted against what a cold server bears, and when it was
    # asked for.
    covers_cold: bool = False
    asked_s: float = 0.0


class _Issuer(NamedTuple):
    """What counts for the servers of a service in one failure domain."""

    service: ids.ServiceName
    domain: str


class PermitClient:
    """Asks for permits and gives them back."""

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
        """Asks nobody yet.

        Args:
            settings: When and how to ask.
            instance: This instance.
            own: What this instance gives out itself.
            candidates: Returns the instances of a failure domain that may
                count; the same object until they change.
            domains: Returns the failure domains with servers of a service.
            journal: Told of instances that do not answer.
            clock: For all times.
            connect: The way to another instance; by HTTP, if left out.
            slot_share: Returns how many slots each instance has of a server of
                a service, if all have the same; permits are never asked for,
                if left out.
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
        # Whether permits are asked for, and when that was looked up.
        self._used: dict[ids.ServiceName, tuple[bool, float]] = {}
        self._pools: dict[model.Address, exchange.Exchanger] = {}
        self._ranked: dict[
            _Issuer, tuple[tuple[model.Address, ...], list[model.Address]]
        ] = {}
        self._paused_until_s: dict[model.Address, float] = {}
        self._pause_s: dict[model.Address, float] = {}
        # How long one would wait at a full domain, and until when that holds.
        self._full: dict[_Issuer, tuple[float, float]] = {}
        # Makes tickets unlike those of any other process, before or beside it.
        self._life = random.getrandbits(64)
        self._sequence = 0
        self._tasks: anyio.abc.TaskGroup | None = None

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Begins to ask.

        Args:
            tasks: Where permits are given back.
        """
        self._tasks = tasks

    def is_used(self, service: ids.ServiceName) -> bool:
        """Whether requests to a service should have permits."""
        if self._tasks is None:
            return False
        now_s = self._clock.monotonic_s()
        is_used, looked_s = self._used.get(service, (False, -math.inf))
        if now_s - looked_s < self._settings.slot_share_interval_s:
            return is_used
        limit = self._settings.slot_share_least
        if is_used:
            limit *= self._settings.slot_share_rest_ratio
        share = self._slot_share(service)
        self._used[service] = (share < limit, now_s)
        if (share < limit) != is_used:
            self._journal.lifecycle(
                "permits_begin" if share < limit else "permits_end",
                service=service,
                slot_share=round(share, 3),
            )
        return share < limit

    async def obtain(self, wanted: Wanted) -> Permit | queueing.Refused | None:
        """Returns a permit, or why there is none; None if nobody counts."""
        if wanted.server is not None:
            issuer = _Issuer(wanted.service, wanted.server.failure_domain)
            return _usable(await self._obtain_at(issuer, wanted, may_wait=True))
        issuers = [
            _Issuer(wanted.service, domain)
            for domain in self._domains(wanted.service)
            if wanted.is_allowed(domain)
        ]
        issuers.sort(key=lambda each: self._rank(each, wanted))
        for issuer in issuers[: self._settings.domains_max_count]:
            if self._known_wait_s(issuer) > 0:
                continue
            result = await self._obtain_at(issuer, wanted, may_wait=False)
            if result is None or isinstance(result, Permit):
                return result
        # All that were asked are full: wait where it takes least.
        full = [each for each in issuers if self._known_wait_s(each) > 0]
        if not full:
            return None
        least = min(full, key=self._known_wait_s)
        return _usable(await self._obtain_at(least, wanted, may_wait=True))

    def give_back(
        self,
        permit: Permit,
        held_s: float,
        ending: permits.Ending,
        pace_ratio: float = 0.0,
    ) -> None:
        """Gives a permit back; returns at once."""
        back = permits.Return(permit.ticket, held_s, ending, pace_ratio)
        if permit.issuer == self._instance.peer_address:
            self._own.take_back(back)
        elif self._tasks is not None:
            message = permits.MESSAGES.encode(permits.Message(back=back))
            self._tasks.start_soon(self._return, permit.issuer, message)

    async def _return(self, address: model.Address, message: bytes) -> None:
        """Sends a permit back; a fault here must end nothing else."""
        try:
            await self._call(address, message, self._settings.timeout_s)
        except Exception as error:
            self._fail(address, repr(error))

    # Where to ask.

    def _rank(self, issuer: _Issuer, wanted: Wanted) -> float:
        """Returns how long a request would wait there, as far as is known."""
        wait_s = self._known_wait_s(issuer)
        if issuer.domain != self._instance.failure_domain:
            left_s = wanted.due.target_s - self._clock.monotonic_s()
            wait_s += self._settings.distance_ratio * max(left_s, 0.0)
        return wait_s

    def _known_wait_s(self, issuer: _Issuer) -> float:
        """Returns how long one waits at a domain known to be full, else 0."""
        wait_s, until_s = self._full.get(issuer, (0.0, 0.0))
        return wait_s if self._clock.monotonic_s() < until_s else 0.0

    def _addresses(self, issuer: _Issuer) -> list[model.Address]:
        """Returns who may count for a domain, the best ranked first."""
        candidates = self._candidates(issuer.domain)
        known = self._ranked.get(issuer)
        if known is None or known[0] is not candidates:
            known = (candidates, permits.rank_issuers(*issuer, candidates))
            self._ranked[issuer] = known
        now_s = self._clock.monotonic_s()
        return [
            address
            for address in known[1]
            if self._paused_until_s.get(address, 0.0) <= now_s
        ]

    # Asking.

    async def _obtain_at(
        self, issuer: _Issuer, wanted: Wanted, *, may_wait: bool
    ) -> Permit | queueing.Refused | permits.Verdict | None:
        """Asks who counts for one failure domain.

        Returns:
            A permit; a refusal; that the domain is full or has nobody who
            counts; None if time was lost with one who does not answer, so that
            no other should be asked.
        """
        addresses = self._addresses(issuer)
        for address in addresses[: self._settings.tries_max_count]:
            begun_s = self._clock.monotonic_s()
            reply = await self._ask(address, wanted, may_wait=may_wait)
            took_s = self._clock.monotonic_s() - begun_s
            if reply is None and took_s < self._settings.quick_failure_s:
                continue
            if reply is None or isinstance(reply, Permit):
                return reply
            if reply.verdict is permits.Verdict.FULL:
                until_s = self._clock.monotonic_s() + self._settings.full_for_s
                self._full[issuer] = (max(reply.wait_s, _LEAST_WAIT_S), until_s)
                return reply.verdict
            if reply.verdict is permits.Verdict.UNCOUNTED:
                return reply.verdict
            if reply.verdict is permits.Verdict.REFUSED:
                return queueing.Refused(reply.reason, reply.retry_after_ms)
            self._pause(address, self._settings.elsewhere_pause_s)
        return permits.Verdict.ELSEWHERE

    async def _ask(
        self, address: model.Address, wanted: Wanted, *, may_wait: bool
    ) -> Permit | permits.Reply | None:
        """Asks one instance until it decides.

        Returns:
            A permit, or what it says; None if it does not answer, or if the
            request no longer wants that server.
        """
        self._sequence += 1
        ticket = f"{self._life:x}-{self._sequence}"
        permit = Permit(ids.ServerId(""), ticket, address)
        decided: permits.Reply | None = None
        asked_s = self._clock.monotonic_s()
        timeout_s = self._settings.timeout_s
        try:
            while decided is None and wanted.is_current():
                ask = self._word(wanted, ticket, may_wait=may_wait)
                reply = await self._send(address, ask, timeout_s)
                timeout_s = self._settings.timeout_again_s
                if reply is None:
                    return None
                if reply.verdict is not permits.Verdict.WAITING:
                    decided = reply
        finally:
            if decided is None:
                # It may have been given to one who waits no longer.
                self.give_back(permit, 0.0, permits.Ending.UNUSED)
        if decided and decided.verdict is permits.Verdict.GRANTED:
            return permit._replace(
                server_id=decided.server_id,
                covers_cold=decided.covers_cold,
                asked_s=asked_s,
            )
        return decided

    def _word(
        self, wanted: Wanted, ticket: str, *, may_wait: bool
    ) -> permits.Ask:
        """Returns an ask as of now."""
        now_s = self._clock.monotonic_s()
        server = wanted.server
        return permits.Ask(
            wanted.service,
            ticket,
            wanted.priority,
            wanted.due.target_s - now_s,
            wanted.due.deadline_s - now_s,
            server.server_id if server else ids.ServerId(""),
            tuple(wanted.tried),
            may_wait,
        )

    async def _send(
        self, address: model.Address, ask: permits.Ask, timeout_s: float
    ) -> permits.Reply | None:
        """Sends one ask; None if no usable answer comes."""
        if address == self._instance.peer_address:
            return await self._own.ask(ask)
        message = permits.MESSAGES.encode(permits.Message(ask=ask))
        body = await self._call(address, message, timeout_s)
        if body is None:
            return None
        try:
            return permits.REPLIES.decode(body)
        except codec.CodecError as error:
            self._fail(address, f"the answer cannot be read: {error}")
            return None

    async def _call(
        self, address: model.Address, message: bytes, timeout_s: float
    ) -> bytes | None:
        """Posts a message; one who does not answer is left alone."""
        pool = self._pools.get(address)
        if pool is None:
            pool = self._pools[address] = self._connect(address)
        head = b"POST %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n"
        request = head % (permits.PATH, str(address).encode(), len(message))
        result: exchange.Result = exchange.Broken("no answer in time")
        with timeouts.move_on_after(timeout_s, self._clock):
            result = await pool.exchange(request + message, lambda _: True)
        if not isinstance(result, exchange.Reply):
            self._fail(address, result.reason)
            return None
        if result.status != _HTTP_OK:
            self._fail(address, f"status {result.status}")
            return None
        self._pause_s.pop(address, None)
        return result.body

    def _fail(self, address: model.Address, reason: str) -> None:
        """Leaves alone one who did not answer, each time for longer."""
        settings = self._settings
        if self._paused_until_s.get(address, 0.0) > self._clock.monotonic_s():
            return
        pause_s = self._pause_s.get(address, settings.first_pause_s)
        self._pause_s[address] = min(2 * pause_s, settings.longest_pause_s)
        self._pause(address, pause_s)
        self._journal.decision(
            "permit_issuer_lost",
            address=str(address),
            reason=reason,
            pause_s=pause_s,
        )

    def _pause(self, address: model.Address, pause_s: float) -> None:
        """Asks elsewhere for a while."""
        until_s = self._clock.monotonic_s() + pause_s
        self._paused_until_s[address] = until_s

    def _make_pool(self, address: model.Address) -> exchange.Exchanger:
        """Returns the connections to an address."""
        settings = exchange.ConnectionSettings(
            idle_timeout_s=self._settings.idle_timeout_s,
            drops_idle_on_timeout=True,
        )
        return exchange.ConnectionPool(address, settings, self._clock)


def _usable(
    result: Permit | queueing.Refused | permits.Verdict | None,
) -> Permit | queueing.Refused | None:
    """Returns a result that decides; None if the request goes on without."""
    return None if isinstance(result, permits.Verdict) else result
