import anyio
import pytest

from bridgecross_core import clock as clocks
from bridgecross_entry import draining

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize(
    ("requests", "coordinated", "unsent_bytes", "least_s"),
    [
        pytest.param((0,), (0,), (0,), 0.0, id="nothing is left"),
        pytest.param((2, 1, 0), (0,), (0,), 0.03, id="requests end"),
        pytest.param((0,), (1, 1, 0), (0,), 0.03, id="another takes the lead"),
        pytest.param(
            (0,), (1,), (0,), 0.2, id="no instance does: the log is unavailable"
        ),
        pytest.param((1,), (0,), (0,), 0.2, id="a request does not end"),
        pytest.param((0,), (0,), (9, 5, 0), 0.03, id="a caller reads slowly"),
        pytest.param((0,), (0,), (9,), 0.2, id="a caller does not read"),
    ],
)
async def test_waits_for_requests_send_buffers_and_the_next_leader(
    requests, coordinated, unsent_bytes, least_s
):
    clock = clocks.SystemClock()
    checks = 0

    def count(values):
        return values[min(checks, len(values) - 1)]

    def close_idle():
        nonlocal checks
        checks += 1

    begun_s = clock.monotonic_s()
    with anyio.fail_after(1.0):
        await draining.wait_until_idle(
            lambda: count(requests),
            lambda: count(coordinated),
            lambda: count(unsent_bytes),
            close_idle,
            begun_s + 0.2,
            clock,
        )
    took_s = clock.monotonic_s() - begun_s
    assert least_s <= took_s < least_s + 0.15
