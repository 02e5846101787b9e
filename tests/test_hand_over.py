"""
In the product's own interface a message that was handed to the driver counts as sent.

A request is said not to have run only if the driver or an upstream says so of each of its
messages, whatever is heard late.
"""

import functools
import itertools
import socket
import unittest
from collections import deque

from nose2.tools import params

from beechbridge.actions import CloseConnection, Send
from beechbridge.core.fleet.configuration import ReadTimer
from beechbridge.core.fleet.membership import GossipTimer, ListTimer, ViewTimeoutTimer
from beechbridge.core.fleet.stopping import LeaveTimer, StopTimeoutTimer
from beechbridge.core.node import TIMER_HANDLERS
from beechbridge.core.requests.plans import (
    HardDeadlineTimer,
    HedgeTimer,
    ReassignTimer,
    RetryTimer,
    SoftDeadlineTimer,
)
from beechbridge.core.tickets.controller import (
    RelayTimer,
    RunDeadlineTimer,
    RunRetryTimer,
    TicketExpiryTimer,
)
from beechbridge.core.upstreams.controller import StallTimer
from beechbridge.core.upstreams.health import ProbeTimer
from beechbridge.daemon.upstream_client import Connection, UpstreamClient
from beechbridge.events import AttemptFailed, ReplyReceived, Tick
from beechbridge.failures import Executed, Failure
from beechbridge.messages import ReplyStatus, ShardQuery, ShardRequest
from beechbridge.models import Replica, Shard

from .utils import LOST, REFUSED, Simulation

DEADLINE_MS = 1_000.0
SOON_MS = 3.0
CLOSED = 'closed'
EVENTS = ('refused', 'lost', 'shed', 'replied')
WORK = ShardQuery | ShardRequest


class PlayedUpstreams:
    """
    The upstreams and the driver of one VM; the VM hears of what they do when the test says so.

    :param open: messages that were handed over and have not ended
    :param sent: messages that may have left, and were not said to be not run
    """

    def __init__(self, names):
        self.sim = Simulation(names)
        self.sim.run(1_000.0)
        self.open = []
        self.sent = []
        self.unheard = deque()
        replicas = [f'svc{number}-{letter}' for number in range(3) for letter in 'ab']
        self.sim.upstreams.script = dict.fromkeys(replicas, self.take)

    @property
    def core(self):
        return self.sim.cores['v1']

    def take(self, action):
        if not isinstance(action.message, WORK):
            return self.sim.upstreams.default(action)
        self.open.append(action)
        self.sent.append(action)
        return None

    def happen(self, name):
        """Let a message end of which the VM will hear; return False if there is none."""
        if not self.open:
            return False
        action = self.open.pop(0)
        upstreams = self.sim.upstreams
        if name in ('refused', 'shed'):
            self.sent.remove(action)
        if name in ('refused', 'lost'):
            failure = REFUSED if name == 'refused' else LOST
            self.unheard.append(AttemptFailed(action.attempt_id, failure))
            return True
        if name == 'shed':
            reply = upstreams.reply(action, ReplyStatus.SHED, executed=False)
        else:
            reply = upstreams.default(action)
        self.unheard.append(ReplyReceived(action.attempt_id, reply, True))
        return True

    def hear(self):
        if self.unheard:
            self.sim.handle('v1', self.unheard.popleft())

    def hear_all(self):
        while self.unheard:
            self.hear()


def ask():
    played = PlayedUpstreams(('v1',))
    played.sim.ask()
    return played


def submit(name='v1'):
    """Return the upstreams of a VM that got a request, from its caller or from another VM."""
    played = PlayedUpstreams(('v1', 'v2'))
    ticket = played.sim.ticket('v1')
    played.sim.submit(name, ticket, deadline_ms=DEADLINE_MS)
    played.sim.run(5.0)
    return played


def submit_third():
    """Return the upstreams of a VM whose request waits until one of two others has ended."""
    played = PlayedUpstreams(('v1',))
    for state in played.core.upstreams.states.values():
        state.window = 1.0
    for number in range(3):
        ticket = played.sim.ticket('v1', f't{number}')
        played.sim.submit('v1', ticket, f'r{number}', deadline_ms=DEADLINE_MS)
    return played


KINDS = {
    'query': ask,
    'request': submit,
    'relayed request': lambda: submit('v2'),
    'waiting request': submit_third,
}


def first_attempt(played):
    return next(iter(played.core.upstreams.attempts), '')


def first_run(played):
    return next(iter(played.core.tickets.runs), '')


TIMERS = {
    GossipTimer: lambda played: GossipTimer(),
    ListTimer: lambda played: ListTimer(0),
    ViewTimeoutTimer: lambda played: ViewTimeoutTimer(0),
    ProbeTimer: lambda played: ProbeTimer(),
    StallTimer: lambda played: StallTimer(first_attempt(played)),
    ReadTimer: lambda played: ReadTimer(0),
    SoftDeadlineTimer: lambda played: SoftDeadlineTimer('q1'),
    HardDeadlineTimer: lambda played: HardDeadlineTimer('q1'),
    HedgeTimer: lambda played: HedgeTimer(first_query(played)),
    ReassignTimer: lambda played: ReassignTimer(first_query(played)),
    RetryTimer: lambda played: RetryTimer('q1', 1, 's0'),
    RunDeadlineTimer: lambda played: RunDeadlineTimer(first_run(played)),
    RunRetryTimer: lambda played: RunRetryTimer(first_run(played)),
    RelayTimer: lambda played: RelayTimer(''),
    TicketExpiryTimer: lambda played: TicketExpiryTimer(first_run(played)),
    LeaveTimer: lambda played: LeaveTimer(),
    StopTimeoutTimer: lambda played: StopTimeoutTimer(),
}


def first_query(played):
    """Return the first attempt of a query: hedges are for queries only."""
    return first_attempt(played) if played.core.plans else ''


def let_happen(played, events):
    """Let events happen, later ones once earlier ones are heard if need be; return if they can."""
    for name in events:
        if played.happen(name):
            continue
        played.hear_all()
        if not played.happen(name):
            return False
    return True


@functools.cache
def list_pairs(kind):
    """Return the events, and pairs of them, that can happen to a request."""
    pairs = [*itertools.product(EVENTS, repeat=1), *itertools.product(EVENTS, repeat=2)]
    return [events for events in pairs if let_happen(KINDS[kind](), events)]


def play(kind, events, timer_type, is_frozen, heard_count):
    """
    Let events happen, and a timer be due before all of them are heard; return what came of it.

    :param is_frozen: whether the process stands still past the deadline, not for a moment only
    :param heard_count: events that are heard before the timer fires
    """
    played = KINDS[kind]()
    sim = played.sim
    let_happen(played, events)
    due_ms = sim.now_ms + (DEADLINE_MS if is_frozen else SOON_MS)
    played.core.timers.arm(due_ms, TIMERS[timer_type](played))
    for _ in range(heard_count):
        played.hear()
    sim.now_ms = due_ms
    if not played.unheard:
        sim.handle('v1', Tick())
    played.hear_all()
    sim.run(2 * DEADLINE_MS)
    return played


def describe_breach(played):
    """Return what is untrue in what was said or done, empty if nothing is."""
    for request_id, answers in played.sim.answers.items():
        if request_id.startswith('t'):
            continue
        if len(answers) != 1:
            return f'{len(answers)} answers to {request_id}'
        answer = answers[0]
        if not isinstance(answer, Failure) or answer.executed is not Executed.NOT_RUN:
            continue
        if any(is_part(action, request_id, played) for action in played.sent):
            return f'{request_id} said not to have run, and sent'
    counts = {}
    for action in played.sent:
        if isinstance(action.message, ShardRequest):
            number = action.message.request_id
            counts[number] = counts.get(number, 0) + 1
    return 'sent twice' if max(counts.values(), default=0) > 1 else ''


def is_part(action, request_id, played):
    """Return whether a message belongs to a request: to its query, or to its ticket."""
    if isinstance(action.message, ShardQuery):
        return action.message.request_id == request_id
    ticket_id = f't{request_id[1:]}'
    return action.message.request_id == played.sim.answer(ticket_id).ticket.number


class HandOverTest(unittest.TestCase):
    def test_every_timer_is_played(self):
        self.assertEqual(TIMERS.keys(), TIMER_HANDLERS.keys())

    # A late report must not let a request be said not to have run that an upstream may run.
    @params(*itertools.product(KINDS, TIMERS))
    def test_nothing_that_was_handed_over_is_said_not_to_have_run(self, kind, timer_type):
        breaches = {}
        cases = itertools.product(list_pairs(kind), (False, True), range(3))
        for case in cases:
            events, is_frozen, heard_count = case
            if heard_count > len(events):
                continue
            breach = describe_breach(play(kind, events, timer_type, is_frozen, heard_count))
            if breach:
                breaches[case] = breach
        self.assertEqual(breaches, {})


class PlayedHttp:
    """HTTP connection of which a step fails, or which the core closes during it."""

    def __init__(self, failures, close):
        self.failures = failures
        self.close_connection = close
        self.sock = None
        self.timeout = None
        self.requests = []

    def step(self, name):
        failure = self.failures.get(name)
        if failure == CLOSED:
            self.close_connection()
        elif failure is not None:
            raise failure

    def connect(self):
        self.step('connect')
        self.sock = socket.socket()

    def limit_time(self, duration_s):
        pass

    def request(self, *args):
        self.requests.append(args)
        self.step('send')
        # What http.client does to a socket that was closed meanwhile.
        self.sock.getpeername()

    def close(self):
        if self.sock is not None:
            self.sock.close()


class DriverWordTest(unittest.TestCase):
    # The driver must say that a request has not run only if it has not begun to send it.
    @params(
        ({'connect': ConnectionRefusedError()}, Executed.NOT_RUN, 0),
        ({'connect': TimeoutError()}, Executed.NOT_RUN, 0),
        ({'connect': CLOSED}, Executed.NOT_RUN, 0),
        ({'send': CLOSED}, Executed.UNKNOWN, 1),
        ({'send': ConnectionResetError()}, Executed.UNKNOWN, 1),
        ({'send': TimeoutError()}, Executed.UNKNOWN, 1),
        ({'send': AttributeError()}, Executed.UNKNOWN, 1),
    )
    def test_word_of_the_driver_is_true(self, failures, executed, request_count):
        events = []
        client = UpstreamClient(events.append, 1)
        replica = Replica('svc0-a', 'p', '127.0.0.1', 9, 1, 1, 0)
        shard = Shard('s0', 0, 1, 'svc0')
        message = ShardRequest('t', 'b', shard, 'k', b'{}', 500.0)
        connection = Connection(replica)
        client.connections[7] = connection
        connection.http = PlayedHttp(failures, lambda: client.close_connection(CloseConnection(7)))
        client.run_exchange(Send('a', replica, 7, True, message, 500.0), connection)
        client.close()
        self.assertEqual([event.failure.executed for event in events], [executed])
        self.assertEqual(len(connection.http.requests), request_count)
