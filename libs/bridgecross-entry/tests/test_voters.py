import pytest

from bridgecross_core import codec
from bridgecross_entry import log
from bridgecross_entry import model
from bridgecross_entry import voters


def _make_set(*numbers: int):
    return frozenset(model.Address("10.1.0.1", n) for n in numbers)


_THREE = _make_set(1, 2, 3)
_FOUR = _make_set(1, 2, 3, 4)


def test_a_record_is_found_as_it_was_written():
    record = voters.encode(7, "entry-1", _THREE)
    claim = log.KeyedRecord("leader", b"another record")
    found = voters.find((claim, record))
    assert (found.term, found.instance, found.voters) == (7, "entry-1", _THREE)


def test_without_a_record_none_is_found():
    assert voters.find((log.KeyedRecord("leader", b""),)) is None


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\xff\x00", id="not encoded"),
        pytest.param(
            voters._RECORDS.encode(voters._Record(1, "a", ())),
            id="no voters",
        ),
        pytest.param(
            voters._RECORDS.encode(voters._Record(1, "a", ("nowhere",))),
            id="no address",
        ),
    ],
)
def test_an_invalid_record_is_an_error(value):
    with pytest.raises(codec.CodecError):
        voters.find((log.KeyedRecord(voters.KEY, value),))


@pytest.mark.parametrize(
    ("sets", "present", "majority", "half", "within"),
    [
        pytest.param((_THREE,), (1,), False, False, False, id="1 of 3"),
        pytest.param((_THREE,), (1, 9), False, False, False, id="others"),
        pytest.param((_THREE,), (1, 2), True, True, False, id="2 of 3"),
        pytest.param((_FOUR,), (1, 2), False, True, False, id="2 of 4"),
        pytest.param((_FOUR,), (1, 2, 3, 4, 9), True, True, True, id="all"),
        pytest.param(
            (_THREE, _make_set(3, 4, 5)),
            (1, 2, 3),
            False,
            False,
            False,
            id="all of one set, 1 of the other",
        ),
        pytest.param(
            (_THREE, _make_set(3, 4, 5)),
            (2, 3, 4),
            True,
            True,
            False,
            id="2 of both sets",
        ),
    ],
)
def test_each_set_must_agree(sets, present, majority, half, within):
    counted = voters.VoterSets(sets)
    instances = _make_set(*present)
    assert counted.have_majority(instances) is majority
    assert counted.have_half(instances) is half
    assert counted.are_within(instances) is within


def test_what_the_log_names_replaces_what_came_before_it():
    counted = voters.VoterSets((_THREE,)).add(_FOUR).add(_FOUR)
    assert counted.sets == (_THREE, _FOUR)
    assert counted.drop_before(_THREE).sets == (_THREE, _FOUR)
    assert counted.drop_before(_FOUR).sets == (_FOUR,)
    assert counted.drop_before(_make_set(9)).sets == (_THREE, _FOUR)
