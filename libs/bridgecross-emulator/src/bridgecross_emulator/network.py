"""Links between instances, which delay, hold back or lose what they carry."""

import asyncio
import collections
from collections.abc import Awaitable
from collections.abc import Callable
import contextvars
import dataclasses
import random

import anyio

from bridgecross_core import notifier
from bridgecross_entry import exchange as exchanges
from bridgecross_entry import model
from bridgecross_entry import peers

Answer = Callable[[bytes, bytes], Awaitable[peers.PeerReply]]
"""Answers a message by its path and body."""


@dataclasses.dataclass(frozen=True, slots=True)
class NetworkSettings:
    """How links behave while nothing is wrong with them."""

    # One way between two instances.
    link_s: float = 0.0005
    # After this time a packet that was lost is sent again; the time doubles.
    resend_s: float = 0.2


_ANSWERING: set[asyncio.Task[None]] = set()
"""Tasks that make answers; the loop alone would not keep them."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Process:
    """What listens at an address."""

    answer: Answer
    # In which its callbacks run.
    context: contextvars.Context


class Network:
    """All links between instances."""

    def __init__(self, settings: NetworkSettings) -> None:
        """Leads nowhere yet."""
        self.settings = settings
        self._processes: dict[model.Address, _Process] = {}
        # How often each direction is cut at the moment.
        self._cut: collections.Counter[tuple[model.Address, model.Address]]
        self._cut = collections.Counter()
        # The part of the packets that is lost, by direction.
        self._lost_ratio: dict[tuple[model.Address, model.Address], float] = {}
        self._rng = random.Random(1)
        self._healed = notifier.Notifier()
        # Counts up each time that all open connections go silent.
        self.silenced_count = 0
        # Messages that arrived, by their path, and the bytes of them and of
        # their answers, less heads.
        self.carried_count: collections.Counter[str] = collections.Counter()
        self.carried_bytes: collections.Counter[str] = collections.Counter()

    def listen(
        self,
        address: model.Address,
        answer: Answer,
        context: contextvars.Context,
    ) -> None:
        """Lets a process answer at an address."""
        self._processes[address] = _Process(answer, context)

    def close(self, address: model.Address) -> None:
        """Takes a process away; its address refuses connections."""
        self._processes.pop(address, None)

    def find(self, address: model.Address) -> _Process | None:
        """Returns what listens at an address."""
        return self._processes.get(address)

    def cut(self, sender: model.Address, receiver: model.Address) -> None:
        """Lets no byte pass in one direction."""
        self._cut[sender, receiver] += 1

    def mend(self, sender: model.Address, receiver: model.Address) -> None:
        """Takes one cut back; bytes that were held up pass after the last."""
        self._cut[sender, receiver] -= 1
        self._healed.notify()

    def heal(self) -> None:
        """Lets all bytes pass again, also those that were held up."""
        self._cut.clear()
        self._healed.notify()

    def lose(
        self, sender: model.Address, receiver: model.Address, ratio: float
    ) -> None:
        """Loses a part of the packets in one direction from now on."""
        self._lost_ratio[sender, receiver] = ratio

    def silence(self) -> None:
        """Makes all open connections silent for good; new ones work."""
        self.silenced_count += 1

    async def cross(
        self, sender: model.Address, receiver: model.Address
    ) -> None:
        """Waits until bytes have crossed a link."""
        await anyio.sleep(self.settings.link_s)
        lost_ratio = self._lost_ratio.get((sender, receiver), 0.0)
        resend_s = self.settings.resend_s
        while lost_ratio and self._rng.random() < lost_ratio:
            await anyio.sleep(resend_s)
            resend_s *= 2
        while self._cut[sender, receiver] > 0:
            await self._healed.wait(60)


class PeerLink:
    """An ``exchange.Exchanger``: one instance's connection to another."""

    def __init__(
        self, network: Network, sender: model.Address, receiver: model.Address
    ) -> None:
        """Is not connected yet."""
        self._network = network
        self._sender = sender
        self._receiver = receiver
        # The count of silences when it was connected; None if it is not.
        self._connected_at: int | None = None

    async def exchange(
        self, request: bytes, accepts: exchanges.Accepts
    ) -> exchanges.Result:
        """Sends one message; the caller bounds the time by cancelling."""
        if self._connected_at is None:
            self._connected_at = self._network.silenced_count
        try:
            return await self._exchange(request)
        except BaseException:
            self._connected_at = None
            raise

    async def _exchange(self, request: bytes) -> exchanges.Result:
        """Carries a message and its answer."""
        if self._connected_at != self._network.silenced_count:
            await anyio.sleep_forever()
        await self._network.cross(self._sender, self._receiver)
        process = self._network.find(self._receiver)
        if process is None:
            return exchanges.Unsent("connection refused", refused=True)
        path = request.split(b" ", 2)[1].decode()
        self._network.carried_count[path] += 1
        body = request.partition(b"\r\n\r\n")[2]
        self._network.carried_bytes[path] += len(body)
        reply = await _answer(process, request)
        self._network.carried_bytes[path] += len(reply.body)
        await self._network.cross(self._receiver, self._sender)
        return exchanges.Reply(reply.status, (), reply.body)


async def _answer(process: _Process, request: bytes) -> peers.PeerReply:
    """Lets a process answer, once its host runs."""
    head, _, body = request.partition(b"\r\n\r\n")
    path = head.split(b" ", 2)[1]
    loop = asyncio.get_running_loop()
    answered: asyncio.Future[peers.PeerReply] = loop.create_future()

    async def answer() -> None:
        reply = await process.answer(path, body)
        if not answered.done():
            answered.set_result(reply)

    def begin() -> None:
        task = loop.create_task(answer(), context=process.context)
        _ANSWERING.add(task)
        task.add_done_callback(_ANSWERING.discard)

    loop.call_soon(begin, context=process.context)
    return await answered
