"""Checks whether the relays that are in use answer.

A request may be sent through an instance only with a recent stamp of that
instance's clock, and one that has become silent must be noticed: requests that
wait for its answer would do so until their deadlines.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses

import anyio
import anyio.abc

from bridgecross_core import clock as clocks
from bridgecross_core import codec
from bridgecross_core import ids
from bridgecross_core import timeouts
from bridgecross_entry import forward_channels
from bridgecross_entry import forwards
from bridgecross_entry import journal as journals
from bridgecross_entry import model
from bridgecross_entry import tasks as tasks_lib

_STAMP_QUERY = forwards.QUERIES.encode(
    forwards.ReachQuery(ids.ServerId(""), is_fresh=False)
)
"""Asks about no server, so that the receiver connects to none."""


@dataclasses.dataclass(frozen=True, slots=True)
class ContactSettings:
    """When relays are asked for a stamp of their clock."""

    # The interval at which all relays in use are checked.
    check_interval_s: float = 0.25
    # A relay in use is asked if it has not answered for this long. Its stamps
    # can be used for 2 s.
    quiet_s: float = 1.5
    # The same while requests wait for its answer. Most servers answer sooner,
    # so that most requests need no query.
    waiting_quiet_s: float = 0.5
    # An instance answers within 2 ms; one that takes this long is overloaded
    # or out of reach.
    timeout_s: float = 0.4
    # A relay is in use for this long after a request was to go through it:
    # servers keep idle connections about as long.
    used_s: float = 10.0


class RelayContacts:
    """Asks relays for stamps, and ends exchanges with silent ones."""

    def __init__(
        self,
        settings: ContactSettings,
        channels: forward_channels.ForwardChannels,
        journal: journals.Journal,
        clock: clocks.Clock,
    ) -> None:
        """Starts without relays in use.

        Args:
            settings: When relays are asked.
            channels: Connects to them, and keeps their stamps.
            journal: Logs failures of the program.
            clock: The time source.
        """
        # Called with a relay that did not answer, and why.
        self.on_silent: Callable[[model.Address, str], None] = (
            lambda _relay, _reason: None
        )
        self._settings = settings
        self._channels = channels
        self._journal = journal
        self._clock = clock
        # When each relay was last wanted for a request.
        self._wanted_s: dict[model.Address, float] = {}
        # The blocks that wait for an answer of each relay, the oldest first, so
        # that those with the least time left are cancelled first.
        self._waiting: dict[model.Address, dict[anyio.CancelScope, None]] = {}
        # Relays with a query in progress.
        self._asked: set[model.Address] = set()
        self._tasks: anyio.abc.TaskGroup | None = None
        # Whether relays are checked at intervals.
        self._is_checking = False

    def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Enables queries; nothing runs before a relay is wanted.

        Args:
            tasks: Runs the queries.
        """
        self._tasks = tasks

    def heard_s(self, relay: model.Address) -> float | None:
        """Returns when a relay last answered; None if its stamp is too old."""
        if self._channels.return_stamp(relay) is None:
            return None
        return self._channels.heard_s(relay)

    def note_wanted(self, relay: model.Address, *, is_ready: bool) -> None:
        """Records that a request is to go through a relay.

        Args:
            relay: The relay.
            is_ready: Whether it may be used at once; otherwise it is asked.
        """
        self._wanted_s[relay] = self._clock.monotonic_s()
        if not self._is_checking and self._tasks is not None:
            self._is_checking = True
            self._tasks.start_soon(
                tasks_lib.keep_running, self._run, self._journal
            )
        if not is_ready:
            self._begin_query(relay)

    @contextlib.contextmanager
    def watch(self, relay: model.Address) -> Iterator[anyio.CancelScope]:
        """Cancels a block that waits for a relay if that becomes silent."""
        scope = anyio.CancelScope()
        waiting = self._waiting.setdefault(relay, {})
        waiting[scope] = None
        try:
            with scope:
                yield scope
        finally:
            waiting.pop(scope, None)
            if not waiting and self._waiting.get(relay) is waiting:
                del self._waiting[relay]

    async def _run(self) -> None:
        """Asks the relays in use that have been quiet, at intervals."""
        while True:
            await anyio.sleep(self._settings.check_interval_s)
            now_s = self._clock.monotonic_s()
            for relay, wanted_s in list(self._wanted_s.items()):
                is_waiting = relay in self._waiting
                if now_s - wanted_s > self._settings.used_s and not is_waiting:
                    del self._wanted_s[relay]
                elif self._is_quiet(relay, now_s, is_waiting=is_waiting):
                    self._begin_query(relay)

    def _is_quiet(
        self, relay: model.Address, now_s: float, *, is_waiting: bool
    ) -> bool:
        """Whether a relay has not answered for some time."""
        settings = self._settings
        limit_s = settings.waiting_quiet_s if is_waiting else settings.quiet_s
        return now_s - self._channels.heard_s(relay) > limit_s

    def _begin_query(self, relay: model.Address) -> None:
        """Begins to ask a relay, unless it is being asked."""
        if self._tasks is None or relay in self._asked:
            return

        async def run() -> None:
            await self._query(relay)

        self._asked.add(relay)
        self._tasks.start_soon(tasks_lib.run_once, run, self._journal)

    async def _query(self, relay: model.Address) -> None:
        """Asks a relay for its stamp."""
        asked_s = self._clock.monotonic_s()
        body: object = None
        try:
            with timeouts.move_on_after(self._settings.timeout_s, self._clock):
                body = await self._channels.post(
                    relay, forwards.REACH_PATH, _STAMP_QUERY
                )
        finally:
            self._asked.discard(relay)
        if isinstance(body, bytes):
            with contextlib.suppress(codec.CodecError):
                reply = forwards.REACH_REPLIES.decode(body)
                self._channels.note_stamp(relay, reply.stamp)
        if self._channels.heard_s(relay) >= asked_s:
            return
        # It is asked again once a request is to go through it.
        self._wanted_s.pop(relay, None)
        self.on_silent(relay, "no answer to a query")
        for scope in list(self._waiting.get(relay, ())):
            scope.cancel()
