import pytest

from bridgecross_standins import backend_standin
from bridgecross_standins import checker

RAN = backend_standin.Deed.RAN


def _entry(
    server: str, token: int, ended_s: float, **changes: object
) -> backend_standin.JournalEntry:
    entry = backend_standin.JournalEntry(
        number=1,
        deed=RAN,
        began_s=ended_s - 0.01,
        ended_s=ended_s,
        server=server,
        service="rapor",
        key="k",
        slice=3,
        token=token,
        front_token=0,
        method="POST",
        request_id=f"{server}-{ended_s}",
        idempotency_key="",
    )
    return entry._replace(**changes)


# Effects as (server, token), in the order of their time.
HISTORIES = {
    "one owner": ([("a", 2), ("a", 2)], True),
    "an owner after another": ([("a", 2), ("b", 4), ("b", 4)], True),
    "the old owner acts on": ([("a", 2), ("b", 4), ("a", 2)], False),
    "two under one token": ([("a", 2), ("b", 2)], False),
    "an owner with a new front": ([("a", 2), ("a", 6), ("a", 2)], True),
    "back to the first under a new token": (
        [("a", 2), ("b", 4), ("a", 6)],
        True,
    ),
    "the heir acts on": ([("a", 2), ("b", 3), ("a", 6), ("b", 3)], False),
    "the owner returns under the heir": (
        [("a", 2), ("b", 3), ("a", 2)],
        False,
    ),
}


@pytest.mark.parametrize(
    ("history", "is_sound"), HISTORIES.values(), ids=HISTORIES.keys()
)
def test_owners(history, is_sound):
    journal = [_entry(s, t, float(i)) for i, (s, t) in enumerate(history)]
    assert (checker.check_owners(reversed(journal)) == []) is is_sound


def test_a_request_that_ran_twice_or_was_denied_is_found():
    first = _entry("a", 2, 1.0, idempotency_key="order-1")
    second = _entry("b", 4, 2.0, idempotency_key="order-1")
    assert checker.check_single_runs([first]) == []
    assert len(checker.check_single_runs([first, second])) == 1
    assert checker.check_not_run([first], ["other"]) == []
    assert len(checker.check_not_run([first], [first.request_id])) == 1
