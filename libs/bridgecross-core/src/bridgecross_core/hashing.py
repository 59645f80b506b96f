"""Maps keys to slices, and ranks candidates without coordination."""

from collections.abc import Iterable

import xxhash

from bridgecross_core import ids


def hash_key(key: str) -> int:
    """Returns the 64-bit hash of a key, which is the same in every process."""
    return xxhash.xxh3_64_intdigest(key.encode())


def find_slice(key: str, slice_count: int) -> ids.SliceIndex:
    """Returns the slice that a key belongs to.

    Args:
        key: The key of the request, such as one bridge or one evening.
        slice_count: The number of slices of the service; at least 1.
    """
    return ids.SliceIndex(hash_key(key) * slice_count >> 64)


def rank_by_rendezvous(subject: str, candidates: Iterable[str]) -> list[str]:
    """Ranks candidates for a subject by rendezvous hashing.

    Every process that knows the same candidates computes the same order, and
    the loss of a candidate moves only the subjects that ranked it first.

    Args:
        subject: What the candidates are ranked for, such as a service.
        candidates: The names of the candidates.

    Returns:
        The candidates in order of descending weight.
    """

    def weight_of(candidate: str) -> tuple[int, str]:
        weight = xxhash.xxh3_64_intdigest(f"{subject}\0{candidate}".encode())
        return weight, candidate

    return sorted(set(candidates), key=weight_of, reverse=True)
