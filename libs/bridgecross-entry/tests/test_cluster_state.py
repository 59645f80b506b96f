import json
import os

import anyio
import cluster_state_support
import entry_fakes as fakes
import entry_support as support
import pytest

from bridgecross_core import clock
from bridgecross_core import findings
from bridgecross_core import ids
from bridgecross_entry import cluster_state
from bridgecross_entry import follower
from bridgecross_entry import instance_list
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
    """Returns an instance that reads, one it relays to, and the relay."""
    reader = cluster_state_support.Reader(platform_log)
    receiver = cluster_state_support.Reader(platform_log)
    relay = cluster_state_support.Relay(reader)
    await reader.read()
    await receiver.read()
    relay.send(receiver)
    return reader, receiver, relay


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
    """Whether a server is expected to stay and gets new work."""
    server = reader.registry.get(ids.ServerId(name))
    now_s = clock.SystemClock().monotonic_s()
    return server is not None and reader.registry.is_staying(server, now_s)


async def test_an_invalid_entry_makes_its_server_unusable(
    platform_log,
):
    """Keys that it owned may still be leased, as for a server that left."""
    reader, receiver, relay = await _make_pair(platform_log)
    _add(platform_log, "servers", "b", b"rapor")
    _add(platform_log, "servers", "a", b"bad")
    await reader.read()
    relay.send(receiver)
    for each in (reader, receiver):
        assert not _is_staying(each, "a")
        assert _is_staying(each, "b")
        # Its entry was removed, but it is not known to have ended.
        assert each.knows("a")
        assert not each.registry.has_ended(ids.ServerId("a"))
    _add(platform_log, "servers", "a", b"rapor")
    await reader.read()
    relay.send(receiver)
    assert _is_staying(reader, "a")
    assert _is_staying(receiver, "a")


async def test_changes_that_one_instance_reads_are_relayed(platform_log):
    reader, receiver, relay = await _make_pair(platform_log)
    _add(platform_log, "servers", "b", b"rapor")
    _add(platform_log, "servers", "a", b"rapor")
    _add(platform_log, "configuration", "config", b"2")
    await reader.read()
    listed = relay.next_batches(receiver)["servers"]
    assert [record.key for record in listed.records] == ["b"]
    relay.send(receiver)
    assert receiver.knows("b")
    assert receiver.versions == [1, 2]


async def test_a_decreasing_warm_up_time_is_not_relayed(platform_log):
    reader, receiver = (
        cluster_state_support.Reader(platform_log),
        cluster_state_support.Reader(platform_log),
    )
    relay = cluster_state_support.Relay(reader)
    _add(platform_log, "servers", "b", b"rapor 3000")
    await reader.read()
    await receiver.read()
    relay.send(receiver)
    _add(platform_log, "servers", "b", b"rapor 2100")
    await reader.read()
    batches = relay.next_batches(receiver)
    assert batches["servers"].next_offset == 3
    assert not any(batch.records for batch in batches.values())


async def test_a_new_warm_up_is_relayed(platform_log):
    reader, receiver, relay = await _make_pair(platform_log)
    _add(platform_log, "servers", "a", b"rapor 3000")
    await reader.read()
    relay.send(receiver)
    server = receiver.registry.get(ids.ServerId("a"))
    assert server is not None
    assert server.cold_until_s > clock.SystemClock().monotonic_s() + 2.0


async def test_missed_changes_are_relayed_again(platform_log):
    reader, receiver, relay = await _make_pair(platform_log)
    for name in "bcdefghij":
        _add(platform_log, "servers", name, b"rapor")
        await reader.read()
        relay.lose(receiver)
    relay.send(receiver)
    assert all(receiver.knows(name) for name in "abcdefghij")


async def test_changes_relayed_twice_have_no_effect(platform_log):
    reader, receiver, _ = await _make_pair(platform_log)
    known = receiver.state.offsets()
    _add(platform_log, "servers", "b", b"rapor leaving")
    await reader.read()
    receiver.state.apply_relayed(reader.state.changes_since(known))
    early_batches = reader.state.changes_since(known)
    _add(platform_log, "servers", "b", b"")
    await reader.read()
    receiver.state.apply_relayed(reader.state.changes_since(known))
    server = receiver.registry.get(ids.ServerId("b"))
    assert server is not None
    since_s = server.leaving_since_s
    await reader.read()
    receiver.state.apply_relayed(reader.state.changes_since(known))
    receiver.state.apply_relayed(early_batches)
    assert server.unlisted
    assert server.leaving_since_s == since_s


async def test_only_the_newest_of_many_configurations_is_relayed(platform_log):
    reader, receiver, relay = await _make_pair(platform_log)
    for version in range(2, 9):
        _add(platform_log, "configuration", "config", b"%d" % version)
    await reader.read()
    batches = relay.next_batches(receiver)["configuration"]
    assert [record.value for record in batches.records] == [b"8"]


async def test_an_instance_publishes_whether_it_is_weak(platform_log):
    reader = cluster_state_support.Reader(platform_log)
    for port, is_weak in ((1, False), (2, True)):
        listed = instance_list.ListedInstance("entry", is_weak)
        value = instance_list.INSTANCES.encode(listed)
        _add(
            platform_log,
            cluster_state.INSTANCE_TOPIC,
            f"127.0.0.1:{port}",
            value,
        )
    await reader.read()
    assert {a.port for a in reader.state.instances} == {1, 2}
    assert {a.port for a in reader.state.weak_instances} == {2}


async def test_a_topic_that_the_leader_lost_is_read_until_that_fails_too(
    platform_log,
):
    reader, receiver, relay = await _make_pair(platform_log)
    platform_log.unavailable = True
    await reader.read()
    relay.send(receiver)
    followers = [feed.follower for feed in receiver.state._feeds]
    urgent = [f for f in followers if not f._is_relayed()]
    assert len(urgent) == 2
    await receiver.read()
    relay.send(receiver)
    assert all(f._is_relayed() for f in followers)


async def test_batches_after_a_gap_are_not_applied(platform_log):
    reader, receiver = (
        cluster_state_support.Reader(platform_log),
        cluster_state_support.Reader(platform_log),
    )
    await reader.read()
    await receiver.read()
    for name in "bcdef":
        _add(platform_log, "servers", name, b"rapor")
        missed = reader.state.offsets()
        await reader.read()
    batches = reader.state.changes_since(missed)
    receiver.state.apply_relayed(batches)
    assert receiver.state.is_behind(batches)
    assert not any(receiver.knows(name) for name in "bcdef")
    await receiver.read()
    assert all(receiver.knows(name) for name in "bcdef")


async def test_an_instance_without_relay_messages_reads_the_log(platform_log):
    reader, receiver = (
        cluster_state_support.Reader(platform_log),
        cluster_state_support.Reader(platform_log),
    )
    await reader.read()
    await receiver.read()
    cluster_state_support.Relay(reader).send(receiver)
    follower_ = receiver.state.key_follower
    assert follower_._is_relayed()
    follower_.last_relay_s -= follower_._settings.relay_valid_s
    assert not follower_._is_relayed()


async def test_only_changes_are_relayed_after_history_was_forgotten(
    platform_log,
):
    reader, receiver, relay = await _make_pair(platform_log)
    _add(platform_log, "servers", "b", b"rapor")
    platform_log.forget("servers")
    await reader.read()
    listed = relay.next_batches(receiver)["servers"]
    assert [record.key for record in listed.records] == ["b"]


async def test_relayed_changes_can_be_relayed_on(platform_log):
    reader, next_one, third = (
        cluster_state_support.Reader(platform_log) for _ in range(3)
    )
    relay = cluster_state_support.Relay(reader)
    for each in (reader, next_one, third):
        await each.read()
    relay.send(next_one)
    _add(platform_log, "servers", "b", b"rapor")
    _add(platform_log, "servers", "a", b"")
    _add(platform_log, "configuration", "config", b"2")
    await reader.read()
    relay.send(next_one)
    # From here on the second instance leads, and none reads the log.
    cluster_state_support.Relay(next_one).send(third)
    assert third.knows("b")
    removed = third.registry.get(ids.ServerId("a"))
    assert removed is None or removed.unlisted
    assert third.versions == [1, 2]


async def test_own_appends_are_relayed(platform_log):
    reader, receiver, relay = await _make_pair(platform_log)
    key_map = keymap.KeyMap(
        fakes.SERVICE,
        1,
        ids.InstanceId("i"),
        support.INSTANCE.peer_address,
        (keymap.KeyRange(0, keymap.LAST_KEY, ids.ServerId("a"), 1),),
    )
    record = log.KeyedRecord(fakes.SERVICE, keymap.encode(key_map))
    appended = await platform_log.append(cluster_state.KEY_TOPIC, record, 0)
    reader.state.key_follower.note_own_append(appended.offset, record)
    relay.send(receiver)
    assert receiver.table.newest(fakes.SERVICE) == key_map


def _lines(reader):
    os.set_blocking(reader, False)
    return [json.loads(line) for line in os.read(reader, 1 << 20).splitlines()]


async def test_the_source_of_a_configuration_and_dropped_batches_are_logged(
    platform_log,
):
    reader = cluster_state_support.Reader(platform_log)
    await reader.read()
    reading_end, writing_end = os.pipe()
    # Created last: the newest journal takes over the output of the process.
    journal = journals.Journal(
        "receiver", journals.JournalSettings(), clock.SystemClock(), writing_end
    )
    receiver = cluster_state_support.Reader(platform_log, journal)
    await receiver.read()
    relay = cluster_state_support.Relay(reader)
    relay.send(receiver)
    _add(platform_log, "configuration", "config", b"2")
    await reader.read()
    relay.send(receiver)
    gap = follower.TopicBatch("configuration", 9, 10, 10, (), 0.0, False)
    for _ in range(3):
        receiver.state.apply_relayed((gap,))
    lines = [e for e in _lines(reading_end) if e["instance"] == "receiver"]
    taken = [e for e in lines if e["event"] == "configuration_in_force"]
    left = [e for e in lines if e["event"] == "relay_left_aside"]
    assert [(e["version"], e["source"]) for e in taken] == [
        (1, "log"),
        (2, "peer"),
    ]
    assert [(e["known_to"], e["told_from"]) for e in left] == [(2, 9)]
    status = receiver.state.take_topic_statuses()[1]
    assert (status.next_offset, status.dropped_batch_count) == (2, 3)
    assert taken[0]["known_s_ago"] is None
    # The value in the log line is rounded to milliseconds.
    assert 0 <= taken[1]["known_s_ago"] <= status.longest_age_s + 0.001
    os.close(reading_end)
    os.close(writing_end)


async def test_an_instance_that_cannot_read_the_log_is_sent_what_it_missed(
    platform_log,
):
    reader, receiver, relay = await _make_pair(platform_log)
    for version in range(2, 6):
        _add(platform_log, "configuration", "config", b"%d" % version)
        await reader.read()
        # These relay messages are lost.
        relay.lose(receiver)
    # From here on the log rejects the receiver, and relay messages arrive.
    for _ in range(4):
        await reader.read()
        relay.send(receiver)
    assert receiver.versions[-1] == 5


async def test_no_change_is_skipped_while_history_is_read_anew(platform_log):
    reader, receiver = (
        cluster_state_support.Reader(platform_log),
        cluster_state_support.Reader(platform_log),
    )
    await reader.read()
    await receiver.read()
    relay = cluster_state_support.Relay(reader)
    for _ in range(3):
        relay.send(receiver)
        await reader.read()
    _add(platform_log, "configuration", "config", b"2")
    platform_log.forget("configuration")
    platform_log.may_answer_newest = anyio.Event()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(reader.read)
        await anyio.wait_all_tasks_blocked()
        relay.send(receiver)
        platform_log.may_answer_newest.set()
    assert reader.versions == [1, 2]
    for _ in range(4):
        await reader.read()
        relay.send(receiver)
    await receiver.read()
    assert receiver.versions == [1, 2]


async def test_a_topic_that_the_leader_cannot_read_is_read_by_others(
    platform_log,
):
    reader, receiver, relay = await _make_pair(platform_log)
    relay.send(receiver)
    platform_log.unavailable_topics.add("configuration")
    await reader.read()
    relay.send(receiver)
    waiting = {
        feed.topic: feed.follower._is_relayed()
        for feed in receiver.state._feeds
    }
    assert not waiting["configuration"]
    assert waiting["servers"]


async def _make_three():
    """Returns a log, and three instances with separate access to it."""
    shared = fakes.MemoryLog()
    _add(shared, "servers", "a", b"rapor")
    _add(shared, "configuration", "config", b"1")
    readers = [
        cluster_state_support.Reader(fakes.PartialLog(shared)) for _ in range(3)
    ]
    for reader in readers:
        await reader.read()
    return shared, readers


async def test_a_batch_across_a_skipped_range_is_relayed_on_as_one():
    shared, (first, second, third) = await _make_three()
    relay = cluster_state_support.Relay(first)
    relay.send(second)
    _add(shared, "servers", "q", b"rapor")
    await third.read()
    _add(shared, "servers", "q", b"")
    _add(shared, "servers", "b", b"rapor")
    shared.forget("servers")
    await first.read()
    relay.send(second)
    cluster_state_support.Relay(second).send(third)
    assert dict(third.state.offsets())["servers"] == 4
    assert set(third.state._list.listed) == {"a", "b"}


async def test_one_failed_read_does_not_make_one_rely_on_a_lost_leader():
    shared, (leader, receiver, _) = await _make_three()
    relay = cluster_state_support.Relay(leader)
    relay.send(receiver)
    leader.state._log.unavailable_topics = {"configuration"}
    await leader.read()
    relay.send(receiver)
    receiver.state._log.unavailable_topics = {"configuration"}
    await receiver.read()
    receiver.state._log.unavailable_topics = set()
    _add(shared, "configuration", "config", b"2")
    mine = receiver.state._configurations.follower
    for _ in range(10):
        await leader.read()
        relay.send(receiver)
        # The time until the next relay message passes.
        mine.last_relay_s -= 0.7
        if not mine._is_relayed():
            await mine.catch_up()
    assert receiver.versions == [1, 2]


async def test_an_instance_that_starts_without_the_log_becomes_ready_by_relay():
    shared, (leader, _, _) = await _make_three()
    leader.state._log.unavailable_topics = set(dict(leader.state.offsets()))
    await leader.read()
    mine = fakes.PartialLog(shared)
    mine.unavailable = True
    starting = cluster_state_support.Reader(mine)
    await starting.read()
    cluster_state_support.Relay(leader).send(starting)
    assert starting.versions == [1]
    assert starting.state.is_complete


async def test_a_batch_that_failed_to_be_applied_is_applied_again():
    shared, (leader, receiver, _) = await _make_three()
    relay = cluster_state_support.Relay(leader)
    relay.send(receiver)
    _add(shared, "configuration", "config", b"2")
    await leader.read()
    fails, configure = [True], receiver.state._configure

    def fail_once(new):
        if fails:
            fails.pop()
            raise RuntimeError("a fault")
        configure(new)

    receiver.state._configure = fail_once
    with pytest.raises(RuntimeError):
        relay.send(receiver)
    relay.send(receiver)
    assert receiver.versions == [1, 2]


async def test_an_invalid_entry_names_no_server_after_a_loss_either():
    shared, (reader, _, _) = await _make_three()
    _add(shared, "servers", "b", b"rapor")
    _add(shared, "servers", "a", b"bad")
    for away in (set(), {"servers"}, set()):
        reader.state._log.unavailable_topics = away
        await reader.read()
        assert set(reader.state._list.listed) == {"b"}
        assert reader.state.invalid_record_counts()["servers"] >= 1


async def test_an_invalid_configuration_makes_the_age_infinite():
    shared, (reader, _, _) = await _make_three()
    assert reader.state.configuration_age_s < 1
    _add(shared, "configuration", "config", b"-1")
    await reader.read()
    assert reader.state.configuration_age_s == float("inf")
    _add(shared, "configuration", "config", b"2")
    await reader.read()
    assert reader.state.configuration_age_s < 1


async def test_the_transit_time_of_a_message_adds_to_the_age():
    _, (leader, receiver, _) = await _make_three()
    offsets = receiver.state.offsets()
    receiver.state.apply_relayed(
        leader.state.changes_since(offsets), delay_s=3.0
    )
    assert receiver.state.configuration_age_s < 1
    follower_ = receiver.state._configurations.follower
    follower_.as_of_s -= 60
    follower_.stop_awaiting_relay()
    receiver.state.apply_relayed(
        leader.state.changes_since(offsets), delay_s=3.0
    )
    assert 2.9 < receiver.state.configuration_age_s < 4.0
    assert not follower_._is_relayed()


def _evacuated(reader) -> set[str]:
    return set(reader.registry.evacuations.domains)


async def test_an_evacuation_is_relayed_like_a_configuration(platform_log):
    reader, receiver, relay = await _make_pair(platform_log)
    _add(platform_log, "configuration", "evacuate/hall-1", b"{}")
    await reader.read()
    relay.send(receiver)
    assert _evacuated(reader) == _evacuated(receiver) == {"hall-1"}
    _add(platform_log, "configuration", "evacuate/hall-1", b"")
    await reader.read()
    relay.send(receiver)
    assert _evacuated(reader) == _evacuated(receiver) == set()
    assert receiver.versions == [1]


async def test_an_evacuation_without_a_record_has_ended(platform_log):
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
async def test_an_invalid_record_changes_no_evacuation(platform_log, forgets):
    reader = cluster_state_support.Reader(platform_log)
    _add(platform_log, "configuration", "evacuate/hall-1", b"{}")
    await reader.read()
    _add(platform_log, "configuration", "evacuate/hall-1", b"[[[")
    _add(platform_log, "configuration", "evacuate/hall-2", b"7")
    if forgets:
        platform_log.forget("configuration")
    await reader.read()
    assert _evacuated(reader) == {"hall-1"}
    assert reader.state.invalid_record_counts()["configuration"] >= 2
    _add(platform_log, "configuration", "config", b"2")
    await reader.read()
    assert reader.versions == [1, 2]


async def test_a_configuration_with_warnings_is_applied_and_logged(
    platform_log,
):
    """Guards against unknown values that block a configuration."""
    reading_end, writing_end = os.pipe()
    journal = journals.Journal(
        "reader", journals.JournalSettings(), clock.SystemClock(), writing_end
    )
    reader = cluster_state_support.Reader(platform_log, journal)
    place = findings.Place("config", path="routes[0]")
    reader.decoder.warnings = 30 * (findings.Finding(place, "is not known"),)
    await reader.read()
    assert reader.versions == [1]
    lines = _lines(reading_end)
    in_force = [e for e in lines if e["event"] == "configuration_in_force"]
    assert [e["warnings"] for e in in_force] == [30]
    logged = [e for e in lines if e["event"] == "configuration_warning"]
    assert {e["place"] for e in logged} == {"config: routes[0]"}
    # A document with many unknown values must not flood the log.
    assert len(logged) == 20
    os.close(reading_end)
