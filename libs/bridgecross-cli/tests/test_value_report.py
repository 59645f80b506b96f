import argparse
import json

import pytest

from bridgecross_cli import _log_commands
from bridgecross_cli import log_analysis
from bridgecross_cli import value_report


def _line(at_s=10.0, instance="entry-1", **fields: object):
    defaults = {
        "at_s": at_s,
        "instance": instance,
        "event": "requests",
        "route": "read",
        "service": "catalogue",
        "first": 10,
        "outcomes": {"in_time": 6, "late": 2, "no_room": 5},
        "held_s": {"in_time": 0.6, "late": 1.0, "no_room": 0.05},
    }
    return json.dumps(defaults | fields)


def test_totals_are_summed_by_route_and_second():
    logs = log_analysis.parse_logs(
        [_line(10.2), _line(10.4, "entry-2"), _line(11.3, first=4)]
    )
    report = value_report.build_report(
        logs, {"read": value_report.AnswerValue(2.0, 0.5)}
    )
    aggregate = report.routes["read"]
    assert aggregate.caller_count == 24
    assert aggregate.outcomes["in_time"] == 18
    assert aggregate.achieved_value == 18 * 2.0 + 6 * 0.5
    assert sorted(report.seconds) == [0, 1]
    assert report.skipped == []


def test_largest_losses_come_first_with_their_causes():
    bad = {"in_time": 1, "no_owner": 9, "late": 1}
    logs = log_analysis.parse_logs([_line(10.0), _line(12.0, outcomes=bad)])
    first = value_report.build_report(logs, {}).list_largest_losses()[0]
    assert first.second == 2
    assert first.lost_value == 10 - 1 - 0.5
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
def test_skipped_lines_are_reported_with_their_place(lines, place, problem):
    report = value_report.build_report(log_analysis.parse_logs(lines), {})
    (finding,) = report.skipped
    assert finding.place.source == place
    assert problem in finding.problem
    assert report.routes["read"].caller_count >= 10


def test_a_value_of_an_unknown_route_is_reported():
    report = value_report.build_report(
        log_analysis.parse_logs([_line()]), {"raed": value_report.AnswerValue()}
    )
    assert "raed" in report.skipped[0].place.source


@pytest.mark.parametrize(
    "text", ["read", "read=1", "read=1,2", "=1,0", "a=b,c"]
)
def test_a_malformed_answer_value_is_rejected(text):
    with pytest.raises(argparse.ArgumentTypeError, match=text):
        _log_commands.parse_answer_value(text)
