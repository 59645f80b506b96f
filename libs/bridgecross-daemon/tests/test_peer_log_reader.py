import math
import pathlib

import anyio
import pytest

from bridgecross_core import clock as clocks
from bridgecross_core import codec
from bridgecross_core import hybrid_clock
from bridgecross_core import ids
from bridgecross_daemon import _peer_log_reader
from bridgecross_daemon import _platform
from bridgecross_daemon import control
from bridgecross_daemon import peer_protocol
from bridgecross_log import records as log_records
from bridgecross_log import service as log_service
from bridgecross_ownership import authority as authorities
from bridgecross_ownership import membership as memberships
from bridgecross_settings import check
from bridgecross_settings import versions
from bridgecross_timeline import ring as rings

pytestmark = pytest.mark.anyio

SAMPLE = pathlib.Path(__file__).parents[3] / "settings" / "karatas.jsonc"
DOCUMENT = check.check_text(SAMPLE.read_text(encoding="utf-8"), "k").document
SETTINGS = authorities.AuthoritySettings(authority_ms=50)


class _FixedLogView:
    """An ``authority.LogView`` of fixed freshness."""

    awaits_snapshot = False

    def __init__(self, fresh_at_s: float) -> None:
        self.fresh_at_s = fresh_at_s


class _Peers:
    """Passes requests to the readers; a ``ports.PeerCaller``."""

    def __init__(self) -> None:
        self.readers: dict[str, _peer_log_reader.PeerLogReader] = {}
        self.asked: list[str] = []

    async def call(self, address, method, request, timeout_s):
        self.asked.append(address)
        if address not in self.readers:
            raise peer_protocol.PeerUnreachableError("gone", never_sent=True)
        return self.readers[address].answer(request)


def _make_change(offset: int) -> log_service.StoredRecord:
    """Returns a settings change based on the one at the offset before."""
    change = versions.SettingsChange(
        ids.Offset(offset - 1), "ayse", "", codec.to_json(DOCUMENT).encode()
    )
    envelope = log_records.Envelope(
        f"r{offset}",
        versions.CHANGE_KIND,
        "w",
        hybrid_clock.Timestamp(0, 0),
        versions.encode_change(change),
    )
    return log_service.StoredRecord(
        ids.Offset(offset), log_records.encode_envelope(envelope)
    )


def _add_instance(
    name: str, peers: _Peers, *, read: int, fresh_at_s: float
) -> control.ControlState:
    """Starts an instance that has read some records, and returns its state."""
    clock = clocks.SystemClock()
    hybrid = hybrid_clock.HybridClock(clock)
    state = control.ControlState(rings.Ring(rings.RingSettings(name), hybrid))
    for offset in range(read):
        state.apply(_make_change(offset))
    membership = memberships.Membership()
    membership.replace(
        [
            memberships.Listing(
                each,
                memberships.Role.ENTRY,
                "",
                "hall",
                each,
                memberships.ListedState.LIVE,
            )
            for each in "abcd"
        ]
    )
    peers.readers[name] = _peer_log_reader.PeerLogReader(
        ids.InstanceId(name),
        state,
        authorities.Authority(SETTINGS, _FixedLogView(fresh_at_s), clock),
        peers,
        _platform.Addresses(membership),
        clock,
    )
    return state


async def _run_briefly(reader: _peer_log_reader.PeerLogReader) -> None:
    with anyio.move_on_after(0.3):
        await reader.run()


async def test_an_instance_without_witnesses_reads_from_other_instances():
    """Only this instance has no access to the log.

    Instance b has read no more than it, c has, and d does not answer.
    """
    peers = _Peers()
    state = _add_instance("a", peers, read=1, fresh_at_s=-math.inf)
    _add_instance("b", peers, read=1, fresh_at_s=-math.inf)
    _add_instance("c", peers, read=2, fresh_at_s=math.inf)
    await _run_briefly(peers.readers["a"])
    assert state.settings.offset == 1
    assert set(peers.asked) == {"b", "c", "d"}


async def test_other_instances_are_asked_if_the_witnesses_are_behind():
    peers = _Peers()
    state = _add_instance("a", peers, read=1, fresh_at_s=-math.inf)
    _add_instance("b", peers, read=1, fresh_at_s=-math.inf)
    _add_instance("c", peers, read=2, fresh_at_s=math.inf)
    peers.readers["a"].witnesses = {ids.InstanceId("b")}
    await _run_briefly(peers.readers["a"])
    assert state.settings.offset == 1


async def test_no_instance_is_asked_while_the_log_is_available():
    peers = _Peers()
    _add_instance("a", peers, read=1, fresh_at_s=math.inf)
    await _run_briefly(peers.readers["a"])
    assert peers.asked == []
