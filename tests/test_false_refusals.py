"""
Statuses that say that nothing has run (503, 429, 421, 408), beside work that has run.

docs/incidents/liftwatch-false-refusals.md tells what callers saw.
"""

import asyncio
import unittest
from types import SimpleNamespace

from nose2.tools import params

from beechbridge.daemon.bodies import status_of
from beechbridge.daemon.exchanges import Codec, ExchangeClient
from beechbridge.daemon.gateway import perform
from beechbridge.failures import Executed, Failure, Reason, not_run, unknown
from beechbridge.gateway.actions import SendRequest
from beechbridge.gateway.events import (
    ChangesReceived,
    ExchangeEnded,
    RequestReceived,
    StopRequested,
)
from beechbridge.gateway.models import (
    NOT_RUN_STATUSES,
    CallerRequest,
    ForwardedAnswer,
    Item,
    RelayReply,
)
from beechbridge.gateway.requests.works import DeadlineTimer
from beechbridge.platform.callers import write_answer
from beechbridge.platform.items import decode_item
from beechbridge.platform.names import REJECTED, REPLICAS_PREFIX, REQUEST_ID, SIGNATURE, TABLE_KEY
from beechbridge.platform.replicas import read_reply, write_request

from .odd_items import ENTRY, TABLE, encode
from .test_front import HEAD, STATUS_LINE, Front
from .test_store_updates import EmptyReader
from .test_withdrawal import LOOKUP, WRITE, lose_links, receive

KEY = 7
TIME_LEFT_MS = 26.0
"""What callers of review/1 still wait: 18 to 34 ms."""

GIVE_UP_S = 20.0
"""Time after which a request that does not reach the replica is taken for unsent."""

PERFORMED = (
    'SendRequest',
    'WithdrawExchange',
    'AbandonExchange',
    'DropConnection',
    'AnswerRequest',
)
"""Names of the actions that concern requests."""


class StandInReplica(asyncio.Protocol):
    """A replica that notes the bytes of requests, and never answers."""

    def __init__(self):
        self.received = b''

    def data_received(self, data):
        self.received += data


class PlayedGateway(EmptyReader):
    """A gateway whose connections are real, and whose clock the test sets."""

    def __init__(self, kind, port):
        super().__init__()
        codecs = {SendRequest: Codec(write_request, read_reply)}
        self.exchanges = ExchangeClient(asyncio.get_running_loop(), self.handle, codecs)
        self.answers = []
        self.front = SimpleNamespace(deliver=lambda key, answer: self.answers.append(answer))
        route = {**TABLE['routes'][0], 'kind': kind, 'attempts': 1}
        values = [
            (f'{REPLICAS_PREFIX}i-1', encode(ENTRY, addr=f'127.0.0.1:{port}')),
            (TABLE_KEY, encode(TABLE, routes=[route])),
        ]
        items = [Item(key, value, number) for number, (key, value) in enumerate(values, 1)]
        self.handle(ChangesReceived(items, 2, (REPLICAS_PREFIX, TABLE_KEY)))
        self.wait(5_000.0)

    def decode(self, key, value):
        return decode_item(key, value)

    def handle(self, event):
        """Pass an event to the gateway and perform what concerns requests, as the driver does."""
        for action in self.deliver(event):
            if type(action).__name__ in PERFORMED:
                perform(action, self)

    def take_request(self):
        request = CallerRequest(
            'q', 'POST', '/a/1', 'h.example', '/a/1', [], b'x', timeout_ms=TIME_LEFT_MS
        )
        self.handle(RequestReceived(KEY, request))


def pass_deadline(played):
    """Let the process be so late that the request's time is over before it does anything more."""
    played.now_ms += TIME_LEFT_MS + 1.0


def end_stop(played):
    """Let the process be so late that the time for a planned stop is over."""
    played.handle(StopRequested())
    played.now_ms += played.gateway.stopping.grace_ms


def defer_deadline(played):
    """Let the timer of the request be due at the same moment as the event of its connection."""
    played.gateway.timers.arm(played.now_ms, DeadlineTimer(KEY))


LATENESS = [pass_deadline, end_stop, defer_deadline]
KINDS = ['non_idempotent', 'idempotent']


async def play(kind, be_late):
    """Let a connection open while the process is late; return the answer and what was sent."""
    loop = asyncio.get_running_loop()
    replica = StandInReplica()
    server = await loop.create_server(lambda: replica, '127.0.0.1', 0)
    played = PlayedGateway(kind, server.sockets[0].getsockname()[1])
    played.take_request()
    be_late(played)
    try:
        async with asyncio.timeout(GIVE_UP_S):
            while not (played.answers and replica.received):
                await asyncio.sleep(0.001)
    finally:
        played.exchanges.close()
        server.close()
    return played.answers[0], replica.received


class OpeningConnectionTest(unittest.TestCase):
    # Guards against review/1: a request whose connection opens when its time is over is answered
    # 503, "has not run", although its bytes have left and the replica runs it.
    @params(*((kind, be_late) for kind in KINDS for be_late in LATENESS))
    def test_request_that_left_at_its_deadline_is_not_said_not_to_have_run(self, kind, be_late):
        answer, received = asyncio.run(play(kind, be_late))
        self.assertIn(b'POST /a/1', received)
        self.assertIs(answer.executed, Executed.UNKNOWN)
        self.assertIn(write_answer(answer, 'q').status[:3], ('502', '504'))


def read_refusal(status, is_proven=False):
    """Return a replica's reply with a status that says that nothing has run."""
    headers = [(REQUEST_ID, 'q'), (SIGNATURE, 's'), ('Retry-After', '0.2')]
    if is_proven:
        headers.append((REJECTED, '1'))
    return read_reply(status, headers, b'busy', False)


def reply_from_replica(route, reply):
    """Return the answer to a request whose only replica answers with a reply."""
    driver = receive(route)
    while not driver.answers:
        driver.happen('opened')
        driver.hear_all()
        for exchange_id in list(driver.running):
            del driver.running[exchange_id]
            driver.unheard.append(ExchangeEnded(exchange_id, reply))
        driver.hear_all()
        driver.pass_time()
    return driver.answers[0]


def reply_from_relay(route, reply):
    """Return the answer to a request of which another VM passes on the reply of a replica."""
    driver = receive(route, 3, lose_links)
    driver.happen('opened')
    driver.hear_all()
    relayed = RelayReply(ForwardedAnswer(reply), 'q', is_closing=False)
    driver.unheard.append(ExchangeEnded(driver.running.popitem()[0], relayed))
    driver.hear_all()
    return driver.answers[0]


UNPROVEN_STATUSES = [408, 429, 503]
"""Not 421: a replica answers so only to what was meant for another one."""


class ReplicaRefusalTest(unittest.TestCase):
    # Guards against a replica's own 503, which says nothing of whether the request has run, being
    # passed on as the promise that it has not: callers send it again, and it runs twice.
    @params(
        *(
            (reply, status)
            for reply in (reply_from_replica, reply_from_relay)
            for status in UNPROVEN_STATUSES
        )
    )
    def test_unproven_refusal_of_what_must_not_run_twice_is_not_passed_on(self, get, status):
        answer = get(WRITE, read_refusal(status))
        self.assertIsInstance(answer, Failure)
        self.assertIs(answer.executed, Executed.UNKNOWN)
        wire = write_answer(answer, 'q')
        self.assertEqual(wire.status[:3], '502')
        self.assertNotIn(SIGNATURE, dict(wire.headers))

    # Guards against more being withheld than callers could misread.
    @params(*((LOOKUP, status) for status in UNPROVEN_STATUSES), (WRITE, 500), (WRITE, 404))
    def test_other_failures_of_a_replica_are_passed_on_unchanged(self, route, status):
        answer = reply_from_relay(route, read_refusal(status))
        wire = write_answer(answer, 'q')
        self.assertEqual(wire.status[:3], str(status))
        self.assertEqual((dict(wire.headers)[SIGNATURE], wire.body), ('s', b'busy'))

    # Guards against a proven refusal being withheld: it has not run, and its caller may know.
    @params(429, 503)
    def test_proven_refusal_is_a_promise(self, status):
        answer = reply_from_replica(WRITE, read_refusal(status, is_proven=True))
        self.assertIs(answer.executed, Executed.NOT_RUN)
        self.assertEqual(write_answer(answer, 'q').status[:3], '503')


class OwnInterfaceTest(unittest.TestCase):
    # Guards against the product's own interface answering 503 to a request that was sent to an
    # upstream before the VM exits: its body says `unknown`, its status that nothing has run.
    @params(*Reason)
    def test_failure_after_which_a_request_may_have_run_has_no_status_of_a_refusal(self, reason):
        self.assertNotIn(int(status_of(unknown(reason))[:3]), NOT_RUN_STATUSES)

    @params(Reason.STOPPING, Reason.OVERLOADED, Reason.NO_REPLICA)
    def test_refusal_keeps_its_status(self, reason):
        self.assertEqual(status_of(not_run(reason))[:3], '503')


INCOMPLETE = [
    ('GET /a/x HTTP/1.1\r\nHost: h\r\n', '408'),
    (f'{HEAD}Content-Length: 5\r\n\r\nab', '408'),
    (f'{HEAD}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n', '408'),
    (f'{HEAD}Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\nno size\r\n', '400'),
    (f'{HEAD}Transfer-Encoding: chunked\r\n\r\n2\r\nabcd\r\n0\r\n\r\n', '400'),
]


class ServerRefusalTest(unittest.TestCase):
    # Guards against the HTTP server turning a request away, as late or malformed, of which a part
    # was passed on to the gateway before.
    @params(*INCOMPLETE)
    def test_request_that_the_server_turns_away_was_not_passed_on(self, text, status):
        front = Front()
        self.addCleanup(front.close)
        front.app.header_timeout_s = front.app.body_timeout_s = 0.05
        with front.connect() as sock:
            sock.sendall(text.encode())
            received = b''.join(iter(lambda: sock.recv(65_536), b''))
        self.assertEqual(STATUS_LINE.findall(received), [status.encode()])
        self.assertFalse([event for event in front.events if isinstance(event, RequestReceived)])
