import json
import os

import entry_support as support
import pytest

from bridgecross_core import ids
from bridgecross_entry import journal as journals
from bridgecross_entry import tally

CATALOGUE = ids.ServiceName("catalogue")


def _read_lines(count) -> list[dict]:
    """Returns the lines written after ``count`` has counted requests."""
    reading, writing = os.pipe()
    journal = journals.Journal(
        "entry-1",
        journals.JournalSettings(),
        support.ManualClock(),
        writing,
    )
    totals = tally.RequestTally(journal)
    count(totals)
    totals.write(1.0)
    os.close(writing)
    with open(reading, encoding="utf-8") as file:
        return [json.loads(line) for line in file]


def test_requests_are_summed_up_by_route():
    def count(totals):
        read, file = support.make_route("/r/"), support.make_route("/f/")
        totals.count(
            read, CATALOGUE, tally.RequestResult(True, tally.IN_TIME, 0.1)
        )
        totals.count(
            read, CATALOGUE, tally.RequestResult(False, "no_room", 0.2)
        )
        totals.count(
            file, CATALOGUE, tally.RequestResult(True, tally.LATE, 0.3)
        )

    first, second = _read_lines(count)
    assert first["route"] == "route/r/"
    assert first["first"] == 1
    assert first["outcomes"] == {"in_time": 1, "no_room": 1}
    assert first["held_s"] == {"in_time": 0.1, "no_room": 0.2}
    assert second["outcomes"] == {"late": 1}


def test_number_of_lines_is_limited_and_the_rest_is_counted():
    def count(totals):
        for number in range(60):
            route = support.make_route(f"/{number}/")
            totals.count(
                route, CATALOGUE, tally.RequestResult(True, tally.LATE, 0.1)
            )

    lines = _read_lines(count)
    assert len(lines) == 51
    assert lines[-1]["left_out"] == 10


@pytest.mark.parametrize(
    ("trail", "cause"),
    [
        ([], "no_server"),
        (["s1: the deadline cannot be met"], "no_room"),
        (["s1: the deadline has passed"], "waited_for_room"),
        (["s1: shed with 503", "s1: left alone"], "server_left_alone"),
        (["its servers want to be left alone"], "server_rests"),
        (["no permit: the server wants to be left alone"], "server_rests"),
        (["s1: it rests"], "server_rests"),
        (["s1: shed with 503, asks for 3.0 s of rest"], "shed"),
        (["s1: shed with 503", "s1: no other server"], "shed"),
        (["s1: said that it leaves"], "server_left"),
        (["key 7 has no owner"], "no_owner"),
        (["s1: interrupted: reset"], "interrupted"),
        (["s1: interrupted: reset", "out of time"], "out_of_time"),
        (["this instance is stopping"], "instance_stopping"),
        (["s1: something new"], tally.OTHER_CAUSE),
    ],
)
def test_cause_is_found_by_the_last_trail_entry(trail, cause):
    assert tally.find_cause(trail) == cause
