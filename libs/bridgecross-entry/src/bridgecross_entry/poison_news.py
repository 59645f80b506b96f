"""Tells all instances which requests servers ended under.

Whoever sees a server end under a request tells others at once, without the log
and without the leader. Few instances are all told directly. Among many, the
first end under a request is told to some that are chosen by the request: most
ends are chance, and dozens of servers may end at once. From the second end on
all are told, over one hop in between: the first of each group passes the word
on and answers once it has, so that the teller knows whom it has to tell itself.
Who is not reached is tried again until it is.

Three more ways are for those who were not there: a new process asks others; the
answers to the leader's word hold a digest, by which it finds who knows another
thing; and what is refused stands in the log, for the case that all processes
end.
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
"""Where an instance is told of requests that servers ended under."""


class Word(NamedTuple):
    """What one instance tells another."""

    ends: tuple[poison_requests.RunEndReport, ...] = ()
    # Of the same requests, as far as they were answered.
    answers: tuple[poison_requests.AnswerReport, ...] = ()
    # Whom the receiver tells as well.
    pass_on: tuple[model.Address, ...] = ()
    # Whether the answer is to hold all that is known.
    asks_all: bool = False


class Reply(NamedTuple):
    """What the receiver of a word answers."""

    # Those whom it should have told and did not reach.
    unreached: tuple[model.Address, ...] = ()
    # What it and those whom it told know beyond the word, of the same requests.
    ends: tuple[poison_requests.RunEndReport, ...] = ()
    answers: tuple[poison_requests.AnswerReport, ...] = ()


class Refused(NamedTuple):
    """The record of a request that is refused, for later processes."""

    # Ages are as of then, in seconds since 1970.
    written_wall_s: float
    ends: tuple[poison_requests.RunEndReport, ...]


_WORDS = codec.Codec(Word)
_REPLIES = codec.Codec(Reply)
_RECORDS = codec.Codec(Refused)
_NO_REPLY = Reply()


@dataclasses.dataclass(frozen=True, slots=True)
class PoisonNewsSettings:
    """How others are told."""

    # Ends are gathered for so long: a server that ends has several requests.
    gather_s: float = 0.005
    # The pause between two rounds of words, which bounds what is spent on them
    # when servers end by the dozen.
    round_pause_s: float = 0.03
    # Up to so many others are told directly, at 1 ms of processor time each.
    direct_max_count: int = 16
    # Among more, the first end under a request is told to so many; a later one
    # finds it there, unless all of them are lost in between.
    keepers_count: int = 3
    # Who passes a word on has told its group within some ms; who does not
    # answer for so long is gone, frozen or cut off.
    pass_on_timeout_s: float = 0.08
    direct_timeout_s: float = 0.06
    # Those who were not reached are tried again so often, and for so long; by
    # then an instance that is gone is off the list.
    again_interval_s: float = 0.1
    again_for_s: float = 30.0
    # How many of them are tried at a time; as soon as one of them is reached,
    # all are told.
    again_max_count: int = 12
    # Ends in one word, the newest: 60 bytes each.
    ends_max_count: int = 64
    # Requests that one round tells of; the others come with the next.
    subjects_max_count: int = 20
    # A new process asks so many others, and goes on until one has answered.
    asked_first_count: int = 3
    ask_first_pause_s: float = 0.05
    # One that finds nobody for this long is alone, and asks now and then.
    ask_first_for_s: float = 5.0
    ask_alone_pause_s: float = 1.0
    # Who knows another thing than the leader is told at most so often.
    compare_pause_s: float = 2.0
    # How long a record that the log did not take is tried again.
    record_pause_s: float = 0.5
    record_for_s: float = 60.0


class PoisonNews:
    """Tells others of ends, and hears of them."""

    def __init__(
        self,
        settings: PoisonNewsSettings,
        ledger: poison_requests.PoisonLedger,
        client: peers.PeerClient,
        addresses: Callable[[], tuple[model.Address, ...]],
        put_record: Callable[[logs.KeyedRecord], Awaitable[bool]],
        journal: journals.Journal,
        clock: clocks.Clock,
    ) -> None:
        """Has told nobody.

        Args:
            settings: How others are told.
            ledger: What is known here.
            client: Calls other instances.
            addresses: Where the others listen.
            put_record: Writes a record to the log; returns whether it was
                taken.
            journal: Told of requests that are refused from now on.
            clock: For ages.
        """
        # Called with each run that others saw end under a request.
        self.on_seen_ended: Callable[[ids.ServerId], None] = lambda _: None
        self._settings = settings
        self._ledger = ledger
        self._client = client
        self._addresses = addresses
        self._put_record = put_record
        self._journal = journal
        self._clock = clock
        self._news = notifier.Notifier()
        # The requests of which others have not been told yet.
        self._untold: dict[poison_requests.Fingerprint, None] = {}
        # Until when those who were not reached are tried again.
        self._owed: dict[model.Address, float] = {}
        # When one that knew another thing may be told again.
        self._compare_s: dict[model.Address, float] = {}
        # When the records in the log were written, by their keys.
        self._recorded_wall_s: dict[str, float] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Begins to tell others, and asks them what they know."""
        self._tasks = tasks
        for work in (self._tell_news, self._tell_owed, self._ask_first):
            tasks.start_soon(tasks_lib.keep_running, work, self._journal)

    def _begin(self, work: Callable[[], Awaitable[None]]) -> None:
        """Starts a task; a fault in it ends nothing else."""
        if self._tasks is not None:
            self._tasks.start_soon(tasks_lib.run_once, work, self._journal)

    # What happens here.

    def tell_ends(self, ends: list[poison_requests.RunEnd]) -> None:
        """Tells all others of servers that ended under requests."""
        for subject in {end.subject for end in ends}:
            self._tell_soon(subject)
            if self._ledger.refused_for_s(subject):
                self._write_refused(subject)
                self._record(subject)

    def tell_answer(self, subject: poison_requests.Fingerprint) -> None:
        """Tells all others that a request was answered after all."""
        self._tell_soon(subject)
        key = cluster_state.REFUSED_PREFIX + subject.hex()
        if key in self._recorded_wall_s:
            self._journal.decision("poison_cleared", subject=subject.hex())
            self._write_soon(logs.KeyedRecord(key, b""))

    def _tell_soon(self, subject: poison_requests.Fingerprint) -> None:
        """Tells others of a request with the next round."""
        self._untold[subject] = None
        if len(self._untold) > self._ledger.settings.subjects_max_count:
            del self._untold[next(iter(self._untold))]
        self._news.notify()

    def _write_refused(self, subject: poison_requests.Fingerprint) -> None:
        """Writes a line that a request is refused from now on."""
        ends = self._ledger.ends_of(subject)
        self._journal.lifecycle(
            "poison_refused",
            subject=subject.hex(),
            servers=[end.server for end in ends],
            refused_for_s=round(self._ledger.refused_for_s(subject), 1),
        )

    def _record(self, subject: poison_requests.Fingerprint) -> None:
        """Lets the log keep that a request is refused."""
        told = self._ledger.build_report(
            [subject], self._settings.ends_max_count
        )
        record = Refused(self._clock.wall_s(), told.ends)
        key = cluster_state.REFUSED_PREFIX + subject.hex()
        self._recorded_wall_s[key] = record.written_wall_s
        self._write_soon(logs.KeyedRecord(key, _RECORDS.encode(record)))

    # Telling.

    async def _tell_news(self) -> None:
        """Tells others what is new, round by round."""
        settings = self._settings
        while True:
            if not self._untold:
                await self._news.wait(60.0)
                continue
            await anyio.sleep(settings.gather_s)
            told = list(self._untold)[: settings.subjects_max_count]
            for subject in told:
                del self._untold[subject]
            self._begin(functools.partial(self._tell, told, self._addresses()))
            await anyio.sleep(settings.round_pause_s)

    async def _tell(
        self,
        subjects: list[poison_requests.Fingerprint],
        addresses: tuple[model.Address, ...],
    ) -> None:
        """Tells of some requests: all others, or those who keep first ends."""
        first: list[poison_requests.Fingerprint] = []
        if len(addresses) > self._settings.direct_max_count:
            first = [s for s in subjects if len(self._ledger.ends_of(s)) == 1]
        async with anyio.create_task_group() as calls:
            for subject in first:
                calls.start_soon(self._tell_keepers, subject, addresses)
            later = [each for each in subjects if each not in first]
            if later:
                await self._tell_all(later, addresses)

    async def _tell_keepers(
        self,
        subject: poison_requests.Fingerprint,
        addresses: tuple[model.Address, ...],
    ) -> None:
        """Tells some others of a first end; all, if they know of another."""
        by_name = {str(address): address for address in addresses}
        ranked = hashing.rank_by_rendezvous(subject.hex(), by_name)
        keepers = tuple(
            by_name[name] for name in ranked[: self._settings.keepers_count]
        )
        reply = await self._tell_each(self._say([subject]), keepers)
        self._take_reply(reply)
        is_kept = len(reply.unreached) < len(keepers)
        if not is_kept:
            await self._tell_all([subject], addresses)

    async def _tell_all(
        self,
        subjects: list[poison_requests.Fingerprint],
        addresses: tuple[model.Address, ...],
    ) -> None:
        """Tells all others, and keeps who was not reached."""
        reply = await self._spread(self._say(subjects), addresses)
        until_s = self._clock.monotonic_s() + self._settings.again_for_s
        for address in reply.unreached:
            self._owed[address] = until_s
        if reply.unreached:
            self._news.notify()
        self._take_reply(reply)

    def _take_reply(self, reply: Reply) -> None:
        """Takes in what others answered; what is new, all have to know."""
        named = {poison_requests.Fingerprint(end.subject) for end in reply.ends}
        named |= {
            poison_requests.Fingerprint(each.subject) for each in reply.answers
        }
        counted = {subject: self._what_counts(subject) for subject in named}
        refused = {s for s in named if self._ledger.refused_for_s(s)}
        self._take(poison_requests.PoisonReport(reply.ends, reply.answers))
        for subject in named:
            if self._what_counts(subject) != counted[subject]:
                self._tell_soon(subject)
            is_refused = self._ledger.refused_for_s(subject) > 0
            if is_refused and subject not in refused:
                self._record(subject)
            if subject in refused and not is_refused:
                self.tell_answer(subject)

    def _what_counts(
        self, subject: poison_requests.Fingerprint
    ) -> frozenset[str]:
        """Returns the runs whose end counts against a request."""
        return frozenset(end.server for end in self._ledger.ends_of(subject))

    async def _spread(
        self, word: Word, addresses: tuple[model.Address, ...]
    ) -> Reply:
        """Tells others, over one hop where they are many."""
        replies: list[Reply] = []
        async with anyio.create_task_group() as calls:
            for group in self._divide(addresses):
                calls.start_soon(self._tell_group, word, group, replies)
        return _join(replies)

    def _divide(
        self, addresses: tuple[model.Address, ...]
    ) -> list[tuple[model.Address, ...]]:
        """Divides others into groups, whose first members pass words on."""
        count = len(addresses)
        if count <= self._settings.direct_max_count:
            return [(address,) for address in addresses]
        shuffled = random.sample(addresses, count)
        group_count = math.ceil(math.sqrt(count))
        return [tuple(shuffled[n::group_count]) for n in range(group_count)]

    async def _tell_group(
        self,
        word: Word,
        group: tuple[model.Address, ...],
        replies: list[Reply],
    ) -> None:
        """Tells a group by its first member, and the rest if that fails."""
        settings = self._settings
        first, rest = group[0], group[1:]
        timeout_s = (
            settings.pass_on_timeout_s if rest else settings.direct_timeout_s
        )
        reply = await self._send(first, word._replace(pass_on=rest), timeout_s)
        if reply is None:
            reply = Reply(unreached=group)
        left = tuple(each for each in reply.unreached if each != first)
        if not left:
            replies.append(reply)
            return
        again = await self._tell_each(word, left)
        lost = () if first not in reply.unreached else (first,)
        replies.append(reply._replace(unreached=lost))
        replies.append(again)

    async def _tell_each(
        self, word: Word, addresses: tuple[model.Address, ...]
    ) -> Reply:
        """Tells each of some others directly."""
        replies: list[Reply] = []

        async def tell(address: model.Address) -> None:
            timeout_s = self._settings.direct_timeout_s
            reply = await self._send(address, word, timeout_s)
            replies.append(reply or Reply(unreached=(address,)))

        async with anyio.create_task_group() as calls:
            for address in addresses:
                calls.start_soon(tell, address)
        return _join(replies)

    async def _send(
        self, address: model.Address, word: Word, timeout_s: float
    ) -> Reply | None:
        """Tells one other; None if it gives no usable answer."""
        body = await self._client.ask(
            address, PATH, _WORDS.encode(word), timeout_s
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
        self._owed.pop(address, None)
        return reply

    # Telling those who were not reached, or were not there.

    async def _tell_owed(self) -> None:
        """Tries again those who were not reached."""
        while True:
            if not self._owed:
                await self._news.wait(60.0)
            await anyio.sleep(self._settings.again_interval_s)
            now_s = self._clock.monotonic_s()
            present = set(self._addresses())
            for address, until_s in list(self._owed.items()):
                if until_s < now_s or address not in present:
                    del self._owed[address]
            if self._owed:
                await self._try_owed()

    async def _try_owed(self) -> None:
        """Tries some of those who are owed; all, if one is reached."""
        word = self._say_all()
        count = min(len(self._owed), self._settings.again_max_count)
        tried = tuple(random.sample(sorted(self._owed), count))
        reply = await self._tell_each(word, tried)
        self._take_reply(reply)
        if self._owed and len(reply.unreached) < len(tried):
            owed = tuple(sorted(self._owed))
            found = await self._spread(word, owed)
            for address in set(owed) - set(found.unreached):
                self._owed.pop(address, None)
            self._take_reply(found)

    async def _ask_first(self) -> None:
        """Asks others what they know, when this process is new."""
        settings = self._settings
        quick_until_s = self._clock.monotonic_s() + settings.ask_first_for_s
        while True:
            addresses = self._addresses()
            count = min(len(addresses), settings.asked_first_count)
            asked = tuple(random.sample(addresses, count))
            reply = await self._tell_each(Word(asks_all=True), asked)
            self._take(poison_requests.PoisonReport(reply.ends, reply.answers))
            if len(reply.unreached) < count:
                return
            is_quick = self._clock.monotonic_s() < quick_until_s
            await anyio.sleep(
                settings.ask_first_pause_s
                if is_quick
                else settings.ask_alone_pause_s
            )

    @property
    def digest(self) -> int:
        """Sums up what counts here; 0 if nothing does.

        Without first ends, which most instances do not know.
        """
        digest = 0
        for subject in self._ledger.list_suspects():
            servers = self._what_counts(subject)
            if len(servers) > 1:
                for server in servers:
                    digest ^= hashing.hash_key(f"{subject.hex()} {server}")
        return digest

    def compare(self, address: model.Address, digest: int) -> None:
        """Tells one that knows another thing, and asks what that is."""
        now_s = self._clock.monotonic_s()
        if digest == self.digest:
            return
        if now_s < self._compare_s.get(address, -math.inf):
            return
        self._compare_s[address] = now_s + self._settings.compare_pause_s
        self._begin(functools.partial(self._exchange_all, address))

    async def _exchange_all(self, address: model.Address) -> None:
        """Tells one other all that is known, and takes what it knows."""
        word = self._say_all()._replace(asks_all=True)
        reply = await self._send(
            address, word, self._settings.pass_on_timeout_s
        )
        if reply is not None:
            self._take_reply(reply)

    # Hearing.

    async def answer(self, body: bytes) -> bytes:
        """Takes another instance's word; returns the answer.

        Raises:
            codec.CodecError: It cannot be read.
        """
        word = _WORDS.decode(body)
        told = poison_requests.PoisonReport(word.ends, word.answers)
        poison_requests.validate_report(told)
        known = self._say_all() if word.asks_all else self._say_more(word)
        self._take(told)
        passed_on = _NO_REPLY
        if word.pass_on:
            # Only to those who are known here: nobody is to be called on the
            # word of whoever can reach this address.
            present = set(self._addresses())
            known_here = tuple(a for a in word.pass_on if a in present)
            passed_on = await self._tell_each(
                word._replace(pass_on=()), known_here
            )
            missing = tuple(a for a in word.pass_on if a not in present)
            unreached = passed_on.unreached + missing
            passed_on = passed_on._replace(unreached=unreached)
        return _REPLIES.encode(
            _join([passed_on, Reply((), known.ends, known.answers)])
        )

    def take_record(self, key: str, value: bytes) -> None:
        """Takes in a record of the log; its key begins with the prefix.

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
        # Clocks of hosts differ; nothing is younger than its record.
        passed_s = max(self._clock.wall_s() - record.written_wall_s, 0.0)
        ends = [
            end._replace(
                sent_ago_s=end.sent_ago_s + passed_s,
                ended_ago_s=end.ended_ago_s + passed_s,
            )
            for end in record.ends
        ]
        self._take(poison_requests.PoisonReport(tuple(ends)))

    async def drop_old_records(self) -> None:
        """Takes records out of the log that say nothing any more."""
        oldest_s = self._clock.wall_s() - self._ledger.settings.retention_s
        for key, written_s in list(self._recorded_wall_s.items()):
            is_old = written_s < oldest_s
            if is_old and await self._put_record(logs.KeyedRecord(key, b"")):
                self._recorded_wall_s.pop(key, None)

    def _take(self, told: poison_requests.PoisonReport) -> None:
        """Takes in what others know."""
        for subject in self._ledger.merge_report(told):
            self._write_refused(subject)
        for server in {end.server for end in told.ends}:
            self.on_seen_ended(ids.ServerId(server))

    def _say_all(self) -> Word:
        """Returns all that is known, or the newest of it."""
        return self._say(self._ledger.list_suspects())

    def _say_more(self, word: Word) -> Word:
        """Returns what is known of the requests that a word names."""
        named = {poison_requests.Fingerprint(end.subject) for end in word.ends}
        told = {(end.subject, end.server) for end in word.ends}
        known = self._say(named)
        more = tuple(
            end for end in known.ends if (end.subject, end.server) not in told
        )
        return known._replace(ends=more)

    def _say(self, subjects: Iterable[poison_requests.Fingerprint]) -> Word:
        """Returns what is known of some requests."""
        return Word(
            *self._ledger.build_report(subjects, self._settings.ends_max_count)
        )

    # The log.

    def _write_soon(self, record: logs.KeyedRecord) -> None:
        """Writes a record, as soon as the log takes it."""
        self._begin(functools.partial(self._write, record))

    async def _write(self, record: logs.KeyedRecord) -> None:
        """Writes a record, trying again for a while."""
        settings = self._settings
        until_s = self._clock.monotonic_s() + settings.record_for_s
        while not await self._put_record(record):
            if self._clock.monotonic_s() > until_s:
                self._journal.decision("poison_not_recorded", key=record.key)
                return
            await anyio.sleep(settings.record_pause_s)


def _join(replies: Iterable[Reply]) -> Reply:
    """Returns several answers as one."""
    replies = list(replies)
    return Reply(
        tuple(each for reply in replies for each in reply.unreached),
        tuple(end for reply in replies for end in reply.ends),
        tuple(answer for reply in replies for answer in reply.answers),
    )
