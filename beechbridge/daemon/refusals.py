"""Errors with which requests are turned away unread, and the log lines that say why."""

import threading
import time
from collections import Counter

from waitress.utilities import Error

from .log_lines import write_line

MEMORY_RETRY_S = '1'

MAX_LINES_PER_S = 20
"""Lines on refusals in a second: a crowd of clients would otherwise displace all other lines."""


class LateRequestError(Error):
    """A request was not received in time; it has not been executed."""

    code = 408
    reason = 'Request Timeout'


class RequestMemoryError(Error):
    """There is no memory for the rest of a request; it has not been executed."""

    code = 503
    reason = 'Service Unavailable'

    def to_response(self, ident: str | None = None) -> tuple[str, list, bytes]:
        """Return status, headers and body, with the time at which to try again."""
        status, headers, body = super().to_response(ident)
        return status, [*headers, ('Retry-After', MEMORY_RETRY_S)], body


class RefusalLog:
    """
    Counts refusals by reason, and logs so many of them in a second; thread-safe.

    :param counts: refusals by reason since the start
    :param skipped_count: refusals without a line since the last line
    """

    __slots__ = ('counts', 'line_count', 'lock', 'second', 'skipped_count')

    def __init__(self):
        self.counts: Counter[str] = Counter()
        self.line_count = 0
        self.second = 0
        self.skipped_count = 0
        self.lock = threading.Lock()

    def add(self, subject: str, reason: str, fields: dict) -> None:
        """Count a refusal, and log it unless there were too many in this second."""
        second = int(time.monotonic())
        with self.lock:
            self.counts[reason] += 1
            if second != self.second:
                self.second = second
                self.line_count = 0
            self.line_count += 1
            if self.line_count > MAX_LINES_PER_S:
                self.skipped_count += 1
                return
            skipped_count, self.skipped_count = self.skipped_count, 0
        if skipped_count:
            fields = {**fields, 'skipped': skipped_count}
        write_line(subject, {'reason': reason, **fields})
