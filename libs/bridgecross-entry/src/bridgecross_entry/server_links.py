"""This instance's own links to backend servers.

A server that cannot be connected to may have ended, or only the link from this
instance to it may be broken. This module records what this instance sees; what
other instances see decides which of the two it is.
"""

from collections.abc import Callable
from collections.abc import Container
import dataclasses
import math

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_entry import journal as journals
from bridgecross_entry import metrics as metrics_lib
from bridgecross_entry import model


@dataclasses.dataclass(frozen=True, slots=True)
class LinkSettings:
    """The timing of what is concluded from links."""

    # A server that was heard this recently is reached. A link that has become
    # silent is noticed after about the same time.
    heard_valid_s: float = 0.3
    # A new connection shows for this long that links of this instance work.
    connected_valid_s: float = 1.0
    # The pause before a link that failed is probed again. It doubles with each
    # failure, so that a link that comes and goes is used less.
    first_pause_s: float = 0.25
    longest_pause_s: float = 1.0
    # A link that worked for this long is probed after the first pause again.
    stable_s: float = 10.0
    # For how long one broken link, while another instance reaches the server,
    # casts doubt on the others: cuts of links last for seconds.
    suspicion_s: float = 5.0


@dataclasses.dataclass(slots=True)
class _Link:
    """The link to one run of a server."""

    server: model.BackendServer
    # When it last answered or accepted a connection.
    heard_s: float = -math.inf
    # When it last accepted a new connection of a probe.
    connected_s: float = -math.inf
    # Since when connections to it fail; None if the last one succeeded.
    failed_since_s: float | None = None
    # When it last began to work again.
    mended_s: float = -math.inf
    # Whether the last failed connection was refused.
    was_refused: bool = False
    # When another instance was last known to reach the server.
    reached_elsewhere_s: float = -math.inf
    pause_s: float = 0.0
    # When it may be probed again.
    retry_s: float = -math.inf


class ServerLinks:
    """What this instance sees of its links to servers."""

    def __init__(
        self,
        settings: LinkSettings,
        journal: journals.Journal,
        metrics: metrics_lib.Metrics,
        clock: clocks.Clock,
    ) -> None:
        """Starts without any links.

        Args:
            settings: The timing of conclusions.
            journal: Logs when links break and when they work again.
            metrics: Shows which services this instance reaches.
            clock: The time source.
        """
        # Called before a server is used again that refused connections, and of
        # which no other instance showed that it went on: it may have restarted.
        self.on_maybe_restarted: Callable[[ids.ServerId], None] = lambda _: None
        self._settings = settings
        self._journal = journal
        self._metrics = metrics
        self._clock = clock
        self._links: dict[ids.ServerId, _Link] = {}
        # Since when links of this instance are broken, and when another
        # instance last showed that.
        self._own_fault_since_s = -math.inf
        self._own_fault_shown_s = -math.inf

    # Observations.

    def note_heard(self, server: model.BackendServer) -> None:
        """Records that a server answered or accepted a connection."""
        link = self._get(server)
        now_s = self._clock.monotonic_s()
        link.heard_s = now_s
        if link.failed_since_s is None:
            return
        self._journal.decision(
            "server_reached",
            server=server.server_id,
            service=server.service,
            unreached_for_s=round(now_s - link.failed_since_s, 3),
        )
        is_same_run = link.reached_elsewhere_s >= link.failed_since_s
        if link.was_refused and not is_same_run:
            self.on_maybe_restarted(server.server_id)
        link.failed_since_s = None
        link.mended_s = now_s

    def note_connected(self, server: model.BackendServer) -> None:
        """Records that a server accepted a new connection."""
        self.note_heard(server)
        self._get(server).connected_s = self._clock.monotonic_s()

    def note_failed(
        self, server: model.BackendServer, reason: str, *, refused: bool
    ) -> None:
        """Records that no connection to a server came about.

        Args:
            server: The server.
            reason: Why.
            refused: Whether its address refused the connection.
        """
        link = self._get(server)
        link.was_refused = refused
        now_s = self._clock.monotonic_s()
        was_down = link.failed_since_s is not None
        settings = self._settings
        if was_down or now_s - link.mended_s < settings.stable_s:
            longer_s = max(2 * link.pause_s, settings.first_pause_s)
            link.pause_s = min(longer_s, settings.longest_pause_s)
        else:
            link.pause_s = settings.first_pause_s
        link.retry_s = now_s + link.pause_s
        if was_down:
            return
        link.failed_since_s = now_s
        self._journal.decision(
            "server_unreached",
            server=server.server_id,
            service=server.service,
            address=str(server.address),
            reason=reason,
        )

    def note_reached_elsewhere(
        self, server: model.BackendServer, peer: model.Address
    ) -> None:
        """Records that another instance reaches a server.

        If this one does not, its own link is broken, and others may be too.
        """
        link = self._get(server)
        now_s = self._clock.monotonic_s()
        link.reached_elsewhere_s = now_s
        failed_since_s = link.failed_since_s
        if failed_since_s is None:
            return
        is_new = not self._suspects_own_links(now_s)
        self._own_fault_shown_s = now_s
        if not is_new:
            return
        self._own_fault_since_s = failed_since_s
        self._journal.decision(
            "own_links_broken",
            server=server.server_id,
            service=server.service,
            reached_by=str(peer),
        )

    # Conclusions.

    def is_usable(self, server_id: ids.ServerId) -> bool:
        """Whether requests may go straight to a server.

        A connection that has shown no sign of life since other links broke may
        be silent, so such a server is probed first.
        """
        return not self.is_down(server_id) and not self._is_suspect(server_id)

    def is_down(self, server_id: ids.ServerId) -> bool:
        """Whether the last connection to a server failed."""
        link = self._links.get(server_id)
        return link is not None and link.failed_since_s is not None

    def is_probe_due(self, server_id: ids.ServerId) -> bool:
        """Whether an unusable link should be probed."""
        link = self._links.get(server_id)
        return link is None or self._clock.monotonic_s() >= link.retry_s

    def heard_s(self, server_id: ids.ServerId) -> float:
        """Returns when a server was last heard, on the monotonic clock."""
        link = self._links.get(server_id)
        return link.heard_s if link is not None else -math.inf

    def connected_since_failure(
        self, server_id: ids.ServerId, failing_id: ids.ServerId
    ) -> bool:
        """Whether a server accepted a connection since another one did not."""
        link = self._links.get(server_id)
        failing = self._links.get(failing_id)
        if link is None or failing is None or failing.failed_since_s is None:
            return False
        if link.failed_since_s is not None:
            return False
        age_s = self._clock.monotonic_s() - link.connected_s
        is_recent = age_s < self._settings.connected_valid_s
        return is_recent and link.connected_s >= failing.failed_since_s

    def is_heard(self, server_id: ids.ServerId) -> bool:
        """Whether a server answered or accepted a connection a moment ago."""
        if not self.is_usable(server_id):
            return False
        age_s = self._clock.monotonic_s() - self.heard_s(server_id)
        return age_s < self._settings.heard_valid_s

    def _is_suspect(self, server_id: ids.ServerId) -> bool:
        """Whether a server was not heard since links of this instance broke."""
        if not self._suspects_own_links(self._clock.monotonic_s()):
            return False
        return self.heard_s(server_id) < self._own_fault_since_s

    def _suspects_own_links(self, now_s: float) -> bool:
        """Whether links of this instance were shown to be broken lately."""
        return now_s - self._own_fault_shown_s < self._settings.suspicion_s

    # Upkeep.

    def sweep(self, known: Container[ids.ServerId]) -> None:
        """Forgets servers that have ended or left the list."""
        for server_id in [each for each in self._links if each not in known]:
            del self._links[server_id]

    def refresh_metrics(self) -> None:
        """Updates the gauge of how many servers are not reached."""
        counts: dict[ids.ServiceName, int] = {}
        for link in self._links.values():
            is_down = link.failed_since_s is not None
            service = link.server.service
            counts[service] = counts.get(service, 0) + is_down
        for service, count in counts.items():
            self._metrics.servers_unreached.set({"service": service}, count)

    def _get(self, server: model.BackendServer) -> _Link:
        """Returns the link to a server."""
        link = self._links.get(server.server_id)
        if link is None:
            link = self._links[server.server_id] = _Link(server)
        return link
