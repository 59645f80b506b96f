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
            [peers.Reception.ENDED, peers.Reception.ACCEPTED],
            id="it has started again",
        ),
        pytest.param(
            [REFUSED, REFUSED],
            [peers.Reception.ENDED, peers.Reception.ENDED],
            id="nobody listens yet",
        ),
        pytest.param(
            [SILENT],
            [peers.Reception.UNKNOWN, peers.Reception.UNKNOWN],
            id="it is left alone for a while",
        ),
    ],
)
async def test_only_an_instance_that_was_called_is_known_to_have_ended(
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
