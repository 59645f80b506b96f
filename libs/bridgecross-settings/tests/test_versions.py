import pathlib

from bridgecross_core import codec
from bridgecross_core import hybrid_clock
from bridgecross_core import ids
from bridgecross_log import appender
from bridgecross_log import records
from bridgecross_settings import check
from bridgecross_settings import versions

SAMPLE = pathlib.Path(__file__).parents[3] / "settings" / "karatas.jsonc"
HOUSE = check.check_text(SAMPLE.read_text(encoding="utf-8"), "karatas")


def _change(
    base: int, *, slots: int = 4, house: str = "karatas"
) -> versions.SettingsChange:
    document = HOUSE.document | {"slots_per_server": slots, "house": house}
    return versions.SettingsChange(
        ids.Offset(base), "ayse", "", codec.to_json(document).encode()
    )


def _apply(
    state: versions.SettingsState, offset: int, change: versions.SettingsChange
) -> appender.Verdict:
    envelope = records.Envelope(
        f"r{offset}",
        versions.CHANGE_KIND,
        "w",
        hybrid_clock.Timestamp(0, 0),
        versions.encode_change(change),
    )
    return state.apply(records.LogRecord(ids.Offset(offset), envelope))


def test_the_second_of_two_changes_of_the_same_base_is_void():
    state = versions.SettingsState()
    assert isinstance(_apply(state, 3, _change(-1)), appender.Applied)
    assert isinstance(_apply(state, 5, _change(3, slots=5)), appender.Applied)
    late = _apply(state, 6, _change(3, slots=9))
    assert isinstance(late, appender.Void)
    assert "5 is newest" in late.reason
    assert state.offset == 5
    assert state.house is not None
    assert state.house.document["slots_per_server"] == 5


def test_an_invalid_document_is_void_and_changes_nothing():
    state = versions.SettingsState()
    _apply(state, 0, _change(-1))
    verdict = _apply(state, 1, _change(0, house="NOT A NAME"))
    assert isinstance(verdict, appender.Void)
    assert state.offset == 0


def test_an_older_snapshot_does_not_replace_a_newer_version():
    state = versions.SettingsState()
    _apply(state, 0, _change(-1))
    old = state.version
    _apply(state, 1, _change(0, slots=6))
    state.restore(old)
    assert state.offset == 1


def test_conflicts_are_the_paths_that_both_changed():
    base = {"a": {"x": 1, "y": 1}, "b": 1, "c": 1}
    mine = {"a": {"x": 2, "y": 1}, "b": 2, "c": 1}
    theirs = {"a": {"x": 3, "y": 5}, "b": 1, "c": 7}
    assert versions.list_conflicts(base, mine, theirs) == ["a.x"]
    replaced = {"a": 0, "b": 1, "c": 1}
    assert versions.list_conflicts(base, mine, replaced) == ["a.x"]
