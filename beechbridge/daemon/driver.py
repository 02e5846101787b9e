"""Driver of the core: serialises events, performs actions, keeps time."""

import threading
from collections.abc import Callable

import logbook

from ..actions import Action
from ..core.node import Core
from ..events import Event, Tick
from .clock import read_clock_ms

LONGEST_SLEEP_S = 1.0

logger = logbook.Logger('driver')


class Driver:
    """
    Runs the core under a lock, in the thread that brings the event.

    :param perform: carries out one action; must not block and must not post
    """

    __slots__ = ('clock_ms', 'core', 'is_closed', 'lock', 'perform', 'wake', 'wake_at_ms')

    def __init__(
        self,
        core: Core,
        perform: Callable[[Action], None],
        clock_ms: Callable[[], float] = read_clock_ms,
    ):
        self.core = core
        self.perform = perform
        self.clock_ms = clock_ms
        self.lock = threading.Lock()
        self.wake = threading.Event()
        self.wake_at_ms = float('inf')
        self.is_closed = False

    def start(self) -> None:
        """Start the core and the thread that keeps its time."""
        with self.lock:
            for action in self.core.start(self.clock_ms()):
                self.perform(action)
        threading.Thread(target=self.keep_time, name='timers', daemon=True).start()

    def post(self, event: Event) -> None:
        """Hand an event to the core and perform what it asks for."""
        try:
            with self.lock:
                if self.is_closed:
                    return
                for action in self.core.handle(event, self.clock_ms()):
                    self.perform(action)
                due_ms = self.core.next_wake_ms()
        except Exception:
            # Callers run in pools that would swallow a defect without a word.
            logger.exception('defect while handling {}', type(event).__name__)
            raise
        if due_ms is not None and due_ms < self.wake_at_ms:
            self.wake.set()

    def describe(self) -> dict:
        """Return the core's state for a dump."""
        with self.lock:
            self.core.now_ms = max(self.core.now_ms, self.clock_ms())
            return self.core.describe()

    def keep_time(self) -> None:
        """Post a tick whenever a timer is due."""
        while not self.is_closed:
            # Any event that arms an earlier timer from here on wakes the wait below.
            self.wake_at_ms = float('inf')
            self.wake.clear()
            due_ms = self.core.next_wake_ms()
            now_ms = self.clock_ms()
            if due_ms is not None and due_ms <= now_ms:
                self.post(Tick())
                continue
            delay_s = LONGEST_SLEEP_S
            if due_ms is not None:
                delay_s = min(delay_s, (due_ms - now_ms) / 1000.0)
            self.wake_at_ms = now_ms + delay_s * 1000.0
            self.wake.wait(delay_s)

    def close(self) -> None:
        """Take no more events and end the time-keeping thread."""
        with self.lock:
            self.is_closed = True
        self.wake.set()
