import pytest

from bridgecross_core import ids
from bridgecross_entry import load
from bridgecross_entry import load_view

SERVER = ids.ServerId("a")


def _count(answers):
    counter = load.LoadCounter()
    for route, busy_s in answers * 300:
        counter.count_key(1 if route == "orders" else 2, route)
        counter.count_answer(SERVER, busy_s, route)
    return counter


# Guards against servers that get as many requests as others and half as much
# work again, and against longer messages where work is not counted.
@pytest.mark.parametrize(
    ("answers", "by_work", "units", "ratio"),
    [
        ([("orders", 0.15), ("catalogue", 0.1)], True, 16, 1.5),
        ([("orders", 0.15), ("catalogue", 0.1)], False, 1, 1.0),
        ([("orders", 0.15)], True, 1, None),
    ],
)
def test_requests_count_by_the_work_of_their_route(
    answers, by_work, units, ratio
):
    counts = _count(answers).pop_counts(by_work=by_work)
    assert counts.units_per_request == units
    by_key = dict(counts.keys)
    if ratio:
        assert by_key[1] / by_key[2] == pytest.approx(ratio, rel=0.05)
    assert sum(by_key.values()) == pytest.approx(
        300 * len(answers) * units, rel=0.01
    )
    assert counts.servers[0].answers == sum(by_key.values())
    report = load.LoadReport(
        ids.InstanceId("i"), ids.ServiceName("s"), 0.25, *counts
    )
    encoded = load.REPORTS.encode(report)
    assert encoded[0] == (0x96 if units > 1 else 0x95)  # the field count
    assert load.REPORTS.decode(encoded) == report
    view = load_view.LoadView(load_view.LoadSettings())
    view.advance([], 0.0)
    view.add_report(*counts)
    view.advance([], 0.25)
    loads = view.fast_load()
    assert loads.of(1, 2) == pytest.approx(1_200 * len(answers), rel=0.2)
