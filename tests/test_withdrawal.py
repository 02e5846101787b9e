"""
A request is said not to have run only on the driver's word, whatever is heard late.

A played driver knows what has left; the gateway hears of it later, after timers that were due.
That is the fault of review/1 in all its forms; test_false_refusals has the case itself, on real
connections.
"""

import functools
import heapq
import itertools
import unittest
from collections import deque

from nose2.tools import params

from beechbridge.failures import Executed, Failure, Reason, not_run
from beechbridge.gateway.actions import (
    AnswerRequest,
    DropConnection,
    ProbeReplica,
    SendOrder,
    SendPermits,
    SendRelay,
    SendRequest,
    WithdrawExchange,
)
from beechbridge.gateway.events import (
    CallerDisconnected,
    ExchangeEnded,
    ExchangeWithdrawn,
    PermitsReceived,
    ProbeEnded,
    RelayReceived,
    RequestReceived,
    RequestSent,
    TimerDue,
)
from beechbridge.gateway.fleet.gossip import HeartbeatTimer
from beechbridge.gateway.fleet.stopping import CloseTimer, ExitTimer
from beechbridge.gateway.maintenance import SweepTimer
from beechbridge.gateway.models import (
    CallerRequest,
    ForwardedAnswer,
    Item,
    LinkFailure,
    LinkFault,
    RelayReply,
    Reply,
    RequestRelay,
)
from beechbridge.gateway.permits import PermitsAnswered
from beechbridge.gateway.replicas.reach import ReachTimer
from beechbridge.gateway.replicas.restoration import ConfirmationTimer
from beechbridge.gateway.replicas.store_updates import RemovalTimer
from beechbridge.gateway.requests.budgets import BudgetRules
from beechbridge.gateway.requests.identity import compute_digest
from beechbridge.gateway.requests.permission import PermitTimer
from beechbridge.gateway.requests.reach_checks import PROBE_WAIT_MS, doubt_reach
from beechbridge.gateway.requests.suspicion import ReplicaEnd
from beechbridge.gateway.requests.works import CanaryTimer, CheckTimer, DeadlineTimer, RetryTimer
from measure.emulator import HOST, Emulator

from .gateways import WORK_MS, ZONES, single_route, sweep_route

KEY = 7
TIMEOUT_MS = 160.0
SHARDS = 3
SOON_MS = 3.0
SETTLED_MS = 1_200.0
"""Time after which the VMs know each other and the replicas."""

REPLY_BODY = b'0' * 16
WRITE = single_route('file', is_idempotent=False)
LOOKUP = single_route('lookup')
SWEEP = sweep_route(SHARDS)


class PlayedDriver:
    """
    Performs the actions of one gateway without a network.

    :param opening: actions by exchange ID whose connection is being opened
    :param running: actions by exchange ID whose request has left and was not answered
    :param sent: actions by exchange ID whose request has left and was not said to be not run
    :param unheard: events that the gateway has not heard of
    """

    def __init__(self, gateway, now_ms):
        self.gateway = gateway
        self.now_ms = now_ms
        self.opening = {}
        self.running = {}
        self.sent = {}
        self.relays = []
        self.unheard = deque()
        self.probes = []
        self.batches = []
        self.answers = []
        self.has_left = False

    def perform(self, actions):
        for action in actions:
            if isinstance(action, SendRequest | SendRelay | SendOrder):
                self.opening[action.exchange_id] = action
                if isinstance(action, SendRelay):
                    sends = [one for one in self.sent.values() if isinstance(one, SendRequest)]
                    self.relays.append((sum(action.relay.run_counts.values()), len(sends)))
                if not action.is_new:
                    self.open(action.exchange_id)
            elif isinstance(action, DropConnection):
                self.drop(action.connection_id)
            elif isinstance(action, WithdrawExchange):
                self.withdraw(action)
            elif isinstance(action, ProbeReplica):
                self.probes.append(action)
            elif isinstance(action, SendPermits):
                self.batches.append(action.message.batch_id)
            elif isinstance(action, AnswerRequest) and action.key == KEY:
                self.answers.append(action.answer)

    def open(self, exchange_id):
        """Let the bytes of a request leave."""
        action = self.opening.pop(exchange_id)
        self.running[exchange_id] = self.sent[exchange_id] = action

    def drop(self, connection_id):
        for exchanges in (self.opening, self.running):
            for exchange_id, action in list(exchanges.items()):
                if action.connection_id == connection_id:
                    del exchanges[exchange_id]

    def withdraw(self, action):
        if self.opening.pop(action.exchange_id, None) is not None:
            self.unheard.append(ExchangeWithdrawn(action.exchange_id))
            return
        self.unheard.append(RequestSent(action.exchange_id))

    def happen(self, name):
        """Let something happen that the gateway will hear of; return False if it can't."""
        if name == 'caller left':
            if self.has_left or self.answers:
                return False
            self.has_left = True
            self.unheard.append(CallerDisconnected(KEY))
            return True
        if name == 'permits granted':
            if not self.batches:
                return False
            answer = PermitsAnswered(self.batches.pop(), [0])
            self.unheard.append(PermitsReceived(self.gateway.fleet.own, answer))
            return True
        if name == 'probe accepted':
            if not self.probes:
                return False
            self.unheard.append(ProbeEnded(self.probes.pop().probe_id, True, False))
            return True
        exchanges = self.opening if name in ('opened', 'refused') else self.running
        if not exchanges:
            return False
        exchange_id = min(exchanges)
        if name == 'opened':
            self.open(exchange_id)
            self.unheard.append(RequestSent(exchange_id))
            return True
        action = exchanges.pop(exchange_id)
        if name == 'rejected':
            del self.sent[exchange_id]
        self.unheard.append(ExchangeEnded(exchange_id, make_result(name, action)))
        return True

    def hear(self):
        """Let the gateway hear of the first event; what it does about it is performed at once."""
        if self.unheard:
            event = self.unheard.popleft()
            self.perform(self.gateway.handle(event, self.now_ms))

    def hear_all(self):
        while self.unheard:
            self.hear()

    def pass_time(self):
        """Let time pass until the next timer of the gateway is due."""
        self.now_ms = max(self.now_ms, self.gateway.timers.next_due_ms())
        self.perform(self.gateway.handle(TimerDue(), self.now_ms))

    def run_out(self, opens):
        """
        Let time pass until the request must have been answered.

        :param opens: whether connections open as long as the gateway waits for them
        """
        until_ms = self.now_ms + TIMEOUT_MS + 700.0
        gateway = self.gateway
        while gateway.timers.next_due_ms() <= until_ms:
            if not gateway.works and not gateway.upstreams.exchanges:
                # Nothing is left that could be sent.
                break
            self.pass_time()
            self.hear_all()
            while opens and self.happen('opened'):
                self.hear_all()
        for exchange_id in list(self.opening):
            self.open(exchange_id)


def make_result(name, action):
    """Return how an exchange ends."""
    if name == 'refused':
        return LinkFailure(LinkFault.CONNECT_FAILED, was_sent=False, is_refused=True)
    if name == 'lost':
        return LinkFailure(LinkFault.LOST, was_sent=True)
    is_rejected = name == 'rejected'
    reply = Reply(503, [], b'', request_id='q', is_rejected=True)
    if not is_rejected:
        reply = Reply(200, [], REPLY_BODY, 'signature', 'q')
    if isinstance(action, SendRelay):
        answer = not_run(Reason.NOT_READY) if is_rejected else ForwardedAnswer(reply)
        return RelayReply(answer, 'q', is_closing=False)
    return reply


def start_gateway(route, vm_count=1):
    """Return the gateway of the first of some VMs that know two replicas of each service."""
    emulator = Emulator(ZONES[:vm_count], WORK_MS, BudgetRules(1.0, 56.0), 1)
    for service in route.services:
        for copy in range(2):
            emulator.put_replica(f'{service}-{copy}', service, ZONES[0])
    emulator.put_table([route])
    emulator.run(SETTLED_MS)
    gateway = emulator.vms[0].gateway
    gateway.now_ms = emulator.now_ms
    return gateway


def make_request(route):
    method = 'GET' if route.is_idempotent else 'POST'
    path = f'{route.prefix}x'
    return CallerRequest('q', method, path, HOST, path, [], b'', TIMEOUT_MS)


def receive(route, vm_count=1, prepare=None):
    """Return the driver of a gateway that has just received a request."""
    gateway = start_gateway(route, vm_count)
    request = make_request(route)
    if prepare is not None:
        prepare(gateway, request)
    driver = PlayedDriver(gateway, gateway.now_ms)
    driver.perform(gateway.handle(RequestReceived(KEY, request), gateway.now_ms))
    return driver


def doubt_links(gateway, request):
    doubt_reach([], gateway, wants_connection=False)


def lose_links(gateway, request):
    gateway.reach.is_lost = True
    gateway.reach.round_ms = gateway.now_ms


def limit_replicas(gateway, request):
    """Let another VM keep the limits that the replicas name."""
    other = next(one for one in gateway.fleet.members.values() if one is not gateway.fleet.own)
    for state in gateway.upstreams.by_id.values():
        state.notices.is_restricted = True
        state.notices.limit_per_s = 50.0
        state.notices.limited_ms = gateway.now_ms
        gateway.limits.keepers[state.entry.zone] = (other, gateway.now_ms)


def suspect_request(gateway, request):
    end = ReplicaEnd('shard-0-0', 0, 'earlier:0', gateway.now_ms, False)
    gateway.suspicions.add_end(compute_digest(request), SWEEP.name, end)


def take_relay():
    """Return the driver of a gateway that has taken the request of another VM's caller."""
    gateway = start_gateway(WRITE, 2)
    driver = PlayedDriver(gateway, gateway.now_ms)
    relay = RequestRelay(make_request(WRITE), TIMEOUT_MS, TIMEOUT_MS, {}, False)
    driver.perform(gateway.handle(RelayReceived(KEY, relay), gateway.now_ms))
    return driver


def hedge_lookup():
    """Return the driver of a lookup that was sent to a second replica since the first is late."""
    driver = receive(LOOKUP)
    while len(driver.opening) < 2:
        driver.pass_time()
    return driver


KINDS = {
    'write': lambda: receive(WRITE),
    'lookup': lambda: receive(LOOKUP),
    'hedged lookup': hedge_lookup,
    'gather': lambda: receive(SWEEP),
    'canary': lambda: receive(SWEEP, prepare=suspect_request),
    'write that needs a permit': lambda: receive(WRITE, 2, limit_replicas),
    'write while links are doubted': lambda: receive(WRITE, 2, doubt_links),
    'lookup while links are doubted': lambda: receive(LOOKUP, 2, doubt_links),
    'relayed write': lambda: receive(WRITE, 3, lose_links),
    'write of another VM': take_relay,
}
EVENTS = (
    'opened',
    'refused',
    'replied',
    'rejected',
    'lost',
    'caller left',
    'permits granted',
    'probe accepted',
)


def find_batch(driver):
    return min(driver.gateway.permit_requests.batches, default=0)


def end_stop(driver):
    """Return the timer that answers all requests, since the time for them in a stop is over."""
    stopping = driver.gateway.stopping
    stopping.asked_ms = driver.now_ms - stopping.grace_ms
    return ExitTimer()


TIMERS = {
    'deadline': lambda driver: DeadlineTimer(KEY),
    'check': lambda driver: CheckTimer(KEY),
    'canary': lambda driver: CanaryTimer(KEY),
    'retry': lambda driver: RetryTimer(driver.gateway.works[KEY].tasks[0]),
    'permit': lambda driver: PermitTimer(find_batch(driver)),
    'reach': None,
    'sweep': lambda driver: SweepTimer(),
    'heartbeat': lambda driver: HeartbeatTimer(),
    'removal': lambda driver: RemovalTimer('replica/register-0', 0.0),
    'confirmation': lambda driver: ConfirmationTimer(Item('replica/register-0', None, 1), 0),
    'close': lambda driver: CloseTimer(),
    'exit': end_stop,
}


def let_happen(driver, events):
    """Let events happen, later ones once earlier ones are heard if need be; return if they can."""
    for name in events:
        if driver.happen(name):
            continue
        driver.hear_all()
        if not driver.happen(name):
            return False
    return True


@functools.cache
def list_pairs(kind):
    """Return the events, and pairs of them, that can happen to a request."""
    pairs = [*itertools.product(EVENTS, repeat=1), *itertools.product(EVENTS, repeat=2)]
    possible = []
    for events in pairs:
        if let_happen(KINDS[kind](), events):
            possible.append(events)
    return possible


def move_check(gateway, due_ms):
    """Let the next check of the reach be due at a time, when its probes have had enough time."""
    timers = gateway.timers
    timers.heap = [entry for entry in timers.heap if not isinstance(entry[2], ReachTimer)]
    heapq.heapify(timers.heap)
    gateway.reach.check_due_ms = due_ms
    gateway.reach.round_ms = due_ms - PROBE_WAIT_MS
    timers.arm(due_ms, ReachTimer())


def play(kind, events, timer, is_frozen, opens, heard_count):
    """
    Let events happen, and a timer be due before all of them are heard; return what came of it.

    :param is_frozen: whether the process stands still past the deadline, not for a moment only
    :param opens: whether connections that are opened later do open
    :param heard_count: events that are heard before the timer fires
    """
    driver = KINDS[kind]()
    let_happen(driver, events)
    due_ms = driver.now_ms + (TIMEOUT_MS if is_frozen else SOON_MS)
    if timer == 'reach':
        move_check(driver.gateway, due_ms)
    else:
        driver.gateway.timers.arm(due_ms, TIMERS[timer](driver))
    for _ in range(heard_count):
        driver.hear()
    driver.now_ms = due_ms
    if not driver.unheard:
        driver.perform(driver.gateway.handle(TimerDue(), driver.now_ms))
    driver.hear_all()
    driver.run_out(opens)
    return driver


def describe_breach(driver, kind):
    """Return what is untrue in what was said or done, empty if nothing is."""
    is_refused = any(
        isinstance(answer, Failure) and answer.executed is Executed.NOT_RUN
        for answer in driver.answers
    )
    if is_refused and driver.sent:
        return 'said not to have run, and sent'
    if 'write' in kind and len(driver.sent) > 1:
        return f'sent {len(driver.sent)} times'
    if any(told < sent for told, sent in driver.relays):
        return f'attempts told and made before a relay: {driver.relays}'
    if len(driver.answers) > 1 or not (driver.answers or driver.has_left):
        return f'{len(driver.answers)} answers'
    return ''


class WordTest(unittest.TestCase):
    """What a caller is told at the deadline depends on what the driver says."""

    def reach_deadline(self, kind):
        driver = KINDS[kind]()
        driver.now_ms += TIMEOUT_MS
        actions = driver.gateway.handle(TimerDue(), driver.now_ms)
        self.assertFalse([one for one in actions if isinstance(one, AnswerRequest)])
        return driver, actions

    @params('write', 'gather', 'relayed write', 'write of another VM')
    def test_request_that_was_withdrawn_is_said_not_to_have_run(self, kind):
        driver, actions = self.reach_deadline(kind)
        driver.perform(actions)
        driver.hear_all()
        self.assertIs(driver.answers[0].executed, Executed.NOT_RUN)
        self.assertFalse(driver.opening)
        self.assertFalse(driver.gateway.upstreams.exchanges)

    @params('write', 'gather', 'relayed write', 'write of another VM')
    def test_request_that_had_been_sent_may_have_run(self, kind):
        driver, actions = self.reach_deadline(kind)
        for exchange_id in list(driver.opening):
            driver.open(exchange_id)
        driver.perform(actions)
        driver.hear_all()
        self.assertIs(driver.answers[0].executed, Executed.UNKNOWN)

    # A driver that has failed to perform an action gives no word; its caller is answered even so.
    @params('write', 'gather', 'relayed write', 'write of another VM')
    def test_request_without_a_word_may_have_run(self, kind):
        driver, _ = self.reach_deadline(kind)
        driver.run_out(opens=False)
        self.assertIs(driver.answers[0].executed, Executed.UNKNOWN)

    # A reply that arrives while the driver is asked must not be lost.
    def test_reply_that_is_heard_before_the_word_is_the_answer(self):
        driver, actions = self.reach_deadline('write')
        driver.happen('opened')
        driver.happen('replied')
        driver.unheard.popleft()
        driver.hear_all()
        driver.perform(actions)
        self.assertEqual(driver.answers[0].reply.status, 200)

    # A gather that was about to be said not to have run was sent to one more replica.
    def test_nothing_is_sent_while_the_driver_is_asked(self):
        driver = receive(sweep_route(SHARDS, min_share=1.0))
        gateway = driver.gateway
        sent = set(driver.opening)
        for state in gateway.upstreams.usable('shard-0'):
            gateway.forget_replica(state, 'gone')
        driver.happen('refused')
        withheld = gateway.handle(driver.unheard.popleft(), driver.now_ms)
        withdrawn = [one for one in withheld if isinstance(one, WithdrawExchange)]
        self.assertEqual(len(withdrawn), SHARDS - 1)
        driver.happen('refused')
        driver.hear_all()
        self.assertLessEqual(set(driver.opening), sent)
        driver.perform(withheld)
        driver.hear_all()
        self.assertIs(driver.answers[0].executed, Executed.NOT_RUN)

    # A gather was relayed with attempts that were not made, so that it failed there.
    def test_gather_is_relayed_once_all_of_its_exchanges_are_withdrawn(self):
        driver = receive(SWEEP, 2, doubt_links)
        driver.now_ms += SOON_MS
        move_check(driver.gateway, driver.now_ms)
        driver.perform(driver.gateway.handle(TimerDue(), driver.now_ms))
        self.assertEqual(len(driver.unheard), SHARDS)
        driver.hear_all()
        self.assertEqual(driver.relays, [(0, 0)])


class InterleavingTest(unittest.TestCase):
    # A timer that was due fired before the gateway heard that a request had been sent, and its
    # caller was told that it had not run.
    @params(*itertools.product(KINDS, TIMERS))
    def test_nothing_that_was_sent_is_said_not_to_have_run(self, kind, timer):
        breaches = {}
        cases = itertools.product(list_pairs(kind), (False, True), (False, True), range(3))
        for case in cases:
            events, is_frozen, opens, heard_count = case
            if heard_count > len(events):
                continue
            driver = play(kind, events, timer, is_frozen, opens, heard_count)
            breach = describe_breach(driver, kind)
            if breach:
                breaches[case] = breach
        self.assertEqual(breaches, {})
