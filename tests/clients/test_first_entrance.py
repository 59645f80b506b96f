"""Tests of the daemon of the first entrance beside clients without manners."""

import pathlib

import anyio
import pytest

from bridgecross_standins import cluster_tools
from bridgecross_standins import crowds
from bridgecross_standins import processes

MEMORY_MB = 300
"""The memory of an ordinary machine."""

MEGABYTE = 1_000_000
ENDLESS_BYTES = 4 * MEGABYTE
MAX_HEAD_BYTES = 16_384

ORDINARY = {
    "Authorization": "Bearer demir-secret",
    "Bridgecross-Deadline-Ms": "10000",
}
HEAD = b"GET /v1/rapor/k HTTP/1.1\r\nHost: h\r\n" + b"".join(
    f"{name}: {value}\r\n".encode() for name, value in ORDINARY.items()
)
BODY_HEAD = HEAD.replace(b"GET", b"PUT")
CHUNKED = BODY_HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"
HELD = b"Content-Length: 9\r\n"
HTTP2_SETTINGS = b"\x00\x00\x00\x04\x00\x00\x00\x00\x00"
"""An empty frame, which the peer acknowledges."""


def fill_head(line: bytes, head: bytes) -> bytes:
    """Returns a head of legal size that consists of one line repeated."""
    return head + line * ((MAX_HEAD_BYTES - len(head) - 2) // len(line))


CROWDS = {
    "short lines, bodies that never come": (
        crowds.Script(fill_head(b"a:\r\n", BODY_HEAD + HELD) + b"\r\n"),
        300,
    ),
    "short lines, not finished": (
        crowds.Script(fill_head(b"a:\r\n", HEAD)),
        300,
    ),
    "short lines, one request after another": (
        crowds.Script(
            b"", fill_head(b"a:\r\n", HEAD) + b"\r\n", 20 * MAX_HEAD_BYTES
        ),
        40,
    ),
    "small requests sent ahead": (
        crowds.Script(b"", HEAD + b"\r\n", 2 * MEGABYTE),
        100,
    ),
    "target": (crowds.Script(b"GET /", b"x", ENDLESS_BYTES), 40),
    "value": (crowds.Script(HEAD + b"a: ", b"x", ENDLESS_BYTES), 40),
    "lines": (crowds.Script(HEAD, b"a:\r\n", MEGABYTE), 40),
    "empty lines": (crowds.Script(b"", b"\r\n", ENDLESS_BYTES), 40),
    "trailers": (
        crowds.Script(CHUNKED + b"0\r\n", b"a:\r\n", MEGABYTE),
        40,
    ),
    "extension of a chunk": (
        crowds.Script(CHUNKED + b"1;", b"a", ENDLESS_BYTES),
        40,
    ),
    "large bodies that never end": (
        crowds.Script(
            BODY_HEAD + b"Content-Length: 1000000\r\n\r\n",
            b"x",
            983_040,
        ),
        300,
    ),
    "streams of HTTP/2 settings": (
        crowds.Script(
            b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + HTTP2_SETTINGS,
            HTTP2_SETTINGS,
            MEGABYTE,
        ),
        40,
    ),
}


@pytest.fixture
def cluster(tmp_path):
    """One instance and one server."""
    shape = processes.ClusterShape(
        settings_file=pathlib.Path(__file__).parents[2]
        / "settings"
        / "karatas.jsonc",
        place="anadolu",
        services=(processes.ServiceShape("rapor", 1),),
        instances=1,
        folder=tmp_path / "house",
        entry_memory_mb=MEMORY_MB,
    )
    with processes.Cluster(shape) as running:
        anyio.run(cluster_tools.start_cluster, running)
        yield running


def _split_address(url: str) -> tuple[str, int]:
    """Returns the host and the port of a URL."""
    host, _, port = url.removeprefix("http://").partition(":")
    return host, int(port)


@pytest.mark.anyio
@pytest.mark.parametrize("listener", ["callers", "admin"])
@pytest.mark.parametrize(
    ("script", "count"), CROWDS.values(), ids=CROWDS.keys()
)
async def test_a_crowd_does_not_fill_the_memory(
    cluster, listener, script, count
):
    """Guards against a daemon that ends by what clients send."""
    entry = cluster.entries["entry-1"]
    url = entry.caller_url if listener == "callers" else entry.admin_url
    async with crowds.crowd(_split_address(url), script, count):
        pass
    await crowds.wait_for_answer(f"{entry.caller_url}/v1/rapor/k", ORDINARY)
    peak_mb = crowds.peak_memory_mb(entry.process.pid)
    print(f"peak {peak_mb:.0f} MB")
    assert entry.process.is_running()
    assert peak_mb < MEMORY_MB
