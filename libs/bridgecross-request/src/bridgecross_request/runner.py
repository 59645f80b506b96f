"""Runs a request on the queue owner of the key's server."""

import collections
from collections.abc import Callable
import dataclasses
import math
from typing import NamedTuple
from typing import Protocol

from bridgecross_core import clock as clocks
from bridgecross_core import hashing
from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_log import appender as appenders
from bridgecross_ownership import cell as cells
from bridgecross_ownership import lease_manager
from bridgecross_ownership import lease_manager_set
from bridgecross_ownership import releases
from bridgecross_request import backends
from bridgecross_request import error_answers
from bridgecross_request import intents
from bridgecross_request import poison_requests
from bridgecross_request import queueing
from bridgecross_request import requests

_NO_OWNER_RETRY_MS = 500
_NO_LOG_RETRY_MS = 1_000
_WALL_CLOCK_SLACK_S = 0.25
_FIRST_GUESS_S = 0.01
_FIRST_ERROR_STATUS = 500


@dataclasses.dataclass(frozen=True)
class RunnerSettings:
    """How requests of a service are run."""

    # Requests that one backend server runs at the same time.
    slots_per_server: int
    # The share of slots that goes to the lowest waiting tier.
    starvation_share_ratio: float
    # The priority and queue limit of each tier, by the tier's name.
    tiers: dict[str, queueing.QueueTier]


class AddressBook(Protocol):
    """Looks up the addresses of backend servers."""

    def find_address(self, server: ids.ServerId) -> str | None:
        """Returns a server's ``host:port``, or None if it is unknown."""


class BackupForwarder(Protocol):
    """Forwards requests to remote queue owners of backup servers."""

    async def forward_to_backup(
        self,
        instance: ids.InstanceId,
        request: requests.Request,
        takeover: releases.Takeover,
    ) -> outcomes.Outcome:
        """Asks a backup's queue owner to run a request there."""


class RunnerPorts(NamedTuple):
    """The dependencies of a runner."""

    cell: cells.Cell
    lease_managers: lease_manager_set.LeaseManagerSet
    backend: backends.Backend
    addresses: AddressBook
    intents: appenders.Appender
    backups: BackupForwarder
    me: ids.InstanceId
    clock: clocks.Clock
    # The record of requests that servers ended under, and a callback that
    # reports a request to the other instances when its record changed.
    ledger: poison_requests.PoisonLedger
    tell_others: Callable[[poison_requests.Fingerprint], None]


class _Attempt(NamedTuple):
    """A request, and the owner of its key's slice when it was looked up."""

    request: requests.Request
    manager: lease_manager.LeaseManager
    slice: ids.SliceIndex
    token: ids.Token


class Runner:
    """Runs requests of one service whose queue owner is this instance."""

    def __init__(self, settings: RunnerSettings, ports: RunnerPorts) -> None:
        """Starts without queues.

        Args:
            settings: The service's settings.
            ports: The runner's dependencies.
        """
        self._settings = settings
        self._ports = ports
        self.queues: dict[ids.ServerId, queueing.TierQueue] = {}
        # When each server was last observed to have ended.
        self._ended_s: dict[ids.ServerId, float] = {}
        self._errors = error_answers.ErrorAnswers()
        # Requests by tier that wait until the owner can serve, or for a slot.
        self.waiting: collections.Counter[str] = collections.Counter()

    def replace_settings(self, settings: RunnerSettings) -> None:
        """Replaces the settings, in existing queues as well."""
        self._settings = settings
        for queue in self.queues.values():
            queue.settings = self._queue_settings()

    async def run(self, request: requests.Request) -> outcomes.Outcome:
        """Runs a request once, if this instance is the queue owner for it."""
        refusal = self._refuse_poison(request)
        if refusal is not None:
            return refusal
        cell = self._ports.cell
        if not cell.slices:
            return _refuse_stale("the service has no slices yet")
        index = hashing.find_slice(request.key, len(cell.slices))
        state = cell.slices[index]
        manager = self._ports.lease_managers.find(state.server)
        if manager is None:
            return _refuse_stale("this instance does not front the key's owner")
        token = manager.find_grant_token(index)
        if token is None:
            return await self._run_at_backup(request, manager, index)
        attempt = _Attempt(request, manager, index, token)
        if await self._wait_open(attempt):
            return await self._run_queued(attempt)
        return await self._run_at_backup(request, manager, index)

    async def run_takeover(
        self, request: requests.Request, takeover: releases.Takeover
    ) -> outcomes.Outcome:
        """Runs a request at the backup of its key's owner.

        This instance is the queue owner of the backup.
        """
        refusal = self._refuse_poison(request)
        if refusal is not None:
            return refusal
        queue_owner = self._ports.cell.queue_owners.get(takeover.owner)
        manager = (
            self._ports.lease_managers.find(queue_owner.backup)
            if queue_owner
            else None
        )
        if manager is None or not manager.take_over(takeover):
            return _refuse_stale("this instance knows of no such heir")
        index = takeover.slice
        token = manager.find_grant_token(index)
        if token is None:
            return _refuse_stale("the heir may not act any more")
        attempt = _Attempt(request, manager, index, token)
        if await self._wait_open(attempt):
            return await self._run_queued(attempt)
        return self._describe_not_served(attempt)

    async def _wait_open(self, attempt: _Attempt) -> bool:
        """Waits until the owner may serve the slice; returns whether it may."""
        request = attempt.request
        self.waiting[request.tier] += 1
        try:
            return await attempt.manager.wait_open(
                attempt.slice, attempt.token, self._left_s(request)
            )
        finally:
            self.waiting[request.tier] -= 1

    async def _run_at_backup(
        self,
        request: requests.Request,
        manager: lease_manager.LeaseManager,
        index: ids.SliceIndex,
    ) -> outcomes.Outcome:
        """Runs a request at the backup of a server that cannot act."""
        takeover = manager.hand_over(index)
        queue_owner = self._ports.cell.queue_owners.get(
            manager.queue_owner.backup
        )
        if takeover is None or queue_owner is None:
            token = manager.find_grant_token(index)
            return self._describe_not_served(
                _Attempt(request, manager, index, token or ids.NO_TOKEN)
            )
        if queue_owner.instance == self._ports.me:
            return await self.run_takeover(request, takeover)
        return await self._ports.backups.forward_to_backup(
            queue_owner.instance, request, takeover
        )

    async def _run_queued(self, attempt: _Attempt) -> outcomes.Outcome:
        """Waits for one of the owner's slots and runs the request in it."""
        request = attempt.request
        queue = self._find_queue(attempt.manager.server)
        tier = self._find_tier(request.tier)
        self.waiting[request.tier] += 1
        try:
            deadlines = queueing.Deadlines(
                request.deadline_s, request.deadline_s
            )
            slot = await queue.acquire(tier, deadlines)
        finally:
            self.waiting[request.tier] -= 1
        if isinstance(slot, queueing.Refused):
            return outcomes.NotRun(
                outcomes.NotRunProof.REFUSED_BY_ADMISSION,
                slot.reason,
                retry_after_ms=slot.retry_after_ms,
            )
        started_s = self._ports.clock.monotonic_s()
        try:
            return await self._run_in_slot(attempt)
        finally:
            held_s = self._ports.clock.monotonic_s() - started_s
            queue.release(held_s, tier)

    async def _run_in_slot(self, attempt: _Attempt) -> outcomes.Outcome:
        """Sends the request, after winning its intent if it needs one."""
        if not attempt.request.idempotency_key:
            return await self._send(attempt)
        request = attempt.request
        intent = intents.Intent(
            request.service, request.caller, request.idempotency_key
        )
        right = await intents.win_right(self._ports.intents, intent)
        if not isinstance(right, appenders.Applied):
            return _describe_lost_intent(right)
        outcome = await self._send(attempt)
        if isinstance(outcome, outcomes.NotRun):
            await intents.return_right(
                self._ports.intents, intent, right.offset
            )
        return outcome

    async def _send(self, attempt: _Attempt) -> outcomes.Outcome:
        """Sends the request if the owner may still run it."""
        manager = attempt.manager
        address = self._ports.addresses.find_address(manager.server)
        if address is None:
            return _refuse_stale("the owner's address is not known")
        # Computed before the check. If the process is suspended after the
        # check, the deadline sent to the server has passed by then.
        limit = backends.measure_limit(
            self._ports.clock, attempt.request.deadline_s
        )
        refusal = self._refuse_poison(attempt.request)
        if refusal is not None:
            return refusal
        # This check is last: nothing is awaited between it and the send.
        if not manager.is_open(attempt.slice, attempt.token):
            return _refuse_stale("the owner changed while the request waited")
        fence = backends.Fence(
            attempt.slice, attempt.token, manager.queue_owner.token
        )
        manager.begin_request(attempt.slice)
        over_at_s = attempt.request.deadline_s + _WALL_CLOCK_SLACK_S
        sent_s = self._ports.clock.monotonic_s()
        try:
            outcome = await self._ports.backend.send(
                address, attempt.request, fence, limit
            )
            if not isinstance(outcome, outcomes.Unknown):
                over_at_s = 0.0
        finally:
            manager.end_request(attempt.slice, over_at_s)
        await self._record_outcome(attempt, address, sent_s, outcome)
        return outcome

    def _refuse_poison(
        self, request: requests.Request
    ) -> outcomes.NotRun | None:
        """Refuses a poison request; returns None for any other."""
        left_s = self._ports.ledger.refused_for_s(_compute_fingerprint(request))
        if not left_s:
            return None
        return outcomes.NotRun(
            outcomes.NotRunProof.REFUSED_BY_ADMISSION,
            "servers ended while they ran it",
            retry_after_ms=math.ceil(left_s * 1_000),
        )

    async def _record_outcome(
        self,
        attempt: _Attempt,
        address: str,
        sent_s: float,
        outcome: outcomes.Outcome,
    ) -> None:
        """Records an answer, or that the server ended under the request."""
        ports = self._ports
        subject = _compute_fingerprint(attempt.request)
        if isinstance(outcome, outcomes.Answered):
            server = attempt.manager.server
            self._record_server_answer(server, subject, sent_s, outcome.status)
            return
        ended_s = ports.clock.monotonic_s()
        is_late = ended_s >= attempt.request.deadline_s
        if not isinstance(outcome, outcomes.Unknown) or is_late:
            return
        if await ports.backend.is_refusing(address):
            self._errors.forget(attempt.manager.server)
            run = self._make_run_id(attempt.manager.server, sent_s, ended_s)
            end = poison_requests.RunEnd(subject, run, sent_s, ended_s)
            if ports.ledger.record_end(end):
                ports.tell_others(subject)

    def _record_server_answer(
        self,
        server: ids.ServerId,
        subject: poison_requests.Fingerprint,
        sent_s: float,
        status: int,
    ) -> None:
        """Records that a server answered.

        An error is recorded only once the server has answered a request sent
        after it, because a server that is ending may answer with errors.
        """
        now_s = self._ports.clock.monotonic_s()
        for answer in self._errors.pop_confirmed(server, sent_s):
            self._record_answer(answer)
        if status < _FIRST_ERROR_STATUS:
            self._record_answer(poison_requests.Answer(subject, now_s))
        else:
            self._errors.record_error(server, subject, now_s)

    def _record_answer(self, answer: poison_requests.Answer) -> None:
        """Records that a server ran a request and kept running."""
        was_suspect = self._ports.ledger.is_suspect(answer.subject)
        self._ports.ledger.record_answer(answer)
        if was_suspect:
            self._ports.tell_others(answer.subject)

    def _make_run_id(
        self, server: ids.ServerId, sent_s: float, ended_s: float
    ) -> str:
        """Returns the id of a server's run that ended.

        It contains the time of the end, and is the same for all requests that
        were in flight then.
        """
        if sent_s >= self._ended_s.get(server, -math.inf):
            self._ended_s[server] = ended_s
        ended_ms = int(self._ended_s[server] * 1_000)
        return f"{server}/{self._ports.me}/{ended_ms}"

    def _describe_not_served(self, attempt: _Attempt) -> outcomes.NotRun:
        """Returns the outcome if the owner could not serve in time."""
        if attempt.manager.find_grant_token(attempt.slice) != attempt.token:
            return _refuse_stale("the owner changed while the request waited")
        return outcomes.NotRun(
            outcomes.NotRunProof.REFUSED_BY_ADMISSION,
            "no server can serve the key at the moment",
            retry_after_ms=_NO_OWNER_RETRY_MS,
        )

    def _find_tier(self, name: str) -> queueing.QueueTier:
        """Returns a tier by name, or the lowest tier if it is unknown."""
        tiers = self._settings.tiers
        if name in tiers:
            return tiers[name]
        return max(tiers.values(), key=lambda tier: tier.priority)

    def _find_queue(self, server: ids.ServerId) -> queueing.TierQueue:
        """Returns the queue of a server."""
        if server not in self.queues:
            self.queues[server] = queueing.TierQueue(
                self._queue_settings(), self._ports.clock
            )
        return self.queues[server]

    def _queue_settings(self) -> queueing.QueueSettings:
        """Returns the settings of every queue."""
        return queueing.QueueSettings(
            slots=self._settings.slots_per_server,
            starvation_share_ratio=self._settings.starvation_share_ratio,
            # Only the deadline is known here, and an answer after it is worth
            # nothing. So no slots are kept free of late requests.
            late_slots=self._settings.slots_per_server,
            first_guess_s=_FIRST_GUESS_S,
        )

    def _left_s(self, request: requests.Request) -> float:
        """Returns the time until a request's deadline, at least 0."""
        return max(request.deadline_s - self._ports.clock.monotonic_s(), 0.0)


def _compute_fingerprint(
    request: requests.Request,
) -> poison_requests.Fingerprint:
    """Returns the fingerprint of a request."""
    return poison_requests.compute_fingerprint(
        request.service,
        request.method.encode(),
        request.target.encode(),
        request.body,
    )


def _refuse_stale(reason: str) -> outcomes.NotRun:
    """Returns the outcome of a request routed by an outdated view of the log.

    The request may be routed again.
    """
    return outcomes.NotRun(
        outcomes.NotRunProof.REFUSED_BY_ADMISSION,
        reason,
        retry_after_ms=_NO_OWNER_RETRY_MS,
        reroute=True,
    )


def _describe_lost_intent(
    right: appenders.AppendOutcome,
) -> outcomes.Outcome:
    """Returns the outcome of an attempt that did not win its intent."""
    if isinstance(right, appenders.Void):
        return outcomes.Unknown(
            "an earlier request with this Idempotency-Key may have run",
            status=409,
        )
    return outcomes.NotRun(
        outcomes.NotRunProof.INTENT_NOT_WON,
        "the log is not available, so running at most once is not certain",
        retry_after_ms=_NO_LOG_RETRY_MS,
    )
