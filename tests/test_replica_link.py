"""Parsing of responses over loopback: complete, truncated, late, surplus and malformed ones."""

import asyncio
import contextlib
import socket
import struct
import unittest

from nose2.tools import params

from beechbridge.daemon.exchanges import Codec, ExchangeClient
from beechbridge.gateway.actions import (
    DropConnection,
    ProbeReplica,
    SendRequest,
    WithdrawExchange,
)
from beechbridge.gateway.events import (
    ConnectionEnded,
    ExchangeEnded,
    ExchangeWithdrawn,
    ProbeEnded,
    RequestSent,
)
from beechbridge.gateway.models import CallerRequest, LinkFailure, LinkFault, Reply
from beechbridge.platform.replicas import read_reply, write_request

WAIT_S = 5.0
CLOSE = 'close'
RESET = 'reset'


def response(request_id, body=b'0123456789abcdef', status='200 OK', extra=''):
    head = (
        f'HTTP/1.1 {status}\r\nBeechbridge-Server-Stamp: s\r\n'
        f'Beechbridge-Request-Id: {request_id}\r\n{extra}Content-Length: {len(body)}\r\n\r\n'
    )
    return head.encode() + body


UNFRAMED = b'HTTP/1.1 200 OK\r\nBeechbridge-Server-Stamp: s\r\nBeechbridge-Request-Id: q1\r\n\r\n'


class ScriptedReplica:
    """Fake replica that answers each request with the next entry of a script."""

    def __init__(self, *script):
        self.script = list(script)
        self.request_count = 0
        self.server = None
        self.writers = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        return self.server.sockets[0].getsockname()[1]

    def close(self):
        self.server.close()
        for writer in self.writers:
            writer.close()

    async def serve(self, reader, writer):
        self.writers.append(writer)
        with contextlib.suppress(asyncio.IncompleteReadError, asyncio.CancelledError, OSError):
            await self.play_script(reader, writer)

    async def play_script(self, reader, writer):
        while self.script:
            await reader.readuntil(b'\r\n\r\n')
            self.request_count += 1
            for piece in self.script.pop(0):
                if piece == CLOSE:
                    writer.close()
                    return
                if piece == RESET:
                    sock = writer.get_extra_info('socket')
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
                    writer.transport.abort()
                    return
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0.01)


class ClientHarness:
    """An exchange client and the events that it posts."""

    def __init__(self, port):
        self.events = asyncio.Queue()
        loop = asyncio.get_running_loop()
        codecs = {SendRequest: Codec(write_request, read_reply)}
        self.client = ExchangeClient(loop, self.events.put_nowait, codecs)
        self.port = port

    def send(self, number, is_new=True, host='127.0.0.1'):
        request = CallerRequest(f'q{number}', 'GET', '/x', 'h', '/x', [('Host', 'h')])
        action = SendRequest(number, 1, is_new, host, self.port, 'i-1', request, 500.0)
        self.client.send(action, self.port)

    async def next_event(self):
        while True:
            event = await asyncio.wait_for(self.events.get(), WAIT_S)
            if not isinstance(event, RequestSent):
                return event


def run_script(script, scenario):
    """Run an asynchronous test against a scripted replica."""

    async def run():
        replica = ScriptedReplica(*script)
        harness = ClientHarness(await replica.start())
        try:
            await scenario(harness, replica)
        finally:
            harness.client.close()
            replica.close()

    asyncio.run(run())


class ReplicaLinkTest(unittest.TestCase):
    def check(self, script, check_result):
        async def scenario(harness, replica):
            harness.send(1)
            event = await harness.next_event()
            self.assertIsInstance(event, ExchangeEnded)
            check_result(event.result)

        run_script(script, scenario)

    def test_complete_response_is_parsed(self):
        def check_result(reply):
            self.assertEqual((reply.status, reply.signature), (200, 's'))
            self.assertEqual((reply.request_id, len(reply.body)), ('q1', 16))
            self.assertFalse(reply.is_closing)

        self.check([[response('q1')]], check_result)

    def test_response_in_several_segments_is_reassembled(self):
        data = response('q1')
        pieces = [data[:20], data[20:90], data[90:]]
        self.check([pieces], lambda reply: self.assertEqual(len(reply.body), 16))

    def test_chunked_response_is_reassembled(self):
        head = UNFRAMED[:-2] + b'Transfer-Encoding: chunked\r\n\r\n'
        pieces = [head, b'4\r\nabcd\r\n', b'0\r\n\r\n']
        self.check([pieces], lambda reply: self.assertEqual(reply.body, b'abcd'))

    # Guards against requests that hang until their deadline since their connection was never
    # opened: the name of such a host cannot even be looked up.
    @params('h' * 64, 'h..example', 'h\0', '\udc80')
    def test_host_that_cannot_be_looked_up_is_a_failure(self, host):
        async def scenario(harness, replica):
            harness.send(1, host=host)
            event = await harness.next_event()
            failure = LinkFailure(LinkFault.CONNECT_FAILED, was_sent=False)
            self.assertEqual(event, ExchangeEnded(1, failure))
            harness.client.probe(ProbeReplica(4, host, 80))
            event = await harness.next_event()
            self.assertEqual(event, ProbeEnded(4, is_open=False, is_refused=False))

        run_script([], scenario)

    @params(
        ([response('q1')[:-3], CLOSE], LinkFault.LOST),
        ([response('q1')[:-3], RESET], LinkFault.LOST),
        ([response('q1')[:30], CLOSE], LinkFault.LOST),
        ([CLOSE], LinkFault.LOST),
        ([UNFRAMED[:-2] + b'Transfer-Encoding: chunked\r\n\r\n4\r\nab', CLOSE], LinkFault.LOST),
        ([UNFRAMED, b'abc', RESET], LinkFault.LOST),
        ([b'\x00\x01 no response'], LinkFault.MALFORMED),
    )
    def test_truncated_or_malformed_response_fails(self, pieces, fault):
        def check_result(result):
            self.assertEqual(result, LinkFailure(fault, was_sent=True))

        self.check([pieces], check_result)

    def test_response_without_length_ends_at_connection_close(self):
        def check_result(reply):
            self.assertEqual(reply.body, b'abc')
            self.assertTrue(reply.is_closing)

        self.check([[UNFRAMED, b'abc', CLOSE]], check_result)

    @params(
        ([response('q1') + b'surplus'],),
        ([response('q1') + response('q1')],),
        ([response('q1') + response('q1')[:10]],),
    )
    def test_surplus_bytes_close_the_connection(self, pieces):
        def check_result(reply):
            self.assertEqual(len(reply.body), 16)
            self.assertTrue(reply.is_closing)

        self.check([pieces], check_result)

    @params(
        ([response('q0', b'late') + response('q1')],),
        ([response('q0', b'late'), response('q1')],),
        ([(response('q0', b'late') + response('q1'))[:150], response('q0', b'late')[150:]],),
        ([response('q0', b'late') + response('q1')[:40], response('q1')[40:]],),
    )
    def test_late_response_to_an_earlier_request_is_ignored(self, pieces):
        if len(pieces) == 2 and len(pieces[0]) == 150:
            data = response('q0', b'late') + response('q1')
            pieces = [data[:150], data[150:]]
        self.check([pieces], lambda reply: self.assertEqual(reply.request_id, 'q1'))

    def test_interim_response_is_ignored(self):
        pieces = [b'HTTP/1.1 103 Early Hints\r\n\r\n' + response('q1')]
        self.check([pieces], lambda reply: self.assertEqual(reply.status, 200))

    def test_connection_is_reused(self):
        async def scenario(harness, replica):
            for number in (1, 2):
                harness.send(number, is_new=number == 1)
                event = await harness.next_event()
                self.assertEqual(event.result.request_id, f'q{number}')
            self.assertEqual(replica.request_count, 2)

        run_script([[response('q1')], [response('q2')]], scenario)

    def test_bytes_on_an_idle_connection_close_it(self):
        async def scenario(harness, replica):
            harness.send(1)
            self.assertIsInstance((await harness.next_event()).result, Reply)
            self.assertEqual(await harness.next_event(), ConnectionEnded(1))
            harness.send(2, is_new=False)
            self.assertFalse((await harness.next_event()).result.was_sent)

        run_script([[response('q1'), response('q1')]], scenario)

    def test_refused_connection_counts_as_not_sent(self):
        async def scenario(harness, replica):
            replica.server.close()
            await replica.server.wait_closed()
            harness.send(1)
            self.assertEqual(
                (await harness.next_event()).result,
                LinkFailure(LinkFault.CONNECT_FAILED, was_sent=False, is_refused=True),
            )

        run_script([], scenario)

    def test_request_counts_as_sent_once_its_connection_is_open(self):
        async def scenario(harness, replica):
            harness.send(1)
            self.assertTrue(harness.events.empty())
            event = await asyncio.wait_for(harness.events.get(), WAIT_S)
            self.assertEqual(event, RequestSent(1))

        run_script([[response('q1')]], scenario)

    # A request that was said not to have been sent must not leave once its connection opens.
    def test_withdrawn_request_is_not_sent(self):
        async def scenario(harness, replica):
            harness.send(1)
            harness.client.withdraw(WithdrawExchange(1, 1))
            self.assertTrue(harness.events.empty())
            event = await asyncio.wait_for(harness.events.get(), WAIT_S)
            self.assertEqual(event, ExchangeWithdrawn(1))
            await asyncio.sleep(0.1)
            self.assertTrue(harness.events.empty())
            self.assertEqual(replica.request_count, 0)

        run_script([[response('q1')]], scenario)

    # A request that has left must not be said not to have been sent.
    @params((1, 1), (2, 1), (1, 2))
    def test_request_that_may_have_been_sent_is_not_withdrawn(self, exchange_id, connection_id):
        async def scenario(harness, replica):
            harness.send(1)
            await asyncio.wait_for(harness.events.get(), WAIT_S)
            harness.client.withdraw(WithdrawExchange(exchange_id, connection_id))
            events = [await asyncio.wait_for(harness.events.get(), WAIT_S) for _ in range(2)]
            self.assertIn(RequestSent(exchange_id), events)
            ended = [event for event in events if isinstance(event, ExchangeEnded)]
            self.assertEqual([event.result.status for event in ended], [200])

        run_script([[response('q1')]], scenario)

    def test_dropped_exchange_posts_no_event(self):
        async def scenario(harness, replica):
            harness.send(1)
            harness.client.drop(DropConnection(1))
            await asyncio.sleep(0.1)
            self.assertTrue(harness.events.empty())

        run_script([[response('q1')]], scenario)
