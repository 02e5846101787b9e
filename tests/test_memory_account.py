"""One account of memory, limits on requests in hand, and the order in which clients are closed."""

import threading
import unittest
from types import SimpleNamespace

from nose2.tools import params

from beechbridge.daemon.connections import ConnectionLimit, list_idlest
from beechbridge.daemon.memory_account import (
    ANSWERS,
    BODIES,
    HEADS,
    LEAST_URGENT,
    REPLIES,
    MemoryAccount,
)
from beechbridge.daemon.refusals import MAX_LINES_PER_S, RefusalLog

from .test_front import ANSWER, HEAD, LARGE_ANSWER, STATUS_LINE, Front, read_response

FIELDS = ''.join(f'X-{number}: 1\r\n' for number in range(100))


class Connection(SimpleNamespace):
    __hash__ = object.__hash__


def connection(last_activity, requests=0, unsent=0, is_parked=False, is_from_vm=False):
    one = Connection(last_activity=last_activity, total_outbufs_len=unsent, will_close=False)
    one.is_from_vm = is_from_vm
    one.is_closable = lambda: not requests or is_parked
    return one


class MemoryAccountTest(unittest.TestCase):
    # Each purpose kept to its own share, while their sum exceeded the memory of the process.
    @params(
        # The least urgent go first, then those least far along, then those that took most.
        ([(HEADS, 'a', 30, 0, LEAST_URGENT), (BODIES, 'b', 60, 0, 1)], 'a'),
        ([(BODIES, 'a', 30, 0, 2), (BODIES, 'b', 60, 0, 1)], 'a'),
        ([(ANSWERS, 'a', 60, 0, 1), (BODIES, 'b', 30, 5, 1)], 'b'),
        ([(BODIES, 'a', 40, 0, 1), (BODIES, 'b', 50, 5, 1)], 'a'),
    )
    def test_least_urgent_and_least_far_along_go_first(self, held, expected):
        account = MemoryAccount(100)
        for one in held:
            self.assertEqual(account.hold(*one), [])
        turned_away = account.hold(ANSWERS, 'c', 40, 10, 0)
        self.assertEqual(turned_away[0].channel, expected)
        self.assertLessEqual(account.total_bytes, 100)

    # Replies count too: what comes in makes room for them.
    def test_replies_make_incomplete_requests_go(self):
        account = MemoryAccount(100)
        account.hold(BODIES, 'a', 50, 0)
        account.hold(BODIES, 'b', 30, 0)
        self.assertTrue(account.count(REPLIES, 60))
        self.assertEqual([one.channel for one in account.relieve(10)], ['a'])
        self.assertFalse(account.count(REPLIES, -60))

    # A request that a replica may be running was answered as not run.
    def test_what_may_run_is_never_turned_away(self):
        account = MemoryAccount(100)
        account.may_give_up[BODIES] = lambda channel: channel != 'running'
        account.hold(BODIES, 'running', 90, 0, LEAST_URGENT)
        turned_away = account.hold(BODIES, 'new', 50, 10, 0)
        self.assertEqual([one.channel for one in turned_away], ['new'])


class ConnectionLimitTest(unittest.TestCase):
    # Those that send were closed, and those that occupied a descriptor without sending stayed.
    def test_idlest_without_a_request_are_closed_first(self):
        idle, idler = connection(5), connection(3)
        parked = connection(2, requests=1, unsent=9, is_parked=True)
        others = [connection(1, requests=1), idle, parked, connection(4, unsent=9), idler]
        self.assertEqual(list_idlest(others, 2), [idler, idle])
        self.assertEqual(list_idlest(others, 3)[-1], parked)
        self.assertEqual(len(list_idlest(others, 9)), 4)

    # A crowd took all descriptors, so that none was left for replicas and the store.
    def test_connections_beyond_the_limit_close_others(self):
        limit = ConnectionLimit(3)
        channels = [connection(number) for number in range(4)]
        closed = [limit.add(one) for one in channels]
        self.assertEqual(closed, [[], [], [], [channels[0]]])
        channels[0].will_close = True
        limit.remove(channels[0])
        self.assertEqual(limit.add(connection(9)), [channels[1]])

    # Idle connections of other VMs, on which orders and relays come, were closed in favour of
    # clients.
    @params(
        # Clients that are busy, or that were active later, and connections of VMs.
        ('vvbbb', []),
        ('vvcbb', [2]),
        ('vvvbb', [0]),
        ('vvvcb', [3, 0]),
    )
    def test_connections_of_vms_are_closed_last(self, kinds, expected):
        limit = ConnectionLimit(len(kinds))
        channels = []
        for number, kind in enumerate(kinds):
            one = connection(number, requests=int(kind == 'b'), is_from_vm=kind == 'v')
            channels.append(one)
            limit.add(one)
        closed = []
        for _ in range(max(1, len(expected))):
            found = limit.add(connection(10, requests=1))
            for one in found:
                one.will_close = True
                limit.remove(one)
                closed.append(channels.index(one))
        self.assertEqual(closed, expected)


class RefusalLogTest(unittest.TestCase):
    # A crowd that is turned away must not displace all other lines.
    def test_refusals_are_counted_and_few_are_logged(self):
        log = RefusalLog()
        for _ in range(5 * MAX_LINES_PER_S):
            log.add('request_unread', 'memory_heads', {})
        self.assertEqual(log.counts['memory_heads'], 5 * MAX_LINES_PER_S)
        self.assertGreater(log.skipped_count, 0)


class RequestsInHandTest(unittest.TestCase):
    def start(self, **options):
        self.front = Front(**options)
        self.addCleanup(self.front.close)
        self.account = self.front.app.memory.account

    def send(self, text):
        sock = self.front.connect()
        self.addCleanup(sock.close)
        sock.sendall(text.encode())
        return sock

    # Heads of very many short fields took many times their size, and were not counted.
    def test_heads_are_counted_until_they_are_answered(self):
        self.start(held_memory_bytes=100_000)
        first = self.send(f'{HEAD}{FIELDS}\r\n')
        key = self.front.next_event().key
        self.assertGreater(self.account.held_bytes[HEADS], 20 * len(FIELDS))
        second = self.send(f'{HEAD}{FIELDS}\r\n')
        response, _ = read_response(second)
        self.assertEqual((response.status, response.getheader('Retry-After')), (503, '1'))
        self.front.app.deliver(key, ANSWER)
        self.assertEqual(read_response(first)[0].status, 200)
        for _ in range(3):
            self.front.run_in_server(lambda: None)
        self.assertEqual(self.account.total_bytes, 0)

    # A parser is some kilobytes, so that pipelined requests take far more than their bytes.
    def test_few_pipelined_requests_are_parsed_at_once_and_all_are_answered(self):
        self.start(max_pipelined=2)
        sock = self.send(5 * f'{HEAD}\r\n')
        for _ in range(5):
            event = self.front.next_event()
            channel = self.front.app.waiting[event.key].channel
            self.assertLessEqual(len(channel.requests), 2)
            self.front.app.deliver(event.key, ANSWER)
            self.assertEqual(read_response(sock)[0].status, 200)

    # Requests that wait behind another one of their connection were not counted.
    def test_pipelined_requests_are_counted(self):
        self.start()
        self.send(f'{HEAD}\r\n')
        self.front.next_event()
        single_bytes = self.account.held_bytes[HEADS]
        self.send(4 * f'{HEAD}\r\n')
        self.front.next_event()
        self.front.run_in_server(lambda: None)
        self.assertEqual(self.account.held_bytes[HEADS], 5 * single_bytes)

    # A client hid a request that is running by a second one, which was turned away.
    def test_running_request_is_still_counted_beside_one_that_was_turned_away(self):
        self.start(held_memory_bytes=100_000)
        self.send(f'{HEAD}{FIELDS}\r\n{HEAD}Content-Length: 9000\r\n\r\n')
        channel = self.front.app.waiting[self.front.next_event().key].channel
        running_bytes = channel.requests[0].head_bytes()
        self.send(f'{HEAD}{FIELDS}\r\n')
        self.front.next_event()
        self.front.run_in_server(lambda: None)
        self.assertEqual(self.account.holdings[HEADS][channel].byte_count, running_bytes)

    # A client that reads no answer got further ones, which were kept for it.
    def test_next_request_waits_until_the_answer_is_taken(self):
        self.start()
        sock = self.send(2 * f'{HEAD}\r\n')
        key = self.front.next_event().key
        served = threading.Event()
        channel = self.front.app.waiting[key].channel
        original = channel.service

        def service():
            original()
            served.set()

        channel.service = service
        self.front.app.deliver(key, LARGE_ANSWER)
        self.assertTrue(served.wait(5.0))
        self.assertTrue(channel.is_parked)
        self.assertFalse(self.front.app.waiting)
        self.assertEqual(len(read_response(sock)[1]), len(LARGE_ANSWER.body))
        self.front.app.deliver(self.front.next_event().key, ANSWER)
        self.assertEqual(read_response(sock)[0].status, 200)

    # The default limit lets every legal head through; a lower one says why it does not.
    @params((4_096, 3_000, 200), (50, 60, 431))
    def test_header_fields_are_limited(self, limit, count, status):
        self.start(max_header_fields=limit)
        fields = ''.join(f'{number:x}:\r\n' for number in range(count))
        sock = self.send(f'{HEAD}{fields}\r\n')
        if status == 200:
            self.front.app.deliver(self.front.next_event().key, ANSWER)
        received = sock.recv(65_536)
        self.assertEqual(STATUS_LINE.findall(received), [str(status).encode()])

    # A connection kept the head of its last request for as long as it stayed open.
    def test_answered_request_is_not_kept(self):
        self.start()
        sock = self.send(HEAD)
        sock.sendall(b'\r\n')
        key = self.front.next_event().key
        channel = self.front.app.waiting[key].channel
        self.front.app.deliver(key, ANSWER)
        read_response(sock)
        self.assertIsNone(channel.timed_part)
