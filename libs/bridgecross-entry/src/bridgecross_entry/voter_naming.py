"""Names the voters in the log while an instance leads."""

from collections.abc import Awaitable
from collections.abc import Callable

from bridgecross_core import clock as clocks
from bridgecross_core import codec
from bridgecross_entry import journal as journals
from bridgecross_entry import log as logs
from bridgecross_entry import model
from bridgecross_entry import relay_rounds
from bridgecross_entry import sole_lead
from bridgecross_entry import voters as voters_lib


class VoterNamer:
    """Replaces the voters when the list of instances has changed.

    The record is appended on condition that the topic ends where this leader
    knows it to, so no later claim is before it.
    """

    def __init__(
        self,
        settings: sole_lead.SoleLeadSettings,
        instance: model.InstanceSettings,
        log: logs.PlatformLog,
        topic: str,
        sole: sole_lead.SoleLead,
        journal: journals.Journal,
        clock: clocks.Clock,
    ) -> None:
        """Initializes the namer of an instance that does not lead.

        Args:
            settings: The timing of changes.
            instance: This instance.
            log: The platform's log.
            topic: The topic of the claims.
            sole: Counts the voters, and tells when they may be replaced.
            journal: Receives a line for each change.
            clock: Measures the time between changes.
        """
        self._settings = settings
        self._instance = instance
        self._log = log
        self._topic = topic
        self._sole = sole
        self._journal = journal
        self._clock = clock
        # The term in which this instance leads.
        self._term = -1
        # The offset at which the topic ends unless another instance has
        # appended to it; None if that is unknown.
        self._end: int | None = None
        # When the last change began.
        self._begun_s = float("-inf")

    def begin(self, term: int, end: int) -> None:
        """Begins to lead in a term, with the claim before an offset."""
        self._term = term
        self._end = end

    def find_named(
        self, records: tuple[logs.KeyedRecord, ...]
    ) -> voters_lib.NamedVoters | None:
        """Returns the voters that the log names; None if it names none."""
        try:
            return voters_lib.find(records)
        except codec.CodecError as error:
            self._journal.lifecycle("voters_unreadable", reason=str(error))
            return None

    def note_newest(self, newest: logs.Newest) -> None:
        """Records what the log contains while it has no later claim."""
        self._end = max(self._end or 0, newest.end)
        named = self.find_named(newest.records)
        if named is None:
            return
        if (named.term, named.instance) == (self._term, self._instance.name):
            self._sole.note_named(named.voters)

    async def name_if_due(
        self,
        counted: relay_rounds.RelayRound,
        may_name: logs.MaySend,
        read: Callable[[], Awaitable[None]],
    ) -> None:
        """Names the listed instances, unless the log does so already.

        Args:
            counted: The last round of heartbeats.
            may_name: Whether this instance leads with the same claim as now.
            read: Reads the newest claim, and calls ``note_newest``.
        """
        if counted.term != self._term or not self._is_due(counted):
            return
        self._begun_s = self._clock.monotonic_s()
        if self._end is None:
            await read()
        if self._end is not None and may_name():
            wanted = counted.listed(self._instance.peer_address)
            await self._name(wanted, self._end, may_name)

    def _is_due(self, counted: relay_rounds.RelayRound) -> bool:
        """Whether other voters may and should be named now."""
        own = self._instance.peer_address
        wanted = counted.listed(own)
        if not self._sole.needs_change(wanted):
            return False
        begun_ago_s = self._clock.monotonic_s() - self._begun_s
        if begun_ago_s < self._settings.change_interval_s:
            return False
        # Otherwise this leader would not be certain to be alone afterwards.
        return voters_lib.VoterSets((wanted,)).have_majority(
            counted.accepted | {own}
        )

    async def _name(
        self,
        wanted: voters_lib.VoterSet,
        expected_end: int,
        may_name: logs.MaySend,
    ) -> None:
        """Appends the record of some voters."""
        # Unless the record is certainly appended, a read of the log tells.
        self._end = None
        self._sole.begin_change(wanted)
        record = voters_lib.encode(self._term, self._instance.name, wanted)
        result = await self._log.append(
            self._topic, record, expected_end, may_name
        )
        is_named = isinstance(result, logs.Appended)
        self._journal.lifecycle(
            "voters_named" if is_named else "voters_not_named",
            term=self._term,
            voters=len(wanted),
            result=type(result).__name__,
        )
        if isinstance(result, logs.Appended) and may_name():
            self._end = result.offset + 1
            self._sole.complete_change(wanted)
