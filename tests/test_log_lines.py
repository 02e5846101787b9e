"""Log lines are whole JSON objects, bounded, and a reader that stops reading blocks nothing."""

import io
import json
import os
import unittest

from beechbridge.daemon import log_lines
from beechbridge.daemon.log_lines import MAX_LINES_PER_S, LineHandler, write_line


class LineTest(unittest.TestCase):
    def write(self, handler, count):
        with handler.applicationbound():
            for number in range(count):
                write_line('subject', {'number': number})

    def test_lines_carry_their_fields(self):
        stream = io.StringIO()
        handler = LineHandler(stream)
        self.write(handler, 2)
        handler.close()
        handler.flush()
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        self.assertEqual([line['number'] for line in lines], [0, 1])
        self.assertEqual({line['subject'] for line in lines}, {'subject'})

    def test_volume_is_bounded_and_what_is_dropped_is_counted(self):
        stream = io.StringIO()
        handler = LineHandler(stream)
        self.write(handler, 10 * MAX_LINES_PER_S)
        handler.close()
        handler.flush()
        lines = [json.loads(line) for line in stream.getvalue().splitlines()]
        kept = [line for line in lines if line['subject'] == 'subject']
        dropped = sum(line['count'] for line in lines if line['subject'] == 'lines_dropped')
        # The writes may fall into several seconds, each with a volume of its own.
        self.assertGreaterEqual(len(kept), MAX_LINES_PER_S)
        self.assertEqual(len(kept) + dropped, 10 * MAX_LINES_PER_S)

    def test_reader_that_stops_reading_blocks_nothing(self):
        read_fd, write_fd = os.pipe()
        stream = os.fdopen(write_fd, 'w')
        handler = LineHandler(stream)
        self.addCleanup(os.close, read_fd)
        for _ in range(2_000):
            # Each round counts as a second of its own.
            handler.current_second = -1
            self.write(handler, MAX_LINES_PER_S)
            if handler.dropped_count > MAX_LINES_PER_S:
                break
        self.assertLessEqual(len(handler.lines), log_lines.MAX_QUEUED_LINES)
        self.assertGreater(handler.dropped_count, 0)
