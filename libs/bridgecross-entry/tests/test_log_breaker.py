import entry_fakes as fakes
import entry_support as support
import pytest

from bridgecross_entry import log
from bridgecross_entry import log_breaker

pytestmark = pytest.mark.anyio

SETTINGS = log_breaker.BreakerSettings(first_pause_s=0.3, longest_pause_s=1.2)
RECORD = log.KeyedRecord("a", b"b")


class CountingLog(fakes.MemoryLog):
    """Counts the calls that reach it."""

    def __init__(self) -> None:
        super().__init__()
        self.calls = 0

    async def read_newest(self, topic):
        self.calls += 1
        return await super().read_newest(topic)

    async def append(self, topic, record, expected_end, may_send):
        self.calls += 1
        return await super().append(topic, record, expected_end, may_send)

    async def put(self, topic, record):
        self.calls += 1
        return await super().put(topic, record)


@pytest.fixture
def clock():
    return support.ManualClock()


@pytest.fixture
def inner_log():
    return CountingLog()


@pytest.fixture
def breaker(inner_log, clock):
    journal = support.make_journal(clock)
    return log_breaker.CircuitBreaker(SETTINGS, inner_log, journal, clock)


async def test_one_call_per_pause_tests_whether_the_log_is_available(
    breaker, inner_log, clock
):
    inner_log.unavailable = True
    attempts_s = []
    for _ in range(50):
        before = inner_log.calls
        await breaker.read_newest("topic")
        await breaker.append("topic", RECORD, 0)
        await breaker.put("topic", RECORD)
        if inner_log.calls > before:
            attempts_s.append(round(clock.now_s - 1_000, 1))
            assert inner_log.calls == before + 1
        clock.now_s += 0.1
    assert attempts_s == [0.0, 0.3, 0.9, 2.1, 3.3, 4.5]


async def test_an_answer_closes_the_breaker(breaker, inner_log, clock):
    inner_log.unavailable = True
    await breaker.read_newest("topic")
    inner_log.unavailable = False
    clock.now_s += 0.3
    assert isinstance(await breaker.read_newest("topic"), log.Newest)
    assert isinstance(await breaker.append("topic", RECORD, 0), log.Appended)
    assert await breaker.put("topic", RECORD)


async def test_a_rejected_write_is_reported_as_not_made(breaker, inner_log):
    inner_log.unavailable = True
    await breaker.read_newest("topic")
    inner_log.unavailable = False
    result = await breaker.append("topic", RECORD, 0)
    assert isinstance(result, log.Unreachable)
    assert not await breaker.put("topic", RECORD)
    assert not inner_log.records["topic"]


async def test_a_lost_answer_to_a_write_does_not_open_the_breaker(
    breaker, inner_log
):
    inner_log.lose_answer = True
    result = await breaker.append("topic", RECORD, 0)
    assert isinstance(result, log.Uncertain)
    assert isinstance(await breaker.read_newest("topic"), log.Newest)


async def test_topics_fail_independently(breaker, inner_log):
    inner_log.unavailable_topics = {"topic"}
    assert isinstance(await breaker.read_newest("topic"), log.Unreachable)
    assert isinstance(await breaker.read_newest("other"), log.Newest)
    calls = inner_log.calls
    assert isinstance(await breaker.read_newest("topic"), log.Unreachable)
    assert inner_log.calls == calls


async def test_writes_do_not_use_up_the_attempts_of_reads(
    breaker, inner_log, clock
):
    inner_log.unavailable = True
    await breaker.read("topic", 0, 0)
    inner_log.unavailable = False
    answered = []
    for number in range(200):
        clock.now_s += 0.05
        end = len(inner_log.records["topic"])
        await breaker.append("topic", RECORD, end)
        if number % 6 == 0:
            answer = await breaker.read("topic", 0, 0)
            answered.append(not isinstance(answer, log.Unreachable))
    assert any(answered)


# Guards against a breaker that drops the last look before a record is sent.
async def test_a_record_that_may_no_longer_be_sent_is_withheld(
    breaker, inner_log
):
    result = await breaker.append("topic", RECORD, 0, lambda: False)
    assert result == log.Withheld()
    assert inner_log.records["topic"] == []
