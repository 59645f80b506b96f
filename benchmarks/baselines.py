"""Two baselines that find the owner of a key without coordination.

Both compute the owner from the list of live servers alone. Moves are not agreed
upon, so instances with different lists send a key to different servers: while
lists differ, keys have two owners.
"""

import collections
from collections.abc import Callable

from bridgecross_core import hashing

_VIRTUAL_NODE_COUNT = 100


def find_by_modulo(key: str, servers: list[str]) -> str:
    """Returns the owner by the key's hash modulo the number of servers."""
    return servers[hashing.hash_key(key) % len(servers)]


def find_by_consistent_hashing(key: str, servers: list[str]) -> str:
    """Returns the owner by consistent hashing with virtual nodes."""
    key_hash = hashing.hash_key(key)
    points = sorted(
        (hashing.hash_key(f"{server}#{number}"), server)
        for server in servers
        for number in range(_VIRTUAL_NODE_COUNT)
    )
    for point, server in points:
        if point >= key_hash:
            return server
    return points[0][1]


def render(key_count: int, server_count: int) -> str:
    """Returns a table of the churn and imbalance after servers are lost."""
    keys = [f"key-{i}" for i in range(key_count)]
    servers = [f"rapor-{i}" for i in range(1, server_count + 1)]
    lines = ["baselines (owners overlap while lists differ)"]
    finders: dict[str, Callable[[str, list[str]], str]] = {
        "modulo": find_by_modulo,
        "consistent hashing": find_by_consistent_hashing,
    }
    for name, find in finders.items():
        for lost in (1, 2):
            live = servers[lost:]
            changed = sum(find(k, servers) != find(k, live) for k in keys)
            loads = collections.Counter(find(k, live) for k in keys)
            imbalance = max(loads.values()) / (key_count / len(live))
            lines.append(
                f"  {name:<20} {lost} of {server_count} lost: "
                f"churn {changed / key_count:.3f}, imbalance {imbalance:.2f}"
            )
    return "\n".join(lines)
