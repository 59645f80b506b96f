"""Tests of which requests of callers are accepted."""

import pathlib

import pytest

from bridgecross_core import clock as clocks
from bridgecross_core import outcomes
from bridgecross_daemon import _caller_api
from bridgecross_daemon import _metrics
from bridgecross_entry import memory_ledger
from bridgecross_settings import check

pytestmark = pytest.mark.anyio

SETTINGS = pathlib.Path(__file__).parents[3] / "settings" / "karatas.jsonc"
LEDGER = memory_ledger.LedgerSettings(
    program_bytes=0, granted_ratio=1.0, granted_min_bytes=0, small_ratio=0.0
)


class Backend:
    """A ``_caller_api.CallerBackend`` that answers every request."""

    def __init__(self, ledger) -> None:
        self.house = check.check_text(SETTINGS.read_text(), "karatas")
        self.ledger = ledger
        self.bodies: list[bytes] = []
        self.held_bytes: list[int] = []

    def list_not_ready(self):
        return []

    def find_house(self):
        return self.house

    def find_place(self):
        return self.house.places["anadolu"]

    async def handle(self, request):
        self.bodies.append(request.body)
        self.held_bytes.append(self.ledger.total_bytes)
        return outcomes.Answered(200, (), b"done")

    def begin_request(self) -> None: ...

    def end_request(self) -> None: ...

    def is_leaving(self):
        return False


@pytest.mark.parametrize(
    ("body_bytes", "status"), [(50_000, 200), (50_001, 503), (0, 200)]
)
async def test_a_body_needs_memory(body_bytes, status):
    """Guards against a process that ends since many callers upload at once."""
    ledger = memory_ledger.MemoryLedger(LEDGER, 0.1)
    backend = Backend(ledger)
    app = _caller_api.CallerApp(
        backend, _metrics.Metrics(), clocks.SystemClock(), ledger
    )
    body = b"x" * body_bytes
    pieces = [body[: body_bytes // 2], body[body_bytes // 2 :]]
    sent = []

    async def receive():
        piece = pieces.pop(0) if pieces else b""
        more = bool(pieces)
        return {"type": "http.request", "body": piece, "more_body": more}

    async def send(message):
        sent.append(message)

    scope = {
        "type": "http",
        "method": "PUT",
        "path": "/v1/rapor/k",
        "query_string": b"",
        "headers": [(b"authorization", b"Bearer demir-secret")],
    }
    await app(scope, receive, send)
    assert sent[0]["status"] == status
    headers = dict(sent[0]["headers"])
    if status == 200:
        assert backend.bodies == [body]
        assert backend.held_bytes == [2 * body_bytes]
    else:
        assert not backend.bodies
        assert headers[b"bridgecross-outcome"] == b"not-run"
        assert headers[b"retry-after"] == b"1"
        assert headers[b"connection"] == b"close"
    assert not ledger.total_bytes
