"""A service's state, built from its records alike by every reader."""

from typing import NamedTuple

from bridgecross_core import codec
from bridgecross_core import ids
from bridgecross_log import appender
from bridgecross_log import records as log_records
from bridgecross_ownership import records

NO_SERVER = ids.ServerId("")
"""The owner of a slice that was never assigned."""

NO_INSTANCE = ids.InstanceId("")
"""The coordinator of a service that was never claimed."""


class SliceState(NamedTuple):
    """The owner of a slice, and its earlier owners.

    ``token`` is the fencing token of the owner's grant. ``prior`` are the
    servers that may still hold the slice under a lower token.
    """

    server: ids.ServerId
    token: ids.Token
    prior: tuple[ids.ServerId, ...]


class EarlierQueueOwner(NamedTuple):
    """A queue owner that was replaced but may not have read that yet."""

    instance: ids.InstanceId
    token: ids.Token
    witnesses: tuple[ids.InstanceId, ...]


class QueueOwnerState(NamedTuple):
    """The queue owner of a server, and its fencing token.

    ``backup`` is the server that may serve the slices if the server is lost
    while the log is down. ``earlier`` are the previous queue owners that the
    server may still obey: all since the last one that it is known to have
    accepted.
    """

    instance: ids.InstanceId
    token: ids.Token
    witnesses: tuple[ids.InstanceId, ...]
    backup: ids.ServerId
    earlier: tuple[EarlierQueueOwner, ...]


class CellSnapshot(NamedTuple):
    """The whole state of a cell, as stored in a snapshot."""

    service: ids.ServiceName
    term: ids.Term
    coordinator: ids.InstanceId
    head: ids.Offset
    slices: list[SliceState]
    queue_owners: dict[ids.ServerId, QueueOwnerState]


_UNOWNED = SliceState(NO_SERVER, ids.NO_TOKEN, ())


class Cell:
    """The state of one service after a prefix of the log."""

    def __init__(self, service: ids.ServiceName) -> None:
        """Starts as a service that no instance has claimed."""
        self.service = service
        self.term = ids.Term(ids.NO_OFFSET)
        self.coordinator = NO_INSTANCE
        self.head = ids.NO_OFFSET
        self.slices: list[SliceState] = []
        self.queue_owners: dict[ids.ServerId, QueueOwnerState] = {}
        self._owned: dict[ids.ServerId, set[ids.SliceIndex]] = {}

    def restore(self, snapshot: CellSnapshot) -> None:
        """Replaces the state by a snapshot, unless the snapshot is older."""
        if snapshot.head <= self.head:
            return
        self.term = snapshot.term
        self.coordinator = snapshot.coordinator
        self.head = snapshot.head
        self.slices = list(snapshot.slices)
        self.queue_owners = dict(snapshot.queue_owners)
        self._owned = {}
        for index, state in enumerate(self.slices):
            self._index_owner(ids.SliceIndex(index), state.server)

    def to_snapshot(self) -> CellSnapshot:
        """Returns the whole state for a snapshot."""
        return CellSnapshot(
            service=self.service,
            term=self.term,
            coordinator=self.coordinator,
            head=self.head,
            slices=self.slices,
            queue_owners=self.queue_owners,
        )

    def apply(self, record: log_records.LogRecord) -> appender.Verdict:
        """Applies a claim or an assignment of this service.

        Returns:
            The verdict, which is the same for every reader. A record that
            cannot be decoded is void; nothing is raised.
        """
        kind = record.envelope.kind
        try:
            if kind == records.CLAIM_KIND:
                claim = records.CLAIMS.decode(record.envelope.body)
                return self._apply_claim(record.offset, claim)
            assignment = records.ASSIGNMENTS.decode(record.envelope.body)
        except codec.CodecError as error:
            return appender.Void(record.offset, f"damaged {kind}: {error}")
        return self._apply_assignment(record.offset, assignment)

    def list_slices_of(self, server: ids.ServerId) -> list[ids.SliceIndex]:
        """Returns the slices that a server owns, in order."""
        return sorted(self._owned.get(server, ()))

    def count_slices_of(self, server: ids.ServerId) -> int:
        """Returns how many slices a server owns."""
        return len(self._owned.get(server, ()))

    def list_servers_of(
        self, queue_owner: ids.InstanceId
    ) -> list[ids.ServerId]:
        """Returns the servers whose queues an instance owns."""
        return [
            server
            for server, state in self.queue_owners.items()
            if state.instance == queue_owner
        ]

    def list_holders(self) -> set[ids.ServerId]:
        """Returns every server that owns, or may still hold, a slice."""
        holders: set[ids.ServerId] = set()
        for state in self.slices:
            holders.add(state.server)
            holders.update(state.prior)
        holders.discard(NO_SERVER)
        return holders

    def _apply_claim(
        self, offset: ids.Offset, claim: records.Claim
    ) -> appender.Verdict:
        """Starts a new term if the claim supersedes the newest one."""
        if claim.supersedes != self.term:
            reason = f"supersedes term {claim.supersedes}, not {self.term}"
            return appender.Void(offset, reason)
        if not self.slices:
            if claim.slice_count < 1:
                return appender.Void(offset, "the first claim has no slices")
            self.slices = [_UNOWNED] * claim.slice_count
        self.term = ids.Term(offset)
        self.head = offset
        self.coordinator = claim.coordinator
        return appender.Applied(offset)

    def _apply_assignment(
        self, offset: ids.Offset, assignment: records.Assignment
    ) -> appender.Verdict:
        """Applies an assignment if it builds on the newest record."""
        reason = self._find_violation(assignment)
        if reason:
            return appender.Void(offset, reason)
        for index in assignment.settled:
            self.slices[index] = self.slices[index]._replace(prior=())
        for server in assignment.accepted_queue_owners:
            self.queue_owners[server] = self.queue_owners[server]._replace(
                earlier=()
            )
        for move in assignment.moves:
            for index in move.slices:
                self._move_slice(index, move.server, ids.Token(offset))
        for change in assignment.queue_owners:
            self._change_queue_owner(change, ids.Token(offset))
        for server in assignment.retired:
            self.queue_owners.pop(server, None)
        self.head = offset
        return appender.Applied(offset)

    def _find_violation(self, assignment: records.Assignment) -> str:
        """Returns the rule that an assignment breaks; empty if none."""
        if assignment.term != self.term:
            return f"is of term {assignment.term}, not {self.term}"
        if assignment.base != self.head:
            return f"builds on {assignment.base}, not {self.head}"
        indices = [i for move in assignment.moves for i in move.slices]
        indices += assignment.settled
        if any(not 0 <= index < len(self.slices) for index in indices):
            return "names a slice that does not exist"
        if any(
            server not in self.queue_owners
            for server in assignment.accepted_queue_owners
        ):
            return "accepts the front of a server that has none"
        holders = self.list_holders() if assignment.retired else set()
        if holders.intersection(assignment.retired):
            return "retires a server that may hold a slice"
        return ""

    def _move_slice(
        self, index: ids.SliceIndex, server: ids.ServerId, token: ids.Token
    ) -> None:
        """Makes a server the owner of a slice.

        The earlier owners and their backups must release it first.
        """
        old = self.slices[index]
        queue_owner = self.queue_owners.get(old.server)
        backup = queue_owner.backup if queue_owner else NO_SERVER
        prior = {*old.prior, old.server, backup} - {server, NO_SERVER}
        self.slices[index] = SliceState(server, token, tuple(sorted(prior)))
        self._owned.get(old.server, set()).discard(index)
        self._index_owner(index, server)

    def _index_owner(self, index: ids.SliceIndex, server: ids.ServerId) -> None:
        """Adds a slice to the index by owner."""
        if server != NO_SERVER:
            self._owned.setdefault(server, set()).add(index)

    def _change_queue_owner(
        self, change: records.ServerQueueOwner, token: ids.Token
    ) -> None:
        """Changes the queue owner of a server and records the replaced one."""
        old = self.queue_owners.get(change.server)
        earlier: tuple[EarlierQueueOwner, ...] = ()
        if old is not None:
            replaced = EarlierQueueOwner(old.instance, old.token, old.witnesses)
            earlier = (*old.earlier, replaced)
        self.queue_owners[change.server] = QueueOwnerState(
            change.instance, token, change.witnesses, change.backup, earlier
        )
        if old is not None and old.instance != change.instance and old.backup:
            self._reassign_after_backup(change.server, old.backup, token)

    def _reassign_after_backup(
        self, server: ids.ServerId, backup: ids.ServerId, token: ids.Token
    ) -> None:
        """Makes a server the next owner after its backup.

        The replaced queue owner may have handed slices over to the backup. The
        server therefore gets its slices again, under a higher token than the
        backup's, and its new queue owner has to ask the backup to release them.
        """
        for index in self.list_slices_of(server):
            prior = {*self.slices[index].prior, backup}
            self.slices[index] = SliceState(server, token, tuple(sorted(prior)))
