import collections

import entry_support as support
import pytest

from bridgecross_entry import routes


@pytest.mark.parametrize(
    ("host", "path", "expected"),
    [
        pytest.param("h.example", "/a/x", "route/a/", id="prefix"),
        pytest.param("h.example", "/a/b/x", "route/a/b/", id="longest"),
        pytest.param("h.example", "/ab/x", None, id="no part of a name"),
        pytest.param("g.example", "/a/x", None, id="other host"),
    ],
)
def test_the_longest_prefix_of_the_host_decides(host, path, expected):
    table = routes.RouteTable(
        support.make_configuration(
            support.make_route("/a/"), support.make_route("/a/b/")
        )
    )
    found = table.find(host, path)
    assert (found and found.name) == expected


def test_few_requests_are_distributed_by_weight():
    route = support.make_route(services=(("rapor", 90), ("cizim", 10)))
    table = routes.RouteTable(support.make_configuration(route))
    for _ in range(3):
        picks = collections.Counter(
            table.pick_service(route) for _ in range(20)
        )
        assert picks == {"rapor": 18, "cizim": 2}


def test_unchanged_weights_keep_their_credits():
    route = support.make_route(services=(("rapor", 50), ("cizim", 50)))
    first = routes.RouteTable(support.make_configuration(route))
    earlier = first.pick_service(route)
    second = routes.RouteTable(
        support.make_configuration(route, version=2), first
    )
    assert second.pick_service(route) != earlier
