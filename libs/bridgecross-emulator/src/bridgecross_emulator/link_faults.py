"""Faults of links to servers and between domains, drawn beside others."""

import random

from bridgecross_emulator import broken_links
from bridgecross_emulator import domain_cuts
from bridgecross_emulator import faults

_SHARES = (0.2, 0.4, 0.6, 0.8, 1.0)
"""The shares of the instances that are cut off, the leader always first."""

_DURATIONS_S = (0.5, 2.0, 5.0, 9.0)
_CUTS_COUNT = 4


def _make_begin(
    fault: broken_links.LinkFault, *, one_service: bool = False
) -> faults.Begin:
    """Returns a function that breaks links of some instances to servers.

    Args:
        fault: How the links are broken.
        one_service: Whether only servers of one service are cut off.
    """

    def begin(scene: faults.Scene, target: int) -> faults.End:
        cluster = scene.cluster
        fleet = cluster.fleet
        leader = scene.instance(0)
        others = [each for each in cluster.instances if each is not leader]
        share = _SHARES[target % len(_SHARES)]
        count = max(round(share * len(cluster.instances)), 1)
        servers = list(fleet.servers.values())
        service = servers[target % len(servers)].service
        links = [
            (instance.settings.peer_address, server.address)
            for instance in [leader, *others][:count]
            for server in servers
            if not one_service or server.service == service
        ]
        for link in links:
            fleet.links.cut(link, fault)

        def end() -> None:
            for link in links:
                fleet.links.mend(link)

        return end

    return begin


def _make_domain_cut(fault: broken_links.LinkFault) -> faults.Begin:
    """Returns a function that cuts off the domain of an instance."""

    def begin(scene: faults.Scene, target: int) -> faults.End:
        domain = scene.instance(target).settings.failure_domain
        return domain_cuts.cut(scene.cluster, {domain}, fault)

    return begin


DOMAIN_REFUSED = "domain refused"
DOMAIN_SILENT = "domain silent"

KINDS = {
    "links refused": faults.Kind(
        _make_begin(broken_links.LinkFault.REFUSED), 3
    ),
    "links silent": faults.Kind(_make_begin(broken_links.LinkFault.SILENT), 3),
    "new links refused": faults.Kind(
        _make_begin(broken_links.LinkFault.NEW_REFUSED), 2
    ),
    "links to a service refused": faults.Kind(
        _make_begin(broken_links.LinkFault.REFUSED, one_service=True), 2
    ),
    "links to a service silent": faults.Kind(
        _make_begin(broken_links.LinkFault.SILENT, one_service=True), 2
    ),
    # Drawn separately from the others.
    DOMAIN_REFUSED: faults.Kind(
        _make_domain_cut(broken_links.LinkFault.REFUSED), 0, disturbs_all=True
    ),
    DOMAIN_SILENT: faults.Kind(
        _make_domain_cut(broken_links.LinkFault.SILENT), 0, disturbs_all=True
    ),
}


def draw(seed: int, length_s: float) -> tuple[faults.Event, ...]:
    """Returns cuts of links, drawn separately from a seed's other events."""
    rng = random.Random(f"links {seed}")
    names = list(KINDS)
    weights = [kind.weight for kind in KINDS.values()]
    events = []
    for name in rng.choices(names, weights, k=_CUTS_COUNT):
        for_s = rng.choice(_DURATIONS_S) * rng.uniform(0.5, 1.5)
        at_s = rng.uniform(0.0, length_s - min(for_s, length_s / 2))
        target = rng.randrange(20)
        events.append(
            faults.Event(round(at_s, 3), name, target, round(for_s, 3))
        )
    return tuple(sorted(events))


_DOMAIN_CUTS_COUNT = 2
_DOMAIN_CUT_S = (3.0, 12.0)
"""How long a domain is cut off; keys move after 5 to 6 s."""


def draw_domain_cuts(seed: int, length_s: float) -> tuple[faults.Event, ...]:
    """Returns cuts of domains, half of them of the leader's."""
    rng = random.Random(f"domains {seed}")
    events = []
    for _ in range(_DOMAIN_CUTS_COUNT):
        name = rng.choice((DOMAIN_REFUSED, DOMAIN_REFUSED, DOMAIN_SILENT))
        for_s = rng.uniform(*_DOMAIN_CUT_S)
        at_s = rng.uniform(0.0, length_s - for_s)
        target = rng.choice((0, rng.randrange(20)))
        events.append(
            faults.Event(round(at_s, 3), name, target, round(for_s, 3))
        )
    return tuple(sorted(events))
