"""Connections of clients: what waits on them, what closes them, and what is counted for them."""

import socket
import struct
import threading
import time
import unittest

import logbook
from nose2.tools import params

from beechbridge.daemon.caller_channel import REQUEST_COPIES
from beechbridge.daemon.connections import ACCEPT_SLACK
from beechbridge.daemon.memory_account import (
    ANSWERS,
    BODIES,
    HEADS,
    LEAST_URGENT,
    MemoryAccount,
)

from .test_front import ANSWER, HEAD, LARGE_ANSWER, WAIT_S, Front, read_response

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

    def wait_for_release(self):
        """Wait until nothing is counted: a worker thread counts after it has answered."""
        limit_s = time.monotonic() + WAIT_S
        while self.account.total_bytes and time.monotonic() < limit_s:
            self.run_rounds(1)
        self.assertEqual(self.account.total_bytes, 0)

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
        self.wait_for_release()
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


class WholeRequestTest(ConnectionCase):
    def send_body(self, sock, number, byte_count):
        """Send a body and its head."""
        sock.sendall(numbered(number, f'Content-Length: {byte_count}\r\n') + bytes(byte_count))

    def send_part(self, sock, number, byte_count, expected_bytes):
        """Send a body without its end, and wait until the bytes of all bodies are counted."""
        fields = f'Content-Length: {byte_count + 1}\r\n'
        sock.sendall(numbered(number, fields) + bytes(byte_count))
        for _ in range(1_000):
            if self.account.held_bytes[BODIES] == REQUEST_COPIES * expected_bytes:
                return
            self.run_rounds(1)
        raise AssertionError(f'{self.account.held_bytes} are counted')

    # A request was turned away once for its head and once for its body: the second time failed,
    # and closed the connection that needed the room, whose request may have been running.
    def test_request_with_head_and_body_is_turned_away_once(self):
        self.start(held_memory_bytes=1_000_000)
        sock = self.connect()
        self.send_part(sock, 0, 150_000, 150_000)
        running = self.connect()
        self.send_body(running, 1, 100_000)
        event = self.front.next_event()
        self.front.run_in_server(self.exceed)
        self.assertEqual(read_response(sock)[0].status, 503)
        self.assertEqual(self.handler.records[-1].extra['fields']['reason'], 'memory_bodies')
        self.front.next_event()
        self.serve(running, event)
        self.account.measure(ANSWERS, 0)
        self.wait_for_release()
        self.assertEqual(len(self.handler.records), 1)

    def exceed(self):
        """Make the account so full that incomplete requests are not enough."""
        self.account.measure(ANSWERS, 999_000)
        self.front.app.relieve()

    # A request that ran was no longer counted once the next one of its connection was rejected,
    # so that a crowd of such clients took several times the limit.
    def test_earlier_request_stays_counted(self):
        self.start(held_memory_bytes=1_000_000)
        other = self.connect(numbered(9))
        other_event = self.front.next_event()
        sock = self.connect()
        self.send_body(sock, 0, 100_000)
        event = self.front.next_event()
        head_bytes = self.account.held_bytes[HEADS]
        self.send_part(sock, 1, 90_000, 190_000)
        self.account.measure(ANSWERS, 600_000)
        self.front.run_in_server(self.front.app.relieve)
        self.account.measure(ANSWERS, 0)
        self.assertEqual(self.account.held_bytes[BODIES], REQUEST_COPIES * 100_000)
        self.assertLessEqual(self.account.held_bytes[HEADS], head_bytes)
        self.assertGreater(self.account.held_bytes[HEADS], 0)
        self.front.app.deliver(event.key, ANSWER)
        self.assertEqual(read_response(sock)[0].status, 200)
        self.front.next_event()
        self.serve(other, other_event)
        self.wait_for_release()


class WholeRequestRulesTest(unittest.TestCase):
    # The head of an urgent request, whose body was coming in, counted as least urgent: it was
    # turned away before the bodies of less urgent ones.
    def test_request_ranks_by_its_body(self):
        account = MemoryAccount(100)
        account.hold(HEADS, 'urgent', 10, 0, LEAST_URGENT)
        account.hold(BODIES, 'urgent', 20, 0, 0)
        account.hold(HEADS, 'other', 10, 50, LEAST_URGENT)
        account.hold(BODIES, 'other', 40, 50, 1)
        [one] = account.hold(BODIES, 'new', 30, 100, 0)
        self.assertEqual((one.channel, one.purpose, account.total_bytes), ('other', BODIES, 60))

    # A single request may take more than the limit, whatever it is made of.
    def test_single_request_is_never_turned_away(self):
        account = MemoryAccount(100)
        account.hold(HEADS, 'only', 60, 0)
        self.assertEqual(account.hold(BODIES, 'only', 60, 0), [])


class MessagesOfVmsTest(ConnectionCase):
    # Messages of other VMs came after those of strangers on any port.
    @params((True, 0), (False, LEAST_URGENT))
    def test_connection_that_carried_a_message_counts_as_one_of_a_vm(self, is_vm, urgency):
        self.start()
        app = self.front.app
        if is_vm:
            # The endpoint takes the place of the one for orders.
            app.endpoints[self.front.other_port] = app.endpoints[self.front.port]
        sock = self.front.connect(self.front.other_port)
        self.addCleanup(sock.close)
        sock.sendall(numbered(0))
        if is_vm:
            self.serve(sock, self.front.next_event())
        else:
            self.assertEqual(read_response(sock)[0].status, 200)
        [channel] = app.connections.channels
        self.assertEqual(channel.is_from_vm, is_vm)
        self.assertEqual(app.find_urgency(channel, channel.parser_class(channel.adj)), urgency)
        self.serve(self.connect(numbered(1)), self.front.next_event())
        self.assertEqual(sum(one.is_from_vm for one in app.connections.channels), int(is_vm))

    # Clients whose requests were all in hand kept readiness checks and other VMs waiting.
    def test_other_ports_are_served_while_clients_hold_all_connections(self):
        self.start(max_connections=4)
        for number in range(4 + ACCEPT_SLACK):
            self.connect(numbered(number))
            self.front.next_event()
        for number in range(ACCEPT_SLACK):
            self.connect(numbered(number))
        self.run_rounds()
        self.assertEqual(len(self.front.app.connections.channels), 4 + ACCEPT_SLACK)
        sock = self.front.connect(self.front.other_port)
        self.addCleanup(sock.close)
        sock.sendall(numbered(0))
        self.assertEqual(read_response(sock)[0].status, 200)
