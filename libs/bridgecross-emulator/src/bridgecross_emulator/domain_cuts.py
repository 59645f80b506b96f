"""Cuts of a failure domain from the others and from the log."""

from collections.abc import Callable
from collections.abc import Container
from collections.abc import Iterable

from bridgecross_emulator import broken_links
from bridgecross_emulator import cluster as clusters
from bridgecross_entry import model

Mend = Callable[[], None]
"""Makes links work again."""


def cut(
    cluster: clusters.Cluster,
    domains: Container[str],
    fault: broken_links.LinkFault,
) -> Mend:
    """Cuts failure domains off; what is inside goes on among itself.

    Args:
        cluster: The cluster.
        domains: The failure domains on one side of the cut. The log is on the
            other side.
        fault: Whether connections across the cut are refused or silent.

    Returns:
        A function that mends the links.
    """
    mends = (
        _cut_instances(cluster, domains, fault),
        _cut_from_servers(cluster, domains, fault),
        _cut_off_log(cluster, domains),
    )

    def mend() -> None:
        for each in mends:
            each()

    return mend


def _cut_instances(
    cluster: clusters.Cluster,
    domains: Container[str],
    fault: broken_links.LinkFault,
) -> Mend:
    """Cuts the links between instances on different sides."""
    pairs = [
        (one.settings.peer_address, other.settings.peer_address)
        for one in cluster.instances
        for other in cluster.instances
        if (one.settings.failure_domain in domains)
        != (other.settings.failure_domain in domains)
    ]
    network = cluster.network
    if fault is broken_links.LinkFault.SILENT:
        _for_each(network.cut, pairs)
        return lambda: _for_each(network.undo_cut, pairs)
    _for_each(network.refuse, pairs)
    return lambda: _for_each(network.undo_refuse, pairs)


def _for_each(
    change: Callable[[model.Address, model.Address], None],
    pairs: Iterable[tuple[model.Address, model.Address]],
) -> None:
    """Changes each link between two hosts."""
    for pair in pairs:
        change(*pair)


def _cut_from_servers(
    cluster: clusters.Cluster,
    domains: Container[str],
    fault: broken_links.LinkFault,
) -> Mend:
    """Cuts the links from instances to servers on the other side."""
    fleet = cluster.fleet
    links = [
        (instance.settings.peer_address, server.address)
        for instance in cluster.instances
        for server in fleet.servers.values()
        if (instance.settings.failure_domain in domains)
        != (server.domain in domains)
    ]
    for link in links:
        fleet.links.cut(link, fault)

    def mend() -> None:
        for link in links:
            fleet.links.mend(link)

    return mend


def _cut_off_log(cluster: clusters.Cluster, domains: Container[str]) -> Mend:
    """Cuts the instances and servers inside off from the log."""
    inside = [
        each
        for each in cluster.instances
        if each.settings.failure_domain in domains
    ]
    servers = [
        each
        for each in cluster.fleet.servers.values()
        if each.domain in domains
    ]
    for instance in inside:
        instance.log_client.cut()
    for server in servers:
        server.reaches_log = False

    def mend() -> None:
        for instance in inside:
            instance.log_client.heal()
        for server in servers:
            server.reaches_log = True
            server.write_entry()

    return mend
