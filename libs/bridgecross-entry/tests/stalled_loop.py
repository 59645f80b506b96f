"""An event loop in virtual time that stalls at chosen reads of its clock."""

import asyncio
from collections.abc import Mapping
import selectors
import traceback

START_S = 1_000.0
# The number of turns of the loop between a readable socket and the handler of
# its message: the protocol's callback, the reader's task and the handler's.
INPUT_TURNS_COUNT = 3


class _Selector(selectors.DefaultSelector):
    """Advances the time of its loop instead of waiting."""

    loop: "StalledLoop"

    def select(self, timeout=None):
        self.loop.pass_time(timeout)
        return super().select(0)


class StalledLoop(asyncio.SelectorEventLoop):
    """A loop in virtual time, which stalls at chosen reads of the clock.

    Code notices time only by reading a clock, so a stall at any point of the
    code equals one at the next read.
    """

    def __init__(
        self, stalls: Mapping[int, float], counted_from_s: float, send_s: float
    ) -> None:
        """Creates a loop.

        Args:
            stalls: The length of the stall at each step, a read of the clock.
            counted_from_s: From when on steps are counted, after the start.
            send_s: The interval at which ``send_outside`` is called.
        """
        self.now_s = START_S
        self.steps_count = 0
        self.stalls = stalls
        self._counted_from_s = START_S + counted_from_s
        self._send_s = send_s
        # The code that read the clock at each stall.
        self.stalled_in: list[str] = []
        # Sends what another process sends on its own; none if there is none.
        self.send_outside = None
        self.next_send_s = START_S
        selector = _Selector()
        selector.loop = self
        super().__init__(selector)

    def time(self):
        if self.now_s >= self._counted_from_s:
            if self.steps_count in self.stalls:
                self.now_s += self.stalls[self.steps_count]
                self.stalled_in.append(_name_place())
            self.steps_count += 1
        return self.now_s

    def monotonic_s(self):
        return self.time()

    def wall_s(self):
        return self.now_s

    def pass_time(self, timeout):
        assert timeout is not None, "nothing is left to wait for"
        until_s = self.now_s + timeout
        if self.send_outside is not None:
            until_s = max(self.now_s, min(until_s, self.next_send_s))
        self.now_s = until_s
        while self.send_outside is not None and self.next_send_s <= until_s:
            self.next_send_s += self._send_s
            self.send_outside()

    def deliver(self, handle, turns=INPUT_TURNS_COUNT):
        """Calls a handler after some turns of the loop."""
        if turns == 0:
            handle()
        else:
            self.call_soon(self.deliver, handle, turns - 1)


def _name_place():
    """Returns where the code under test reads the clock, or what else does."""
    for frame in reversed(traceback.extract_stack(limit=12)):
        if frame.filename.endswith("leadership.py"):
            return f"{frame.name}: {frame.line}"
        if frame.name == "_run_once":
            return frame.name
    return "a test"
