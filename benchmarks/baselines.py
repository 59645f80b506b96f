"""Two ways to find an owner without coordination, to compare with.

Both compute the owner from the list of live servers alone. They need no
move to be agreed, so every instance that sees another list sends a key to
another server: while lists differ, keys have two owners.
"""

import collections
from collections.abc import Callable

from bridgecross_core import hashing

_RING_POINTS = 100


def find_by_modulo(key: str, servers: list[str]) -> str:
    """Returns the owner by the remainder of the key's hash."""
    return servers[hashing.hash_key(key) % len(servers)]


def find_by_ring(key: str, servers: list[str]) -> str:
    """Returns the owner by consistent hashing with virtual nodes."""
    wanted = hashing.hash_key(key)
    points = sorted(
        (hashing.hash_key(f"{server}#{number}"), server)
        for server in servers
        for number in range(_RING_POINTS)
    )
    for point, server in points:
        if point >= wanted:
            return server
    return points[0][1]


def render(key_count: int, server_count: int) -> str:
    """Returns churn and imbalance of both when servers are lost."""
    keys = [f"key-{i}" for i in range(key_count)]
    servers = [f"rapor-{i}" for i in range(1, server_count + 1)]
    lines = ["baselines (owners overlap while lists differ)"]
    finders: dict[str, Callable[[str, list[str]], str]] = {
        "modulo": find_by_modulo,
        "consistent hashing": find_by_ring,
    }
    for name, find in finders.items():
        for lost in (1, 2):
            left = servers[lost:]
            changed = sum(find(k, servers) != find(k, left) for k in keys)
            loads = collections.Counter(find(k, left) for k in keys)
            imbalance = max(loads.values()) / (key_count / len(left))
            lines.append(
                f"  {name:<20} {lost} of {server_count} lost: "
                f"churn {changed / key_count:.3f}, imbalance {imbalance:.2f}"
            )
    return "\n".join(lines)
