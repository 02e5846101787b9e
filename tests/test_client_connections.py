"""Connections of clients: what waits on them, what closes them, and what is counted for them."""

import threading
import unittest

import logbook

from .test_front import ANSWER, HEAD, LARGE_ANSWER, Front, read_response


def numbered(number, fields=''):
    return f'{HEAD.replace("q1", f"q{number}")}{fields}\r\n'.encode()


class ConnectionCase(unittest.TestCase):
    def start(self, **options):
        self.front = Front(**options)
        self.addCleanup(self.front.close)
        self.account = self.front.app.memory.account
        self.handler = logbook.TestHandler()
        self.handler.push_application()
        self.addCleanup(self.handler.pop_application)

    def connect(self, data=b''):
        sock = self.front.connect()
        self.addCleanup(sock.close)
        sock.sendall(data)
        return sock

    def run_rounds(self, count=3):
        for _ in range(count):
            self.front.run_in_server(lambda: None)

    def next_channel(self):
        event = self.front.next_event()
        return event, self.front.app.waiting[event.key].channel

    def serve(self, sock, event):
        self.front.app.deliver(event.key, ANSWER)
        self.assertEqual(read_response(sock)[0].status, 200)


class WorkerThreadTest(ConnectionCase):
    # A worker thread rejected a request that the server's thread was completing.
    def test_requests_are_rejected_in_the_servers_thread(self):
        self.start(held_memory_bytes=25_000_000)
        rejected = []
        sock = self.connect(numbered(0)[:-4])
        self.run_rounds()
        [channel] = self.front.app.connections.channels
        original = channel.reject_request

        def reject(error):
            rejected.append(threading.current_thread())
            original(error)

        channel.reject_request = reject
        for number in (1, 2):
            self.connect(numbered(number))
            self.front.app.deliver(self.front.next_event().key, LARGE_ANSWER)
        self.assertEqual(read_response(sock)[0].status, 503)
        threads = []
        self.front.run_in_server(lambda: threads.append(threading.current_thread()))
        self.assertEqual(rejected, threads)
