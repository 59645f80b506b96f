"""A stand-in for the platform's metadata store: keyed topics of a log."""

import asyncio
import base64
import contextlib
import dataclasses
import json
import struct
import urllib.parse

from lab import wire

_PAGE_SIZE = 500


@dataclasses.dataclass
class _Topic:
    """The records of a topic, which has a single partition."""

    records: list[tuple[str, bytes]] = dataclasses.field(default_factory=list)
    # The offset of the newest record of each key.
    newest: dict[str, int] = dataclasses.field(default_factory=dict)
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


def _pack(key: str, value: bytes) -> bytes:
    """Encodes a record."""
    name = key.encode()
    size = 1 + len(name) + len(value)
    return struct.pack(">I", size) + bytes([len(name)]) + name + value


def _unpack(data: bytes) -> list[tuple[str, bytes]]:
    """Decodes records."""
    records = []
    while data:
        (size,) = struct.unpack_from(">I", data)
        record, data = data[4 : 4 + size], data[4 + size :]
        end = 1 + record[0]
        records.append((record[1:end].decode(), record[end:]))
    return records


class Store:
    """Answers the calls of the system, and keeps all records."""

    def __init__(self, host: str, port: int) -> None:
        """Creates an empty store."""
        self.host = host
        self.port = port
        self._topics: dict[str, _Topic] = {}

    async def start(self) -> None:
        """Starts to listen."""
        await wire.listen(self.host, self.port, self._handle)

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Appends a record; an empty value removes the key."""
        state = self._topics.setdefault(topic, _Topic())
        state.records.append((key, value))
        state.newest.pop(key, None)
        if value:
            state.newest[key] = len(state.records) - 1
        state.changed.set()
        state.changed = asyncio.Event()
        return len(state.records) - 1

    async def _handle(
        self, request: wire.Message, channel: wire.Channel
    ) -> None:
        """Answers one call."""
        path, _, query = request.start[1].partition("?")
        values = dict(urllib.parse.parse_qsl(query))
        state = self._topics.setdefault(values.get("Topic", ""), _Topic())
        if path == "/api/log-append":
            answer = self._append(state, values, request.body)
        elif path == "/api/log-newest":
            answer = self._list_newest(state, values)
        elif path == "/api/log-read":
            answer = await self._read(state, values)
        else:
            answer = wire.encode_answer(404, {})
        await channel.send(answer)

    def _append(
        self, state: _Topic, values: dict[str, str], body: bytes
    ) -> bytes:
        """Appends records, unless the partition ends elsewhere."""
        end = len(state.records)
        if int(values.get("StoreRevision", end)) != end:
            return _answer_json(412, {"End": end})
        for key, value in _unpack(body):
            self.put(values["Topic"], key, value)
        return _answer_json(200, {"Offset": end, "End": len(state.records)})

    def _list_newest(self, state: _Topic, values: dict[str, str]) -> bytes:
        """Lists the newest record of each key."""
        keys = sorted(k for k in state.newest if k > values.get("after", ""))
        items = [
            {
                "Key": key,
                "Value": base64.b64encode(
                    state.records[state.newest[key]][1]
                ).decode(),
                "Offset": state.newest[key],
            }
            for key in keys[:_PAGE_SIZE]
        ]
        page = {
            "items": items,
            "HasMore": len(keys) > _PAGE_SIZE,
            "End": len(state.records),
        }
        return _answer_json(200, page)

    async def _read(self, state: _Topic, values: dict[str, str]) -> bytes:
        """Returns records from an offset on; may wait for one."""
        first = int(values["From"])
        if first >= len(state.records) and "WaitMs" in values:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(int(values["WaitMs"]) / 1_000):
                    await state.changed.wait()
        packed = b"".join(_pack(*each) for each in state.records[first:])
        head = struct.pack(">QQ", len(state.records), 0)
        return wire.encode_answer(200, {}, head + packed)


def _answer_json(status: int, value: object) -> bytes:
    """Returns an answer with a JSON body."""
    return wire.encode_answer(status, {}, json.dumps(value).encode())
