"""Sends heartbeats to the coordinators and tracks the state of the peers."""

from collections.abc import Callable
import dataclasses

import anyio

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_daemon import _platform
from bridgecross_daemon import peer_protocol
from bridgecross_daemon import ports
from bridgecross_ownership import membership as memberships


class PeerWatcher:
    """Tracks which peers answer and which are stopping.

    Implements ``coordinator.PeerWatch``. A peer counts as silent from its last
    reply or, if there was none, from the first query about it.
    """

    def __init__(
        self,
        me: ids.InstanceId,
        membership: memberships.Membership,
        clock: clocks.Clock,
    ) -> None:
        """Starts without contact to any peer."""
        self.self_leaving = False
        self._me = me
        self._membership = membership
        self._clock = clock
        self._last_contact_s: dict[ids.InstanceId, float] = {}
        self._leaving: set[ids.InstanceId] = set()

    def silent_s(self, instance: ids.InstanceId) -> float:
        """Returns the seconds since an instance last answered."""
        now_s = self._clock.monotonic_s()
        return now_s - self._last_contact_s.setdefault(instance, now_s)

    def is_leaving(self, instance: ids.InstanceId) -> bool:
        """Returns whether an instance or the list says that it is stopping."""
        if instance == self._me and self.self_leaving:
            return True
        listing = self._membership.find(instance)
        if listing and listing.state is memberships.ListedState.LEAVING:
            return True
        return instance in self._leaving

    def record_contact(self, instance: ids.InstanceId, leaving: bool) -> None:
        """Records that an instance is alive, and whether it is stopping."""
        self._last_contact_s[instance] = self._clock.monotonic_s()
        if leaving:
            self._leaving.add(instance)

    def record_leaving(self, instance: ids.InstanceId) -> None:
        """Records that an instance is stopping."""
        self._leaving.add(instance)


@dataclasses.dataclass(frozen=True)
class HeartbeatSettings:
    """How heartbeats are sent."""

    # The interval between heartbeats, and the timeout of each.
    interval_ms: int


class HeartbeatSender:
    """Sends this instance's reports to the coordinators of its services."""

    def __init__(
        self,
        settings: HeartbeatSettings,
        client: ports.PeerCaller,
        addresses: _platform.Addresses,
        watcher: PeerWatcher,
        make_heartbeats: Callable[
            [], dict[ids.InstanceId, peer_protocol.Heartbeat]
        ],
    ) -> None:
        """Initializes the sender; ``run`` starts it.

        Args:
            settings: The interval; replaced when the settings change.
            client: Calls the coordinators.
            addresses: Looks up the addresses of the coordinators.
            watcher: Records which coordinators answer.
            make_heartbeats: Returns the heartbeat for each coordinator.
        """
        self.settings = settings
        self._client = client
        self._addresses = addresses
        self._watcher = watcher
        self._make_heartbeats = make_heartbeats
        self._in_flight: set[ids.InstanceId] = set()

    async def run(self) -> None:
        """Sends heartbeats until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                for instance, heartbeat in self._make_heartbeats().items():
                    if instance not in self._in_flight:
                        tasks.start_soon(self._send, instance, heartbeat)
                await anyio.sleep(self.settings.interval_ms / 1_000)

    async def _send(
        self, instance: ids.InstanceId, heartbeat: peer_protocol.Heartbeat
    ) -> None:
        """Sends one heartbeat; after a failure the peer counts as silent."""
        address = self._addresses.find_peer_address(instance)
        if address is None:
            return
        self._in_flight.add(instance)
        try:
            reply = await self._client.call(
                address,
                peer_protocol.HEARTBEAT,
                heartbeat,
                self.settings.interval_ms / 1_000,
            )
        except peer_protocol.PeerUnreachableError:
            return
        finally:
            self._in_flight.discard(instance)
        services = {report.service for report in heartbeat.reports}
        if reply.leaving:
            self._watcher.record_leaving(instance)
        if services.issubset(reply.coordinates):
            self._watcher.record_contact(instance, reply.leaving)
