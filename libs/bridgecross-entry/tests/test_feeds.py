"""What an instance knows always equals the topic up to its offset.

Instances read, relay, miss messages, restart and are rejected by the log in
orders drawn from a seed. After each step, all that each instance knows is
compared with the log.
"""

import random

import anyio
import anyio.lowlevel
import cluster_state_support
import entry_fakes as fakes
import pytest

from bridgecross_entry import feeds
from bridgecross_entry import follower
from bridgecross_entry import log

pytestmark = pytest.mark.anyio

SERVERS = "servers"
CONFIGURATION = "configuration"
SCHEDULES = 150
STEPS = 160
SCHEDULE_TIMEOUT_S = 20


async def _run_all() -> None:
    """Runs every task until it waits for an answer."""
    for _ in range(20):
        await anyio.lowlevel.checkpoint()


class Schedule:
    """One random schedule."""

    def __init__(self, seed: int, tasks) -> None:
        self._random = random.Random(seed)
        self._tasks = tasks
        self.shared = fakes.MemoryLog()
        self._version = 1
        self.states = 0
        self.shared.records[CONFIGURATION].append(
            log.KeyedRecord("config", b"1")
        )
        self.logs = [fakes.PartialLog(self.shared) for _ in range(4)]
        self.readers = [
            cluster_state_support.Reader(each) for each in self.logs
        ]
        self.relays = [
            cluster_state_support.Relay(each) for each in self.readers
        ]
        # Batches in transit, with their receivers.
        self.in_transit: list[tuple] = []
        self.steps = [
            *[self._put_server] * 8,
            *[self._put_configuration] * 2,
            *[self._read] * 4,
            *[self._begin_read] * 2,
            *[self._let_go] * 3,
            *[self._send] * 9,
            *[self._lose] * 3,
            self._delay,
            *[self._deliver] * 2,
            *[self._forget] * 4,
            self._start_anew,
            self._turn_away,
        ]

    async def step(self) -> None:
        await self._random.choice(self.steps)()
        await _run_all()
        for reader in self.readers:
            self.check(reader)
        self.states += 1

    def check(self, reader) -> None:
        known = dict(reader.state.offsets())
        if known[SERVERS] is not None:
            newest = {
                record.key: record.value.decode().split()
                for record in self.shared.records[SERVERS][: known[SERVERS]]
            }
            listed = reader.state._list.listed
            assert listed.keys() == {k for k, words in newest.items() if words}
            for key, server in listed.items():
                assert server.leaving == ("leaving" in newest[key])
        if known[CONFIGURATION] is not None:
            records = self.shared.records[CONFIGURATION]
            versions = [int(r.value) for r in records[: known[CONFIGURATION]]]
            assert reader.versions[-1:] == versions[-1:]

    def _pick(self) -> int:
        return self._random.randrange(len(self.readers))

    async def _put_server(self):
        name = self._random.choice("abcdef")
        value = self._random.choice(
            [b"rapor", b"rapor leaving", b"rapor 900", b""]
        )
        self.shared.records[SERVERS].append(log.KeyedRecord(name, value))

    async def _put_configuration(self):
        self._version += self._random.randrange(1, 4)
        self.shared.records[CONFIGURATION].append(
            log.KeyedRecord("config", b"%d" % self._version)
        )

    async def _read(self):
        index = self._pick()
        self.logs[index].holds_answers = False
        await self.readers[index].read()

    async def _begin_read(self):
        index = self._pick()
        self.logs[index].holds_answers = True
        feed = self._random.choice(self.readers[index].state._feeds)
        self._tasks.start_soon(feed.follower.catch_up)

    async def _let_go(self):
        held = self.logs[self._pick()].held_answers
        if held:
            held.pop(self._random.randrange(len(held))).set()

    def _pair(self):
        return self._random.sample(range(len(self.readers)), 2)

    async def _send(self):
        sender, other = self._pair()
        self.relays[sender].send(self.readers[other])

    async def _lose(self):
        sender, other = self._pair()
        self.relays[sender].lose(self.readers[other])

    async def _delay(self):
        sender, other = self._pair()
        reader, receiver = self.readers[sender], self.readers[other]
        known = receiver.state.offsets()
        self.in_transit.append((receiver, reader.state.changes_since(known)))

    async def _deliver(self):
        if self.in_transit:
            index = self._random.randrange(len(self.in_transit))
            receiver, batches = self.in_transit.pop(index)
            receiver.state.apply_relayed(batches)

    async def _forget(self):
        self.shared.forget(self._random.choice((SERVERS, CONFIGURATION)))

    async def _start_anew(self):
        index = self._pick()
        self.logs[index].release_all()
        self.logs[index] = fakes.PartialLog(self.shared)
        self.readers[index] = cluster_state_support.Reader(self.logs[index])
        self.relays[index] = cluster_state_support.Relay(self.readers[index])

    async def _turn_away(self):
        away = self._random.choice(
            ((), (SERVERS,), (CONFIGURATION,), (SERVERS, CONFIGURATION))
        )
        self.logs[self._pick()].unavailable_topics = set(away)

    async def settle(self) -> None:
        """Lets one instance read and relay; the others read nothing."""
        for each in self.logs:
            each.release_all()
        await _run_all()
        self.logs[0].unavailable_topics = set()
        for _ in range(2):
            await self.readers[0].read()
            self.relays[0].send(*self.readers[1:])
        for reader in self.readers:
            known = dict(reader.state.offsets())
            assert known[SERVERS] == len(self.shared.records[SERVERS])
            assert known[CONFIGURATION] == len(
                self.shared.records[CONFIGURATION]
            )
            self.check(reader)


async def test_what_is_known_equals_the_topic_up_to_the_offset():
    states = 0
    for seed in range(SCHEDULES):
        with anyio.fail_after(SCHEDULE_TIMEOUT_S):
            async with anyio.create_task_group() as tasks:
                schedule = Schedule(seed, tasks)
                for _ in range(STEPS):
                    await schedule.step()
                states += schedule.states
                await schedule.settle()
    assert states == SCHEDULES * STEPS


class Follower:
    """A follower whose offset the test sets."""

    next_offset = 0
    age_s = 0.0
    is_lost = False


class Known:
    """A feed whose follower reads nothing."""

    def __init__(self) -> None:
        self.feed = feeds.Feed("topic")
        self.feed.follower = Follower()

    def put(self, key: str, value: bytes) -> None:
        self.feed.follower.next_offset += 1
        self.feed.put([log.KeyedRecord(key, value)])

    def since(self, offset) -> follower.TopicBatch:
        return self.feed.since(offset)


def test_the_number_of_removed_keys_is_bounded():
    known = Known()
    known.feed.put_all([])
    for number in range(1_500):
        known.put(f"key-{number}", b"value")
        known.put(f"key-{number}", b"")
    assert len(known.feed._entries) <= 1_000
    late = known.since(2_990)
    assert (late.first_offset, len(late.records)) == (2_990, 5)
    early = known.since(10)
    assert (early.first_offset, early.records) == (None, ())


def test_an_instance_within_a_skipped_range_is_sent_everything():
    known = Known()
    known.feed.follower.next_offset = 10
    known.feed.put_all([log.KeyedRecord("a", b"1")])
    known.feed.follower.next_offset = 20
    known.feed.put_all([log.KeyedRecord("a", b"1"), log.KeyedRecord("b", b"2")])
    delta = known.since(10)
    assert [r.key for r in delta.records] == ["b"]
    assert (delta.first_offset, delta.last_offset) == (10, 10)
    between = known.since(15)
    assert between.first_offset is None
    assert [r.key for r in between.records] == ["a", "b"]
    assert known.since(20).records == ()
