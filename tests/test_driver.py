"""The driver wakes for the earliest timer, whenever that is armed."""

import unittest

from beechbridge.daemon.driver import Driver
from beechbridge.events import Tick


class FakeCore:
    def __init__(self):
        self.due_ms = 9000.0

    def handle(self, event, now_ms):
        return []

    def next_wake_ms(self):
        return self.due_ms


class DriverTest(unittest.TestCase):
    def test_timer_armed_while_the_wait_is_prepared_ends_it(self):
        core = FakeCore()
        driver = Driver(core, lambda action: None)
        driver.wake_at_ms = 0.0
        waits = []

        def read_clock():
            """Stands between the look at the timers and the wait; another thread posts there."""
            if core.due_ms == 9000.0:
                core.due_ms = 2000.0
                driver.post(Tick())
            return 1000.0

        def wait(timeout_s):
            waits.append(driver.wake_event.is_set())
            driver.is_closed = True

        driver.clock_ms = read_clock
        driver.wake_event.wait = wait
        driver.run_timers()
        self.assertEqual(waits, [True])
