"""The driver wakes up for the earliest timer, and outlives defects of the core and of actions."""

import unittest

import logbook

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

    # Guards against a daemon that stands still, since a defect has ended the thread of its timers.
    def test_timers_go_on_after_a_defect(self):
        core = FakeCore()
        core.due_ms = 0.0
        driver = Driver(core, lambda action: None, lambda: 1000.0)
        handled = []

        def handle(event, now_ms):
            handled.append(event)
            if len(handled) == 1:
                raise TypeError('a defect')
            driver.is_closed = True
            return []

        core.handle = handle
        with logbook.TestHandler() as handler:
            driver.run_timers()
        self.assertEqual(len(handled), 2)
        self.assertEqual(len(handler.records), 1)

    # Guards against answers that are not sent, since an action before them cannot be performed.
    def test_defect_in_an_action_costs_no_other_action(self):
        core = FakeCore()
        core.handle = lambda event, now_ms: [0, 1, 0, 2]
        performed = []

        def perform(action):
            performed.append(1 // action)

        with logbook.TestHandler() as handler:
            Driver(core, perform).post(Tick())
        self.assertEqual(performed, [1, 0])
        self.assertEqual(len(handler.records), 2)

    # A caller's thread answers 500 at once instead of waiting for an answer that never comes.
    def test_defect_of_the_core_reaches_the_thread_that_posts(self):
        core = FakeCore()
        core.handle = lambda event, now_ms: 1 // 0
        with logbook.TestHandler(), self.assertRaises(ZeroDivisionError):
            Driver(core, lambda action: None).post(Tick())
