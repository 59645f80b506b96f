"""What the results of calls show about other instances."""

import entry_support as support
import pytest

from bridgecross_core import clock
from bridgecross_entry import exchange
from bridgecross_entry import model
from bridgecross_entry import peers

pytestmark = pytest.mark.anyio

ADDRESS = model.Address("127.0.0.1", 1)
REFUSED = exchange.Unsent("refused", refused=True)
SILENT = exchange.Broken("no answer")
ACCEPTED = exchange.Reply(200, (), b"")


class Peer:
    """Another instance with scripted results of calls."""

    def __init__(self, *results: exchange.Result) -> None:
        self.results = list(results)

    async def exchange(self, request, accepts):
        return self.results.pop(0)


# Two leaders had a majority, as one of them counted an instance as terminated
# that it had not called.
@pytest.mark.parametrize(
    ("results", "expected"),
    [
        pytest.param(
            [REFUSED, ACCEPTED],
            [peers.Reception.REFUSED, peers.Reception.ACCEPTED],
            id="it has started again",
        ),
        pytest.param(
            [REFUSED, REFUSED],
            [peers.Reception.REFUSED, peers.Reception.REFUSED],
            id="nobody listens yet, or a cut refuses",
        ),
        pytest.param(
            [SILENT],
            [peers.Reception.UNKNOWN, peers.Reception.UNKNOWN],
            id="it is left alone for a while",
        ),
    ],
)
async def test_only_an_instance_that_was_called_is_known_to_refuse(
    results, expected
):
    real = clock.SystemClock()
    peer = Peer(*results)
    client = peers.PeerClient(
        peers.PeerSettings(), support.make_journal(real), real, lambda _: peer
    )
    answers = [await client.relay(ADDRESS, b"", None) for _ in expected]
    assert [answer.reception for answer in answers] == expected
    assert not peer.results


# Guards against heartbeats that a pause holds back, and pauses that outlast it.
@pytest.mark.parametrize(
    ("lengths_bytes", "is_paused"),
    [
        pytest.param([200, 200], False, id="it was out of reach for a moment"),
        pytest.param([9_000, 200], True, id="its link may be slow"),
        pytest.param([200, 9_000], True, id="and another call failed before"),
    ],
)
async def test_an_answered_heartbeat_ends_the_pause_after_a_short_message(
    lengths_bytes, is_paused
):
    manual = support.ManualClock()
    peer = Peer(SILENT, SILENT, ACCEPTED)
    client = peers.PeerClient(
        peers.PeerSettings(),
        support.make_journal(manual),
        manual,
        lambda _: peer,
    )
    for length_bytes in lengths_bytes:
        answer = await client.relay_despite_pause(
            ADDRESS, bytes(length_bytes), None
        )
        assert answer.reception is peers.Reception.UNKNOWN
        assert client.is_paused(ADDRESS)
        assert client.may_be_silent(ADDRESS)
    answer = await client.relay_despite_pause(ADDRESS, b"", None)
    assert answer.reception is peers.Reception.ACCEPTED
    assert client.is_paused(ADDRESS) == is_paused
    assert client.may_be_silent(ADDRESS) == is_paused
    manual.now_s += peers.PeerSettings().pause_s
    assert not client.may_be_silent(ADDRESS)


async def test_an_instance_that_refuses_connections_is_not_silent():
    """It is called in the next round."""
    manual = support.ManualClock()
    peer = Peer(SILENT, REFUSED)
    client = peers.PeerClient(
        peers.PeerSettings(),
        support.make_journal(manual),
        manual,
        lambda _: peer,
    )
    await client.relay(ADDRESS, b"", None)
    answer = await client.relay_despite_pause(ADDRESS, b"", None)
    assert answer.reception is peers.Reception.REFUSED
    assert not client.may_be_silent(ADDRESS)


async def test_an_old_failure_does_not_show_that_a_peer_is_silent():
    manual = support.ManualClock()
    client = peers.PeerClient(
        peers.PeerSettings(),
        support.make_journal(manual),
        manual,
        lambda _: Peer(SILENT),
    )
    await client.relay(ADDRESS, b"", None)
    manual.now_s += peers.PeerSettings().pause_s
    assert client.may_be_silent(ADDRESS)
    manual.now_s += peers.PeerSettings().failure_evidence_s
    assert not client.may_be_silent(ADDRESS)
