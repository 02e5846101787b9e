"""Structured log lines on standard output: bounded in volume, never blocking."""

import sys
import threading
import time
from collections import deque

import logbook
import msgspec

QUEUE_LINES = 2_000
"""Lines that wait for the writer; more are dropped and counted."""

LINES_PER_S = 300
"""Volume at which an overload cannot fill the on-call engineers' storage."""

FLUSH_S = 0.25

logger = logbook.Logger('gateway')


class LineHandler(logbook.Handler):
    """
    Writes each record as one JSON object a line, from a thread of its own.

    :param stream: where the lines go
    """

    def __init__(self, stream=None):
        super().__init__(level=logbook.INFO)
        self.stream = stream or sys.stdout
        self.lines: deque[dict] = deque()
        self.dropped_count = 0
        self.second = 0
        self.second_count = 0
        self.is_closed = False
        self.wake = threading.Event()
        self.thread = threading.Thread(target=self.write_lines, name='log', daemon=True)
        self.thread.start()

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a line; drop it if the volume of this second or the queue is used up."""
        now_s = time.time()
        if int(now_s) != self.second:
            self.second = int(now_s)
            self.second_count = 0
        self.second_count += 1
        if self.second_count > LINES_PER_S or len(self.lines) >= QUEUE_LINES:
            self.dropped_count += 1
            return
        line = {'time': round(now_s, 4), 'level': record.level_name.lower()}
        line['subject'] = record.message
        line.update(record.extra.get('fields') or {})
        if record.exc_info:
            line['error'] = record.formatted_exception
        self.lines.append(line)

    def write_lines(self) -> None:
        """Write what is queued, several lines at once."""
        while not self.is_closed:
            self.wake.wait(FLUSH_S)
            self.flush()

    def flush(self) -> None:
        """Write the queued lines and how many were dropped."""
        texts = []
        while self.lines:
            texts.append(msgspec.json.encode(self.lines.popleft()).decode())
        if self.dropped_count:
            dropped, self.dropped_count = self.dropped_count, 0
            texts.append(f'{{"subject":"lines_dropped","count":{dropped}}}')
        if not texts:
            return
        try:
            self.stream.write('\n'.join(texts) + '\n')
            self.stream.flush()
        except (OSError, ValueError):
            # Nobody reads: the lines are lost, the service goes on.
            self.dropped_count += len(texts)

    def close(self) -> None:
        """Write what is left, for as long as somebody reads."""
        self.is_closed = True
        self.wake.set()
        self.thread.join(FLUSH_S)


def write_line(subject: str, fields: dict) -> None:
    """Log one structured line."""
    logger.info(subject, extra={'fields': fields})
