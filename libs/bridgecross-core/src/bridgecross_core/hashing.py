"""Keys to slices, and the ranking of candidates without coordination."""

from collections.abc import Iterable

import xxhash

from bridgecross_core import ids


def hash_key(key: str) -> int:
    """Returns the 64-bit hash of a key; the same on every process."""
    return xxhash.xxh3_64_intdigest(key.encode())


def find_slice(key: str, slice_count: int) -> ids.SliceIndex:
    """Returns the slice that a key belongs to.

    Args:
        key: The caller's key, such as one bridge or one evening.
        slice_count: How many slices the service has; at least 1.
    """
    return ids.SliceIndex(hash_key(key) * slice_count >> 64)


def rank_by_rendezvous(subject: str, candidates: Iterable[str]) -> list[str]:
    """Ranks candidates for a subject by rendezvous (highest random weight).

    Every process that knows the same candidates computes the same order, and
    the loss of one candidate moves only the subjects that it was first for.

    Args:
        subject: What the candidates compete for, such as a service.
        candidates: The names of the candidates.

    Returns:
        The candidates, the best first.
    """

    def weigh(candidate: str) -> tuple[int, str]:
        weight = xxhash.xxh3_64_intdigest(f"{subject}\0{candidate}".encode())
        return weight, candidate

    return sorted(set(candidates), key=weigh, reverse=True)
