"""
Plugin of nose2 that fails a test whose leftovers raise exceptions when they are collected.

Python can only print an exception of `__del__`; one reason is a connection that is still open when
its event loop has been closed.
"""

import gc
import sys
import traceback
import warnings

from nose2.events import Plugin


class Leftovers(Plugin):
    """Collects what a test has left, and keeps the exceptions that this raises."""

    # The names are those that nose2 reads.
    alwaysOn = True  # noqa: N815
    configSection = 'leftovers'  # noqa: N815

    def __init__(self):
        self.lines = []

    def startTestRun(self, event):
        """Keep what was loaded out of the collections, which makes them fast."""
        gc.collect()
        gc.freeze()
        sys.unraisablehook = self.keep
        # Before 3.11.4 writers have no `__del__`, and only their transports warn.
        warnings.filterwarnings('error', 'unclosed transport', ResourceWarning)

    def stopTestRun(self, event):
        """Leave the interpreter as it was."""
        sys.unraisablehook = sys.__unraisablehook__
        gc.unfreeze()

    def keep(self, unraisable):
        """Keep an exception that has nowhere to be raised."""
        name = getattr(unraisable.object, '__qualname__', repr(unraisable.object))
        exception = ''.join(traceback.format_exception_only(unraisable.exc_value)).strip()
        self.lines.append(f'{name}: {exception}')

    def setTestOutcome(self, event):
        """Fail a test that has passed if it left such exceptions."""
        gc.collect()
        lines, self.lines = self.lines, []
        if not lines or event.outcome != 'passed':
            return
        message = f'{len(lines)} exceptions when leftovers were collected, first: {lines[0]}'
        try:
            raise AssertionError(message)
        except AssertionError:
            event.exc_info = sys.exc_info()
        event.outcome = 'failed'
        event.expected = False
