import entry_support as support
import pytest

from bridgecross_core import ids
from bridgecross_entry import load
from bridgecross_entry import load_view

A, B = ids.ServerId("a"), ids.ServerId("b")
SERVERS = [support.make_server("a"), support.make_server("b")]


def _view() -> load_view.LoadView:
    view = load_view.LoadView(load_view.LoadSettings())
    view.advance(SERVERS, 0.0)
    return view


def test_faster_servers_have_more_capacity():
    view = _view()
    counts = (load.ServerCount(A, 40, 1.6), load.ServerCount(B, 40, 3.2))
    view.add_report((), counts)
    view.advance(SERVERS, 1.0)
    capacities = view.capacities(SERVERS)
    assert capacities[A] > 1.5 * capacities[B]


def test_waiting_in_a_full_server_does_not_make_it_look_slow():
    """A hot key kept moving, as each server looked slow while owning it."""
    view = _view()
    for step in range(1, 8):
        # 4 slots x 0.5 s allow 40 answers of 0.05 s each; with 20 requests
        # present at a time, each takes 0.25 s including its wait.
        view.add_report((), (load.ServerCount(A, 40, 40 * 0.25),))
        view.advance(SERVERS, step * 0.5)
    assert view.capacities(SERVERS)[A] == pytest.approx(80, rel=0.1)


def test_a_hot_key_shows_within_a_second_and_fades():
    view = _view()
    for step in range(1, 5):
        view.add_report((load.KeyCount(7, 25),), ())
        view.advance(SERVERS, step * 0.25)
    assert view.fast_load().hottest_key == 7
    assert view.fast_load().of(7, 7) > 50
    for step in range(5, 17):
        view.advance(SERVERS, step * 0.25)
    assert view.fast_load().of(7, 7) < 5


# Guards against a coordinator that fails on each plan, so that all keys of its
# service lose their owners.
@pytest.mark.parametrize("key", [-1, 65_536, 70_000, 2**70])
def test_keys_that_do_not_exist_are_left_out(key):
    view = _view()
    counts = (load.KeyCount(key, 9), load.KeyCount(65_535, 25))
    assert view.add_report(counts, ()) == 1
    for loads in (view.fast_load(), view.slow_load()):
        assert loads.hottest_key == 65_535


def test_load_is_right_before_the_window_is_full():
    view = _view()
    for step in range(1, 5):
        view.add_report((load.KeyCount(7, 25),), ())
        view.advance(SERVERS, step * 0.25)
    assert view.slow_load().of(7, 7) == pytest.approx(100, rel=0.2)
