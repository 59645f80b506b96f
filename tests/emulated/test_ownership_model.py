"""The ownership model of one key, explored over all orders of events."""

import re

import pytest

from bridgecross_emulator import ownership_model as model

# Events per order: 50,000 to 100,000 states, 2 to 7 s.
DEPTH = 9


def test_no_order_of_events_gives_a_key_two_holders():
    explored = model.explore(model.Rules(), DEPTH)
    assert explored.violation is None
    assert explored.states_count > 50_000


@pytest.mark.parametrize(
    "rules",
    [
        pytest.param(
            model.Rules(refusal_is_proof=True),
            id="a refused connection is proof of the end",
        ),
        pytest.param(
            model.Rules(start_is_proof=True),
            id="a newer start is proof that nothing is held",
        ),
        pytest.param(
            model.Rules(waits_for_earlier=False),
            id="an earlier leader's orders are not waited for",
        ),
        pytest.param(
            model.Rules(servers_check_tokens=False),
            id="servers take lower tokens",
        ),
        pytest.param(
            model.Rules(orders_outlive_runs=True),
            id="orders reach the next run of their server",
        ),
    ],
)
def test_each_guard_is_needed(rules):
    violation = model.explore(rules, DEPTH).violation
    assert violation is not None
    replayed = model.replay(rules, violation)
    assert model.count_holders(replayed) == 2
    assert replayed.refused == ()


RELEASED_AND_RESTARTED = (
    "instance 1 claims",
    "instance 1 moves the key",
    "instance 1 is answered a release",
    "server 0 ends",
    "server 0 starts again",
)
"""A server releases the key and restarts; its new run knows no token."""


def test_an_answered_release_holds_for_the_next_run_too():
    """An isolated earlier leader still renews by its stale state.

    Found by exploring all orders of ten events. The server released the range
    and restarted at once; its new run knows no token, so it takes the
    renewal. This can happen within 1.5 s of the earlier leader's confirmation,
    and only if that leader does not learn of the later one.
    """
    events = (
        "instance 1 claims",
        "instance 1 moves the key",
        "instance 1 is answered a release",
        "server 0 ends",
        "server 0 starts again",
        "instance 0 renews",
        "server 0 takes token 1",
        "instance 1 gives",
        "server 1 takes token 2",
    )
    state = model.replay(model.Rules(), events)
    assert model.count_holders(state) <= 1


def test_a_release_that_an_earlier_leader_may_undo_is_no_proof_yet():
    """The later leader does not grant the key yet, so no server can take it."""
    renewed = (
        *RELEASED_AND_RESTARTED,
        "instance 0 renews",
        "server 0 takes token 1",
    )
    given = ("instance 1 gives", "server 1 takes token 2")
    trusting = model.Rules(releases_wait_for_earlier=False)
    violating = model.replay(trusting, (*renewed, *given))
    assert model.count_holders(violating) == 2
    assert violating.refused == ()
    held = model.replay(model.Rules(), renewed)
    assert model.count_holders(held) <= 1
    assert held.refused == ()
    assert model.replay(model.Rules(), (*renewed, *given)).refused == given


def test_an_event_that_does_not_exist_is_an_error():
    with pytest.raises(KeyError, match="instance 1 gifs"):
        model.replay(model.Rules(), ("instance 1 gifs",))
    with pytest.raises(ValueError, match="instance 1 gives"):
        model.explore(model.Rules(), 1, first=("instance 1 gives",))


def test_the_list_of_event_names_is_complete():
    """A missing name would raise an error where the event is only refused."""
    every = model.Rules(refusal_is_proof=True)
    observed: set[str] = set()
    states = {model.START}
    for _ in range(6):
        steps = [s for state in states for s in model._events(state, every, 3)]
        observed |= {step.event for step in steps}
        states = {step.state for step in steps}
    names = model._list_names(3)
    assert observed <= names
    kinds = {re.sub(r"\d", "", name) for name in names}
    assert {re.sub(r"\d", "", name) for name in observed} == kinds


def test_no_order_after_release_and_restart_gives_a_key_two_holders():
    """Explores all orders of up to twelve events that begin with those five."""
    first = RELEASED_AND_RESTARTED
    explored = model.explore(model.Rules(), 7, first=first)
    assert explored.violation is None
    assert explored.states_count > 10_000
    trusting = model.Rules(releases_wait_for_earlier=False)
    assert model.explore(trusting, 7, first=first).violation is not None
