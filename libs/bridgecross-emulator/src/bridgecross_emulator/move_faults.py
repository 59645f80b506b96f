"""Faults of a cluster while keys move and requests for them arrive.

These events are drawn separately from those of ``faults``, some of which are
mixed in. They consist of steady traffic, ranges under high load, servers that
join, and faults that cause orders and key maps to be lost in part, late or
unanswered.
"""

import itertools
import random

from bridgecross_emulator import faults
from bridgecross_emulator import instances
from bridgecross_emulator import servers
from bridgecross_emulator import traffic
from bridgecross_emulator import work
from bridgecross_entry import cluster_state
from bridgecross_entry import keymap
from bridgecross_entry import log as logs
from bridgecross_entry import model

TRAFFIC = "traffic"
HOT_RANGE = "hot range"
LOSSY = "links lossy"
MISTAKEN = "server mistaken"
UNLISTED = "instance unlisted"

_RATE_PER_S = 12.0
_HOT_RATE_PER_S = 18.0
_HOT_KEYS = 300
_HOT_STEP = 9_973
"""Hot ranges begin at multiples of this, so that they are far apart."""

_LOST_RATIO = 0.3
_LATE_RATIO = 0.5
_APPEND_LATE_S = 1.2
"""Longer than the 0.8 s after which a call to the log times out, so that the
append is carried out after the timeout."""

_KILL_AFTER_S = 0.002


def _send_requests(scene: faults.Scene, target: int) -> faults.End:
    load = traffic.Traffic(
        scene.cluster, keymap.FIRST_KEY, keymap.LAST_KEY, _RATE_PER_S
    )
    load.start()
    return load.stop


def _start_hot_range(scene: faults.Scene, target: int) -> faults.End:
    first_key = target * _HOT_STEP % keymap.LAST_KEY
    last_key = first_key + _HOT_KEYS - 1
    load = traffic.Traffic(scene.cluster, first_key, last_key, _HOT_RATE_PER_S)
    load.start()
    return load.stop


def _join_server(scene: faults.Scene, target: int) -> faults.End:
    """Another server starts, and keeps running."""
    fleet = scene.cluster.fleet
    number = len(fleet.servers)
    address = model.Address(f"10.2.1.{number}", 8_609)
    fleet.add(f"j-{number}", instances.SERVICE, address, scene.domain(target))
    return lambda: None


def _lose_answers(scene: faults.Scene, target: int) -> faults.End:
    """Appends of an instance are carried out but not answered."""
    return _delay_appends(scene, target, 0.0)


def _append_late(scene: faults.Scene, target: int) -> faults.End:
    """Appends of an instance are carried out after they have timed out."""
    return _delay_appends(scene, target, _APPEND_LATE_S)


def _delay_appends(
    scene: faults.Scene, target: int, late_s: float
) -> faults.End:
    log_client = scene.instance(target).log_client
    log_client.append_delay_s = late_s

    def end() -> None:
        log_client.append_delay_s = None

    return end


def _kill_after_append(scene: faults.Scene, target: int) -> faults.End:
    """The leader that appends the next key map is killed before the answer."""
    log = scene.cluster.log
    killed: list[instances.EmulatedInstance] = []

    def kill() -> None:
        leader = scene.cluster.leader
        if not leader.is_killed:
            leader.kill()
            killed.append(leader)

    def note(topic: str) -> None:
        if topic == cluster_state.KEY_TOPIC:
            log.on_appended = lambda _: None
            work.call_later(_KILL_AFTER_S, kill)

    log.on_appended = note

    def end() -> None:
        log.on_appended = lambda _: None
        for instance in killed:
            scene.cluster.restart(instance)

    return end


def _delay_orders(
    scene: faults.Scene, target: int, order_faults: servers.OrderFaults
) -> faults.End:
    server = scene.server(target)
    server.order_faults = order_faults

    def end() -> None:
        server.order_faults = servers.OrderFaults()

    return end


def _delay_some(scene: faults.Scene, target: int) -> faults.End:
    order_faults = servers.OrderFaults(_LATE_RATIO, _LATE_RATIO)
    return _delay_orders(scene, target, order_faults)


def _delay_releases(scene: faults.Scene, target: int) -> faults.End:
    order_faults = servers.OrderFaults(release_ratio=1.0)
    return _delay_orders(scene, target, order_faults)


def _silence_server(scene: faults.Scene, target: int) -> faults.End:
    """Orders and requests reach a server, but its answers reach no instance."""
    network = scene.cluster.network
    server = scene.server(target).address
    pairs = [(server, i.settings.peer_address) for i in scene.cluster.instances]
    for pair in pairs:
        network.cut(*pair)

    def end() -> None:
        for pair in pairs:
            network.undo_cut(*pair)

    return end


def _find_pair(
    scene: faults.Scene, target: int
) -> tuple[model.Address, model.Address]:
    """Returns the addresses of an instance and a server, by a pair's number."""
    count = len(scene.cluster.instances)
    instance = scene.instance(target % count)
    server = scene.server(target // count)
    return instance.settings.peer_address, server.address


def _lose_packets(scene: faults.Scene, target: int) -> faults.End:
    """The link between an instance and a server loses packets."""
    return _lose_between(scene, [_find_pair(scene, target)])


def _lose_all_around(scene: faults.Scene, target: int) -> faults.End:
    """All links between an instance and the servers lose packets.

    Orders can then overtake each other, including orders for the same range.
    """
    own = scene.instance(target).settings.peer_address
    present = scene.cluster.fleet.servers
    return _lose_between(scene, [(own, address) for address in present])


def _lose_between(
    scene: faults.Scene, pairs: list[tuple[model.Address, model.Address]]
) -> faults.End:
    network = scene.cluster.network
    both = [*pairs, *((receiver, sender) for sender, receiver in pairs)]
    for pair in both:
        network.lose(*pair, _LOST_RATIO)

    def end() -> None:
        for pair in both:
            network.lose(*pair, 0.0)

    return end


def _cut_requests(scene: faults.Scene, target: int) -> faults.End:
    """A server receives nothing from one instance."""
    network = scene.cluster.network
    pair = _find_pair(scene, target)
    network.cut(*pair)
    return lambda: network.undo_cut(*pair)


def _cut_answers(scene: faults.Scene, target: int) -> faults.End:
    """One instance receives nothing from a server."""
    network = scene.cluster.network
    sender, receiver = _find_pair(scene, target)
    network.cut(receiver, sender)
    return lambda: network.undo_cut(receiver, sender)


def _partition(scene: faults.Scene, target: int) -> faults.End:
    """An instance and a domain of servers are cut off from all else.

    The instance is cut off the log as well.
    """
    network = scene.cluster.network
    inside = scene.instance(target)
    own = inside.settings.peer_address
    domain = scene.domain(target)
    near = [own]
    far = [i.settings.peer_address for i in scene.cluster.instances]
    far.remove(own)
    for server in scene.cluster.fleet.servers.values():
        (near if server.domain == domain else far).append(server.address)
    pairs = [*itertools.product(near, far), *itertools.product(far, near)]
    for pair in pairs:
        network.cut(*pair)
    inside.log_client.cut()

    def end() -> None:
        for pair in pairs:
            network.undo_cut(*pair)
        inside.log_client.heal()

    return end


def _misidentify_server(scene: faults.Scene, target: int) -> faults.End:
    """One instance is told that another server has a server's address."""
    misidentified = scene.cluster.fleet.misidentified
    pair = _find_pair(scene, target)
    misidentified.add(pair)
    return lambda: misidentified.discard(pair)


def _unlist_instance(scene: faults.Scene, target: int) -> faults.End:
    """An instance is removed from the list, as if it had long been down."""
    address = scene.instance(target).settings.peer_address
    gone = logs.KeyedRecord(str(address), b"")
    scene.cluster.log.add(cluster_state.INSTANCE_TOPIC, gone)
    return lambda: None


KINDS = {
    TRAFFIC: faults.Kind(_send_requests, 0),
    HOT_RANGE: faults.Kind(_start_hot_range, 0),
    "server joins": faults.Kind(_join_server, 1, is_momentary=True),
    "log answers lost": faults.Kind(_lose_answers, 3, disturbs_target=True),
    "log appends late": faults.Kind(_append_late, 3, disturbs_target=True),
    "killed after append": faults.Kind(
        _kill_after_append, 3, disturbs_all=True
    ),
    "some orders late": faults.Kind(_delay_some, 2),
    "releases late": faults.Kind(_delay_releases, 2),
    "server says nothing": faults.Kind(_silence_server, 2),
    "link lossy": faults.Kind(_lose_packets, 2),
    "server deaf to one": faults.Kind(_cut_requests, 2),
    "server mute to one": faults.Kind(_cut_answers, 2),
    "parted": faults.Kind(_partition, 3, disturbs_target=True),
    # These are drawn separately.
    LOSSY: faults.Kind(_lose_all_around, 0),
    MISTAKEN: faults.Kind(_misidentify_server, 0),
    UNLISTED: faults.Kind(
        _unlist_instance, 0, disturbs_target=True, is_momentary=True
    ),
}

_OTHER_WEIGHTS = {
    "log cut": 2.0,
    "turned away": 2.0,
    "slow to log": 1.0,
    "killed": 2.0,
    "frozen": 3.0,
    "isolated": 3.0,
    "mute": 3.0,
    "deaf": 1.0,
    "log away": 0.5,
    "topic away": 0.5,
    "connections silent": 0.5,
    "server crash": 2.0,
    "server leaves": 4.0,
    "server cut": 1.0,
    "server off log": 1.0,
    "orders late": 1.0,
    faults.EVACUATION: 1.0,
}
"""The weights of kinds from ``faults`` that are drawn together with these."""

_HOT_RANGES_COUNT = 3
_DURATIONS_S = (0.3, 1.0, 2.0, 4.0, 8.0)
"""Typical durations of events. The longest exceed the longest wait: for an
earlier leader's orders, for a lease after them, and for one more check."""

_HOT_FOR_S = (2.0, 6.0)
_PAIRS_COUNT = 20
_APART_COUNT = 2


def draw(seed: int, count: int, length_s: float) -> tuple[faults.Event, ...]:
    """Returns traffic and random events, which depend only on the arguments."""
    rng = random.Random(f"moving {seed}")
    events = [faults.Event(0.0, TRAFFIC, 0, length_s)]
    for _ in range(_HOT_RANGES_COUNT):
        at_s = round(rng.uniform(0.0, length_s / 2), 3)
        for_s = round(rng.uniform(*_HOT_FOR_S), 3)
        events.append(faults.Event(at_s, HOT_RANGE, rng.randrange(7), for_s))
    weights = {
        name: kind.weight for name, kind in KINDS.items()
    } | _OTHER_WEIGHTS
    kinds = {**faults.KINDS, **KINDS}
    drawn = rng.choices(list(weights), list(weights.values()), k=count)
    for name in drawn:
        # The leader and the first server are drawn most often.
        target = rng.choice([0, 0, 0, rng.randrange(_PAIRS_COUNT)])
        events.append(_draw_event(rng, name, target, kinds[name], length_s))
    return tuple(sorted(set(events)))


def draw_kind(
    seed: int, name: str, length_s: float
) -> tuple[faults.Event, ...]:
    """Returns events of one kind, drawn separately from a seed's others."""
    rng = random.Random(f"{name} {seed}")
    return tuple(
        _draw_event(
            rng,
            name,
            rng.choice([0, rng.randrange(_PAIRS_COUNT)]),
            KINDS[name],
            length_s,
        )
        for _ in range(_APART_COUNT)
    )


def _draw_event(
    rng: random.Random,
    name: str,
    target: int,
    kind: faults.Kind,
    length_s: float,
) -> faults.Event:
    """Returns an event of a kind at a random time."""
    for_s = rng.choice(_DURATIONS_S) * rng.uniform(0.5, 1.5)
    at_s = round(rng.uniform(0.0, length_s - min(for_s, length_s / 2)), 3)
    return faults.Event(
        at_s, name, target, 0.0 if kind.is_momentary else round(for_s, 3)
    )
