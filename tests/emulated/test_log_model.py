import anyio
import simpy

from bridgecross_emulator import log_model
from bridgecross_emulator import virtual
from bridgecross_entry import log

_RECORD = log.KeyedRecord("a", b"b")


# Guards against an emulated append that looks before it has a connection.
def test_an_append_is_withheld_once_there_is_a_connection():
    environment = simpy.Environment()
    model = log_model.LogModel(log_model.LogSettings())
    may_send = True

    async def forbid() -> None:
        nonlocal may_send
        await anyio.sleep(model.settings.link_s)
        may_send = False

    async def main() -> None:
        client = log_model.LogClient(model, virtual.Clock(environment))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(forbid)
            result = await client.append("topic", _RECORD, 0, lambda: may_send)
        assert result == log.Withheld()
        assert model.end("topic") == 0

    virtual.run(environment, main)
