"""A stand-in for a consumer behind a slow link."""

import socket
import time
import uuid

from lab import consumer
from lab import record
from lab import system
from lab import wire

# The segments of an Ethernet link. Those of the loopback interface are 64 KiB,
# for which the kernel of the sender would keep megabytes.
_SEGMENT_BYTES = 536
_RECEIVE_BUFFER_BYTES = 4_096
_READ_BYTES = 2_048


def send(
    machine: system.Machine,
    log: record.Record,
    method: str,
    path: str,
    limit_ms: int,
    bytes_per_s: int,
) -> None:
    """Sends one request, reads its answer slowly, and records it."""
    request_id = uuid.uuid4().hex[:16]
    headers = {
        "Host": consumer.HOST,
        "Request-Id": request_id,
        "Request-Deadline-Ms": str(limit_ms),
    }
    log.write("sent", request_id, method, path, "to", machine.name)
    began_s = time.monotonic()
    received = b""
    end = "cut off"
    with socket.socket() as link:
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES)
        link.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        link.settimeout(limit_ms / 1_000)
        link.connect(machine.front)
        link.sendall(wire.encode_request(method, path, headers))
        try:
            while not _is_whole(received):
                if time.monotonic() - began_s > limit_ms / 1_000:
                    end = "out of time"
                    break
                piece = link.recv(_READ_BYTES)
                if not piece:
                    break
                received += piece
                time.sleep(len(piece) / bytes_per_s)
        except TimeoutError:
            end = "out of time"
        except OSError as error:
            end = f"cut off: {error!r}"
    took_s = time.monotonic() - began_s
    status = _status(received)
    outcome = status if _is_whole(received) else f"{status}, {end}"
    log.note_answer(request_id, outcome)
    log.write("received", request_id, len(received), f"{took_s:.3f} s")


def _status(received: bytes) -> str:
    """Returns the status of an answer; empty before its first line."""
    words = received.split(b"\r\n")[0].split(b" ")
    return words[1].decode() if len(words) > 1 else ""


def _is_whole(received: bytes) -> bool:
    """Whether an answer is complete."""
    head, end, body = received.partition(b"\r\n\r\n")
    if not end:
        return False
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return len(body) >= int(value)
    return False
