import loguru
import pytest

from bridgecross_core import ids
from bridgecross_core import outcomes
from bridgecross_daemon import _failed_request_log
from bridgecross_request import requests

UNKNOWN = outcomes.Unknown("the server did not answer")
NOT_RUN = outcomes.NotRun(
    outcomes.NotRunProof.REFUSED_BY_ADMISSION, "the key has no owner"
)


class Clock:
    now_s = 100.0

    def monotonic_s(self):
        return self.now_s

    def wall_s(self):
        return self.now_s


def _make_request(number: int) -> requests.Request:
    return requests.Request(
        request_id=f"id-{number}",
        service=ids.ServiceName("rapor"),
        key="k",
        caller="demir",
        tier="gold",
        method="PUT",
        target="/v1/rapor/k",
        headers=(),
        body=b"",
        deadline_s=103.0,
        idempotency_key="",
    )


@pytest.fixture
def lines():
    written = []
    sink = loguru.logger.add(written.append, format="{message}")
    yield written
    loguru.logger.remove(sink)


def test_a_line_contains_the_request_its_outcome_and_the_reason(lines):
    log = _failed_request_log.FailedRequestLog(
        ids.InstanceId("entry-1"), Clock()
    )
    log.record(_make_request(1), UNKNOWN)
    assert lines == [
        "entry-1: id-1 rapor/k Unknown: the server did not answer; "
        "3.000 s left, 0 more like it\n"
    ]


def test_requests_of_one_kind_are_logged_once_a_second_with_a_count(lines):
    clock = Clock()
    log = _failed_request_log.FailedRequestLog(ids.InstanceId("entry-1"), clock)
    for number in range(50):
        log.record(_make_request(number), UNKNOWN)
    log.record(_make_request(50), NOT_RUN)
    assert len(lines) == 2
    clock.now_s += 1.0
    log.record(_make_request(51), UNKNOWN)
    assert "id-51" in lines[2]
    assert "49 more like it" in lines[2]


def test_memory_is_bounded_if_every_reason_is_different(lines):
    clock = Clock()
    log = _failed_request_log.FailedRequestLog(ids.InstanceId("entry-1"), clock)
    for number in range(1_000):
        clock.now_s += 0.1
        log.record(_make_request(number), outcomes.Unknown(f"reason {number}"))
    assert len(lines) == 1_000
    assert len(log._last_lines) <= 100
