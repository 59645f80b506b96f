"""Tells the other instances which requests servers ended under.

A key moves when its owner ends, often to a server that another instance fronts;
so whoever sees an end tells all listed instances at once. Who is not reached is
told again until it is, and a new process asks the others.
"""

import anyio
import loguru

from bridgecross_core import clock as clocks
from bridgecross_core import ids
from bridgecross_core import notifier
from bridgecross_daemon import _platform
from bridgecross_daemon import peer_protocol
from bridgecross_daemon import ports
from bridgecross_request import poison_requests

_ENDS_MAX_COUNT = 64
_CALL_TIMEOUT_S = 0.1
_AGAIN_INTERVAL_S = 0.1
_AGAIN_FOR_S = 30.0
"""For so long those who were not reached are told again; an instance that is
gone is off the list by then."""


class PoisonBroadcaster:
    """Tells of ends, and hears of them."""

    def __init__(
        self,
        me: ids.InstanceId,
        ledger: poison_requests.PoisonLedger,
        client: ports.PeerCaller,
        addresses: _platform.Addresses,
        clock: clocks.Clock,
    ) -> None:
        """Has told nobody.

        Args:
            me: This instance.
            ledger: What is known here.
            client: Calls the others.
            addresses: Where they are.
            clock: For how long to try.
        """
        self._me = me
        self._ledger = ledger
        self._client = client
        self._addresses = addresses
        self._clock = clock
        self._changed = notifier.Notifier()
        # Until when those who lack something are told again.
        self._owed: dict[ids.InstanceId, float] = {}

    def tell(self, subject: poison_requests.Fingerprint) -> None:
        """Tells all others of a request, with all else that is known."""
        loguru.logger.info(
            "{} knows of {} ends under the request {}; refused for {:.0f} s",
            self._me,
            len(self._ledger.ends_of(subject)),
            subject.hex(),
            self._ledger.refused_for_s(subject),
        )
        until_s = self._clock.monotonic_s() + _AGAIN_FOR_S
        for instance in self._others():
            self._owed[instance] = until_s
        self._changed.notify()

    def answer(
        self, told: poison_requests.PoisonReport
    ) -> poison_requests.PoisonReport:
        """Takes in what another instance knows; returns what it may lack."""
        named = {poison_requests.Fingerprint(end.subject) for end in told.ends}
        known = self._ledger.build_report(
            named or self._ledger.list_suspects(), _ENDS_MAX_COUNT
        )
        self._take(told)
        return known

    async def run(self) -> None:
        """Tells whoever is owed something, until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._ask_first)
            while True:
                if not self._owed:
                    await self._changed.wait(60.0)
                await self._tell_owed()
                if self._owed:
                    await self._changed.wait(_AGAIN_INTERVAL_S)

    async def _ask_first(self) -> None:
        """Asks the others what they know, until one has answered."""
        while True:
            asked = await self._call_all(
                self._others(), poison_requests.PoisonReport()
            )
            if asked:
                return
            await anyio.sleep(_AGAIN_INTERVAL_S)

    async def _tell_owed(self) -> None:
        """Tells all that is known to those who were not reached."""
        now_s = self._clock.monotonic_s()
        present = self._others()
        for instance, until_s in list(self._owed.items()):
            if until_s < now_s or instance not in present:
                del self._owed[instance]
        subjects = self._ledger.list_known()
        told = self._ledger.build_report(subjects, _ENDS_MAX_COUNT)
        for instance in await self._call_all(set(self._owed), told):
            self._owed.pop(instance, None)

    async def _call_all(
        self, instances: set[ids.InstanceId], told: poison_requests.PoisonReport
    ) -> set[ids.InstanceId]:
        """Tells some instances at the same time; returns who answered."""
        reached: set[ids.InstanceId] = set()

        async def call(instance: ids.InstanceId) -> None:
            address = self._addresses.find_peer_address(instance)
            if address is None:
                return
            try:
                reply = await self._client.call(
                    address, peer_protocol.ENDS, told, _CALL_TIMEOUT_S
                )
            except peer_protocol.PeerUnreachableError:
                return
            reached.add(instance)
            self._take(reply)

        async with anyio.create_task_group() as calls:
            for instance in instances:
                calls.start_soon(call, instance)
        return reached

    def _take(self, told: poison_requests.PoisonReport) -> None:
        """Takes in what another instance knows."""
        try:
            refused = self._ledger.merge_report(told)
        except poison_requests.InvalidReportError as error:
            loguru.logger.warning("left aside what a peer tells: {}", error)
            return
        for subject in refused:
            loguru.logger.info(
                "{} refuses the request {}: servers ended under it",
                self._me,
                subject.hex(),
            )

    def _others(self) -> set[ids.InstanceId]:
        """Returns the other instances that are listed."""
        return self._addresses.list_instances() - {self._me}
