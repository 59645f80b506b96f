"""Reading of a topic in parts, and the age of what is known."""

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
    """A log whose answers are lost if they hold many records."""

    MAX_COUNT = 10

    async def read(self, topic, offset, wait_ms):
        result = await super().read(topic, offset, wait_ms)
        if isinstance(result, log.Batch) and len(result.records) > (
            self.MAX_COUNT
        ):
            return log.Unreachable("no answer in time")
        return result


class Known:
    """A follower, and the records that it passed on."""

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
            self._apply_all,
            self._apply_changes,
            support.make_journal(real),
            real,
        )

    def _apply_all(self, records) -> None:
        self.values = {record.key: record.value for record in records}

    def _apply_changes(self, records) -> None:
        self.values |= {record.key: record.value for record in records}


async def test_a_backlog_too_long_for_one_answer_is_read():
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
    """A log whose answers hold at most one record."""

    async def read(self, topic, offset, wait_ms):
        result = await super().read(topic, offset, wait_ms)
        if not result.records:
            return result
        return log.Batch(result.records[:1], offset + 1, result.end)


async def test_a_partial_read_does_not_reset_the_age():
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
    """A log whose answers take some time on a manual clock."""

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
async def test_the_age_counts_from_the_request(wait_ms, has_record, age_s):
    manual = support.ManualClock()
    platform_log = SlowLog(manual)
    known = Known(platform_log, manual, wait_ms)
    await known.follower.catch_up()
    manual.now_s += 5
    if has_record:
        platform_log.records[TOPIC].append(log.KeyedRecord("a", b"1"))
    platform_log.takes_s = 0.3
    await known.follower._read_once(wait_ms)
    assert known.follower.age_s == pytest.approx(age_s)


async def test_a_late_read_does_not_undo_relayed_changes():
    platform_log = fakes.MemoryLog()
    platform_log.records[TOPIC] = [log.KeyedRecord("a", b"1")]
    known = Known(platform_log)
    await known.follower.catch_up()
    platform_log.records[TOPIC].append(log.KeyedRecord("a", b"2"))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(known.follower.catch_up)
        # The read is in progress when the next two records are relayed.
        relayed = (log.KeyedRecord("a", b"4"),)
        known.follower.apply_relayed(
            follower.TopicBatch(TOPIC, 1, 4, 4, relayed, 0.0, is_lost=False)
        )
    assert known.values == {"a": b"4"}
    assert known.follower.next_offset == 4


# Guards against a leader that waits for a relay after its slow first read.
async def test_an_instance_that_leads_reads_on_after_its_first_read():
    platform_log = fakes.MemoryLog()
    platform_log.may_answer_newest = anyio.Event()
    known = Known(platform_log, support.ManualClock())
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(known.follower.catch_up)
        await anyio.wait_all_tasks_blocked()
        known.follower.stop_awaiting_relay()
        platform_log.may_answer_newest.set()
    assert known.follower.next_offset == 0
    assert not known.follower._is_relayed()


async def test_a_follower_awaits_the_relay_after_its_first_read():
    known = Known(fakes.MemoryLog(), support.ManualClock())
    await known.follower.catch_up()
    assert known.follower._is_relayed()


async def test_an_early_empty_answer_gives_no_negative_age():
    known = Known(fakes.MemoryLog(), support.ManualClock(), 900.0)
    await known.follower.catch_up()
    await known.follower._read_once(900.0)
    assert known.follower.age_s >= 0


class NothingFits(fakes.MemoryLog):
    """A log in which no record fits into an answer to a read."""

    async def read(self, topic, offset, wait_ms):
        result = await super().read(topic, offset, wait_ms)
        return log.Batch((), offset, result.end)


async def test_a_record_too_long_for_an_answer_is_read_as_the_newest():
    platform_log = NothingFits()
    platform_log.records[TOPIC].append(log.KeyedRecord("a", b"1"))
    known = Known(platform_log)
    await known.follower.catch_up()
    platform_log.records[TOPIC].append(log.KeyedRecord("a", b"2"))
    for _ in range(2):
        await known.follower.catch_up()
    assert known.values == {"a": b"2"}


@pytest.mark.parametrize(
    ("relayed_age_s", "is_lost", "waits"),
    [
        pytest.param(0.2, False, True, id="young"),
        pytest.param(1.4, False, False, id="old, though it was just relayed"),
        # Each attempt costs a call, and most often no instance can reach the
        # log.
        pytest.param(1.4, True, True, id="no instance reads it"),
    ],
)
async def test_an_old_topic_is_read_although_it_is_relayed(
    relayed_age_s, is_lost, waits
):
    manual = support.ManualClock()
    known = Known(fakes.MemoryLog(), manual, own_read_age_s=1.3)
    await known.follower.catch_up()
    manual.now_s += 60
    batch = follower.TopicBatch(TOPIC, 0, 0, 0, (), relayed_age_s, is_lost)
    known.follower.apply_relayed(batch)
    assert known.follower._is_relayed() == waits


async def test_an_overdue_read_does_not_block_in_the_log():
    """A read that blocks may miss a record that is being appended."""
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
