"""Driver of the core: serializes events, performs actions and runs timers."""

import contextlib
import threading
from collections.abc import Callable

import logbook

from ..actions import Action
from ..core.node import Core
from ..events import Event, Tick
from .clock import read_clock_ms

MAX_SLEEP_S = 1.0

logger = logbook.Logger('driver')


class Driver:
    """
    Runs the core under a lock, in the thread that posts the event.

    :param perform: performs one action; must not block and must not post events
    """

    __slots__ = ('clock_ms', 'core', 'is_closed', 'lock', 'perform', 'wake_at_ms', 'wake_event')

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
        self.wake_event = threading.Event()
        self.wake_at_ms = float('inf')
        self.is_closed = False

    def start(self) -> None:
        """Start the core and its timer thread."""
        with self.lock:
            self.perform_all(self.core.start(self.clock_ms()))
        threading.Thread(target=self.run_timers, name='timers', daemon=True).start()

    def post(self, event: Event) -> None:
        """Pass an event to the core and perform the resulting actions."""
        try:
            with self.lock:
                if self.is_closed:
                    return
                self.perform_all(self.core.handle(event, self.clock_ms()))
                due_ms = self.core.next_wake_ms()
        except Exception:
            # Callers run in thread pools, which would discard the exception silently.
            logger.exception('unhandled exception while handling {}', type(event).__name__)
            raise
        if due_ms is not None and due_ms < self.wake_at_ms:
            self.wake_event.set()

    def perform_all(self, actions: list[Action]) -> None:
        """Perform actions; a defect in one costs none of the others."""
        for action in actions:
            try:
                self.perform(action)
            except Exception:
                logger.exception('unhandled exception in {}', type(action).__name__)

    def post_and_go_on(self, event: Event) -> None:
        """Pass an event to the core from a thread that must outlive a defect, which is logged."""
        with contextlib.suppress(Exception):
            self.post(event)

    def describe(self) -> dict:
        """Return the state of the core for a dump."""
        with self.lock:
            self.core.now_ms = max(self.core.now_ms, self.clock_ms())
            return self.core.describe()

    def run_timers(self) -> None:
        """Post a tick whenever a timer is due."""
        while not self.is_closed:
            # From here on, an event that sets an earlier timer interrupts the wait below.
            self.wake_at_ms = float('inf')
            self.wake_event.clear()
            due_ms = self.core.next_wake_ms()
            now_ms = self.clock_ms()
            if due_ms is not None and due_ms <= now_ms:
                self.post_and_go_on(Tick())
                continue
            delay_s = MAX_SLEEP_S
            if due_ms is not None:
                delay_s = min(delay_s, (due_ms - now_ms) / 1000.0)
            self.wake_at_ms = now_ms + delay_s * 1000.0
            self.wake_event.wait(delay_s)

    def close(self) -> None:
        """Stop accepting events and end the timer thread."""
        with self.lock:
            self.is_closed = True
        self.wake_event.set()
