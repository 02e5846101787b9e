"""Structured log lines on standard output: rate-limited and non-blocking."""

import sys
import threading
import time
from collections import deque

import logbook
import msgspec

MAX_QUEUED_LINES = 2_000
"""Lines buffered for the writer thread; further lines are dropped and counted."""

MAX_LINES_PER_S = 300
"""Rate limit that keeps an overload from filling the on-call engineers' log storage."""

UNLIMITED_SUBJECTS = frozenset(('started', 'stop_asked', 'stopped', 'answers_unsent', 'ended'))
"""Lines on the life of the process: without them a stop looks like a crash."""

FLUSH_INTERVAL_S = 0.25

logger = logbook.Logger('gateway')


class LineHandler(logbook.Handler):
    """
    Writes each record as one JSON object per line, from its own thread.

    :param stream: output stream, by default standard output
    """

    def __init__(self, stream=None):
        super().__init__(level=logbook.INFO)
        self.stream = stream or sys.stdout
        self.lines: deque[dict] = deque()
        self.dropped_count = 0
        self.current_second = 0
        self.lines_this_second = 0
        self.is_closed = False
        self.close_event = threading.Event()
        self.thread = threading.Thread(target=self.write_lines, name='log', daemon=True)
        self.thread.start()

    def emit(self, record: logbook.LogRecord) -> None:
        """Queue a line; drop it if the queue or the rate limit is exhausted."""
        now_s = time.time()
        if int(now_s) != self.current_second:
            self.current_second = int(now_s)
            self.lines_this_second = 0
        self.lines_this_second += 1
        is_limited = record.message not in UNLIMITED_SUBJECTS
        is_over_limit = is_limited and self.lines_this_second > MAX_LINES_PER_S
        if is_over_limit or len(self.lines) >= MAX_QUEUED_LINES:
            self.dropped_count += 1
            return
        line = {'time': round(now_s, 4), 'level': record.level_name.lower()}
        line['subject'] = record.message
        line.update(record.extra.get('fields') or {})
        if record.exc_info:
            line['error'] = record.formatted_exception
        self.lines.append(line)

    def write_lines(self) -> None:
        """Write the queued lines in batches."""
        while not self.is_closed:
            self.close_event.wait(FLUSH_INTERVAL_S)
            self.flush()
        # Lines may have been queued during the last write.
        self.flush()

    def flush(self) -> None:
        """Write the queued lines and the number of dropped ones."""
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
            # The output is closed: drop the lines and keep serving.
            self.dropped_count += len(texts)

    def close(self) -> None:
        """Flush the remaining lines; stop waiting after a timeout if the reader is blocked."""
        self.is_closed = True
        self.close_event.set()
        self.thread.join(FLUSH_INTERVAL_S)


def write_line(subject: str, fields: dict) -> None:
    """Log one structured line."""
    logger.info(subject, extra={'fields': fields})
