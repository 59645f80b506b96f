import argparse
import json

import pytest

from bridgecross_cli import _logs
from bridgecross_cli import accounts
from bridgecross_cli import journals


def _line(at_s=10.0, instance="entry-1", **fields: object):
    known = {
        "at_s": at_s,
        "instance": instance,
        "event": "requests",
        "route": "read",
        "service": "catalogue",
        "first": 10,
        "outcomes": {"in_time": 6, "late": 2, "no_room": 5},
        "held_s": {"in_time": 0.6, "late": 1.0, "no_room": 0.05},
    }
    return json.dumps(known | fields)


def test_instances_are_added_up_by_route_and_second():
    read = journals.read(
        [_line(10.2), _line(10.4, "entry-2"), _line(11.3, first=4)]
    )
    account = accounts.add_up(read, {"read": accounts.Worth(2.0, 0.5)})
    row = account.routes["read"]
    assert row.owed_count == 24
    assert row.outcomes["in_time"] == 18
    assert row.earned == 18 * 2.0 + 6 * 0.5
    assert sorted(account.seconds) == [0, 1]
    assert account.left_out == []


def test_the_largest_losses_come_first_with_their_causes():
    bad = {"in_time": 1, "no_owner": 9, "late": 1}
    read = journals.read([_line(10.0), _line(12.0, outcomes=bad)])
    first = accounts.add_up(read, {}).list_losses()[0]
    assert first.second == 2
    assert first.lost == 10 - 1 - 0.5
    assert first.causes == (("no_owner", 9), ("late", 1))


@pytest.mark.parametrize(
    ("lines", "place", "problem"),
    [
        pytest.param(
            [_line(10.0), _line(11.0, outcomes=[1])],
            "entry-1 at_s 11.000",
            "no sums",
            id="outcomes of another form",
        ),
        pytest.param(
            [_line(10.0), _line(11.0, first="many")],
            "entry-1 at_s 11.000",
            "no sums",
            id="no number",
        ),
        pytest.param(
            [_line(10.0), _line(11.0), _line(900.0)],
            "at_s 900.000 to 900.000",
            "another run",
            id="lines of two runs",
        ),
        pytest.param(
            [_line(10.0), _line(10.5, left_out=7)],
            "entry-1 at_s 10.500",
            "7 request(s)",
            id="too many routes",
        ),
    ],
)
def test_what_is_left_out_is_said_with_its_place(lines, place, problem):
    account = accounts.add_up(journals.read(lines), {})
    (finding,) = account.left_out
    assert finding.place.source == place
    assert problem in finding.problem
    assert account.routes["read"].owed_count >= 10


def test_a_worth_of_a_route_that_is_not_there_is_told():
    account = accounts.add_up(
        journals.read([_line()]), {"raed": accounts.Worth()}
    )
    assert "raed" in account.left_out[0].place.source


@pytest.mark.parametrize(
    "text", ["read", "read=1", "read=1,2", "=1,0", "a=b,c"]
)
def test_a_malformed_worth_is_refused(text):
    with pytest.raises(argparse.ArgumentTypeError, match=text):
        _logs.read_worth(text)
