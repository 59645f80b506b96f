import entry_support as support
import pytest

from bridgecross_core import codec
from bridgecross_core import ids
from bridgecross_entry import keymap
from bridgecross_entry import model

A, B = ids.ServerId("a"), ids.ServerId("b")
SERVICE = ids.ServiceName("rapor")


def _map(version: int, *ranges: keymap.KeyRange) -> keymap.KeyMap:
    return keymap.KeyMap(
        SERVICE, version, ids.InstanceId("i"), model.Address("h", 1), ranges
    )


def _all_of(owner: ids.ServerId, token: int) -> keymap.KeyRange:
    return keymap.KeyRange(0, keymap.LAST_KEY, owner, token)


def test_part_of_a_range_gets_another_owner():
    ranges = keymap.assign([_all_of(A, 1)], 100, 199, B, 2)
    assert ranges == (
        keymap.KeyRange(0, 99, A, 1),
        keymap.KeyRange(100, 199, B, 2, A),
        keymap.KeyRange(200, keymap.LAST_KEY, A, 1),
    )


def test_keys_that_the_owner_already_has_keep_their_token():
    ranges = keymap.assign([_all_of(A, 1)], 100, 199, A, 2)
    assert ranges == (_all_of(A, 1),)


@pytest.mark.parametrize(
    "ranges",
    [
        pytest.param([keymap.KeyRange(1, keymap.LAST_KEY, A, 1)], id="start"),
        pytest.param([keymap.KeyRange(0, 9, A, 1)], id="end"),
        pytest.param(
            [
                keymap.KeyRange(0, 9, A, 1),
                keymap.KeyRange(11, keymap.LAST_KEY, A, 1),
            ],
            id="gap",
        ),
    ],
)
def test_a_map_with_gaps_is_rejected(ranges):
    with pytest.raises(codec.CodecError):
        keymap.decode(keymap.encode(_map(1, *ranges)))


def test_a_map_survives_its_encoding():
    key_map = _map(3, *keymap.assign([_all_of(A, 1)], 7, 7, B, 3))
    assert keymap.decode(keymap.encode(key_map)) == key_map


def test_an_older_map_changes_nothing():
    table = keymap.KeyTable(support.make_journal(support.ManualClock()))
    assert table.put(_map(2, _all_of(B, 2)), "log")
    assert not table.put(_map(1, _all_of(A, 1)), "peer")
    owner = table.find(SERVICE, 5)
    assert owner is not None
    assert owner.server_id == B


def test_a_moving_range_is_settled_once_it_is_marked_so():
    table = keymap.KeyTable(support.make_journal(support.ManualClock()))
    table.put(_map(2, *keymap.assign([_all_of(A, 1)], 10, 19, B, 2)), "log")

    def settled(key: int) -> bool:
        owner = table.find(SERVICE, key)
        assert owner is not None
        return owner.settled

    assert settled(9)
    assert not settled(10)
    table.mark_settled(SERVICE, 2, 10)
    assert settled(19)
