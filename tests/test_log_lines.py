"""Log lines are complete JSON objects, rate-limited, and a stalled reader does not block."""

import io
import json
import os
import threading
import unittest

from nose2.tools import params

from beechbridge.daemon import log_lines
from beechbridge.daemon.log_lines import MAX_LINES_PER_S, LineHandler, write_line

WAIT_S = 5.0


class SlowStream(io.StringIO):
    """Output whose first write takes until the test lets it go on."""

    def __init__(self):
        super().__init__()
        self.is_writing = threading.Event()
        self.may_go_on = threading.Event()

    def write(self, text):
        self.is_writing.set()
        self.may_go_on.wait(WAIT_S)
        return super().write(text)


class LineTest(unittest.TestCase):
    def write(self, handler, count):
        with handler.applicationbound():
            for number in range(count):
                write_line('subject', {'number': number})

    def test_lines_contain_their_fields(self):
        stream = io.StringIO()
        handler = LineHandler(stream)
        self.write(handler, 2)
        handler.close()
        handler.flush()
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        self.assertEqual([line['number'] for line in lines], [0, 1])
        self.assertEqual({line['subject'] for line in lines}, {'subject'})

    def test_rate_limit_drops_and_counts_lines(self):
        stream = io.StringIO()
        handler = LineHandler(stream)
        self.write(handler, 10 * MAX_LINES_PER_S)
        handler.close()
        handler.flush()
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        kept = [line for line in lines if line['subject'] == 'subject']
        dropped = sum(line['count'] for line in lines if line['subject'] == 'lines_dropped')
        # The writes may span several seconds, each with its own limit.
        self.assertGreaterEqual(len(kept), MAX_LINES_PER_S)
        self.assertEqual(len(kept) + dropped, 10 * MAX_LINES_PER_S)

    def test_stalled_reader_does_not_block(self):
        read_fd, write_fd = os.pipe()
        stream = os.fdopen(write_fd, 'w')
        handler = LineHandler(stream)
        self.addCleanup(os.close, read_fd)
        for _ in range(2_000):
            # Make each iteration count as a new second.
            handler.current_second = -1
            self.write(handler, MAX_LINES_PER_S)
            if handler.dropped_count > MAX_LINES_PER_S:
                break
        self.assertLessEqual(len(handler.lines), log_lines.MAX_QUEUED_LINES)
        self.assertGreater(handler.dropped_count, 0)

    # A stop with many requests in hand looked like a crash: the limit dropped its last lines.
    @params('started', 'stop_asked', 'stopped', 'answers_unsent', 'ended')
    def test_rate_limit_spares_the_life_of_the_process(self, subject):
        stream = io.StringIO()
        handler = LineHandler(stream)
        # The writes may span two seconds, each with its own limit.
        self.write(handler, 3 * MAX_LINES_PER_S)
        with handler.applicationbound():
            write_line(subject, {})
        handler.close()
        handler.thread.join(WAIT_S)
        subjects = {json.loads(line)['subject'] for line in stream.getvalue().splitlines()}
        self.assertIn(subject, subjects)

    # Lines of the last answers before an exit were lost if others were just being written.
    def test_lines_queued_during_the_last_write_are_written(self):
        stream = SlowStream()
        handler = LineHandler(stream)
        self.write(handler, 1)
        self.assertTrue(stream.is_writing.wait(WAIT_S))
        self.write(handler, 2)
        handler.is_closed = True
        stream.may_go_on.set()
        handler.close()
        handler.thread.join(WAIT_S)
        self.assertEqual(len(stream.getvalue().splitlines()), 3)
