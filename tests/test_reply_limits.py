"""Replies that exceed a limit: endless heads and bodies, trickles, and the memory of them all."""

import asyncio
import itertools
import sys
import unittest

from nose2.tools import params

from beechbridge.daemon.client_connection import (
    MAX_ABANDONED_BYTES,
    MAX_HEAD_BYTES,
    ClientConnection,
    ReplyMemory,
)
from beechbridge.daemon.exchanges import Codec, ExchangeClient
from beechbridge.failures import Executed, Failure, Reason
from beechbridge.gateway.actions import (
    MAX_PART_BYTES,
    AbandonExchange,
    SendRequest,
)
from beechbridge.gateway.events import ExchangeEnded
from beechbridge.gateway.models import CallerRequest, LinkFailure, LinkFault, Reply
from beechbridge.platform.callers import write_answer
from beechbridge.platform.replicas import read_reply, write_request

from .gateways import ManualRequest, single_route, start_register, start_sweeps

WAIT_S = 5.0
PIECE = b'0123456789abcdef' * 256
LIMIT_BYTES = 64 * 1024
RECEIVE_BYTES = 256 * 1024
"""Most that the event loop reads at once."""

OK = b'HTTP/1.1 200 OK\r\n'
SIGNED = b'Beechbridge-Server-Stamp: s\r\nBeechbridge-Request-Id: q1\r\n'
CHUNKED = OK + SIGNED + b'Transfer-Encoding: chunked\r\n\r\n'
LATE = OK + b'Beechbridge-Request-Id: q0\r\nContent-Length: 4\r\n\r\nlate'


def repeat(piece, start=b''):
    return itertools.chain([start] if start else [], itertools.repeat(piece))


class EndlessReplica:
    """Fake replica that sends pieces until the caller closes, and counts what it sent."""

    def __init__(self, pieces):
        self.pieces = pieces
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    async def serve(self, reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        try:
            for piece in self.pieces():
                writer.write(piece)
                await writer.drain()
                self.sent_bytes += len(piece)
                await asyncio.sleep(0)
        except OSError:
            self.closed.set()
        finally:
            writer.close()


def send(client, number, port, limit_bytes=LIMIT_BYTES):
    request = CallerRequest(f'q{number}', 'GET', '/x', 'h', '/x', [('Host', 'h')])
    action = SendRequest(
        number, number, True, '127.0.0.1', port, 'i-1', request, 500.0, limit_bytes
    )
    client.send(action, port)


def run_endless(pieces, scenario, memory_bytes=1 << 30):
    """Run a scenario against an endless replica; it gets client, ended exchanges and replica."""

    async def run():
        replica = EndlessReplica(pieces)
        server = await asyncio.start_server(replica.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        ended = asyncio.Queue()

        def post(event):
            if isinstance(event, ExchangeEnded):
                ended.put_nowait(event)

        codecs = {SendRequest: Codec(write_request, read_reply)}
        client = ExchangeClient(asyncio.get_running_loop(), post, codecs, memory_bytes)
        try:
            await asyncio.wait_for(scenario(client, ended, replica, port), WAIT_S)
        finally:
            client.close()
            server.close()

    asyncio.run(run())


class FakeTransport:
    """Transport that drops what is written."""

    def write(self, data):
        pass

    def abort(self):
        pass


def start_connection(events, limit_bytes=1 << 40):
    """Return a connection without a socket that waits for the reply to request q1."""
    memory = ReplyMemory(limit_bytes, lambda: None)
    connection = ClientConnection(1, events.append, read_reply, memory)
    connection.transport = FakeTransport()
    connection.send(1, 'q1', b'', limit_bytes)
    return connection


class EndlessReplyTest(unittest.TestCase):
    # A replica that sends without end must not fill the memory of every VM that calls it.
    @params(
        ('chunked body', lambda: repeat(b'1000\r\n' + PIECE + b'\r\n', CHUNKED)),
        ('body without a length', lambda: repeat(PIECE, OK + SIGNED + b'\r\n')),
        ('one header value', lambda: repeat(PIECE, OK + b'X-Filler: ')),
        ('header lines', lambda: repeat(b'X-Filler: ' + PIECE[:64] + b'\r\n', OK)),
        ('reason phrase', lambda: repeat(PIECE, b'HTTP/1.1 200 ')),
        ('trailers', lambda: repeat(b'X-Filler: 1\r\n', CHUNKED + b'0\r\n')),
        ('chunk extension', lambda: repeat(PIECE, CHUNKED + b'4;x=')),
        ('interim responses', lambda: repeat(b'HTTP/1.1 103 Early Hints\r\n\r\n' * 64)),
        ('late responses', lambda: repeat(LATE * 64)),
        ('announced length', lambda: [OK + SIGNED + b'Content-Length: 999999999\r\n\r\n']),
    )
    def test_endless_reply_ends_its_exchange_and_connection(self, _, pieces):
        async def scenario(client, ended, replica, port):
            send(client, 1, port)
            event = await ended.get()
            self.assertEqual(event.result, LinkFailure(LinkFault.OVERSIZED, was_sent=True))
            self.assertTrue(client.connections[1].transport.is_closing())
            self.assertEqual(client.memory.held_bytes, 0)
            self.assertLessEqual(
                client.connections[1].received_bytes,
                MAX_HEAD_BYTES + 2 * LIMIT_BYTES + RECEIVE_BYTES,
            )

        run_endless(pieces, scenario)

    # A body in chunks of a few bytes held some 25 times its size, above all limits on memory.
    @params((1,), (2,), (1, 700), (1500, 1), (1500, 1, 1))
    def test_small_chunks_are_held_in_little_more_than_their_size(self, *sizes):
        connection = start_connection(events := [])
        connection.data_received(CHUNKED)
        sent = []
        for size in itertools.islice(itertools.cycle(sizes), 5000):
            chunk = (len(sent) % 256).to_bytes(1, 'big') * size
            sent.append(chunk)
            connection.data_received(b'%x\r\n%s\r\n' % (size, chunk))
        body = b''.join(sent)
        held = connection.current.body
        held_bytes = sys.getsizeof(held) + sum(sys.getsizeof(piece) for piece in held)
        self.assertLessEqual(held_bytes, 1.3 * len(body) + 512)
        connection.data_received(b'0\r\n\r\n')
        self.assertEqual(events[0].result.body, body)

    def test_reply_at_the_limit_is_complete(self):
        body = b'x' * LIMIT_BYTES
        head = OK + SIGNED + b'Content-Length: %d\r\n\r\n' % len(body)

        async def scenario(client, ended, replica, port):
            send(client, 1, port)
            event = await ended.get()
            self.assertEqual(event.result.body, body)
            self.assertEqual(client.memory.held_bytes, 0)

        run_endless(lambda: [head, body], scenario)

    # The memory of a VM is shared: no number of large replies at once may exceed it.
    def test_largest_reply_is_given_up_if_all_together_exceed_the_memory(self):
        async def scenario(client, ended, replica, port):
            for number in range(1, 9):
                send(client, number, port, limit_bytes=1 << 40)
            for _ in range(8):
                event = await ended.get()
                self.assertEqual(event.result.fault, LinkFault.OVERSIZED)
                held_bytes = sum(one.kept_bytes for one in client.connections.values())
                self.assertEqual(client.memory.held_bytes, held_bytes)
                self.assertLessEqual(held_bytes, 1 << 20)

        run_endless(lambda: repeat(PIECE, OK + SIGNED + b'\r\n'), scenario, memory_bytes=1 << 20)

    # A reply that nobody needs must not be read to an end that may never come.
    def test_abandoned_reply_is_read_only_if_little_is_left(self):
        async def scenario(client, ended, replica, port):
            send(client, 1, port, limit_bytes=1 << 40)
            client.abandon(AbandonExchange(1))
            event = await ended.get()
            self.assertEqual(event.result.fault, LinkFault.ABANDONED)
            connection = client.connections[1]
            self.assertLess(connection.received_bytes, MAX_ABANDONED_BYTES + RECEIVE_BYTES * 2)

        run_endless(lambda: repeat(PIECE, OK + SIGNED + b'\r\n'), scenario)

    def test_short_abandoned_reply_keeps_its_connection(self):
        reply = OK + SIGNED + b'Content-Length: 4\r\n\r\ndone'

        async def scenario(client, ended, replica, port):
            send(client, 1, port)
            client.abandon(AbandonExchange(1))
            event = await ended.get()
            self.assertFalse(event.result.is_closing)

        run_endless(lambda: [reply], scenario)


class Sweep(ManualRequest):
    """A gather over ten shards whose exchanges the test ends."""

    def __init__(self):
        emulator = start_sweeps(10, zones=('brum-a',))
        super().__init__(emulator, 'q1', '/sweep/x', 'GET', 1200.0)

    def send_of(self, instance_id):
        return next(one for one in self.sends if one.instance_id == instance_id)


class OversizedReplyTest(unittest.TestCase):
    # An oversized reply means that the request may have run: a filing must not be sent again.
    def test_request_that_must_not_run_twice_counts_as_run(self):
        emulator = start_register(single_route('file', is_idempotent=False))
        filing = ManualRequest(emulator, 'q1', '/file/x', 'POST', 4000.0)
        filing.fail(0, LinkFault.OVERSIZED)
        self.assertEqual(len(filing.sends), 1)
        answer = filing.answers[0]
        self.assertIsInstance(answer, Failure)
        self.assertIs(answer.executed, Executed.UNKNOWN)
        self.assertIs(answer.reason, Reason.TOO_LARGE)
        self.assertEqual(write_answer(answer, 'q1').status, '502 Bad Gateway')

    # The replica that sends without end is avoided, and its request goes on elsewhere.
    def test_lookup_goes_on_at_another_replica_and_the_first_is_suspect(self):
        emulator = start_register(single_route('lookup'))
        lookup = ManualRequest(emulator, 'q1', '/lookup/x', 'GET', 4000.0)
        first = lookup.sends[0].instance_id
        lookup.fail(0, LinkFault.OVERSIZED)
        self.assertNotEqual(lookup.sends[1].instance_id, first)
        gateway = emulator.vms[0].gateway
        self.assertTrue(gateway.upstreams.by_id[first].is_suspect(lookup.now_ms))

    # The loser of a hedge is no reason to avoid its replica.
    def test_abandoned_reply_does_not_make_its_replica_suspect(self):
        emulator = start_register(single_route('lookup'))
        lookup = ManualRequest(emulator, 'q1', '/lookup/x', 'GET', 4000.0)
        first = lookup.sends[0].instance_id
        lookup.fail(0, LinkFault.ABANDONED)
        self.assertFalse(emulator.vms[0].gateway.upstreams.by_id[first].is_suspect(lookup.now_ms))

    # The parts of a gather are kept until the last one arrives: as large as needed, not as sent.
    def test_part_keeps_only_the_records_that_can_be_in_the_answer(self):
        sweep = Sweep()
        task = sweep.gateway.works[sweep.key].tasks[0]
        body = b''.join(number.to_bytes(16, 'big') for number in range(1000)) + b'rest'
        sweep.end(Reply(200, [], body, 'signature', 'q1'), 0)
        self.assertEqual(
            task.reply.body, b''.join(number.to_bytes(16, 'big') for number in range(999, 989, -1))
        )

    def test_parts_and_single_replies_have_limits_of_their_own(self):
        self.assertEqual(Sweep().sends[0].max_reply_bytes, MAX_PART_BYTES)
        emulator = start_register(single_route('lookup'))
        emulator.vms[0].gateway.max_reply_bytes = 12_345
        lookup = ManualRequest(emulator, 'q1', '/lookup/x', 'GET', 4000.0)
        self.assertEqual(lookup.sends[0].max_reply_bytes, 12_345)


class SecondCopyTest(unittest.TestCase):
    # A rejection that arrives a second time, late, must not pass for the answer to a retry over
    # the same connection, which may be running.
    def test_retry_at_the_same_replica_uses_another_connection(self):
        emulator = start_register(single_route('file', is_idempotent=False), replica_count=1)
        filing = ManualRequest(emulator, 'q1', '/file/x', 'POST', 4000.0)
        rejected = Reply(503, [], b'', request_id='q1', is_rejected=True)
        filing.end(rejected)
        filing.wait(50.0)
        first, second = filing.sends[:2]
        self.assertEqual(first.instance_id, second.instance_id)
        self.assertNotEqual(first.connection_id, second.connection_id)

    def test_another_request_uses_the_connection_again(self):
        emulator = start_register(single_route('lookup'), replica_count=1)
        first = ManualRequest(emulator, 'q1', '/lookup/x', 'GET', 4000.0)
        first.end(Reply(200, [], b'done', 'signature', 'q1'))
        second = ManualRequest(emulator, 'q2', '/lookup/x', 'GET', 4000.0)
        self.assertEqual(first.sends[0].connection_id, second.sends[0].connection_id)
