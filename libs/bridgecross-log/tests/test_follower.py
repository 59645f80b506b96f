import anyio
import pytest

from bridgecross_core import clock
from bridgecross_core import ids
from bridgecross_log import follower
from bridgecross_log import service

pytestmark = pytest.mark.anyio


class _ScriptedLog:
    """Answers reads from a script, then waits forever."""

    def __init__(self, script: list[service.ReadBatch | Exception]) -> None:
        self._script = script
        self.requested_offsets: list[int] = []

    async def append(self, stream: str, data: bytes) -> ids.Offset:
        raise service.AppendRefusedError("not in this test")

    async def read(
        self, stream: str, from_offset: ids.Offset, wait_ms: int
    ) -> service.ReadBatch:
        self.requested_offsets.append(from_offset)
        if not self._script:
            await anyio.sleep_forever()
        answer = self._script.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer


class _Handler:
    def __init__(self) -> None:
        self.applied: list[int] = []
        self.restarts: list[int] = []

    def apply(self, record: service.StoredRecord) -> None:
        self.applied.append(record.offset)

    def restart(self, first_offset: ids.Offset) -> None:
        self.restarts.append(first_offset)


def _batch(first: int, offsets: list[int], end: int) -> service.ReadBatch:
    return service.ReadBatch(
        [service.StoredRecord(ids.Offset(o), b"") for o in offsets],
        ids.Offset(first),
        ids.Offset(end),
    )


async def _follow(script):
    log = _ScriptedLog(script)
    handler = _Handler()
    reader = follower.Follower(
        follower.FollowerSettings("s", retry_ms=1),
        log,
        handler,
        clock.SystemClock(),
    )
    with anyio.move_on_after(0.05):
        await reader.run()
    return log, handler, reader


async def test_records_are_applied_once_and_in_order():
    script = [_batch(0, [0, 1], 4), _batch(0, [1, 2, 3], 4)]
    log, handler, reader = await _follow(script)
    assert handler.applied == [0, 1, 2, 3]
    assert log.requested_offsets == [0, 2, 4]
    assert reader.caught_up.is_set()


async def test_an_incomplete_read_does_not_count_as_fresh():
    _, handler, reader = await _follow([_batch(0, [0, 1], 9)])
    assert handler.applied == [0, 1]
    assert reader.age_s() == float("inf")


async def test_failed_reads_are_retried_and_expired_offsets_restart():
    script = [
        service.LogUnavailableError("down"),
        service.OffsetExpiredError(ids.Offset(5)),
        _batch(5, [5], 6),
    ]
    log, handler, _ = await _follow(script)
    assert handler.restarts == [5]
    assert handler.applied == [5]
    assert log.requested_offsets == [0, 0, 5, 6]
