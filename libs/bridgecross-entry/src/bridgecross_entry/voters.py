"""The voters: the instances that count when a leader becomes the only one.

Two majorities share an instance only if they are majorities of one set. The
list of instances is no such set: it changes, and a leader that is cut off from
the log keeps the list that it read before. So the log names the voters, in the
topic of the claims to the lead. Each record there is appended on condition that
no other one came in between, so the sets form one sequence with the claims: a
new leader inherits the set that the leaders before it count, or one that
replaced it.
"""

from collections.abc import Iterable
from collections.abc import Set as AbstractSet
import dataclasses
from typing import NamedTuple

from bridgecross_core import codec
from bridgecross_entry import log as logs
from bridgecross_entry import model

KEY = "voters"
"""The key of the record; instances that do not know it ignore it."""

VoterSet = frozenset[model.Address]
"""The peer addresses of some voters."""


class _Record(NamedTuple):
    """The voters as stored in the log."""

    # The claim of the leader that named them.
    term: int
    instance: str
    # The peer addresses.
    addresses: tuple[str, ...]


_RECORDS = codec.Codec(_Record)


def encode(
    term: int, instance: str, voters: Iterable[model.Address]
) -> logs.KeyedRecord:
    """Returns the record of a set that a leader names."""
    addresses = tuple(sorted(map(str, voters)))
    value = _RECORDS.encode(_Record(term, instance, addresses))
    return logs.KeyedRecord(KEY, value)


@dataclasses.dataclass(frozen=True, slots=True)
class NamedVoters:
    """The voters that the log names."""

    # The claim of the leader that named them.
    term: int
    instance: str
    voters: VoterSet


def find(records: Iterable[logs.KeyedRecord]) -> NamedVoters | None:
    """Returns the voters that the newest records name; None without a record.

    Raises:
        codec.CodecError: The record is invalid.
    """
    for record in records:
        if record.key == KEY:
            return _decode(record.value)
    return None


def _decode(value: bytes) -> NamedVoters:
    """Decodes a record.

    Raises:
        codec.CodecError: It is invalid.
    """
    record = _RECORDS.decode(value)
    try:
        voters = frozenset(map(model.parse_address, record.addresses))
    except ValueError as error:
        raise codec.CodecError(str(error)) from error
    if not voters:
        raise codec.CodecError("the record names no voters")
    return NamedVoters(record.term, record.instance, voters)


@dataclasses.dataclass(frozen=True, slots=True)
class VoterSets:
    """The sets that count for a leader; each of them must agree.

    There is more than one while it is unknown which of them the log names.
    """

    sets: tuple[VoterSet, ...]

    def include(self, address: model.Address) -> bool:
        """Whether an instance belongs to each set."""
        return all(address in voters for voters in self.sets)

    def are_within(self, instances: AbstractSet[model.Address]) -> bool:
        """Whether all voters are among some instances."""
        return all(voters <= instances for voters in self.sets)

    def have_majority(self, instances: AbstractSet[model.Address]) -> bool:
        """Whether more than half of each set are among some instances."""
        return all(
            2 * len(voters & instances) > len(voters) for voters in self.sets
        )

    def have_half(self, instances: AbstractSet[model.Address]) -> bool:
        """Whether at least half of each set are among some instances.

        The others are no majority, so every majority shares one with these.
        """
        return all(
            2 * len(voters & instances) >= len(voters) for voters in self.sets
        )

    def add(self, voters: VoterSet) -> "VoterSets":
        """Returns the sets with one that the log may name from now on."""
        if self.sets and self.sets[-1] == voters:
            return self
        return VoterSets((*self.sets, voters))

    def drop_before(self, voters: VoterSet) -> "VoterSets":
        """Returns the sets without those before one that the log names."""
        if voters not in self.sets:
            return self
        return VoterSets(self.sets[self.sets.index(voters) :])
