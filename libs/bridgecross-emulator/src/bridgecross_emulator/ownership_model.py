"""A bounded model checker of ownership: all orders of events around one key.

The model has one key, two servers that may hold it, two instances that may
lead, and a log. Time advances in ticks. What an instance accepts as proof that
a server no longer holds the key is a rule of the model, so that rules can be
compared; the rest follows ``leases`` and ``coordinator``.
"""

import collections
from collections.abc import Iterator
import dataclasses
from typing import NamedTuple
from typing import Protocol

LEASE_TICKS = 2
"""How long a server holds the key after it has carried out an order."""

ORDER_TICKS = 1
"""An order that was sent is carried out within this time, or never."""

CONFIRMED_TICKS = 1
"""How long an instance may send orders after its lead was confirmed."""

_WAIT_TICKS = LEASE_TICKS + ORDER_TICKS
"""How long the server may hold the key after an order was sent."""

_SERVERS = (0, 1)
_LEADERS = (0, 1)
_NO_SERVER = -1
_SERVER_VERBS = ("ends", "leaves", "starts again")
_LEADER_VERBS = (
    "claims",
    "reads who claimed",
    "reads of a start",
    "has waited for the lease",
    "is answered a release",
    "is refused",
    "renews",
    "gives",
    "moves the key",
)


@dataclasses.dataclass(frozen=True, slots=True)
class Rules:
    """What counts as proof, besides an answered release and a lease's end."""

    # A refused connection counts as the end of a server's run.
    refusal_is_proof: bool = False
    # A newer start of a server counts as proof that it holds nothing.
    start_is_proof: bool = False
    # A later leader writes the map again before it sends orders.
    leaders_write_first: bool = True
    # A later leader waits until orders of an earlier one have no effect.
    waits_for_earlier: bool = True
    # An answered release is proof only if it was requested when an earlier
    # leader could not send orders any more. Until then its server may restart,
    # and the new run, which knows no token, may accept an order of that leader.
    releases_wait_for_earlier: bool = True
    # Servers refuse tokens lower than the highest that they know.
    servers_check_tokens: bool = True
    # An order that is in transit when its server's run ends may reach the next
    # run. With connections this cannot happen: a connection ends together with
    # the process.
    orders_outlive_runs: bool = False


class Server(NamedTuple):
    """The state of a server, over all its runs."""

    is_up: bool = True
    # A leaving server refuses connections, but continues its work.
    is_leaving: bool = False
    run: int = 0
    # The remaining time for which it holds the key.
    holds_ticks: int = 0
    # The highest token that this run knows.
    highest_token: int = 0


class Map(NamedTuple):
    """The key's entry in the log."""

    owner: int
    token: int
    # The previous owner, which may still hold it.
    previous: int
    # The instance that wrote it; a write succeeds only on a known entry.
    writer: int = 0


class Leader(NamedTuple):
    """The knowledge of an instance that leads, or that believes it does."""

    leads: bool = False
    confirmed_ticks: int = 0
    known: Map = Map(_NO_SERVER, 0, _NO_SERVER)
    # How long each server may hold the key because of this instance's orders.
    wait_ticks: tuple[int, int] = (0, 0)
    # How long an earlier leader's orders may still be sent or carried out.
    earlier_ticks: int = 0
    # Whether it has proof that no server but the owner can hold the key.
    is_proved: bool = False
    is_given: bool = False
    # The runs of the servers that it has read from the list.
    runs: tuple[int, int] = (0, 0)


class Order(NamedTuple):
    """An order in transit; its sender knows the server, but not its run."""

    server: int
    # The run that was up when it was sent.
    run: int
    token: int
    left_ticks: int


class State(NamedTuple):
    """The state of the whole model."""

    servers: tuple[Server, Server]
    leaders: tuple[Leader, Leader]
    log: Map
    # The instance that claimed the lead last.
    claimed_by: int
    log_is_up: bool
    orders: frozenset[Order]


class HasServers(Protocol):
    """An object that contains the states of the servers."""

    @property
    def servers(self) -> tuple[Server, Server]:
        """The servers."""


class Replayed(NamedTuple):
    """The result of replaying events."""

    # The servers after the last event.
    servers: tuple[Server, Server]
    state: State
    # Events that were not possible at their turn; the state did not change.
    refused: tuple[str, ...]


class Step(NamedTuple):
    """An event, and the state after it."""

    event: str
    state: State


class Explored(NamedTuple):
    """The result of a search."""

    states_count: int
    # Events that lead to two holders of the key; None if there are none.
    violation: tuple[str, ...] | None


START = State(
    (Server(holds_ticks=LEASE_TICKS, highest_token=1), Server()),
    (
        Leader(
            leads=True,
            confirmed_ticks=CONFIRMED_TICKS,
            known=Map(0, 1, _NO_SERVER),
            wait_ticks=(_WAIT_TICKS, 0),
            is_proved=True,
            is_given=True,
        ),
        Leader(),
    ),
    Map(0, 1, _NO_SERVER),
    0,
    True,
    frozenset(),
)
"""The initial state: server 0 holds the key, by an order of instance 0."""


def explore(
    rules: Rules,
    depth: int,
    token_max: int = 3,
    first: tuple[str, ...] = (),
) -> Explored:
    """Searches all orders of events up to a depth for two holders of the key.

    Args:
        rules: What counts as proof.
        depth: The maximum number of events, not counting those in ``first``.
        token_max: The highest token that is issued.
        first: The events with which all orders begin.

    Raises:
        ValueError: Some of the first events are not possible at their turn.
    """
    start, refused = _replay(rules, first, token_max)
    if refused:
        raise ValueError(f"first events not possible at their turn: {refused}")
    came_from: dict[State, Step | None] = {start: None}
    waiting = collections.deque([(start, 0)])
    while waiting:
        state, steps = waiting.popleft()
        if count_holders(state) > 1:
            return Explored(len(came_from), _trace(came_from, state))
        if steps == depth:
            continue
        for event, following in _events(state, rules, token_max):
            if following not in came_from:
                came_from[following] = Step(event, state)
                waiting.append((following, steps + 1))
    return Explored(len(came_from), None)


def count_holders(reached: HasServers) -> int:
    """Returns how many servers hold the key."""
    return sum(server.holds_ticks > 0 for server in reached.servers)


def replay(
    rules: Rules, events: tuple[str, ...], token_max: int = 3
) -> Replayed:
    """Replays events in the given order; skips those that are not possible.

    Raises:
        KeyError: An event is unknown.
    """
    state, refused = _replay(rules, events, token_max)
    return Replayed(state.servers, state, refused)


def _replay(
    rules: Rules, events: tuple[str, ...], token_max: int
) -> tuple[State, tuple[str, ...]]:
    """Returns the state after some events, and those that were not possible."""
    known = _list_names(token_max)
    state = START
    refused = []
    for event in events:
        if event not in known:
            raise KeyError(event)
        possible = dict(_events(state, rules, token_max))
        if event in possible:
            state = possible[event]
        else:
            refused.append(event)
    return state, tuple(refused)


def _list_names(token_max: int) -> set[str]:
    """Returns the names of all events."""
    names = {"time passes", "log toggles"}
    for index in _SERVERS:
        tokens = range(1, token_max + 1)
        names |= {f"server {index} {verb}" for verb in _SERVER_VERBS}
        names |= {f"server {index} takes token {token}" for token in tokens}
    for index in _LEADERS:
        names |= {f"instance {index} {verb}" for verb in _LEADER_VERBS}
    return names


def _trace(
    came_from: dict[State, Step | None], state: State
) -> tuple[str, ...]:
    """Returns the events that lead to a state."""
    events = []
    step = came_from[state]
    while step is not None:
        events.append(step.event)
        step = came_from[step.state]
    return tuple(reversed(events))


def _events(state: State, rules: Rules, token_max: int) -> Iterator[Step]:
    """Returns all possible next events."""
    yield Step("time passes", _pass_time(state))
    yield Step("log toggles", state._replace(log_is_up=not state.log_is_up))
    for order in state.orders:
        yield Step(
            f"server {order.server} takes token {order.token}",
            _take_order(state, order, rules),
        )
    for index in _SERVERS:
        yield from _server_events(state, index)
    for index in _LEADERS:
        yield from _leader_events(state, index, rules, token_max)


def _age_server(server: Server) -> Server:
    """Returns a server one tick later."""
    return server._replace(holds_ticks=max(server.holds_ticks - 1, 0))


def _age_leader(leader: Leader) -> Leader:
    """Returns an instance one tick later."""
    first, second = leader.wait_ticks
    return leader._replace(
        confirmed_ticks=max(leader.confirmed_ticks - 1, 0),
        wait_ticks=(max(first - 1, 0), max(second - 1, 0)),
        earlier_ticks=max(leader.earlier_ticks - 1, 0),
    )


def _pass_time(state: State) -> State:
    """Returns the state one tick later."""
    servers = (_age_server(state.servers[0]), _age_server(state.servers[1]))
    leaders = (_age_leader(state.leaders[0]), _age_leader(state.leaders[1]))
    orders = frozenset(
        order._replace(left_ticks=order.left_ticks - 1)
        for order in state.orders
        if order.left_ticks > 0
    )
    return state._replace(servers=servers, leaders=leaders, orders=orders)


def _take_order(state: State, order: Order, rules: Rules) -> State:
    """Returns the state after an order has reached its server."""
    state = state._replace(orders=state.orders - {order})
    server = state.servers[order.server]
    is_low = rules.servers_check_tokens and order.token < server.highest_token
    is_lost = order.run != server.run and not rules.orders_outlive_runs
    if not server.is_up or is_low or is_lost:
        return state
    highest_token = max(server.highest_token, order.token)
    taken = server._replace(
        holds_ticks=LEASE_TICKS, highest_token=highest_token
    )
    return _with_server(state, order.server, taken)


def _server_events(state: State, index: int) -> Iterator[Step]:
    """Returns the possible next events of a server."""
    server = state.servers[index]
    if not server.is_up:
        started = Server(run=server.run + 1)
        if not server.run:
            yield Step(
                f"server {index} starts again",
                _with_server(state, index, started),
            )
        return
    crashed = Server(is_up=False, run=server.run)
    yield Step(f"server {index} ends", _with_server(state, index, crashed))
    if not server.is_leaving:
        leaving = server._replace(is_leaving=True)
        yield Step(
            f"server {index} leaves", _with_server(state, index, leaving)
        )


def _leader_events(
    state: State, index: int, rules: Rules, token_max: int
) -> Iterator[Step]:
    """Returns the possible next events of an instance."""
    leader = state.leaders[index]
    name = f"instance {index}"
    if state.log_is_up and state.claimed_by != index:
        yield Step(f"{name} claims", _claim(state, index, rules))
    if not leader.leads:
        return
    if state.log_is_up:
        yield Step(f"{name} reads who claimed", _confirm(state, index))
    yield from _read_list(state, index, rules)
    if not leader.is_proved:
        yield from _reclaim(state, index, rules)
    if not leader.confirmed_ticks:
        return
    if leader.is_proved:
        verb = "renews" if leader.is_given else "gives"
        yield Step(f"{name} {verb}", _order(state, index))
    may_write = state.log_is_up and leader.known == state.log
    if may_write and leader.is_given and leader.known.token < token_max:
        yield Step(f"{name} moves the key", _move(state, index))


def _claim(state: State, index: int, rules: Rules) -> State:
    """Returns the state after an instance claimed the lead and read the map."""
    earlier = CONFIRMED_TICKS + ORDER_TICKS if rules.waits_for_earlier else 0
    wait = LEASE_TICKS if rules.waits_for_earlier else 0
    if rules.leaders_write_first:
        state = state._replace(log=state.log._replace(writer=index))
    claiming = Leader(
        leads=True,
        confirmed_ticks=CONFIRMED_TICKS,
        known=state.log,
        wait_ticks=(wait + earlier, wait + earlier),
        earlier_ticks=earlier,
        is_proved=state.log.previous == _NO_SERVER,
        is_given=state.log.previous == _NO_SERVER,
        runs=(state.servers[0].run, state.servers[1].run),
    )
    return _with_leader(state, index, claiming)._replace(claimed_by=index)


def _confirm(state: State, index: int) -> State:
    """Returns the state after an instance has read who claimed last."""
    leader = state.leaders[index]
    if state.claimed_by != index:
        return _with_leader(state, index, Leader())
    confirmed = leader._replace(confirmed_ticks=CONFIRMED_TICKS)
    return _with_leader(state, index, confirmed)


def _read_list(state: State, index: int, rules: Rules) -> Iterator[Step]:
    """Returns the events by which an instance learns of servers' starts."""
    leader = state.leaders[index]
    runs = (state.servers[0].run, state.servers[1].run)
    if runs == leader.runs or not state.log_is_up:
        return
    previous = leader.known.previous
    has_started = (
        previous != _NO_SERVER and runs[previous] != leader.runs[previous]
    )
    is_proved = leader.is_proved or (rules.start_is_proof and has_started)
    told = leader._replace(runs=runs, is_proved=is_proved)
    yield Step(
        f"instance {index} reads of a start", _with_leader(state, index, told)
    )


def _reclaim(state: State, index: int, rules: Rules) -> Iterator[Step]:
    """Returns the events that may prove that the previous owner lost all."""
    leader = state.leaders[index]
    previous = leader.known.previous
    server = state.servers[previous]
    proved = leader._replace(is_proved=True)
    is_early = rules.releases_wait_for_earlier and leader.earlier_ticks > 0
    answered = leader if is_early else proved
    name = f"instance {index}"
    if not leader.wait_ticks[previous] and not leader.earlier_ticks:
        yield Step(
            f"{name} has waited for the lease",
            _with_leader(state, index, proved),
        )
    if server.is_up and not server.is_leaving:
        highest_token = max(server.highest_token, leader.known.token)
        done = server._replace(holds_ticks=0, highest_token=highest_token)
        yield Step(
            f"{name} is answered a release",
            _with_leader(_with_server(state, previous, done), index, answered),
        )
    elif rules.refusal_is_proof:
        yield Step(f"{name} is refused", _with_leader(state, index, proved))


def _order(state: State, index: int) -> State:
    """Returns the state after an instance has sent the owner an order."""
    leader = state.leaders[index]
    owner, token = leader.known.owner, leader.known.token
    wait_ticks = list(leader.wait_ticks)
    wait_ticks[owner] = max(wait_ticks[owner], _WAIT_TICKS)
    ordered = leader._replace(
        wait_ticks=(wait_ticks[0], wait_ticks[1]), is_given=True
    )
    order = Order(owner, state.servers[owner].run, token, ORDER_TICKS)
    state = state._replace(orders=state.orders | {order})
    return _with_leader(state, index, ordered)


def _move(state: State, index: int) -> State:
    """Returns the state after the key was moved in the log."""
    leader = state.leaders[index]
    owner, token = leader.known.owner, leader.known.token
    moved = Map(1 - owner, token + 1, owner, index)
    leader = leader._replace(known=moved, is_proved=False, is_given=False)
    return _with_leader(state, index, leader)._replace(log=moved)


def _with_server(state: State, index: int, server: Server) -> State:
    """Returns a state with one server changed."""
    first, second = state.servers
    servers = (server, second) if index == 0 else (first, server)
    return state._replace(servers=servers)


def _with_leader(state: State, index: int, leader: Leader) -> State:
    """Returns a state with one instance changed."""
    first, second = state.leaders
    leaders = (leader, second) if index == 0 else (first, leader)
    return state._replace(leaders=leaders)
