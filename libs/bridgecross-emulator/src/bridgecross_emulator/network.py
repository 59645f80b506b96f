"""The links between hosts, with delays, cuts and packet loss."""

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
from bridgecross_entry import forwards
from bridgecross_entry import model
from bridgecross_entry import peers

Answer = Callable[[bytes, bytes], Awaitable[peers.PeerReply]]
"""Answers a message, given its path and body."""


@dataclasses.dataclass(frozen=True, slots=True)
class NetworkSettings:
    """The behavior of links without faults, and retransmission."""

    # The latency between two hosts, in each direction.
    link_s: float = 0.0005
    # After this time a lost packet is sent again; the time doubles each time.
    resend_s: float = 0.2


_ANSWER_TASKS: set[asyncio.Task[None]] = set()
"""Running answers; the event loop keeps only weak references to its tasks."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Process:
    """A process that listens at an address."""

    answer: Answer
    # The context in which its callbacks run.
    context: contextvars.Context


class Network:
    """All links between hosts."""

    def __init__(self, settings: NetworkSettings) -> None:
        """Initializes the network without processes."""
        self.settings = settings
        self._processes: dict[model.Address, _Process] = {}
        # The number of cuts in each direction that are in effect.
        self._cut: collections.Counter[tuple[model.Address, model.Address]]
        self._cut = collections.Counter()
        # The number of reasons for which connections between two hosts are
        # refused, by who opens them.
        self._refused: collections.Counter[tuple[model.Address, model.Address]]
        self._refused = collections.Counter()
        # The ratio of packets that are lost, by direction.
        self._lost_ratio: dict[tuple[model.Address, model.Address], float] = {}
        self._rng = random.Random(1)
        self._healed = notifier.Notifier()
        # How often the connections to a process have been reset.
        self._reset_counts: collections.Counter[model.Address]
        self._reset_counts = collections.Counter()
        # The exchanges with each process that have no answer yet.
        self.open_exchanges: dict[
            model.Address, set[asyncio.Future[peers.PeerReply | None]]
        ] = {}
        # How often all open connections have been made silent.
        self.silenced_count = 0
        # The number of messages that arrived, by path, and the bytes of their
        # bodies and of the bodies of their answers.
        self.message_count: collections.Counter[str] = collections.Counter()
        self.message_bytes: collections.Counter[str] = collections.Counter()

    def listen(
        self,
        address: model.Address,
        answer: Answer,
        context: contextvars.Context,
    ) -> None:
        """Registers a process that answers at an address."""
        self._processes[address] = _Process(answer, context)

    def close(self, address: model.Address) -> None:
        """Removes a process; its address then refuses connections."""
        self._processes.pop(address, None)

    def find(self, address: model.Address) -> _Process | None:
        """Returns the process that listens at an address; None if none does."""
        return self._processes.get(address)

    def cut(self, sender: model.Address, receiver: model.Address) -> None:
        """Cuts a link in one direction."""
        self._cut[sender, receiver] += 1

    def undo_cut(self, sender: model.Address, receiver: model.Address) -> None:
        """Undoes one cut; undoing the last delivers the bytes held up."""
        self._cut[sender, receiver] -= 1
        self._healed.notify()

    def heal(self) -> None:
        """Undoes all cuts, and delivers the bytes that were held up."""
        self._cut.clear()
        self._healed.notify()

    def refuse(self, sender: model.Address, receiver: model.Address) -> None:
        """Refuses connections, as a firewall that rejects packets does.

        Exchanges in progress end as well; the receiver's process goes on.
        """
        self._refused[sender, receiver] += 1
        self.break_exchanges(receiver)

    def undo_refuse(
        self, sender: model.Address, receiver: model.Address
    ) -> None:
        """Undoes one refusal of connections between two hosts."""
        self._refused[sender, receiver] -= 1

    def is_refused(
        self, sender: model.Address, receiver: model.Address
    ) -> bool:
        """Whether connections from one host to another are refused."""
        return self._refused[sender, receiver] > 0

    def lose(
        self, sender: model.Address, receiver: model.Address, ratio: float
    ) -> None:
        """Sets the ratio of packets that are lost in one direction."""
        self._lost_ratio[sender, receiver] = ratio

    def silence(self) -> None:
        """Makes all open connections permanently silent; new ones work."""
        self.silenced_count += 1

    def reset(self, receiver: model.Address) -> None:
        """Resets the connections to a process; what it does goes on."""
        self._reset_counts[receiver] += 1

    def break_exchanges(self, receiver: model.Address) -> None:
        """Resets connections whose exchanges have no answer yet, at once."""
        for answered in self.open_exchanges.pop(receiver, ()):
            if not answered.done():
                answered.set_result(None)

    def count_resets(self, receiver: model.Address) -> int:
        """Returns how often connections to a process have been reset."""
        return self._reset_counts[receiver]

    async def cross(
        self, sender: model.Address, receiver: model.Address
    ) -> None:
        """Waits until bytes have crossed a link in one direction."""
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
        """Initializes the connection without opening it."""
        self._network = network
        self._sender = sender
        self._receiver = receiver
        # ``silenced_count`` when the connection was opened; None if it is not.
        self._connected_at: int | None = None

    async def exchange(
        self,
        request: bytes,
        accepts: exchanges.Accepts,
        may_send: exchanges.MaySend = exchanges.always,
    ) -> exchanges.Result:
        """Sends one message; the caller limits the time by cancelling."""
        if not may_send():
            return exchanges.Unsent("withheld", False, is_withheld=True)
        if self._connected_at is None:
            self._connected_at = self._network.silenced_count
        try:
            return await self._exchange(request)
        except BaseException:
            self._connected_at = None
            raise

    async def _exchange(self, request: bytes) -> exchanges.Result:
        """Sends a message, and returns its answer."""
        if self._connected_at != self._network.silenced_count:
            await anyio.sleep_forever()
        await self._network.cross(self._sender, self._receiver)
        process = self._network.find(self._receiver)
        is_refused = self._network.is_refused(self._sender, self._receiver)
        if process is None or is_refused:
            return exchanges.Unsent("connection refused", refused=True)
        path = request.split(b" ", 2)[1].decode()
        self._network.message_count[path] += 1
        body = request.partition(b"\r\n\r\n")[2]
        self._network.message_bytes[path] += len(body)
        resets_count = self._network.count_resets(self._receiver)
        answered: asyncio.Future[peers.PeerReply | None]
        answered = asyncio.get_running_loop().create_future()
        others = self._network.open_exchanges.setdefault(self._receiver, set())
        others.add(answered)
        try:
            reply = await _answer(process, request, answered)
        finally:
            others.discard(answered)
        if reply is None:
            return exchanges.Broken("connection reset")
        if resets_count != self._network.count_resets(self._receiver):
            return exchanges.Broken("connection reset")
        self._network.message_bytes[path] += len(reply.body)
        await self._network.cross(self._receiver, self._sender)
        return exchanges.Reply(reply.status, (), reply.body)


async def _answer(
    process: _Process,
    request: bytes,
    answered: asyncio.Future[peers.PeerReply | None],
) -> peers.PeerReply | None:
    """Returns the answer of a process; if its host is paused, once resumed.

    Returns None if the exchange is broken before.
    """
    head, _, body = request.partition(b"\r\n\r\n")
    path = head.split(b" ", 2)[1]
    loop = asyncio.get_running_loop()
    begun: list[asyncio.Task[None]] = []

    async def answer() -> None:
        reply = await process.answer(path, body)
        if not answered.done():
            answered.set_result(reply)

    def begin() -> None:
        task = loop.create_task(answer(), context=process.context)
        begun.append(task)
        _ANSWER_TASKS.add(task)
        task.add_done_callback(_ANSWER_TASKS.discard)

    loop.call_soon(begin, context=process.context)
    try:
        return await answered
    except asyncio.CancelledError:
        # Whoever answers sees that the connection was closed.
        for task in begun:
            if path in forwards.PATHS:
                task.cancel()
        raise
