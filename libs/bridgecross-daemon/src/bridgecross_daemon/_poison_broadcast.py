"""Broadcasts which requests were running when a server's run ended.

When the owner of a key ends, the key often moves to a server whose queue
another instance owns. An instance that observes a run's end under a request
therefore sends a report to all listed instances at once. Instances that were
not reached are retried until they are, and a new process asks the others for
what they know.
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
_RETRY_INTERVAL_S = 0.1
_RETRY_FOR_S = 30.0
"""How long instances that were not reached are retried; after that time, a
terminated instance is no longer listed."""


class PoisonBroadcaster:
    """Sends reports about ends to other instances, and receives them."""

    def __init__(
        self,
        me: ids.InstanceId,
        ledger: poison_requests.PoisonLedger,
        client: ports.PeerCaller,
        addresses: _platform.Addresses,
        clock: clocks.Clock,
    ) -> None:
        """Starts without reports to send.

        Args:
            me: This instance.
            ledger: The ends and answers that this instance knows of.
            client: Calls the other instances.
            addresses: Looks up the addresses of the other instances.
            clock: The clock that limits the retries.
        """
        self._me = me
        self._ledger = ledger
        self._client = client
        self._addresses = addresses
        self._clock = clock
        self._changed = notifier.Notifier()
        # The instances that still have to be reached, and until when each is
        # retried.
        self._unreached: dict[ids.InstanceId, float] = {}

    def broadcast(self, subject: poison_requests.Fingerprint) -> None:
        """Reports a request, and all others known, to all instances."""
        loguru.logger.info(
            "{}: {} server runs ended under request {}; refused for {:.0f} s",
            self._me,
            len(self._ledger.ends_of(subject)),
            subject.hex(),
            self._ledger.refused_for_s(subject),
        )
        until_s = self._clock.monotonic_s() + _RETRY_FOR_S
        for instance in self._list_others():
            self._unreached[instance] = until_s
        self._changed.notify()

    def answer(
        self, report: poison_requests.PoisonReport
    ) -> poison_requests.PoisonReport:
        """Merges an instance's report; returns what it may not know.

        The reply is about the same requests or, if the report names none, about
        all suspect ones.
        """
        named = {
            poison_requests.Fingerprint(end.subject) for end in report.ends
        }
        known = self._ledger.build_report(
            named or self._ledger.list_suspects(), _ENDS_MAX_COUNT
        )
        self._merge(report)
        return known

    async def run(self) -> None:
        """Sends reports to unreached instances until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._ask_initially)
            while True:
                if not self._unreached:
                    await self._changed.wait(60.0)
                await self._report_to_unreached()
                if self._unreached:
                    await self._changed.wait(_RETRY_INTERVAL_S)

    async def _ask_initially(self) -> None:
        """Asks the others for what they know until one has replied."""
        while True:
            replied = await self._call_all(
                self._list_others(), poison_requests.PoisonReport()
            )
            if replied:
                return
            await anyio.sleep(_RETRY_INTERVAL_S)

    async def _report_to_unreached(self) -> None:
        """Sends all that is known to the unreached instances."""
        now_s = self._clock.monotonic_s()
        others = self._list_others()
        for instance, until_s in list(self._unreached.items()):
            if until_s < now_s or instance not in others:
                del self._unreached[instance]
        subjects = self._ledger.list_known()
        report = self._ledger.build_report(subjects, _ENDS_MAX_COUNT)
        for instance in await self._call_all(set(self._unreached), report):
            self._unreached.pop(instance, None)

    async def _call_all(
        self,
        instances: set[ids.InstanceId],
        report: poison_requests.PoisonReport,
    ) -> set[ids.InstanceId]:
        """Calls instances concurrently; returns those that replied."""
        reached: set[ids.InstanceId] = set()

        async def call(instance: ids.InstanceId) -> None:
            address = self._addresses.find_peer_address(instance)
            if address is None:
                return
            try:
                reply = await self._client.call(
                    address,
                    peer_protocol.POISON_REPORT,
                    report,
                    _CALL_TIMEOUT_S,
                )
            except peer_protocol.PeerUnreachableError:
                return
            reached.add(instance)
            self._merge(reply)

        async with anyio.create_task_group() as calls:
            for instance in instances:
                calls.start_soon(call, instance)
        return reached

    def _merge(self, report: poison_requests.PoisonReport) -> None:
        """Merges a report of another instance into the ledger."""
        try:
            refused = self._ledger.merge_report(report)
        except poison_requests.InvalidReportError as error:
            loguru.logger.warning(
                "ignored an invalid report of a peer: {}", error
            )
            return
        for subject in refused:
            loguru.logger.info(
                "{}: refusing request {}: servers ended under it",
                self._me,
                subject.hex(),
            )

    def _list_others(self) -> set[ids.InstanceId]:
        """Returns the other instances that are listed."""
        return self._addresses.list_instances() - {self._me}
