import pytest

from bridgecross_standins import backend_standin
from bridgecross_standins import checker

RAN = backend_standin.RequestResult.RAN


def _entry(
    server: str, token: int, ended_s: float, **changes: object
) -> backend_standin.JournalEntry:
    entry = backend_standin.JournalEntry(
        number=1,
        result=RAN,
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


# Each effect as (server, token), in the order of time, and whether the history
# is valid.
HISTORIES = {
    "one owner": ([("a", 2), ("a", 2)], True),
    "one owner after another": ([("a", 2), ("b", 4), ("b", 4)], True),
    "the former owner keeps serving": ([("a", 2), ("b", 4), ("a", 2)], False),
    "two servers under one token": ([("a", 2), ("b", 2)], False),
    "an owner whose queue owner changed": (
        [("a", 2), ("a", 6), ("a", 2)],
        True,
    ),
    "the first owner again under a new token": (
        [("a", 2), ("b", 4), ("a", 6)],
        True,
    ),
    "the backup keeps serving": (
        [("a", 2), ("b", 3), ("a", 6), ("b", 3)],
        False,
    ),
    "the owner serves again after the backup": (
        [("a", 2), ("b", 3), ("a", 2)],
        False,
    ),
}


@pytest.mark.parametrize(
    ("history", "is_valid"), HISTORIES.values(), ids=HISTORIES.keys()
)
def test_effects_of_former_owners_are_found(history, is_valid):
    journal = [_entry(s, t, float(i)) for i, (s, t) in enumerate(history)]
    assert (checker.check_owners(reversed(journal)) == []) is is_valid


def test_a_request_that_ran_twice_or_was_reported_not_run_is_found():
    first = _entry("a", 2, 1.0, idempotency_key="order-1")
    second = _entry("b", 4, 2.0, idempotency_key="order-1")
    assert checker.check_single_runs([first]) == []
    assert len(checker.check_single_runs([first, second])) == 1
    assert checker.check_not_run([first], ["other"]) == []
    assert len(checker.check_not_run([first], [first.request_id])) == 1
