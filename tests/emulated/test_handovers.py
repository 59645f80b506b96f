"""Keys are not granted to another server before the last holder released them.

Each schedule is the shrunk form of a random one that violated this guarantee.
"""

from bridgecross_emulator import faults
from bridgecross_emulator import search

# A leader that cannot send to its peers writes a move, and waits until they
# know of it. The next leader resumes the move, and its release waits for work
# that is running. Then the release of the first leader finds nothing held, and
# its answer is mistaken for proof.
_MUTE_LEADER = (
    faults.Event(1.938, "hot range", 5, 4.218),
    faults.Event(2.962, "isolated", 0, 2.116),
    faults.Event(4.445, "hot range", 2, 5.806),
    faults.Event(6.796, "mute", 0, 5.7),
)
# The same, with a move that comes into force by an append carried out late.
_LATE_APPEND = (
    faults.Event(0.0, "traffic", 0, 16.0),
    faults.Event(0.839, "evacuation", 0, 1.045),
    faults.Event(0.957, "hot range", 6, 5.416),
    faults.Event(0.96, "log appends late", 0, 2.96),
    faults.Event(2.891, "parted", 0, 0.969),
)


def test_a_second_release_is_no_proof_beside_another_leader():
    violations = {
        violation
        for events in (_MUTE_LEADER, _LATE_APPEND)
        for violation in search.simulate(events).violations
    }
    assert violations == set()


# A release overtakes a renewal of the same range, so that the server counts as
# outranked. A plan that moves other ranges to this server then forgets their
# holders.
_ORDERS_OVERTAKE = (
    faults.Event(0.0, "traffic", 0, 14.0),
    faults.Event(0.056, "hot range", 3, 5.375),
    faults.Event(0.1, "link lossy", 0, 13.0),
    faults.Event(0.11, "link lossy", 5, 13.0),
    faults.Event(0.12000000000000001, "link lossy", 10, 13.0),
    faults.Event(0.13, "link lossy", 15, 13.0),
    faults.Event(3.784, "hot range", 4, 2.203),
    faults.Event(6.148, "hot range", 2, 4.517),
    faults.Event(7.57, "hot range", 4, 3.363),
    faults.Event(7.682, "server leaves", 0, 3.683),
)


def test_the_holder_of_what_goes_to_an_outranked_server_is_not_forgotten():
    assert search.simulate(_ORDERS_OVERTAKE).violations == ()
