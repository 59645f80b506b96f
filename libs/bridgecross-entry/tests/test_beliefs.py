import dataclasses
import json
import os

import anyio
import entry_fakes as fakes
import entry_support as support
import pytest

from bridgecross_core import clock
from bridgecross_core import findings
from bridgecross_core import ids
from bridgecross_entry import beliefs
from bridgecross_entry import journal as journals
from bridgecross_entry import keymap
from bridgecross_entry import log
from bridgecross_entry import servers

pytestmark = pytest.mark.anyio


class Decoder:
    """Reads records whose value is a list of words."""

    server_topic = "servers"
    configuration_topic = "configuration"

    def decode_server(self, record):
        service, *words = record.value.decode().split()
        if service == "bad":
            place = findings.Place(record.key)
            raise findings.FindingsError([findings.Finding(place, "bad")])
        server = support.make_server(
            record.key, service, leaving="leaving" in words
        )
        left_ms = next((float(word) for word in words if word.isdigit()), 0.0)
        return dataclasses.replace(server, warmup_left_ms=left_ms)

    def decode_configuration(self, record):
        version = int(record.value)
        return support.make_configuration(support.make_route(), version=version)


class Reader:
    """One instance's beliefs."""

    def __init__(
        self,
        platform_log: fakes.MemoryLog,
        written: journals.Journal | None = None,
    ) -> None:
        real = clock.SystemClock()
        journal = written or support.make_journal(real)
        self.book = servers.ServerBook(
            servers.ServerSettings(), support.BOUNDS, journal, real
        )
        self.versions: list[int] = []
        self.table = keymap.KeyTable(journal)
        self.beliefs = beliefs.Beliefs(
            beliefs.BeliefSettings(),
            platform_log,
            Decoder(),
            self.book,
            self.table,
            lambda new: self.versions.append(new.version),
            journal,
            real,
        )

    async def read(self) -> None:
        for feed in self.beliefs._feeds:
            await feed.follower.catch_up()

    def knows(self, name: str) -> bool:
        return self.book.get(ids.ServerId(name)) is not None


@pytest.fixture
def platform_log():
    filled = fakes.MemoryLog()
    filled.records["servers"] = [log.KeyedRecord("a", b"rapor")]
    filled.records["configuration"] = [log.KeyedRecord("config", b"1")]
    return filled


def _add(platform_log, topic, key, value):
    platform_log.records[topic].append(log.KeyedRecord(key, value))


async def test_a_configuration_never_goes_back(platform_log):
    reader = Reader(platform_log)
    await reader.read()
    _add(platform_log, "configuration", "config", b"5")
    _add(platform_log, "configuration", "config", b"3")
    await reader.read()
    assert reader.versions == [1, 5]


async def test_an_entry_that_cannot_be_read_changes_nothing(platform_log):
    reader = Reader(platform_log)
    await reader.read()
    _add(platform_log, "servers", "a", b"bad")
    await reader.read()
    assert reader.knows("a")


async def test_what_one_reads_the_others_are_told(platform_log):
    reader, told = Reader(platform_log), Reader(platform_log)
    await reader.read()
    await told.read()
    reader.beliefs.take_news()
    _add(platform_log, "servers", "b", b"rapor")
    _add(platform_log, "servers", "a", b"rapor")
    _add(platform_log, "configuration", "config", b"2")
    await reader.read()
    news = reader.beliefs.take_news()
    listed = next(batch for batch in news if batch.topic == "servers")
    assert [record.key for record in listed.records] == ["b"]
    told.beliefs.take_relayed(news)
    assert told.knows("b")
    assert told.versions == [1, 2]


async def test_a_warm_up_that_runs_off_is_not_told(platform_log):
    reader = Reader(platform_log)
    _add(platform_log, "servers", "b", b"rapor 3000")
    await reader.read()
    reader.beliefs.take_news()
    _add(platform_log, "servers", "b", b"rapor 2100")
    await reader.read()
    assert not any(batch.records for batch in reader.beliefs.take_news())


async def test_news_that_were_missed_are_told_again(platform_log):
    reader, told = Reader(platform_log), Reader(platform_log)
    await reader.read()
    await told.read()
    reader.beliefs.take_news()
    for name in "bcde":
        _add(platform_log, "servers", name, b"rapor")
        await reader.read()
        news = reader.beliefs.take_news()
    told.beliefs.take_relayed(news)
    assert all(told.knows(name) for name in "abcde")


async def test_news_told_again_change_nothing(platform_log):
    reader, told = Reader(platform_log), Reader(platform_log)
    await reader.read()
    await told.read()
    reader.beliefs.take_news()
    _add(platform_log, "servers", "b", b"rapor leaving")
    await reader.read()
    told.beliefs.take_relayed(reader.beliefs.take_news())
    _add(platform_log, "servers", "b", b"")
    await reader.read()
    told.beliefs.take_relayed(reader.beliefs.take_news())
    server = told.book.get(ids.ServerId("b"))
    assert server is not None
    since_s = server.leaving_since_s
    await reader.read()
    told.beliefs.take_relayed(reader.beliefs.take_news())
    assert server.unlisted
    assert server.leaving_since_s == since_s


async def test_only_the_newest_of_many_configurations_is_told(platform_log):
    reader = Reader(platform_log)
    await reader.read()
    reader.beliefs.take_news()
    for version in range(2, 9):
        _add(platform_log, "configuration", "config", b"%d" % version)
    await reader.read()
    batches = {batch.topic: batch for batch in reader.beliefs.take_news()}
    told = [record.value for record in batches["configuration"].records]
    assert told == [b"8"]


async def test_an_instance_tells_whether_it_is_weak(platform_log):
    reader = Reader(platform_log)
    for port, is_weak in ((1, False), (2, True)):
        listed = beliefs.ListedInstance("entry", is_weak)
        value = beliefs.INSTANCES.encode(listed)
        _add(platform_log, beliefs.INSTANCE_TOPIC, f"127.0.0.1:{port}", value)
    await reader.read()
    assert {a.port for a in reader.beliefs.instances} == {1, 2}
    assert {a.port for a in reader.beliefs.weak_instances} == {2}


async def test_what_the_leader_lost_is_read_here_until_that_fails_too(
    platform_log,
):
    reader = Reader(platform_log)
    await reader.read()
    followers = [feed.follower for feed in reader.beliefs._feeds]
    reader.beliefs.take_lost()
    urgent = [f for f in followers if not f._is_relayed()]
    assert len(urgent) == 2
    platform_log.away = True
    await reader.read()
    reader.beliefs.take_lost()
    assert all(f._is_relayed() for f in followers)


async def test_news_with_a_gap_are_not_taken(platform_log):
    reader, told = Reader(platform_log), Reader(platform_log)
    await reader.read()
    await told.read()
    reader.beliefs.take_news()
    for name in "bcdef":
        _add(platform_log, "servers", name, b"rapor")
        await reader.read()
        news = reader.beliefs.take_news()
    told.beliefs.take_relayed(news)
    assert not told.knows("c")
    await told.read()
    assert all(told.knows(name) for name in "bcdef")


async def test_an_instance_that_is_told_nothing_reads_for_itself(platform_log):
    reader, told = Reader(platform_log), Reader(platform_log)
    await reader.read()
    await told.read()
    reader.beliefs.take_news()
    told.beliefs.take_relayed(reader.beliefs.take_news())
    follower = told.beliefs.key_follower
    assert follower._is_relayed()
    follower.relayed_s -= follower._settings.relay_fresh_s
    assert not follower._is_relayed()


async def test_only_what_changes_is_told_after_history_was_forgotten(
    platform_log,
):
    reader = Reader(platform_log)
    await reader.read()
    reader.beliefs.take_news()
    _add(platform_log, "servers", "b", b"rapor")
    reader.beliefs._servers.follower.next_offset = None
    await reader.read()
    news = reader.beliefs.take_news()
    listed = next(batch for batch in news if batch.topic == "servers")
    assert [record.key for record in listed.records] == ["b"]


async def test_nothing_is_kept_to_tell_while_another_instance_tells(
    platform_log,
):
    reader = Reader(platform_log)
    await reader.read()
    _add(platform_log, "servers", "b", b"rapor")
    await reader.read()
    assert not reader.beliefs._servers.news


async def test_what_one_appends_itself_the_others_are_told(platform_log):
    reader, told = Reader(platform_log), Reader(platform_log)
    await reader.read()
    await told.read()
    reader.beliefs.take_news()
    key_map = keymap.KeyMap(
        fakes.SERVICE,
        1,
        ids.InstanceId("i"),
        support.INSTANCE.peer_address,
        (keymap.KeyRange(0, keymap.LAST_KEY, ids.ServerId("a"), 1),),
    )
    record = log.KeyedRecord(fakes.SERVICE, keymap.encode(key_map))
    follower = reader.beliefs.key_follower
    appended = await platform_log.append(beliefs.KEY_TOPIC, record, 0)
    follower.note_own_append(appended.offset, record)
    told.beliefs.take_relayed(reader.beliefs.take_news())
    assert told.table.newest(fakes.SERVICE) == key_map


def _lines(reader):
    os.set_blocking(reader, False)
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


async def test_logs_tell_who_told_a_configuration_and_what_was_left_aside(
    platform_log,
):
    reader = Reader(platform_log)
    await reader.read()
    reading_end, writing_end = os.pipe()
    # Made last: the newest journal takes over the output of the process.
    journal = journals.Journal(
        "told", journals.JournalSettings(), clock.SystemClock(), writing_end
    )
    told = Reader(platform_log, journal)
    await told.read()
    reader.beliefs.take_news()
    _add(platform_log, "configuration", "config", b"2")
    await reader.read()
    told.beliefs.take_relayed(reader.beliefs.take_news())
    gap = beliefs.TopicBatch("configuration", 9, 10, ())
    for _ in range(3):
        told.beliefs.take_relayed((gap,))
    lines = [e for e in _lines(reading_end) if e["instance"] == "told"]
    taken = [e for e in lines if e["event"] == "configuration_in_force"]
    left = [e for e in lines if e["event"] == "relay_left_aside"]
    assert [(e["version"], e["source"]) for e in taken] == [
        (1, "log"),
        (2, "peer"),
    ]
    assert [(e["known_to"], e["told_from"]) for e in left] == [(2, 9)]
    status = told.beliefs.topic_statuses()[1]
    assert (status.next_offset, status.left_aside_count) == (2, 3)
    os.close(reading_end)
    os.close(writing_end)


def _tell(reader: Reader, *others: Reader) -> None:
    """Lets the others hear the next word of the one that reads."""
    news = reader.beliefs.take_news()
    for other in others:
        other.beliefs.take_relayed(news)


async def test_one_that_cannot_read_is_told_what_it_missed(platform_log):
    reader, told = Reader(platform_log), Reader(platform_log)
    await reader.read()
    await told.read()
    _tell(reader, told)
    for version in range(2, 6):
        _add(platform_log, "configuration", "config", b"%d" % version)
        await reader.read()
        # Words that are lost on the way.
        _tell(reader)
    # From here on the log turns the other one away, and words arrive.
    for _ in range(4):
        await reader.read()
        _tell(reader, told)
    assert told.versions[-1] == 5


async def test_nothing_is_skipped_while_history_is_read_anew(platform_log):
    reader, told = Reader(platform_log), Reader(platform_log)
    await reader.read()
    await told.read()
    for _ in range(3):
        _tell(reader, told)
        await reader.read()
    _add(platform_log, "configuration", "config", b"2")
    platform_log.forget("configuration")
    platform_log.may_answer_newest = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(reader.read)
        await anyio.wait_all_tasks_blocked()
        _tell(reader, told)
        platform_log.may_answer_newest.set()
    assert reader.versions == [1, 2]
    for _ in range(4):
        await reader.read()
        _tell(reader, told)
    await told.read()
    assert told.versions == [1, 2]


async def test_a_topic_that_the_leader_cannot_read_is_read_by_others(
    platform_log,
):
    reader, told = Reader(platform_log), Reader(platform_log)
    await reader.read()
    await told.read()
    _tell(reader, told)
    _tell(reader, told)
    platform_log.away_topics.add("configuration")
    await reader.read()
    _tell(reader, told)
    waiting = {
        feed.topic: feed.follower._is_relayed() for feed in told.beliefs._feeds
    }
    assert not waiting["configuration"]
    assert waiting["servers"]
