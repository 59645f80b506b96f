"""The bytes of records in the log and of messages between instances.

Instances of different versions run side by side, and a new version reads what
an earlier one left in the log. The bytes were written by an earlier version.
"""

import pytest

from bridgecross_entry import instance_list
from bridgecross_entry import keymap
from bridgecross_entry import leadership
from bridgecross_entry import peers
from bridgecross_entry import permits
from bridgecross_entry import poison_broadcast

_PERMIT_MESSAGE = (
    "9298a473313434a473313435cc92cb4062700000000000cb4062900000000000a473"
    "31343992a473313530a473313531c394a473313532cb4063300000000000a664656e"
    "696564cb4063500000000000"
)

FORMS = [
    pytest.param(leadership._CLAIMS, "9201a27332", id="leadership._CLAIMS"),
    pytest.param(
        keymap._CODEC,
        "95a2733304a2733592a273360792950809a37331300ba3733132950d0ea3"
        "73313510a3733137",
        id="keymap._CODEC",
    ),
    pytest.param(
        peers._LOADS,
        "95a3733138a3733139cb4034800000000000929215169217189293a37332"
        "351acb403b80000000000093a37332381dcb403e800000000000",
        id="peers._LOADS",
    ),
    pytest.param(
        peers._MAPS,
        "95a373333120a373333392a37333342392952425a373333827a373343095"
        "292aa37334332ca3733435",
        id="peers._MAPS",
    ),
    pytest.param(
        peers._SETTLED, "9293a37334362f3093a37334393233", id="peers._SETTLED"
    ),
    pytest.param(
        peers._RELAYS,
        "959234a3733533c3c3c39297a37335343738399292a3733538c4023b0192"
        "a3733630c4023d01cb404f400000000000c397a37336334041429292a373"
        "3637c402440192a3733639c4024601cb4051e00000000000c3",
        id="peers._RELAYS",
    ),
    pytest.param(
        peers._ENVELOPES,
        "92929248cb4052600000000000cb4052a00000000000c4024b01",
        id="peers._ENVELOPES",
    ),
    pytest.param(
        peers._REPLIES,
        "959292a37337364d92a37337384f9297a37338305152539292a3733834c4"
        "02550192a3733836c4025701cb4056200000000000c397a37338395a5b5c"
        "9292a3733933c4025e0192a3733935c4026001cb4058600000000000c3c3"
        "9262cb4058e0000000000064",
        id="peers._REPLIES",
    ),
    pytest.param(
        instance_list.INSTANCES,
        "93a473313031c3a473313032",
        id="instance_list.INSTANCES",
    ),
    pytest.param(
        poison_broadcast._UPDATES,
        "949294c4026701a473313034cb405a600000000000cb405aa00000000000"
        "94c4026b01a473313038cb405b600000000000cb405ba000000000009292"
        "c4026f01cb405c20000000000092c4027101cb405ca000000000009292a4"
        "733131357492a47331313776c3",
        id="poison_broadcast._UPDATES",
    ),
    pytest.param(
        poison_broadcast._REPLIES,
        "939292a4733131397892a4733132317a9294c4027b01a473313234cb405f"
        "600000000000cb405fa0000000000094c4027f01a473313238cb40603000"
        "00000000cb40605000000000009292c4028301cb406090000000000092c4"
        "028501cb4060d00000000000",
        id="poison_broadcast._REPLIES",
    ),
    pytest.param(
        poison_broadcast._RECORDS,
        "92cb4060f000000000009294c4028801a473313337cb4061500000000000"
        "cb406170000000000094c4028c01a473313431cb4061d00000000000cb40"
        "61f00000000000",
        id="poison_broadcast._RECORDS",
    ),
    pytest.param(
        permits.MESSAGES,
        _PERMIT_MESSAGE,
        id="permits.MESSAGES",
    ),
    pytest.param(
        permits.REPLIES,
        "96a9756e636f756e746564a473313535cb4063900000000000a473313537cc9ec3",
        id="permits.REPLIES",
    ),
]


def test_what_is_known_of_a_caller_is_decoded():
    """Guards against a field that is left out although it is not empty."""
    request = permits.MESSAGES.decode(bytes.fromhex(_PERMIT_MESSAGE)).request
    for changes in ({"caller": 7}, {"caller_age_s": 0.5}):
        message = permits.Message(request._replace(**changes))
        encoded = permits.MESSAGES.encode(message)
        assert permits.MESSAGES.decode(encoded) == message


@pytest.mark.parametrize(("codec", "written"), FORMS)
def test_stored_bytes_are_read_and_written_as_before(codec, written):
    data = bytes.fromhex(written)
    assert codec.encode(codec.decode(data)) == data
