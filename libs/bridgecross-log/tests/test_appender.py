import anyio
import anyio.lowlevel
import pytest

from bridgecross_core import clock
from bridgecross_core import hybrid_clock
from bridgecross_core import ids
from bridgecross_log import appender
from bridgecross_log import records
from bridgecross_log import service

pytestmark = pytest.mark.anyio


class _FakeLog:
    """Stores appended records if set to; may raise an error as well."""

    def __init__(self, error: Exception | None, *, keeps: bool) -> None:
        self.kept: list[records.Envelope] = []
        self._error = error
        self._keeps = keeps

    async def append(self, stream: str, data: bytes) -> ids.Offset:
        await anyio.lowlevel.checkpoint()
        if self._keeps:
            self.kept.append(records.decode_envelope(data))
        if self._error is not None:
            raise self._error
        return ids.Offset(len(self.kept) - 1)

    async def read(
        self, stream: str, from_offset: ids.Offset, wait_ms: int
    ) -> service.ReadBatch:
        raise service.LogUnavailableError("not in this test")


APPLIED = appender.Applied(ids.Offset(0))
VOID = appender.Void(ids.Offset(0), "stale")
LOST = service.AppendOutcomeUnknownError("timeout")
REFUSED = service.AppendRefusedError("refused")

CASES = {
    "acknowledged and applied": (None, True, APPLIED, appender.Applied),
    "acknowledged and void": (None, True, VOID, appender.Void),
    "acknowledgement lost, applied": (LOST, True, APPLIED, appender.Applied),
    "acknowledgement lost, void": (LOST, True, VOID, appender.Void),
    "acknowledgement lost, never seen": (
        LOST,
        False,
        None,
        appender.OutcomeUnknown,
    ),
    "acknowledged, not seen yet": (None, True, None, appender.OutcomeUnknown),
    "refused": (REFUSED, False, None, appender.NotAppended),
}


@pytest.mark.parametrize(
    ("error", "keeps", "verdict", "expected"), CASES.values(), ids=CASES.keys()
)
async def test_outcome_of_an_append(error, keeps, verdict, expected):
    log = _FakeLog(error, keeps=keeps)
    settings = appender.AppenderSettings("s", "writer", confirm_timeout_ms=30)
    writer = appender.Appender(
        settings, log, hybrid_clock.HybridClock(clock.SystemClock())
    )
    outcomes = []

    async def append() -> None:
        outcomes.append(await writer.append("kind", b"body"))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(append)
        await anyio.sleep(0.01)
        if verdict is not None:
            writer.report(log.kept[0].record_id, verdict)
            writer.report(log.kept[0].record_id, VOID)
    assert isinstance(outcomes[0], expected)
