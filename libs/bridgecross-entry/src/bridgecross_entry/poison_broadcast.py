"""Broadcasts which requests were running when a server's run ended.

An instance that sees a run end under a request sends an update to the others at
once, without the log and without the leader. If there are few instances, it
sends to each of them directly. Among many, the first end under a request is
only sent to a few replicas, chosen by rendezvous hashing of the request: most
ends are coincidental, and dozens of servers may end at once. From the second
end on, the update goes to all instances over one intermediate hop: the first
member of each group forwards it and replies once it has done so, so that the
sender knows which instances it has to reach itself. Instances that were not
reached are retried until they are.

Instances that missed an update catch up in three more ways. A new process asks
others for what they know. Replies to the leader's relay messages contain a
digest, by which the leader finds instances whose knowledge differs. Refused
requests are also recorded in the log, in case all processes end.
"""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import functools
import math
import random
from typing import NamedTuple

import anyio
import anyio.abc

from bridgecross_core import clock as clocks
from bridgecross_core import codec
from bridgecross_core import hashing
from bridgecross_core import ids
from bridgecross_core import notifier
from bridgecross_entry import cluster_state
from bridgecross_entry import journal as journals
from bridgecross_entry import log as logs
from bridgecross_entry import model
from bridgecross_entry import peers
from bridgecross_entry import tasks as tasks_lib
from bridgecross_request import poison_requests

PATH = b"/poison"
"""The path of updates about requests under which servers ended."""


class PoisonUpdate(NamedTuple):
    """An update that one instance sends to another."""

    ends: tuple[poison_requests.RunEndReport, ...] = ()
    # Answers to the same requests, as far as there were any.
    answers: tuple[poison_requests.AnswerReport, ...] = ()
    # The instances to which the receiver forwards the update.
    forward_to: tuple[model.Address, ...] = ()
    # Whether the reply should contain everything that the receiver knows.
    wants_all: bool = False


class Reply(NamedTuple):
    """The reply to an update."""

    # Instances to which the update should have been forwarded but was not.
    unreached: tuple[model.Address, ...] = ()
    # What the receiver, and those to which it forwarded the update, know about
    # the same requests beyond the update.
    ends: tuple[poison_requests.RunEndReport, ...] = ()
    answers: tuple[poison_requests.AnswerReport, ...] = ()


class RefusalRecord(NamedTuple):
    """The log record of a refused request, for processes started later."""

    # The time as of which the ages hold, in seconds since 1970.
    written_wall_s: float
    ends: tuple[poison_requests.RunEndReport, ...]


_UPDATES = codec.Codec(PoisonUpdate)
_REPLIES = codec.Codec(Reply)
_RECORDS = codec.Codec(RefusalRecord)
_NO_REPLY = Reply()


@dataclasses.dataclass(frozen=True, slots=True)
class PoisonBroadcastSettings:
    """Timing and fan-out of updates."""

    # How long ends are collected before an update is sent: a server that ends
    # usually has several requests.
    gather_s: float = 0.005
    # The pause between two rounds of updates, which bounds their cost when
    # servers end by the dozen.
    round_pause_s: float = 0.03
    # Up to this many other instances receive updates directly, at 1 ms of
    # processor time each.
    direct_max_count: int = 16
    # With more instances, the first end under a request is sent to this many
    # replicas. A later end is combined with it there, unless all replicas are
    # lost in between.
    replicas_count: int = 3
    # An instance that forwards an update reaches its group within a few ms;
    # one that does not reply in this time is gone, frozen or cut off.
    forward_timeout_s: float = 0.08
    direct_timeout_s: float = 0.06
    # The interval and the total time of retries to instances that were not
    # reached; after that time, a terminated instance is no longer listed.
    retry_interval_s: float = 0.1
    retry_for_s: float = 30.0
    # The number of them that are retried at a time. As soon as one is reached,
    # the update goes to all of them.
    retry_max_count: int = 12
    # The number of ends in one update, newest first, at 60 bytes each.
    ends_max_count: int = 64
    # The number of requests in one round; the others follow in the next.
    subjects_max_count: int = 20
    # The number of instances that a new process asks; it repeats this until one
    # has replied.
    initial_peers_count: int = 3
    initial_retry_s: float = 0.05
    # A process that reaches nobody for this long is isolated and asks less
    # often.
    initial_phase_s: float = 5.0
    isolated_retry_s: float = 1.0
    # The least time between exchanges with an instance whose digest differs
    # from the leader's.
    reconcile_interval_s: float = 2.0
    # The interval and the total time of attempts to write a log record.
    record_retry_s: float = 0.5
    record_retry_for_s: float = 60.0


class PoisonBroadcaster:
    """Sends updates about ends to other instances, and receives them."""

    def __init__(
        self,
        settings: PoisonBroadcastSettings,
        ledger: poison_requests.PoisonLedger,
        client: peers.PeerClient,
        addresses: Callable[[], tuple[model.Address, ...]],
        put_record: Callable[[logs.KeyedRecord], Awaitable[bool]],
        journal: journals.Journal,
        clock: clocks.Clock,
    ) -> None:
        """Sends nothing before ``start``.

        Args:
            settings: Timing and fan-out of updates.
            ledger: What this instance knows.
            client: Calls other instances.
            addresses: Returns the addresses of the other instances.
            put_record: Writes a record to the log; returns whether it was
                accepted.
            journal: Records newly refused requests.
            clock: Measures ages.
        """
        # Called with each run that another instance saw end under a request.
        self.on_ended_elsewhere: Callable[[ids.ServerId], None] = lambda _: None
        self._settings = settings
        self._ledger = ledger
        self._client = client
        self._addresses = addresses
        self._put_record = put_record
        self._journal = journal
        self._clock = clock
        self._wake = notifier.Notifier()
        # Requests whose latest state has not been sent yet.
        self._unsent: dict[poison_requests.Fingerprint, None] = {}
        # Instances that were not reached, and until when they are retried.
        self._unreached: dict[model.Address, float] = {}
        # The earliest time of the next exchange with each instance whose digest
        # differed.
        self._next_reconcile_s: dict[model.Address, float] = {}
        # When each record in the log was written, by its key.
        self._recorded_wall_s: dict[str, float] = {}
        # The newest record of each key that is being written.
        self._unwritten: dict[str, logs.KeyedRecord] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts sending updates, and asks others for what they know."""
        self._tasks = tasks
        for work in (
            self._send_scheduled,
            self._retry_unreached,
            self._fetch_initial,
        ):
            tasks.start_soon(tasks_lib.keep_running, work, self._journal)

    def _start_task(self, work: Callable[[], Awaitable[None]]) -> None:
        """Starts a task whose failure does not affect others."""
        if self._tasks is not None:
            self._tasks.start_soon(tasks_lib.run_once, work, self._journal)

    # Local events.

    def report_ends(self, ends: list[poison_requests.RunEnd]) -> None:
        """Reports runs that ended under requests to the other instances."""
        for subject in {end.subject for end in ends}:
            self._schedule_update(subject)
            if self._ledger.refused_for_s(subject):
                self._log_refusal(subject)
                self._record_refusal(subject)

    def report_answer(self, subject: poison_requests.Fingerprint) -> None:
        """Reports to the other instances that a suspect was answered."""
        self._schedule_update(subject)
        key = cluster_state.REFUSED_PREFIX + subject.hex()
        if key in self._recorded_wall_s:
            self._journal.decision("poison_cleared", subject=subject.hex())
            self._schedule_write(logs.KeyedRecord(key, b""))

    def _schedule_update(self, subject: poison_requests.Fingerprint) -> None:
        """Includes a request in the next round of updates."""
        self._unsent[subject] = None
        if len(self._unsent) > self._ledger.settings.subjects_max_count:
            del self._unsent[next(iter(self._unsent))]
        self._wake.notify()

    def _log_refusal(self, subject: poison_requests.Fingerprint) -> None:
        """Logs that a request is refused from now on."""
        ends = self._ledger.ends_of(subject)
        self._journal.lifecycle(
            "poison_refused",
            subject=subject.hex(),
            servers=[end.server for end in ends],
            refused_for_s=round(self._ledger.refused_for_s(subject), 1),
        )

    def _record_refusal(self, subject: poison_requests.Fingerprint) -> None:
        """Records in the platform's log that a request is refused."""
        report = self._ledger.build_report(
            [subject], self._settings.ends_max_count
        )
        record = RefusalRecord(self._clock.wall_s(), report.ends)
        key = cluster_state.REFUSED_PREFIX + subject.hex()
        self._recorded_wall_s[key] = record.written_wall_s
        self._schedule_write(logs.KeyedRecord(key, _RECORDS.encode(record)))

    # Sending updates.

    async def _send_scheduled(self) -> None:
        """Sends scheduled updates, round by round."""
        settings = self._settings
        while True:
            if not self._unsent:
                await self._wake.wait(60.0)
                continue
            await anyio.sleep(settings.gather_s)
            subjects = list(self._unsent)[: settings.subjects_max_count]
            for subject in subjects:
                del self._unsent[subject]
            self._start_task(
                functools.partial(
                    self._send_subjects, subjects, self._addresses()
                )
            )
            await anyio.sleep(settings.round_pause_s)

    async def _send_subjects(
        self,
        subjects: list[poison_requests.Fingerprint],
        addresses: tuple[model.Address, ...],
    ) -> None:
        """Sends updates on requests to all others; first ends to replicas."""
        first: list[poison_requests.Fingerprint] = []
        if len(addresses) > self._settings.direct_max_count:
            first = [s for s in subjects if len(self._ledger.ends_of(s)) == 1]
        async with anyio.create_task_group() as calls:
            for subject in first:
                calls.start_soon(self._send_to_replicas, subject, addresses)
            later = [each for each in subjects if each not in first]
            if later:
                await self._send_to_all(later, addresses)

    async def _send_to_replicas(
        self,
        subject: poison_requests.Fingerprint,
        addresses: tuple[model.Address, ...],
    ) -> None:
        """Sends a first end to its replicas, or to all if none is reached.

        If a replica knows of another end, an update to all is scheduled when
        its reply is merged.
        """
        by_name = {str(address): address for address in addresses}
        ranked = hashing.rank_by_rendezvous(subject.hex(), by_name)
        replicas = tuple(
            by_name[name] for name in ranked[: self._settings.replicas_count]
        )
        reply = await self._send_to_each(
            self._build_update([subject]), replicas
        )
        self._merge_reply(reply)
        is_replicated = len(reply.unreached) < len(replicas)
        if not is_replicated:
            await self._send_to_all([subject], addresses)

    async def _send_to_all(
        self,
        subjects: list[poison_requests.Fingerprint],
        addresses: tuple[model.Address, ...],
    ) -> None:
        """Sends an update to all others; notes which were not reached."""
        reply = await self._broadcast(self._build_update(subjects), addresses)
        until_s = self._clock.monotonic_s() + self._settings.retry_for_s
        for address in reply.unreached:
            self._unreached[address] = until_s
        if reply.unreached:
            self._wake.notify()
        self._merge_reply(reply)

    def _merge_reply(self, reply: Reply) -> None:
        """Merges a reply, and schedules updates on what was new in it."""
        named = {poison_requests.Fingerprint(end.subject) for end in reply.ends}
        named |= {
            poison_requests.Fingerprint(each.subject) for each in reply.answers
        }
        counted = {subject: self._counted_servers(subject) for subject in named}
        refused = {s for s in named if self._ledger.refused_for_s(s)}
        self._merge(poison_requests.PoisonReport(reply.ends, reply.answers))
        for subject in named:
            if self._counted_servers(subject) != counted[subject]:
                self._schedule_update(subject)
            is_refused = self._ledger.refused_for_s(subject) > 0
            if is_refused and subject not in refused:
                self._record_refusal(subject)
            if subject in refused and not is_refused:
                self.report_answer(subject)

    def _counted_servers(
        self, subject: poison_requests.Fingerprint
    ) -> frozenset[str]:
        """Returns the runs whose ends count against a request."""
        return frozenset(end.server for end in self._ledger.ends_of(subject))

    async def _broadcast(
        self, update: PoisonUpdate, addresses: tuple[model.Address, ...]
    ) -> Reply:
        """Sends an update to others, via forwarding if there are many."""
        replies: list[Reply] = []
        async with anyio.create_task_group() as calls:
            for group in self._divide_into_groups(addresses):
                calls.start_soon(self._send_to_group, update, group, replies)
        return _join_replies(replies)

    def _divide_into_groups(
        self, addresses: tuple[model.Address, ...]
    ) -> list[tuple[model.Address, ...]]:
        """Divides addresses into groups whose first members forward updates."""
        count = len(addresses)
        if count <= self._settings.direct_max_count:
            return [(address,) for address in addresses]
        shuffled = random.sample(addresses, count)
        group_count = math.ceil(math.sqrt(count))
        return [tuple(shuffled[n::group_count]) for n in range(group_count)]

    async def _send_to_group(
        self,
        update: PoisonUpdate,
        group: tuple[model.Address, ...],
        replies: list[Reply],
    ) -> None:
        """Sends via a group's first member, or directly where that fails."""
        settings = self._settings
        first, rest = group[0], group[1:]
        timeout_s = (
            settings.forward_timeout_s if rest else settings.direct_timeout_s
        )
        reply = await self._send(
            first, update._replace(forward_to=rest), timeout_s
        )
        if reply is None:
            reply = Reply(unreached=group)
        remaining = tuple(each for each in reply.unreached if each != first)
        if not remaining:
            replies.append(reply)
            return
        retried = await self._send_to_each(update, remaining)
        lost_first = () if first not in reply.unreached else (first,)
        replies.append(reply._replace(unreached=lost_first))
        replies.append(retried)

    async def _send_to_each(
        self, update: PoisonUpdate, addresses: tuple[model.Address, ...]
    ) -> Reply:
        """Sends an update directly to each of the addresses."""
        replies: list[Reply] = []

        async def send(address: model.Address) -> None:
            timeout_s = self._settings.direct_timeout_s
            reply = await self._send(address, update, timeout_s)
            replies.append(reply or Reply(unreached=(address,)))

        async with anyio.create_task_group() as calls:
            for address in addresses:
                calls.start_soon(send, address)
        return _join_replies(replies)

    async def _send(
        self, address: model.Address, update: PoisonUpdate, timeout_s: float
    ) -> Reply | None:
        """Sends an update to one instance; None without a usable reply."""
        body = await self._client.post_urgent(
            address, PATH, _UPDATES.encode(update), timeout_s
        )
        if body is None:
            return None
        try:
            reply = _REPLIES.decode(body)
            poison_requests.validate_report(
                poison_requests.PoisonReport(reply.ends, reply.answers)
            )
        except (codec.CodecError, poison_requests.InvalidReportError) as error:
            self._journal.decision(
                "peer_message_unreadable",
                path=PATH.decode(),
                address=str(address),
                reason=str(error),
            )
            return None
        self._unreached.pop(address, None)
        return reply

    # Reaching instances that missed updates.

    async def _retry_unreached(self) -> None:
        """Periodically retries instances that were not reached."""
        while True:
            if not self._unreached:
                await self._wake.wait(60.0)
            await anyio.sleep(self._settings.retry_interval_s)
            now_s = self._clock.monotonic_s()
            present = set(self._addresses())
            for address, until_s in list(self._unreached.items()):
                if until_s < now_s or address not in present:
                    del self._unreached[address]
            if self._unreached:
                await self._retry_some()

    async def _retry_some(self) -> None:
        """Retries some unreached instances, then all once one is reached."""
        update = self._build_full_update()
        count = min(len(self._unreached), self._settings.retry_max_count)
        chosen = tuple(random.sample(sorted(self._unreached), count))
        reply = await self._send_to_each(update, chosen)
        self._merge_reply(reply)
        if self._unreached and len(reply.unreached) < len(chosen):
            unreached = tuple(sorted(self._unreached))
            broadcast_reply = await self._broadcast(update, unreached)
            for address in set(unreached) - set(broadcast_reply.unreached):
                self._unreached.pop(address, None)
            self._merge_reply(broadcast_reply)

    async def _fetch_initial(self) -> None:
        """Asks others for what they know, after this process has started."""
        settings = self._settings
        initial_until_s = self._clock.monotonic_s() + settings.initial_phase_s
        while True:
            addresses = self._addresses()
            count = min(len(addresses), settings.initial_peers_count)
            chosen = tuple(random.sample(addresses, count))
            reply = await self._send_to_each(
                PoisonUpdate(wants_all=True), chosen
            )
            self._merge(poison_requests.PoisonReport(reply.ends, reply.answers))
            if len(reply.unreached) < count:
                return
            in_initial_phase = self._clock.monotonic_s() < initial_until_s
            await anyio.sleep(
                settings.initial_retry_s
                if in_initial_phase
                else settings.isolated_retry_s
            )

    @property
    def digest(self) -> int:
        """A digest of the counted ends; 0 if there are none.

        It omits first ends, which most instances do not know.
        """
        digest = 0
        for subject in self._ledger.list_suspects():
            servers = self._counted_servers(subject)
            if len(servers) > 1:
                for server in servers:
                    digest ^= hashing.hash_key(f"{subject.hex()} {server}")
        return digest

    def reconcile(self, address: model.Address, digest: int) -> None:
        """Exchanges all known ends with an instance whose digest differs."""
        now_s = self._clock.monotonic_s()
        if digest == self.digest:
            return
        if now_s < self._next_reconcile_s.get(address, -math.inf):
            return
        self._next_reconcile_s[address] = (
            now_s + self._settings.reconcile_interval_s
        )
        self._start_task(functools.partial(self._exchange_all, address))

    async def _exchange_all(self, address: model.Address) -> None:
        """Sends all known ends to one instance and merges what it knows."""
        update = self._build_full_update()._replace(wants_all=True)
        reply = await self._send(
            address, update, self._settings.forward_timeout_s
        )
        if reply is not None:
            self._merge_reply(reply)

    # Receiving updates.

    async def answer(self, body: bytes) -> bytes:
        """Processes another instance's update; returns the encoded reply.

        Raises:
            codec.CodecError: It cannot be read.
        """
        update = _UPDATES.decode(body)
        report = poison_requests.PoisonReport(update.ends, update.answers)
        poison_requests.validate_report(report)
        known = (
            self._build_full_update()
            if update.wants_all
            else self._build_missing(update)
        )
        self._merge(report)
        forwarded = _NO_REPLY
        if update.forward_to:
            # Forward only to known instances: a message from anyone who can
            # reach this address must not make it call arbitrary ones.
            present = set(self._addresses())
            known_addresses = tuple(
                a for a in update.forward_to if a in present
            )
            forwarded = await self._send_to_each(
                update._replace(forward_to=()), known_addresses
            )
            missing = tuple(a for a in update.forward_to if a not in present)
            unreached = forwarded.unreached + missing
            forwarded = forwarded._replace(unreached=unreached)
        return _REPLIES.encode(
            _join_replies([forwarded, Reply((), known.ends, known.answers)])
        )

    def load_record(self, key: str, value: bytes) -> None:
        """Merges a record of the log, whose key begins with the prefix.

        Raises:
            codec.CodecError: It cannot be read.
        """
        if not value:
            self._recorded_wall_s.pop(key, None)
            return
        record = _RECORDS.decode(value)
        poison_requests.validate_report(
            poison_requests.PoisonReport(record.ends)
        )
        self._recorded_wall_s[key] = record.written_wall_s
        # Host clocks differ, so the age of a record is at least zero.
        passed_s = max(self._clock.wall_s() - record.written_wall_s, 0.0)
        ends = [
            end._replace(
                sent_ago_s=end.sent_ago_s + passed_s,
                ended_ago_s=end.ended_ago_s + passed_s,
            )
            for end in record.ends
        ]
        self._merge(poison_requests.PoisonReport(tuple(ends)))

    async def remove_old_records(self) -> None:
        """Removes records from the log whose ends no longer count."""
        oldest_s = self._clock.wall_s() - self._ledger.settings.retention_s
        for key, written_s in list(self._recorded_wall_s.items()):
            if written_s < oldest_s and key not in self._unwritten:
                await self._remove_record(key)

    async def _remove_record(self, key: str) -> None:
        """Tries once to remove a record, unless a later one replaces it."""
        removal = logs.KeyedRecord(key, b"")
        self._unwritten[key] = removal
        try:
            is_written = await self._put_record(removal)
        finally:
            newest = self._unwritten.pop(key)
        if newest is not removal:
            self._schedule_write(newest)
        elif is_written:
            self._recorded_wall_s.pop(key, None)

    def _merge(self, report: poison_requests.PoisonReport) -> None:
        """Merges what another instance knows."""
        for subject in self._ledger.merge_report(report):
            self._log_refusal(subject)
        for server in {end.server for end in report.ends}:
            self.on_ended_elsewhere(ids.ServerId(server))

    def _build_full_update(self) -> PoisonUpdate:
        """Returns an update with all known ends, or the newest of them."""
        return self._build_update(self._ledger.list_suspects())

    def _build_missing(self, update: PoisonUpdate) -> PoisonUpdate:
        """Returns what an update lacks on the requests that it names."""
        named = {
            poison_requests.Fingerprint(end.subject) for end in update.ends
        }
        received = {(end.subject, end.server) for end in update.ends}
        known = self._build_update(named)
        more = tuple(
            end
            for end in known.ends
            if (end.subject, end.server) not in received
        )
        return known._replace(ends=more)

    def _build_update(
        self, subjects: Iterable[poison_requests.Fingerprint]
    ) -> PoisonUpdate:
        """Returns an update on some requests."""
        return PoisonUpdate(
            *self._ledger.build_report(subjects, self._settings.ends_max_count)
        )

    # The log.

    def _schedule_write(self, record: logs.KeyedRecord) -> None:
        """Starts writing a record to the log.

        The records of a key are written one after the other, and only the
        newest of those that wait, so that it is also the last one in the log.
        """
        if self._tasks is None:
            return
        is_writing = record.key in self._unwritten
        self._unwritten[record.key] = record
        if not is_writing:
            self._start_task(functools.partial(self._write, record.key))

    async def _write(self, key: str) -> None:
        """Writes the newest record of a key, with retries for a limited time.

        The time starts anew with each record.
        """
        try:
            written = None
            while written is not self._unwritten[key]:
                written = self._unwritten[key]
                await self._write_until_replaced(written)
        finally:
            del self._unwritten[key]

    async def _write_until_replaced(self, record: logs.KeyedRecord) -> None:
        """Tries to write a record until a later one replaces it."""
        settings = self._settings
        until_s = self._clock.monotonic_s() + settings.record_retry_for_s
        while not await self._put_record(record):
            if self._unwritten[record.key] is not record:
                return
            if self._clock.monotonic_s() > until_s:
                self._journal.decision("poison_not_recorded", key=record.key)
                return
            await anyio.sleep(settings.record_retry_s)


def _join_replies(replies: Iterable[Reply]) -> Reply:
    """Combines several replies into one."""
    replies = list(replies)
    return Reply(
        tuple(each for reply in replies for each in reply.unreached),
        tuple(end for reply in replies for end in reply.ends),
        tuple(answer for reply in replies for answer in reply.answers),
    )
