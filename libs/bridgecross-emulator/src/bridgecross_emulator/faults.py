"""Faults of a cluster, as events that can be drawn, saved and replayed.

An event consists of a kind, the number of a target, a time and a duration. A
kind says how a fault begins and ends, and whether it disturbs an instance or
the log, because some guarantees hold only for undisturbed instances.
"""

from collections.abc import Callable
from collections.abc import Mapping
import math
import random
from typing import NamedTuple

import anyio

from bridgecross_emulator import cluster as clusters
from bridgecross_emulator import instances
from bridgecross_emulator import servers
from bridgecross_entry import cluster_state
from bridgecross_entry import log as logs

_FOREIGN = (b"[" * 20_000, b"\xff\xfe", b"", b"rapor 10.2.0.1 x staying 5")
_TOPICS = (
    instances.CONFIGURATION_TOPIC,
    servers.SERVER_TOPIC,
    cluster_state.KEY_TOPIC,
    cluster_state.INSTANCE_TOPIC,
)


_CHANGE_SHARE = 0.5
_CHANGE_WITHIN_S = 0.3
"""Half of the faults of instances are followed by a change of the configuration
within this time: faults do the most harm to a change that nobody knows yet."""


class Event(NamedTuple):
    """One fault, or one planned operation."""

    at_s: float
    kind: str
    # The number of an instance, a server or a topic, depending on the kind.
    target: int
    # The duration; 0 for an event that has none.
    for_s: float


class Disturbances:
    """Records which instances are disturbed, and whether the log is."""

    def __init__(self, cluster: clusters.Cluster) -> None:
        """Initializes the records without a disturbance."""
        self._cluster = cluster
        # When the last disturbance ended; infinite while one lasts.
        self._until_s: dict[str, float] = {}
        self._lasting: dict[str, int] = {}

    def begin(self, name: str) -> None:
        """Records the start of a disturbance; "" stands for the log."""
        self._lasting[name] = self._lasting.get(name, 0) + 1
        self._until_s[name] = math.inf

    def end(self, name: str) -> None:
        """Records the end of a disturbance."""
        self._lasting[name] -= 1
        if not self._lasting[name]:
            self._until_s[name] = self._cluster.now_s

    def undisturbed_s(self, name: str) -> float:
        """Returns how long an instance and the log have been undisturbed."""
        until_s = max(self._until_s.get(each, -math.inf) for each in (name, ""))
        return self._cluster.now_s - until_s


class Scene(NamedTuple):
    """A cluster and its disturbances."""

    cluster: clusters.Cluster
    disturbances: Disturbances

    def instance(self, target: int) -> instances.EmulatedInstance:
        """Returns an instance by its number; 0 is the current leader."""
        present = self.cluster.instances
        if target == 0 and any(x.event == "leads" for x in self.cluster.lines):
            return self.cluster.leader
        return present[target % len(present)]

    def domain(self, target: int) -> str:
        """Returns a failure domain of servers by its number."""
        present = {s.domain for s in self.cluster.fleet.servers.values()}
        return sorted(present)[target % len(present)]

    def server(self, target: int) -> servers.EmulatedServer:
        """Returns a server by its number."""
        present = list(self.cluster.fleet.servers.values())
        return present[target % len(present)]


End = Callable[[], None]
Begin = Callable[[Scene, int], End]
"""Begins a fault of a target; returns a function that ends it."""


def _cut_off_log(scene: Scene, target: int) -> End:
    log_client = scene.instance(target).log_client
    log_client.cut()
    return log_client.heal


def _reject(scene: Scene, target: int) -> End:
    log_client = scene.instance(target).log_client
    log_client.rejected = True

    def end() -> None:
        log_client.rejected = False

    return end


def _slow_log(scene: Scene, target: int) -> End:
    log_client = scene.instance(target).log_client
    log_client.slow_ratio = 60.0

    def end() -> None:
        log_client.slow_ratio = 1.0

    return end


def _kill(scene: Scene, target: int) -> End:
    instance = scene.instance(target)
    if instance.is_killed:
        return lambda: None
    instance.kill()
    return lambda: scene.cluster.restart(instance)


def _freeze(scene: Scene, target: int) -> End:
    instance = scene.instance(target)
    scene.cluster.pause(instance)
    return lambda: scene.cluster.resume(instance)


def _cut_from_peers(
    scene: Scene, target: int, *, speaks: bool, hears: bool
) -> End:
    """Cuts an instance off from the others, in one direction or in both."""
    network = scene.cluster.network
    own = scene.instance(target).settings.peer_address
    pairs = []
    for other in scene.cluster.instances:
        address = other.settings.peer_address
        if address != own:
            pairs += [] if speaks else [(own, address)]
            pairs += [] if hears else [(address, own)]
    for pair in pairs:
        network.cut(*pair)

    def end() -> None:
        for pair in pairs:
            network.undo_cut(*pair)

    return end


def _isolate(scene: Scene, target: int) -> End:
    return _cut_from_peers(scene, target, speaks=False, hears=False)


def _cut_outbound(scene: Scene, target: int) -> End:
    return _cut_from_peers(scene, target, speaks=False, hears=True)


def _cut_inbound(scene: Scene, target: int) -> End:
    return _cut_from_peers(scene, target, speaks=True, hears=False)


def _make_log_unavailable(scene: Scene, target: int) -> End:
    scene.cluster.log.is_unavailable = True

    def end() -> None:
        scene.cluster.log.is_unavailable = False

    return end


def _make_topic_unavailable(scene: Scene, target: int) -> End:
    topic = _TOPICS[target % len(_TOPICS)]
    scene.cluster.log.unavailable_topics.add(topic)
    return lambda: scene.cluster.log.unavailable_topics.discard(topic)


def _silence(scene: Scene, target: int) -> End:
    scene.cluster.silence()
    return lambda: None


def _drop_history(scene: Scene, target: int) -> End:
    for topic in _TOPICS:
        scene.cluster.log.drop_history(topic)
    return lambda: None


def _change(scene: Scene, target: int) -> End:
    scene.cluster.publish()
    return lambda: None


def _write_foreign(scene: Scene, target: int) -> End:
    value = _FOREIGN[target % len(_FOREIGN)]
    name = f"i-{target}" if target % 2 else "somebody"
    record = logs.KeyedRecord(name, value)
    scene.cluster.log.add(servers.SERVER_TOPIC, record)
    return lambda: None


def _crash_server(scene: Scene, target: int) -> End:
    server = scene.server(target)
    server.crash()
    return server.start


def _leave_server(scene: Scene, target: int) -> End:
    """A server announces that it leaves, and restarts under the same name."""
    server = scene.server(target)
    server.is_leaving = True
    server.write_entry()

    def end() -> None:
        server.crash()
        server.start()

    return end


def _cut_server(scene: Scene, target: int) -> End:
    network = scene.cluster.network
    server = scene.server(target).address
    pairs = [(i.settings.peer_address, server) for i in scene.cluster.instances]
    for pair in pairs:
        network.cut(*pair)

    def end() -> None:
        for pair in pairs:
            network.undo_cut(*pair)

    return end


def _cut_server_off_log(scene: Scene, target: int) -> End:
    server = scene.server(target)
    server.reaches_log = False

    def end() -> None:
        server.reaches_log = True
        server.write_entry()

    return end


def _take_orders_late(scene: Scene, target: int) -> End:
    server = scene.server(target)
    server.order_faults = servers.OrderFaults(grant_ratio=1.0)

    def end() -> None:
        server.order_faults = servers.OrderFaults()

    return end


def _evacuate(scene: Scene, target: int) -> End:
    """The operator evacuates a failure domain of servers."""
    domain = scene.domain(target)
    scene.cluster.evacuate(domain)
    return lambda: scene.cluster.end_evacuation(domain)


def _add_poison_request(scene: Scene, target: int) -> End:
    """From now on, callers send a poison request."""
    scene.cluster.fleet.poison_targets.add(
        f"/{instances.SERVICE}/{target}".encode()
    )
    return lambda: None


class Kind(NamedTuple):
    """One kind of event."""

    begin: Begin
    # The relative frequency with which it is drawn.
    weight: float
    # Whether its target, an instance, is disturbed by it.
    disturbs_target: bool = False
    # Whether all instances are, because it affects the log or all connections.
    disturbs_all: bool = False
    # Whether it has no duration.
    is_momentary: bool = False


EVACUATION = "evacuation"
POISON = "deadly request"

KINDS = {
    "log cut": Kind(_cut_off_log, 3, disturbs_target=True),
    "turned away": Kind(_reject, 2, disturbs_target=True),
    "slow to log": Kind(_slow_log, 1, disturbs_target=True),
    "killed": Kind(_kill, 2, disturbs_target=True),
    "frozen": Kind(_freeze, 3, disturbs_target=True),
    # Not disturbances, because the instances still reach the log.
    "isolated": Kind(_isolate, 2),
    "mute": Kind(_cut_outbound, 1),
    "deaf": Kind(_cut_inbound, 1),
    "log away": Kind(_make_log_unavailable, 1, disturbs_all=True),
    "topic away": Kind(_make_topic_unavailable, 1, disturbs_all=True),
    "connections silent": Kind(
        _silence, 1, disturbs_all=True, is_momentary=True
    ),
    "history forgotten": Kind(
        _drop_history, 1, disturbs_all=True, is_momentary=True
    ),
    "change": Kind(_change, 5, is_momentary=True),
    "foreign record": Kind(_write_foreign, 1, is_momentary=True),
    "server crash": Kind(_crash_server, 3),
    "server leaves": Kind(_leave_server, 1),
    "server cut": Kind(_cut_server, 2),
    "server off log": Kind(_cut_server_off_log, 1),
    "orders late": Kind(_take_orders_late, 1),
    # Drawn separately from the others.
    EVACUATION: Kind(_evacuate, 0),
    POISON: Kind(_add_poison_request, 0, is_momentary=True),
}


_PLANNED_SHARE = 0.5
_PLANNED_FOR_S = (1.0, 12.0)
"""Half of the simulations evacuate a failure domain. The durations range
from less time than the evacuation takes to long after the domain is empty."""


def draw_planned(seed: int, length_s: float) -> tuple[Event, ...]:
    """Returns planned evacuations, drawn separately from a seed's events."""
    rng = random.Random(f"planned {seed}")
    if rng.random() > _PLANNED_SHARE:
        return ()
    at_s = round(rng.uniform(0.0, length_s / 2), 3)
    for_s = round(rng.uniform(*_PLANNED_FOR_S), 3)
    return (Event(at_s, EVACUATION, rng.choice([0, 1]), for_s),)


_POISON_SHARE = 0.5
"""Half of the simulations contain poison requests. They start early enough that
three servers crash before the last fault ends."""


def draw_poison_requests(seed: int, length_s: float) -> tuple[Event, ...]:
    """Returns poison requests, drawn separately from a seed's events."""
    rng = random.Random(f"deadly {seed}")
    if rng.random() > _POISON_SHARE:
        return ()
    return tuple(
        Event(round(rng.uniform(0.0, length_s / 2), 3), POISON, target, 0.0)
        for target in range(rng.choice([1, 1, 2]))
    )


def draw(seed: int, count: int, length_s: float) -> tuple[Event, ...]:
    """Returns random events, which depend only on the arguments."""
    rng = random.Random(seed)
    names = [name for name, kind in KINDS.items() if kind.weight]
    weights = [KINDS[name].weight for name in names]
    events = []
    busy_until_s: dict[tuple[str, int], float] = {}
    for _ in range(count):
        kind = rng.choices(names, weights)[0]
        at_s = round(rng.uniform(0.0, length_s), 3)
        target = rng.choice([0, 0, 1, 2, 3, 4])
        for_s = round(
            rng.choice([0.3, 1.0, 2.0, 4.0]) * rng.uniform(0.5, 1.5), 3
        )
        if KINDS[kind].is_momentary:
            for_s = 0.0
        if at_s < busy_until_s.get((kind, target), 0.0):
            continue
        busy_until_s[kind, target] = at_s + for_s + 0.001
        events.append(Event(at_s, kind, target, for_s))
        if KINDS[kind].disturbs_target and rng.random() < _CHANGE_SHARE:
            soon_s = at_s + rng.uniform(0.0, _CHANGE_WITHIN_S)
            events.append(Event(round(soon_s, 3), "change", 0, 0.0))
    return tuple(sorted(events))


async def inject(
    scene: Scene, events: tuple[Event, ...], kinds: Mapping[str, Kind] = KINDS
) -> None:
    """Injects events, with times relative to now; waits until all are over."""
    started_s = scene.cluster.now_s

    async def happen(event: Event) -> None:
        await anyio.sleep(started_s + event.at_s - scene.cluster.now_s)
        kind = kinds[event.kind]
        disturbed = ""
        if kind.disturbs_target:
            disturbed = scene.instance(event.target).settings.name
        if kind.disturbs_target or kind.disturbs_all:
            scene.disturbances.begin(disturbed)
        end = kind.begin(scene, event.target)
        await anyio.sleep(event.for_s)
        end()
        if kind.disturbs_target or kind.disturbs_all:
            scene.disturbances.end(disturbed)

    async with anyio.create_task_group() as tasks:
        for event in events:
            tasks.start_soon(happen, event)
