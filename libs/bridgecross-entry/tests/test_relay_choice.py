"""Which requests go through a relay, and which relays are left alone."""

import entry_support as support
import pytest

from bridgecross_core import ids
from bridgecross_entry import model
from bridgecross_entry import relay_choice

SERVER = support.make_server("a", domain="hall-1")
STRONG = tuple(model.Address("127.0.0.2", port) for port in range(1, 6))
RANKED = relay_choice.rank_relays(SERVER, STRONG)
FIRST, SECOND = RANKED[:2]
ALL = ids.ServerId("")


class Scene:
    """An instance, and the strong instances of a server's domain."""

    def __init__(self, own=support.INSTANCE.peer_address) -> None:
        self.clock = support.ManualClock()
        self.strong = {"hall-1": STRONG}
        self.has_few_slots = True
        self.is_connected = False
        self.heard_s = dict.fromkeys(STRONG, self.clock.now_s)
        self.choice = relay_choice.RelayChoice(
            relay_choice.RelaySettings(),
            own,
            lambda _: self.has_few_slots,
            lambda domain: self.strong.get(domain, ()),
            self.heard_s.get,
            support.make_journal(self.clock),
            self.clock,
        )

    def choose(self, body_bytes=100, remaining_s=2.0, server=SERVER):
        return self.choice.choose(
            server, body_bytes, remaining_s, lambda: self.is_connected
        )

    def hear(self, *addresses: model.Address, after_s=0.0):
        self.clock.now_s += after_s
        for address in addresses:
            self.heard_s[address] = self.clock.now_s


def _plenty(scene):
    scene.has_few_slots = False


def _connect(scene):
    scene.is_connected = True


def _know_nobody(scene):
    scene.strong.clear()


STRAIGHT = {
    "many slots": (_plenty, {}),
    "an open connection": (_connect, {}),
    "no relay is known": (_know_nobody, {}),
    "a large body": (None, {"body_bytes": 64 * 1024 + 1}),
    "little time": (None, {"remaining_s": 0.09}),
    "another domain": (
        None,
        {"server": support.make_server("a", domain="hall-2")},
    ),
}


@pytest.mark.parametrize(("act", "options"), STRAIGHT.values(), ids=STRAIGHT)
def test_what_goes_straight(act, options):
    """Guards against relayed requests that gain nothing from a relay."""
    scene = Scene()
    assert scene.choose(64 * 1024, 0.1).relay == FIRST
    if act is not None:
        act(scene)
    assert scene.choose(**options) == relay_choice.STRAIGHT


# Guards against requests that are passed on from relay to relay.
@pytest.mark.parametrize("own", [FIRST, SECOND])
def test_a_relay_sends_straight(own):
    assert Scene(own).choose() == relay_choice.STRAIGHT


def test_relays_stay_when_others_leave_and_across_runs():
    """Guards against new relays whenever an instance or server restarts."""
    rest = [each for each in STRONG if each != RANKED[-1]]
    assert relay_choice.rank_relays(SERVER, rest) == RANKED[:-1]
    later = support.make_server("a", domain="hall-1", started_ms=5)
    assert relay_choice.rank_relays(later, STRONG) == RANKED
    scene = Scene()
    scene.choose()
    scene.strong["hall-1"] = (RANKED[4],)
    assert scene.choose().relay == RANKED[4]


def test_a_relay_whose_clock_is_not_known_is_wanted_only():
    """Guards against messages whose age the relay cannot check."""
    scene = Scene()
    del scene.heard_s[FIRST]
    assert scene.choose() == relay_choice.Way(SECOND, (FIRST,))
    del scene.heard_s[SECOND]
    assert scene.choose() == relay_choice.Way(None, (FIRST, SECOND))


# Guards against requests that go to a lost relay again and again.
def test_a_failed_relay_is_left_alone_for_doubling_times():
    scene = Scene()
    for pause_s in (1.0, 2.0, 4.0, 8.0, 8.0):
        scene.choice.note_failed(FIRST, "silent")
        scene.choice.note_failed(FIRST, "silent")
        scene.hear(FIRST, SECOND, after_s=pause_s - 0.01)
        assert scene.choose().relay == SECOND
        scene.hear(FIRST, after_s=0.02)
        assert scene.choose().relay == FIRST
    scene.choice.note_served(FIRST, SERVER.server_id)
    scene.choice.note_failed(FIRST, "silent")
    scene.hear(FIRST, after_s=1.01)
    assert scene.choose().relay == FIRST


# Guards against a request as the probe of a relay that is still silent.
def test_a_failed_relay_is_used_only_once_it_has_answered():
    scene = Scene()
    scene.choice.note_failed(FIRST, "silent")
    scene.hear(SECOND, after_s=1.01)
    assert scene.choose() == relay_choice.Way(SECOND, (FIRST,))


def test_a_broken_link_of_a_relay_concerns_one_server():
    """Guards against a relay that is given up because of a single server."""
    scene = Scene()
    scene.choice.note_failed(FIRST, "no link", SERVER.server_id)
    assert scene.choose().relay == SECOND
    others = [support.make_server(str(n)) for n in range(40)]
    assert FIRST in [scene.choose(server=each).relay for each in others]


def test_pauses_are_forgotten_after_a_while():
    """Guards against long pauses because of failures long ago."""
    scene = Scene()
    scene.choice.note_failed(FIRST, "silent")
    scene.choice.note_failed(SECOND, "silent", SERVER.server_id)
    scene.hear(*STRONG, after_s=9.01)
    scene.choice.sweep({SERVER.server_id})
    scene.choice.note_failed(FIRST, "silent")
    scene.hear(*STRONG, after_s=1.01)
    assert scene.choose().relay == FIRST
