import json
import os

import anyio
import cluster_state_support
import entry_fakes as fakes
import entry_support as support
import pytest

from bridgecross_core import clock
from bridgecross_core import ids
from bridgecross_entry import cluster_state
from bridgecross_entry import follower
from bridgecross_entry import journal as journals
from bridgecross_entry import keymap
from bridgecross_entry import log

pytestmark = pytest.mark.anyio


@pytest.fixture
def platform_log():
    filled = fakes.MemoryLog()
    filled.records["servers"] = [log.KeyedRecord("a", b"rapor")]
    filled.records["configuration"] = [log.KeyedRecord("config", b"1")]
    return filled


async def _make_pair(platform_log):
    """Returns one that reads, one that it has told, and how it tells."""
    reader = cluster_state_support.Reader(platform_log)
    told = cluster_state_support.Reader(platform_log)
    teller = cluster_state_support.Teller(reader)
    await reader.read()
    await told.read()
    teller.tell(told)
    return reader, told, teller


def _add(platform_log, topic, key, value):
    platform_log.records[topic].append(log.KeyedRecord(key, value))


async def test_a_configuration_never_goes_back(platform_log):
    reader = cluster_state_support.Reader(platform_log)
    await reader.read()
    _add(platform_log, "configuration", "config", b"5")
    _add(platform_log, "configuration", "config", b"3")
    await reader.read()
    assert reader.versions == [1, 5]


def _is_staying(reader, name) -> bool:
    """Whether a server gets new work as one that goes on."""
    server = reader.book.get(ids.ServerId(name))
    now_s = clock.SystemClock().monotonic_s()
    return server is not None and reader.book.is_staying(server, now_s)


async def test_an_entry_that_cannot_be_read_names_no_server_to_use(
    platform_log,
):
    """What it held before may still be held, as of one that left."""
    reader, told, teller = await _make_pair(platform_log)
    _add(platform_log, "servers", "b", b"rapor")
    _add(platform_log, "servers", "a", b"bad")
    await reader.read()
    teller.tell(told)
    for each in (reader, told):
        assert not _is_staying(each, "a")
        assert _is_staying(each, "b")
        # It is gone from the list, not known to have ended.
        assert each.knows("a")
        assert not each.book.has_ended(ids.ServerId("a"))
    _add(platform_log, "servers", "a", b"rapor")
    await reader.read()
    teller.tell(told)
    assert _is_staying(reader, "a")
    assert _is_staying(told, "a")


async def test_what_one_reads_the_others_are_told(platform_log):
    reader, told, teller = await _make_pair(platform_log)
    _add(platform_log, "servers", "b", b"rapor")
    _add(platform_log, "servers", "a", b"rapor")
    _add(platform_log, "configuration", "config", b"2")
    await reader.read()
    listed = teller.news(told)["servers"]
    assert [record.key for record in listed.records] == ["b"]
    teller.tell(told)
    assert told.knows("b")
    assert told.versions == [1, 2]


async def test_a_warm_up_that_runs_off_is_not_told(platform_log):
    reader, told = (
        cluster_state_support.Reader(platform_log),
        cluster_state_support.Reader(platform_log),
    )
    teller = cluster_state_support.Teller(reader)
    _add(platform_log, "servers", "b", b"rapor 3000")
    await reader.read()
    await told.read()
    teller.tell(told)
    _add(platform_log, "servers", "b", b"rapor 2100")
    await reader.read()
    news = teller.news(told)
    assert news["servers"].next_offset == 3
    assert not any(batch.records for batch in news.values())


async def test_a_server_that_turns_cold_again_is_told(platform_log):
    reader, told, teller = await _make_pair(platform_log)
    _add(platform_log, "servers", "a", b"rapor 3000")
    await reader.read()
    teller.tell(told)
    server = told.book.get(ids.ServerId("a"))
    assert server is not None
    assert server.cold_until_s > clock.SystemClock().monotonic_s() + 2.0


async def test_news_that_were_missed_are_told_again(platform_log):
    reader, told, teller = await _make_pair(platform_log)
    for name in "bcdefghij":
        _add(platform_log, "servers", name, b"rapor")
        await reader.read()
        teller.lose(told)
    teller.tell(told)
    assert all(told.knows(name) for name in "abcdefghij")


async def test_news_told_again_change_nothing(platform_log):
    reader, told, _ = await _make_pair(platform_log)
    known = told.beliefs.offsets()
    _add(platform_log, "servers", "b", b"rapor leaving")
    await reader.read()
    told.beliefs.apply_relayed(reader.beliefs.changes_since(known))
    early_word = reader.beliefs.changes_since(known)
    _add(platform_log, "servers", "b", b"")
    await reader.read()
    told.beliefs.apply_relayed(reader.beliefs.changes_since(known))
    server = told.book.get(ids.ServerId("b"))
    assert server is not None
    since_s = server.leaving_since_s
    await reader.read()
    told.beliefs.apply_relayed(reader.beliefs.changes_since(known))
    told.beliefs.apply_relayed(early_word)
    assert server.unlisted
    assert server.leaving_since_s == since_s


async def test_only_the_newest_of_many_configurations_is_told(platform_log):
    reader, told, teller = await _make_pair(platform_log)
    for version in range(2, 9):
        _add(platform_log, "configuration", "config", b"%d" % version)
    await reader.read()
    news = teller.news(told)["configuration"]
    assert [record.value for record in news.records] == [b"8"]


async def test_an_instance_tells_whether_it_is_weak(platform_log):
    reader = cluster_state_support.Reader(platform_log)
    for port, is_weak in ((1, False), (2, True)):
        listed = cluster_state.ListedInstance("entry", is_weak)
        value = cluster_state.INSTANCES.encode(listed)
        _add(
            platform_log,
            cluster_state.INSTANCE_TOPIC,
            f"127.0.0.1:{port}",
            value,
        )
    await reader.read()
    assert {a.port for a in reader.beliefs.instances} == {1, 2}
    assert {a.port for a in reader.beliefs.weak_instances} == {2}


async def test_what_the_leader_lost_is_read_here_until_that_fails_too(
    platform_log,
):
    reader, told, teller = await _make_pair(platform_log)
    platform_log.away = True
    await reader.read()
    teller.tell(told)
    followers = [feed.follower for feed in told.beliefs._feeds]
    urgent = [f for f in followers if not f._is_relayed()]
    assert len(urgent) == 2
    await told.read()
    teller.tell(told)
    assert all(f._is_relayed() for f in followers)


async def test_news_with_a_gap_are_not_taken(platform_log):
    reader, told = (
        cluster_state_support.Reader(platform_log),
        cluster_state_support.Reader(platform_log),
    )
    await reader.read()
    await told.read()
    for name in "bcdef":
        _add(platform_log, "servers", name, b"rapor")
        missed = reader.beliefs.offsets()
        await reader.read()
    news = reader.beliefs.changes_since(missed)
    told.beliefs.apply_relayed(news)
    assert told.beliefs.is_behind(news)
    assert not any(told.knows(name) for name in "bcdef")
    await told.read()
    assert all(told.knows(name) for name in "bcdef")


async def test_an_instance_that_is_told_nothing_reads_for_itself(platform_log):
    reader, told = (
        cluster_state_support.Reader(platform_log),
        cluster_state_support.Reader(platform_log),
    )
    await reader.read()
    await told.read()
    cluster_state_support.Teller(reader).tell(told)
    follower_ = told.beliefs.key_follower
    assert follower_._is_relayed()
    follower_.last_relay_s -= follower_._settings.relay_valid_s
    assert not follower_._is_relayed()


async def test_only_what_changes_is_told_after_history_was_forgotten(
    platform_log,
):
    reader, told, teller = await _make_pair(platform_log)
    _add(platform_log, "servers", "b", b"rapor")
    platform_log.forget("servers")
    await reader.read()
    listed = teller.news(told)["servers"]
    assert [record.key for record in listed.records] == ["b"]


async def test_what_one_was_told_it_can_tell_on(platform_log):
    reader, next_one, third = (
        cluster_state_support.Reader(platform_log) for _ in range(3)
    )
    teller = cluster_state_support.Teller(reader)
    for each in (reader, next_one, third):
        await each.read()
    teller.tell(next_one)
    _add(platform_log, "servers", "b", b"rapor")
    _add(platform_log, "servers", "a", b"")
    _add(platform_log, "configuration", "config", b"2")
    await reader.read()
    teller.tell(next_one)
    # The next one leads from here on; nobody reads any more.
    cluster_state_support.Teller(next_one).tell(third)
    assert third.knows("b")
    gone = third.book.get(ids.ServerId("a"))
    assert gone is None or gone.unlisted
    assert third.versions == [1, 2]


async def test_what_one_appends_itself_the_others_are_told(platform_log):
    reader, told, teller = await _make_pair(platform_log)
    key_map = keymap.KeyMap(
        fakes.SERVICE,
        1,
        ids.InstanceId("i"),
        support.INSTANCE.peer_address,
        (keymap.KeyRange(0, keymap.LAST_KEY, ids.ServerId("a"), 1),),
    )
    record = log.KeyedRecord(fakes.SERVICE, keymap.encode(key_map))
    appended = await platform_log.append(cluster_state.KEY_TOPIC, record, 0)
    reader.beliefs.key_follower.note_own_append(appended.offset, record)
    teller.tell(told)
    assert told.table.newest(fakes.SERVICE) == key_map


def _lines(reader):
    os.set_blocking(reader, False)
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


async def test_logs_tell_who_told_a_configuration_and_what_was_left_aside(
    platform_log,
):
    reader = cluster_state_support.Reader(platform_log)
    await reader.read()
    reading_end, writing_end = os.pipe()
    # Made last: the newest journal takes over the output of the process.
    journal = journals.Journal(
        "told", journals.JournalSettings(), clock.SystemClock(), writing_end
    )
    told = cluster_state_support.Reader(platform_log, journal)
    await told.read()
    teller = cluster_state_support.Teller(reader)
    teller.tell(told)
    _add(platform_log, "configuration", "config", b"2")
    await reader.read()
    teller.tell(told)
    gap = follower.TopicBatch("configuration", 9, 10, 10, (), 0.0, False)
    for _ in range(3):
        told.beliefs.apply_relayed((gap,))
    lines = [e for e in _lines(reading_end) if e["instance"] == "told"]
    taken = [e for e in lines if e["event"] == "configuration_in_force"]
    left = [e for e in lines if e["event"] == "relay_left_aside"]
    assert [(e["version"], e["source"]) for e in taken] == [
        (1, "log"),
        (2, "peer"),
    ]
    assert [(e["known_to"], e["told_from"]) for e in left] == [(2, 9)]
    status = told.beliefs.take_topic_statuses()[1]
    assert (status.next_offset, status.dropped_batch_count) == (2, 3)
    assert taken[0]["known_s_ago"] is None
    # The line is rounded to milliseconds.
    assert 0 <= taken[1]["known_s_ago"] <= status.longest_age_s + 0.001
    os.close(reading_end)
    os.close(writing_end)


async def test_one_that_cannot_read_is_told_what_it_missed(platform_log):
    reader, told, teller = await _make_pair(platform_log)
    for version in range(2, 6):
        _add(platform_log, "configuration", "config", b"%d" % version)
        await reader.read()
        # Words that are lost on the way.
        teller.lose(told)
    # From here on the log turns the other one away, and words arrive.
    for _ in range(4):
        await reader.read()
        teller.tell(told)
    assert told.versions[-1] == 5


async def test_nothing_is_skipped_while_history_is_read_anew(platform_log):
    reader, told = (
        cluster_state_support.Reader(platform_log),
        cluster_state_support.Reader(platform_log),
    )
    await reader.read()
    await told.read()
    teller = cluster_state_support.Teller(reader)
    for _ in range(3):
        teller.tell(told)
        await reader.read()
    _add(platform_log, "configuration", "config", b"2")
    platform_log.forget("configuration")
    platform_log.may_answer_newest = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(reader.read)
        await anyio.wait_all_tasks_blocked()
        teller.tell(told)
        platform_log.may_answer_newest.set()
    assert reader.versions == [1, 2]
    for _ in range(4):
        await reader.read()
        teller.tell(told)
    await told.read()
    assert told.versions == [1, 2]


async def test_a_topic_that_the_leader_cannot_read_is_read_by_others(
    platform_log,
):
    reader, told, teller = await _make_pair(platform_log)
    teller.tell(told)
    platform_log.away_topics.add("configuration")
    await reader.read()
    teller.tell(told)
    waiting = {
        feed.topic: feed.follower._is_relayed() for feed in told.beliefs._feeds
    }
    assert not waiting["configuration"]
    assert waiting["servers"]


async def _make_three():
    """Returns a log, and three that know it, each by a way of its own."""
    shared = fakes.MemoryLog()
    _add(shared, "servers", "a", b"rapor")
    _add(shared, "configuration", "config", b"1")
    readers = [
        cluster_state_support.Reader(fakes.PartialLog(shared)) for _ in range(3)
    ]
    for reader in readers:
        await reader.read()
    return shared, readers


async def test_what_was_told_across_a_jump_is_told_on_as_one():
    shared, (first, second, third) = await _make_three()
    teller = cluster_state_support.Teller(first)
    teller.tell(second)
    _add(shared, "servers", "q", b"rapor")
    await third.read()
    _add(shared, "servers", "q", b"")
    _add(shared, "servers", "b", b"rapor")
    shared.forget("servers")
    await first.read()
    teller.tell(second)
    cluster_state_support.Teller(second).tell(third)
    assert dict(third.beliefs.offsets())["servers"] == 4
    assert set(third.beliefs._list.listed) == {"a", "b"}


async def test_one_failed_read_does_not_make_one_wait_for_a_lost_leader():
    shared, (leader, told, _) = await _make_three()
    teller = cluster_state_support.Teller(leader)
    teller.tell(told)
    leader.beliefs._log.away_topics = {"configuration"}
    await leader.read()
    teller.tell(told)
    told.beliefs._log.away_topics = {"configuration"}
    await told.read()
    told.beliefs._log.away_topics = set()
    _add(shared, "configuration", "config", b"2")
    mine = told.beliefs._configurations.follower
    for _ in range(10):
        await leader.read()
        teller.tell(told)
        # The time until the next word passes.
        mine.last_relay_s -= 0.7
        if not mine._is_relayed():
            await mine.catch_up()
    assert told.versions == [1, 2]


async def test_one_that_starts_without_the_log_is_ready_by_what_it_is_told():
    shared, (leader, _, _) = await _make_three()
    leader.beliefs._log.away_topics = set(dict(leader.beliefs.offsets()))
    await leader.read()
    mine = fakes.PartialLog(shared)
    mine.away = True
    fresh = cluster_state_support.Reader(mine)
    await fresh.read()
    cluster_state_support.Teller(leader).tell(fresh)
    assert fresh.versions == [1]
    assert fresh.beliefs.is_complete


async def test_what_fails_to_be_taken_is_taken_again():
    shared, (leader, told, _) = await _make_three()
    teller = cluster_state_support.Teller(leader)
    teller.tell(told)
    _add(shared, "configuration", "config", b"2")
    await leader.read()
    fails, configure = [True], told.beliefs._configure

    def fail_once(new):
        if fails:
            fails.pop()
            raise RuntimeError("a fault")
        configure(new)

    told.beliefs._configure = fail_once
    with pytest.raises(RuntimeError):
        teller.tell(told)
    teller.tell(told)
    assert told.versions == [1, 2]


async def test_an_entry_that_cannot_be_read_names_none_after_a_loss_either():
    shared, (reader, _, _) = await _make_three()
    _add(shared, "servers", "b", b"rapor")
    _add(shared, "servers", "a", b"bad")
    for away in (set(), {"servers"}, set()):
        reader.beliefs._log.away_topics = away
        await reader.read()
        assert set(reader.beliefs._list.listed) == {"b"}
        assert reader.beliefs.unreadable_counts()["servers"] >= 1


async def test_a_configuration_that_cannot_be_read_is_not_known():
    shared, (reader, _, _) = await _make_three()
    assert reader.beliefs.configuration_age_s < 1
    _add(shared, "configuration", "config", b"-1")
    await reader.read()
    assert reader.beliefs.configuration_age_s == float("inf")
    _add(shared, "configuration", "config", b"2")
    await reader.read()
    assert reader.beliefs.configuration_age_s < 1


async def test_a_word_that_was_held_up_is_as_old_as_it_is():
    _, (leader, told, _) = await _make_three()
    offsets = told.beliefs.offsets()
    told.beliefs.apply_relayed(
        leader.beliefs.changes_since(offsets), delay_s=3.0
    )
    assert told.beliefs.configuration_age_s < 1
    follower_ = told.beliefs._configurations.follower
    follower_.as_of_s -= 60
    follower_.stop_awaiting_relay()
    told.beliefs.apply_relayed(
        leader.beliefs.changes_since(offsets), delay_s=3.0
    )
    assert 2.9 < told.beliefs.configuration_age_s < 4.0
    assert not follower_._is_relayed()


def _evacuated(reader) -> set[str]:
    return set(reader.book.evacuations.domains)


async def test_an_evacuation_is_told_like_a_configuration(platform_log):
    reader, told, teller = await _make_pair(platform_log)
    _add(platform_log, "configuration", "evacuate/hall-1", b"{}")
    await reader.read()
    teller.tell(told)
    assert _evacuated(reader) == _evacuated(told) == {"hall-1"}
    _add(platform_log, "configuration", "evacuate/hall-1", b"")
    await reader.read()
    teller.tell(told)
    assert _evacuated(reader) == _evacuated(told) == set()
    assert told.versions == [1]


async def test_an_evacuation_that_nobody_names_any_more_is_over(platform_log):
    reader = cluster_state_support.Reader(platform_log)
    _add(platform_log, "configuration", "evacuate/hall-1", b"{}")
    _add(platform_log, "configuration", "evacuate/hall-2", b"{}")
    await reader.read()
    assert _evacuated(reader) == {"hall-1", "hall-2"}
    _add(platform_log, "configuration", "evacuate/hall-1", b"")
    platform_log.forget("configuration")
    await reader.read()
    assert _evacuated(reader) == {"hall-2"}


@pytest.mark.parametrize("forgets", [False, True])
async def test_what_makes_no_sense_changes_no_evacuation(platform_log, forgets):
    reader = cluster_state_support.Reader(platform_log)
    _add(platform_log, "configuration", "evacuate/hall-1", b"{}")
    await reader.read()
    _add(platform_log, "configuration", "evacuate/hall-1", b"[[[")
    _add(platform_log, "configuration", "evacuate/hall-2", b"7")
    if forgets:
        platform_log.forget("configuration")
    await reader.read()
    assert _evacuated(reader) == {"hall-1"}
    assert reader.beliefs.unreadable_counts()["configuration"] >= 2
    _add(platform_log, "configuration", "config", b"2")
    await reader.read()
    assert reader.versions == [1, 2]
