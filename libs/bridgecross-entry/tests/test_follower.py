"""How a topic is read: in what pieces, and how old what is known counts as."""

import anyio
import entry_fakes as fakes
import entry_support as support
import pytest

from bridgecross_core import clock
from bridgecross_entry import follower
from bridgecross_entry import log

pytestmark = pytest.mark.anyio

TOPIC = "topic"


class WeakLink(fakes.MemoryLog):
    """A log whose answers come too late if they hold many records."""

    MAX_COUNT = 10

    async def read(self, topic, offset, wait_ms):
        result = await super().read(topic, offset, wait_ms)
        if isinstance(result, log.Batch) and len(result.records) > (
            self.MAX_COUNT
        ):
            return log.Unreachable("no answer in time")
        return result


class Known:
    """A follower, and what it handed over."""

    def __init__(
        self, platform_log, clock_=None, wait_ms=0.0, **settings: float
    ) -> None:
        real = clock_ or clock.SystemClock()
        self.values: dict[str, bytes] = {}
        self.follower = follower.Follower(
            follower.FollowSettings(
                TOPIC, wait_ms, 0.01, retry_pause_s=0.01, **settings
            ),
            platform_log,
            self._take_all,
            self._take,
            support.make_journal(real),
            real,
        )

    def _take_all(self, records) -> None:
        self.values = {record.key: record.value for record in records}

    def _take(self, records) -> None:
        self.values |= {record.key: record.value for record in records}


async def test_a_backlog_that_is_too_long_for_one_answer_is_caught_up_with():
    platform_log = WeakLink()
    platform_log.records[TOPIC] = [log.KeyedRecord("config", b"0")]
    known = Known(platform_log)
    await known.follower.catch_up()
    for version in range(1, 50):
        record = log.KeyedRecord("config", b"%d" % version)
        platform_log.records[TOPIC].append(record)
    for _ in range(4):
        await known.follower.catch_up()
    assert known.values == {"config": b"49"}
    assert not known.follower.is_lost


class InPieces(fakes.MemoryLog):
    """A log whose answers hold one record each."""

    async def read(self, topic, offset, wait_ms):
        result = await super().read(topic, offset, wait_ms)
        if not result.records:
            return result
        return log.Batch(result.records[:1], offset + 1, result.end)


async def test_what_was_read_in_part_does_not_count_as_known():
    manual = support.ManualClock()
    platform_log = InPieces()
    known = Known(platform_log, manual)
    await known.follower.catch_up()
    for number in range(3):
        record = log.KeyedRecord("a", b"%d" % number)
        platform_log.records[TOPIC].append(record)
    manual.now_s += 5
    ages_s = []
    for _ in range(3):
        await known.follower.catch_up()
        ages_s.append(known.follower.age_s)
    assert ages_s == [5, 5, 0]
    assert known.values == {"a": b"2"}


class SlowLog(fakes.MemoryLog):
    """A log whose answers take a while by a manual clock."""

    def __init__(self, manual: support.ManualClock) -> None:
        super().__init__()
        self._manual = manual
        self.takes_s = 0.0

    async def read(self, topic, offset, wait_ms):
        result = await super().read(topic, offset, wait_ms)
        self._manual.now_s += self.takes_s
        return result


@pytest.mark.parametrize(
    ("wait_ms", "has_record", "age_s"),
    [
        pytest.param(0.0, False, 0.3, id="asked at once"),
        pytest.param(200.0, False, 0.1, id="waited in vain"),
        pytest.param(200.0, True, 0.3, id="came while it waited"),
    ],
)
async def test_what_is_known_is_as_old_as_the_question(
    wait_ms, has_record, age_s
):
    manual = support.ManualClock()
    platform_log = SlowLog(manual)
    known = Known(platform_log, manual, wait_ms)
    await known.follower.catch_up()
    manual.now_s += 5
    if has_record:
        platform_log.records[TOPIC].append(log.KeyedRecord("a", b"1"))
    platform_log.takes_s = 0.3
    await known.follower._step(wait_ms)
    assert known.follower.age_s == pytest.approx(age_s)


async def test_a_read_that_ends_late_takes_back_nothing_that_was_told():
    platform_log = fakes.MemoryLog()
    platform_log.records[TOPIC] = [log.KeyedRecord("a", b"1")]
    known = Known(platform_log)
    await known.follower.catch_up()
    platform_log.records[TOPIC].append(log.KeyedRecord("a", b"2"))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(known.follower.catch_up)
        # The read is under way when the next two records are told.
        told = (log.KeyedRecord("a", b"4"),)
        known.follower.apply_relayed(
            follower.TopicBatch(TOPIC, 1, 4, 4, told, 0.0, is_lost=False)
        )
    assert known.values == {"a": b"4"}
    assert known.follower.next_offset == 4


async def test_an_empty_answer_that_comes_early_is_not_of_the_future():
    known = Known(fakes.MemoryLog(), support.ManualClock(), 900.0)
    await known.follower.catch_up()
    await known.follower._step(900.0)
    assert known.follower.age_s >= 0


class NothingFits(fakes.MemoryLog):
    """A log whose answers to reads hold no record, however short."""

    async def read(self, topic, offset, wait_ms):
        result = await super().read(topic, offset, wait_ms)
        return log.Batch((), offset, result.end)


async def test_a_record_that_fits_into_no_answer_is_read_as_the_newest():
    platform_log = NothingFits()
    platform_log.records[TOPIC].append(log.KeyedRecord("a", b"1"))
    known = Known(platform_log)
    await known.follower.catch_up()
    platform_log.records[TOPIC].append(log.KeyedRecord("a", b"2"))
    for _ in range(2):
        await known.follower.catch_up()
    assert known.values == {"a": b"2"}


@pytest.mark.parametrize(
    ("told_age_s", "is_lost", "waits"),
    [
        pytest.param(0.2, False, True, id="young"),
        pytest.param(1.4, False, False, id="old, though it was told just now"),
        # Each try is a call, and most often the log is away for all.
        pytest.param(1.4, True, True, id="nobody reads it"),
    ],
)
async def test_what_is_old_is_read_here_whoever_speaks(
    told_age_s, is_lost, waits
):
    manual = support.ManualClock()
    known = Known(fakes.MemoryLog(), manual, own_read_age_s=1.3)
    await known.follower.catch_up()
    manual.now_s += 60
    batch = follower.TopicBatch(TOPIC, 0, 0, 0, (), told_age_s, is_lost)
    known.follower.apply_relayed(batch)
    assert known.follower._is_relayed() == waits


async def test_what_is_overdue_is_not_waited_for_in_the_log():
    """A record that is being appended may be missed by a read that waits."""
    waits_ms = []

    class Log(fakes.MemoryLog):
        async def read(self, topic, offset, wait_ms):
            waits_ms.append(wait_ms)
            return await super().read(topic, offset, 0)

    known = Known(Log(), wait_ms=400.0, own_read_age_s=0.05, relay_check_s=0.01)
    await known.follower.catch_up()
    waits_ms.clear()
    batch = follower.TopicBatch(TOPIC, 0, 0, 0, (), 0.0, is_lost=False)
    known.follower.apply_relayed(batch)
    with anyio.move_on_after(0.3):
        await known.follower.run()
    assert waits_ms[0] == 0
