import entry_support as support
import pytest

from bridgecross_entry import evacuations
from bridgecross_entry import server_registry
from bridgecross_entry import servers

START = evacuations.EvacuationChange("hall-1", is_evacuated=True)
END = evacuations.EvacuationChange("hall-1", is_evacuated=False)
KEYS_FOR_S = support.BOUNDS.evacuation_ms / 1_000 / 2


@pytest.fixture
def clock():
    return support.ManualClock()


@pytest.fixture
def registry(clock):
    made = server_registry.ServerRegistry(
        servers.ServerSettings(),
        support.BOUNDS,
        support.make_journal(clock),
        clock,
    )
    made.put(support.make_server("a"))
    made.put(support.make_server("far", domain="hall-2"))
    return made


def _usable(registry, clock):
    """Returns the servers usable by requests without a key, and with one."""
    free = {
        s.listed.name
        for s in registry.of_service("rapor")
        if registry.may_use_without_key(s, clock.now_s)
    }
    keyed = {
        s.listed.name
        for s in registry.of_service("rapor")
        if registry.may_use(s, clock.now_s)
    }
    return free, keyed


def test_requests_without_a_key_avoid_the_domain_at_once(registry, clock):
    registry.evacuate([START], clock.now_s)
    assert _usable(registry, clock) == ({"far"}, {"a", "far"})
    assert registry.domains_of("rapor") == {"hall-2"}


@pytest.mark.parametrize(
    ("known_s_ago", "left_s"),
    [
        pytest.param(0.0, KEYS_FOR_S, id="learned at once"),
        pytest.param(1.0, KEYS_FOR_S - 1.0, id="learned late"),
        pytest.param(9.0, 0.0, id="learned after the bound"),
        pytest.param(None, KEYS_FOR_S, id="just started"),
    ],
)
def test_keys_are_served_while_they_move(registry, clock, known_s_ago, left_s):
    known_s = None if known_s_ago is None else clock.now_s - known_s_ago
    registry.evacuate([START], known_s)
    clock.now_s += left_s - 0.01
    assert ("a" in _usable(registry, clock)[1]) == (left_s > 0)
    clock.now_s += 0.02
    assert _usable(registry, clock) == ({"far"}, {"far"})


def test_repeating_an_evacuation_does_not_extend_it(registry, clock):
    registry.evacuate([START], clock.now_s)
    clock.now_s += KEYS_FOR_S - 0.1
    registry.evacuate([START], clock.now_s)
    clock.now_s += 0.2
    assert _usable(registry, clock)[1] == {"far"}


def test_a_domain_is_used_again_after_the_evacuation(registry, clock):
    registry.evacuate([START], clock.now_s)
    clock.now_s += 6.0
    registry.evacuate([END], clock.now_s)
    assert _usable(registry, clock) == ({"a", "far"}, {"a", "far"})


def test_an_unknown_domain_has_no_effect(registry, clock):
    registry.evacuate([START._replace(domain="nowhere")], clock.now_s)
    assert _usable(registry, clock) == ({"a", "far"}, {"a", "far"})


def test_a_server_that_joins_an_evacuated_domain_gets_no_requests(
    registry, clock
):
    registry.evacuate([START], clock.now_s)
    clock.now_s += 6.0
    registry.put(support.make_server("new"))
    assert _usable(registry, clock) == ({"far"}, {"far"})
