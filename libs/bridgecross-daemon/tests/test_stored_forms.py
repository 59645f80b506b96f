"""The bytes of records in the log and of messages between daemons.

Instances of different versions run side by side, and a new version reads what
an earlier one left in the log. The bytes were written by an earlier version.
"""

import pytest

from bridgecross_daemon import control
from bridgecross_daemon import peer_protocol
from bridgecross_log import records as log_records
from bridgecross_log import snapshot
from bridgecross_ownership import records as ownership_records
from bridgecross_request import intents
from bridgecross_settings import versions

FORMS = [
    pytest.param(
        peer_protocol._STAMPED, "92920102c4020301", id="peer_protocol._STAMPED"
    ),
    pytest.param(
        peer_protocol.FORWARD._requests,
        "9ca27334a27335a27336a27337a27338a27339a37331309292c4020b01c4"
        "020c0192c4020d01c4020e01c4020f0110a373313712",
        id="peer_protocol.FORWARD request",
    ),
    pytest.param(
        peer_protocol.FORWARD._replies,
        "9384a673746174757313a7686561646572739282a46e616d65c4021401a5"
        "76616c7565c402150182a46e616d65c4021601a576616c7565c4021701a4"
        "626f6479c4021801aa706163655f726174696fcb403980000000000085a5"
        "70726f6f66ae696e74656e742d6e6f742d776f6ea6726561736f6ea37332"
        "36a67374617475731bae72657472795f61667465725f6d731ca77265726f"
        "757465c382a6726561736f6ea3733239a67374617475731e",
        id="peer_protocol.FORWARD reply",
    ),
    pytest.param(
        peer_protocol.INHERIT._requests,
        "929ca3733331a3733332a3733333a3733334a3733335a3733336a3733337"
        "9292c4022601c402270192c4022801c4022901c4022a012ba37334342d94"
        "2ea37334373031",
        id="peer_protocol.INHERIT request",
    ),
    pytest.param(
        peer_protocol.INHERIT._replies,
        "9384a673746174757332a7686561646572739282a46e616d65c4023301a5"
        "76616c7565c402340182a46e616d65c4023501a576616c7565c4023601a4"
        "626f6479c4023701aa706163655f726174696fcb404c40000000000085a5"
        "70726f6f66ae696e74656e742d6e6f742d776f6ea6726561736f6ea37335"
        "37a67374617475733aae72657472795f61667465725f6d733ba77265726f"
        "757465c382a6726561736f6ea3733630a67374617475733d",
        id="peer_protocol.INHERIT reply",
    ),
    pytest.param(
        peer_protocol.HEARTBEAT._requests,
        "93a3733632c39195a37336339193a3733634a4646f776e41919242439192"
        "444591924647",
        id="peer_protocol.HEARTBEAT request",
    ),
    pytest.param(
        peer_protocol.HEARTBEAT._replies,
        "92c391a3733732",
        id="peer_protocol.HEARTBEAT reply",
    ),
    pytest.param(
        peer_protocol.AWAIT_RELEASE._requests,
        "94a3733733a373373491924b4c4d",
        id="peer_protocol.AWAIT_RELEASE request",
    ),
    pytest.param(
        peer_protocol.AWAIT_RELEASE._replies,
        "91914e",
        id="peer_protocol.AWAIT_RELEASE reply",
    ),
    pytest.param(
        peer_protocol.QUEUE_OWNER_DRAINED._requests,
        "94a3733739a37338305152",
        id="peer_protocol.QUEUE_OWNER_DRAINED request",
    ),
    pytest.param(
        peer_protocol.QUEUE_OWNER_DRAINED._replies,
        "92a3733833c3",
        id="peer_protocol.QUEUE_OWNER_DRAINED reply",
    ),
    pytest.param(
        peer_protocol.NEWS._requests, "9154", id="peer_protocol.NEWS request"
    ),
    pytest.param(
        peer_protocol.NEWS._replies,
        "94a373383556919257c40258019259c4025a01",
        id="peer_protocol.NEWS reply",
    ),
    pytest.param(
        peer_protocol.STATUS._requests, "90", id="peer_protocol.STATUS request"
    ),
    pytest.param(
        peer_protocol.STATUS._replies,
        "9ba3733931a3733932a3733933a3733934c391a3733935606162639198a4"
        "7331303065a47331303267689194a473313035a4733130366b6c81a47331"
        "30396e81a47331313170",
        id="peer_protocol.STATUS reply",
    ),
    pytest.param(
        peer_protocol.OWNER._requests,
        "92a473313133a473313134",
        id="peer_protocol.OWNER request",
    ),
    pytest.param(
        peer_protocol.OWNER._replies,
        "99c373a47331313675a4733131387791a47331323079a473313232",
        id="peer_protocol.OWNER reply",
    ),
    pytest.param(
        peer_protocol.POISON_REPORT._requests,
        "929294c4027b01a473313234cb405f600000000000cb405fa00000000000"
        "94c4027f01a473313238cb4060300000000000cb40605000000000009292"
        "c4028301cb406090000000000092c4028501cb4060d00000000000",
        id="peer_protocol.POISON_REPORT request",
    ),
    pytest.param(
        peer_protocol.POISON_REPORT._replies,
        "929294c4028701a473313336cb4061300000000000cb4061500000000000"
        "94c4028b01a473313430cb4061b00000000000cb4061d000000000009292"
        "c4028f01cb406210000000000092c4029101cb4062500000000000",
        id="peer_protocol.POISON_REPORT reply",
    ),
    pytest.param(
        peer_protocol.DRAIN._requests, "90", id="peer_protocol.DRAIN request"
    ),
    pytest.param(
        peer_protocol.DRAIN._replies, "91cc93", id="peer_protocol.DRAIN reply"
    ),
    pytest.param(
        peer_protocol.TIMELINE._requests,
        "90",
        id="peer_protocol.TIMELINE request",
    ),
    pytest.param(
        peer_protocol.TIMELINE._replies,
        "91919492cc94cc95a473313530a47331353181a473313532a178",
        id="peer_protocol.TIMELINE reply",
    ),
    pytest.param(
        control._SNAPSHOTS,
        "9294cc99a473313534a473313535c4029c019196a473313537cc9ea47331"
        "3539cca09193a473313631cca292a473313633a47331363481a473313635"
        "95a473313636cca792a473313638a473313639a4733137309293a4733137"
        "31ccac92a473313733a47331373493a473313735ccb092a473313737a473"
        "313738",
        id="control._SNAPSHOTS",
    ),
    pytest.param(
        log_records._ENVELOPES,
        "95a473313739a473313830a47331383192ccb6ccb7c402b801",
        id="log_records._ENVELOPES",
    ),
    pytest.param(
        snapshot._CHUNKS,
        "96a473313835ccbaccbbccbcccbdc402be01",
        id="snapshot._CHUNKS",
    ),
    pytest.param(
        ownership_records.CLAIMS,
        "94a473313931ccc0a473313933ccc2",
        id="ownership_records.CLAIMS",
    ),
    pytest.param(
        ownership_records.ASSIGNMENTS,
        "99a473313935ccc4ccc59292a47331393892ccc7ccc892a47332303192cc"
        "cacccb9294a473323034a47332303592a473323036a473323037a4733230"
        "3894a473323039a47332313092a473323131a473323132a47332313392cc"
        "d6ccd792a473323136a47332313792a473323138a473323139a473323230",
        id="ownership_records.ASSIGNMENTS",
    ),
    pytest.param(
        intents._INTENTS,
        "93a473323231a473323232a473323233",
        id="intents._INTENTS",
    ),
    pytest.param(
        intents._RETURNS,
        "94a473323234a473323235a473323236cce3",
        id="intents._RETURNS",
    ),
    pytest.param(
        versions._CHANGES,
        "94cce4a473323239a473323330c402e701",
        id="versions._CHANGES",
    ),
]


@pytest.mark.parametrize(("codec", "written"), FORMS)
def test_stored_bytes_are_read_and_written_as_before(codec, written):
    data = bytes.fromhex(written)
    assert codec.encode(codec.decode(data)) == data
