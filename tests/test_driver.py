"""The driver wakes up for the earliest timer, even one set just before it waits."""

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
    def test_timer_set_before_the_wait_interrupts_it(self):
        core = FakeCore()
        driver = Driver(core, lambda action: None)
        driver.wake_at_ms = 0.0
        was_set_at_wait = []

        def read_clock():
            """Post from between the check of the timers and the wait, as another thread could."""
            if core.due_ms == 9000.0:
                core.due_ms = 2000.0
                driver.post(Tick())
            return 1000.0

        def wait(timeout_s):
            was_set_at_wait.append(driver.wake_event.is_set())
            driver.is_closed = True

        driver.clock_ms = read_clock
        driver.wake_event.wait = wait
        driver.run_timers()
        self.assertEqual(was_set_at_wait, [True])
