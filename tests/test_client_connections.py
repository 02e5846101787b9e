"""Connections of clients: what waits on them, what closes them, and what is counted for them."""

import socket
import struct
import threading
import unittest

import logbook
from nose2.tools import params

from .test_front import ANSWER, HEAD, LARGE_ANSWER, Front, read_response

RESET = struct.pack('ii', 1, 0)
"""Option with which the end of a connection is a reset."""


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


class UnparsedDataTest(ConnectionCase):
    # Data that was read while earlier data of the connection waited replaced it: its requests
    # were never answered.
    @params(1, 2)
    def test_all_requests_are_answered_in_order(self, max_pipelined):
        self.start(max_pipelined=max_pipelined)
        sock = self.connect(b''.join(map(numbered, range(3))))
        event, _ = self.next_channel()
        self.run_rounds()
        sock.sendall(b''.join(map(numbered, range(3, 6))))
        self.run_rounds()
        for number in range(6):
            self.assertEqual(event.request.request_id, f'q{number}')
            self.serve(sock, event)
            if number < 5:
                event = self.front.next_event()


class ServerThreadTest(ConnectionCase):
    # An error outside of reads and writes ended the server's thread, and with it the VM.
    def test_error_of_one_connection_leaves_the_others(self):
        self.start()
        self.connect(numbered(0))
        _, channel = self.next_channel()

        def fail():
            raise ValueError

        channel.is_full = fail
        channel.unparsed = b'x'
        self.run_rounds()
        self.assertFalse(channel.connected)
        [record] = self.handler.records
        self.assertEqual(record.message, 'connection_failed')
        self.front.next_event()
        sock = self.connect(numbered(1))
        self.serve(sock, self.front.next_event())

    # A client that reset its connection before 100 Continue was sent ended the server's thread,
    # or stayed in the account.
    def test_connection_that_ends_before_100_continue_is_closed(self):
        self.start()
        sock = self.connect(numbered(0))
        event, channel = self.next_channel()
        self.serve(sock, event)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        head = numbered(1, 'Expect: 100-continue\r\nContent-Length: 9\r\n')

        def end():
            channel.unparsed = head
            sock.close()

        self.front.run_in_server(end)
        self.run_rounds()
        self.assertFalse(channel.connected)
        self.assertEqual(self.account.total_bytes, 0)
        self.assertFalse(self.handler.records)
        self.serve(self.connect(numbered(2)), self.front.next_event())


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
