"""Maps that assign ranges of keys to the backend servers that own them.

Each service has one record in a topic that is compacted by key. A record
replaces the one before it. It is appended on condition that nothing was
appended in between, so versions increase by one and each map builds on the one
before.
"""

import bisect
from collections.abc import Iterable
import dataclasses
from typing import NamedTuple

from bridgecross_core import codec
from bridgecross_core import ids
from bridgecross_core import notifier
from bridgecross_entry import journal as journals
from bridgecross_entry import model

FIRST_KEY = 0
LAST_KEY = 65_535
"""The highest key. Keys are integers from 0."""

NO_SERVER = ids.ServerId("")
"""Denotes the absence of a server."""


class KeyRange(NamedTuple):
    """A range of keys and its owner."""

    # Both ends are inclusive.
    first_key: int
    last_key: int
    owner: ids.ServerId
    # The fencing token of the owner's lease.
    token: int
    # The previous owner, which may still hold the range; NO_SERVER once the
    # owner is known to hold it.
    previous_owner: ids.ServerId = NO_SERVER

    @property
    def size(self) -> int:
        """The number of keys."""
        return self.last_key - self.first_key + 1


class KeyMap(NamedTuple):
    """All ranges of a service, in order and without gaps."""

    service: ids.ServiceName
    version: int
    # The instance that may change the map, and its peer address.
    coordinator: ids.InstanceId
    coordinator_address: model.Address
    ranges: tuple[KeyRange, ...]


_CODEC = codec.Codec(KeyMap)


def encode(key_map: KeyMap) -> bytes:
    """Encodes a map."""
    return _CODEC.encode(key_map)


def decode(data: bytes) -> KeyMap:
    """Decodes a map.

    Raises:
        codec.CodecError: The data is not a map, or the map has gaps.
    """
    key_map = _CODEC.decode(data)
    expected = FIRST_KEY
    for key_range in key_map.ranges:
        if key_range.first_key != expected or key_range.size < 1:
            raise codec.CodecError(
                f"key map of {key_map.service}: a range starts at "
                f"{key_range.first_key} instead of {expected}"
            )
        expected = key_range.last_key + 1
    if expected != LAST_KEY + 1:
        raise codec.CodecError(
            f"key map of {key_map.service}: the last key is {expected - 1}"
        )
    return key_map


def merge_neighbours(ranges: Iterable[KeyRange]) -> tuple[KeyRange, ...]:
    """Merges adjacent ranges that agree in all but their keys."""
    merged: list[KeyRange] = []
    for key_range in ranges:
        if merged and merged[-1][2:] == key_range[2:]:
            merged[-1] = merged[-1]._replace(last_key=key_range.last_key)
        else:
            merged.append(key_range)
    return tuple(merged)


def assign(
    ranges: Iterable[KeyRange],
    first_key: int,
    last_key: int,
    owner: ids.ServerId,
    token: int,
) -> tuple[KeyRange, ...]:
    """Returns ranges in which some keys have been assigned to an owner.

    Keys that already belong to that owner are left unchanged. Only one previous
    owner is recorded, so a range whose last move is still in progress must not
    be moved again before its previous owner is known to hold it no longer.
    """
    result: list[KeyRange] = []
    for key_range in ranges:
        first = max(first_key, key_range.first_key)
        last = min(last_key, key_range.last_key)
        if first > last or key_range.owner == owner:
            result.append(key_range)
            continue
        if key_range.first_key < first:
            result.append(key_range._replace(last_key=first - 1))
        result.append(KeyRange(first, last, owner, token, key_range.owner))
        if last < key_range.last_key:
            result.append(key_range._replace(first_key=last + 1))
    return merge_neighbours(result)


@dataclasses.dataclass(frozen=True, slots=True)
class Owner:
    """The owner of a key, as far as this instance knows."""

    server_id: ids.ServerId
    token: int
    # Whether the server is known to hold the key; if not, the move to it may
    # still be in progress.
    settled: bool


class _ServiceTable:
    """The newest map of a service, indexed for lookups."""

    def __init__(self, key_map: KeyMap) -> None:
        """Indexes the ranges."""
        self.key_map = key_map
        self._starts = [r.first_key for r in key_map.ranges]

    def find(self, key: int) -> KeyRange:
        """Returns the range that holds a key."""
        return self.key_map.ranges[bisect.bisect_right(self._starts, key) - 1]


class KeyTable:
    """The newest map of each service, from the log or from peers."""

    def __init__(self, journal: journals.Journal) -> None:
        """Initializes the table without maps."""
        self.changed = notifier.Notifier()
        self._journal = journal
        self._tables: dict[ids.ServiceName, _ServiceTable] = {}
        # The token and first key of each range whose move is known to have
        # ended, by service.
        self._settled: dict[ids.ServiceName, set[tuple[int, int]]] = {}

    def newest(self, service: ids.ServiceName) -> KeyMap | None:
        """Returns the newest map of a service."""
        table = self._tables.get(service)
        return table.key_map if table else None

    def services(self) -> tuple[ids.ServiceName, ...]:
        """Returns the services that have a map."""
        return tuple(self._tables)

    def put(self, key_map: KeyMap, source: str) -> bool:
        """Stores a map unless a newer one is known; returns whether it did."""
        known = self._tables.get(key_map.service)
        if known is not None and known.key_map.version >= key_map.version:
            return False
        self._tables[key_map.service] = _ServiceTable(key_map)
        moving = [r for r in key_map.ranges if r.previous_owner]
        settled = self._settled.get(key_map.service, set())
        present = {(r.token, r.first_key) for r in moving}
        self._settled[key_map.service] = settled & present
        self._journal.decision(
            "key_map",
            service=key_map.service,
            version=key_map.version,
            coordinator=key_map.coordinator,
            source=source,
            ranges=len(key_map.ranges),
            moving=len(moving),
        )
        self.changed.notify()
        return True

    def mark_settled(
        self, service: ids.ServiceName, token: int, first_key: int
    ) -> None:
        """Records that the owner of a range holds it."""
        self._settled.setdefault(service, set()).add((token, first_key))
        self.changed.notify()

    def find(self, service: ids.ServiceName, key: int) -> Owner | None:
        """Returns the owner of a key; None if there is no map."""
        table = self._tables.get(service)
        if table is None:
            return None
        key_range = table.find(key)
        settled = self.is_settled(service, key_range)
        return Owner(key_range.owner, key_range.token, settled)

    def is_settled(self, service: ids.ServiceName, key_range: KeyRange) -> bool:
        """Whether the owner of a range is known to hold it."""
        if not key_range.previous_owner:
            return True
        ended = self._settled.get(service, set())
        return (key_range.token, key_range.first_key) in ended
