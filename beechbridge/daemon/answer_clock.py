"""Measures when a client's request was read, and how long its answer takes to be written."""

from typing import TYPE_CHECKING

from waitress.channel import HTTPChannel

from ..gateway.actions import AnswerRequest
from ..gateway.events import AnswerWritten, RequestReceived
from .clock import read_clock_ms

if TYPE_CHECKING:
    from .front import FrontApp


class TimedChannel(HTTPChannel):
    """
    A connection whose requests and answers are timed.

    :cvar app: application that serves the connection
    :param read_ms: time in milliseconds at which the first byte of the latest request was read
    :param due_ms: time in milliseconds at which the next answer was due, None if it is not timed
    """

    app: 'FrontApp'
    read_ms = 0.0
    due_ms: float | None = None

    def received(self, data: bytes) -> bool:
        """Process received data; note when a request begins."""
        if self.request is None:
            self.read_ms = read_clock_ms()
        return super().received(data)

    def stamp(self, event: object) -> object:
        """Return the event of a request, with the time at which a client's request was read."""
        if isinstance(event, RequestReceived):
            event.read_ms = self.read_ms
        return event

    def service(self) -> None:
        """Write an answer, and report how long after it was due."""
        due_ms, self.due_ms = self.due_ms, None
        super().service()
        if due_ms is not None and self.connected:
            self.app.post(AnswerWritten(read_clock_ms() - due_ms))


def time_answer(action: AnswerRequest, app: 'FrontApp') -> None:
    """Note when an answer was due, before it is delivered."""
    if action.due_ms is None:
        return
    caller = app.waiting.get(action.key)
    if caller is not None:
        caller.channel.due_ms = action.due_ms
