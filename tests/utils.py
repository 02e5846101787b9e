"""A simulated fleet on virtual time, with fakes for the upstreams and the platform."""

import heapq
import os
import random

import msgspec
from hypothesis import settings

from beechbridge.actions import (
    AnswerCaller,
    CloseConnection,
    Exit,
    ReadConfiguration,
    ReadVmList,
    Send,
    SendPeer,
)
from beechbridge.core.limits import Limits
from beechbridge.core.node import Core
from beechbridge.document import Document
from beechbridge.events import (
    AttemptFailed,
    ConfigurationReceived,
    PeerMessageReceived,
    QueryReceived,
    ReplyReceived,
    Tick,
    TicketedRequestReceived,
    TicketRequested,
    VmListReceived,
)
from beechbridge.failures import AttemptFailure, Executed, PlatformFailure, Reason
from beechbridge.messages import (
    LoadProbe,
    Reply,
    ReplyStatus,
    Row,
    ShardQuery,
    ShardRequest,
)
from beechbridge.models import (
    KEY_SPACE,
    Query,
    Ticket,
    TicketedRequest,
    Vm,
    VmIdentity,
    VmList,
)

FUZZ_EXAMPLES = os.environ.get('FUZZ_EXAMPLES')
"""Number of random examples for each fuzz test; by default few, and the same ones each time."""

FUZZ = settings(
    derandomize=FUZZ_EXAMPLES is None, deadline=None, max_examples=int(FUZZ_EXAMPLES or 300)
)
LATENCY_MS = 5.0
PEER_DELAY_MS = 1.0
LOST = AttemptFailure(Reason.CONNECTION_LOST, Executed.UNKNOWN, 'reset')
REFUSED = AttemptFailure(Reason.CONNECT_FAILED, Executed.NOT_RUN, 'refused')


def make_shards(count, first=0):
    shards = []
    for number in range(count):
        low = KEY_SPACE * number // count
        high = KEY_SPACE * (number + 1) // count
        shard = {'shard_id': f's{first + number}', 'low': low, 'high': high}
        shards.append({**shard, 'service': f'svc{number}'})
    return shards


def make_entries(services=3, replicas=2, limit=25, **rules):
    entries = {'place/p': {'region': 'r'}, 'place/q': {'region': 'r'}}
    for number in range(services):
        replica_entries = []
        for letter in 'abcdefgh'[:replicas]:
            replica = {
                'replica_id': f'svc{number}-{letter}',
                'place': 'p',
                'host': '127.0.0.1',
                'port': 1000 + number,
                'slots': 2,
                'connection_limit': limit,
                'connection_cost_ms': 6,
            }
            replica_entries.append(replica)
        entries[f'service/b/svc{number}'] = {'replicas': replica_entries}
    entries['map/b/1'] = {'shards': make_shards(services)}
    query_class = {
        'back_end': 'b',
        'urgency': 50,
        'soft_deadline_ms': 1000,
        'hard_deadline_ms': 1000,
        'minimum_coverage': 1.0,
    }
    entries['class/c'] = query_class | rules
    return entries


def make_document(generation=1, **changes):
    return Document(generation, make_entries(**changes))


class FakeUpstreams:
    """Fake upstreams that answer by a script per replica, or else with one row per shard."""

    def __init__(self):
        self.newest = 1
        self.oldest = 1
        self.latency_ms = {}
        self.script = {}
        self.executions = {}
        self.sends = []
        self.slots = 0
        self.free_ms = {}

    def answer(self, action):
        self.sends.append(action)
        replica_id = action.replica.replica_id
        scripted = self.script.get(replica_id)
        if scripted is not None:
            result = scripted(action)
            if result is not self:
                return result
        return self.default(action)

    def delay_ms(self, replica_id, now_ms):
        """Return the time to the reply, including the wait for a slot if slots are limited."""
        latency_ms = self.latency_ms.get(replica_id, LATENCY_MS)
        if not self.slots:
            return latency_ms
        free_ms = self.free_ms.setdefault(replica_id, [0.0] * self.slots)
        end_ms = max(now_ms, free_ms[0]) + latency_ms
        heapq.heapreplace(free_ms, end_ms)
        return end_ms - now_ms

    def default(self, action):
        message = action.message
        if isinstance(message, ShardQuery):
            return self.answer_query(action, message)
        reply = self.reply(action, ReplyStatus.DONE)
        if isinstance(message, ShardRequest):
            count = self.executions.get(message.request_id, 0)
            self.executions[message.request_id] = count + 1
            self.newest += 1
            reply.request_id = message.request_id
            reply.snapshot = self.newest
            reply.result = 'filed'
        return reply

    def answer_query(self, action, message):
        if message.snapshot < self.oldest:
            return self.reply(action, ReplyStatus.GONE, executed=False)
        if message.snapshot > self.newest:
            return self.reply(action, ReplyStatus.NOT_YET, executed=False)
        reply = self.reply(action, ReplyStatus.DONE)
        shard = message.shard
        reply.request_id = message.request_id
        reply.shard_id, reply.low, reply.high = shard.shard_id, shard.low, shard.high
        reply.snapshot = message.snapshot
        value = msgspec.Raw(b'%d' % message.snapshot)
        reply.rows = [Row(f'{shard.shard_id}-row', value)]
        return reply

    def reply(self, action, status, executed=True):
        return Reply(
            status,
            attempt_id=action.attempt_id,
            executed=executed,
            oldest_snapshot=self.oldest,
            newest_snapshot=self.newest,
        )

    def queries(self):
        return [action for action in self.sends if isinstance(action.message, ShardQuery)]

    def requests(self):
        return [action for action in self.sends if isinstance(action.message, ShardRequest)]

    def probes(self):
        return [action for action in self.sends if isinstance(action.message, LoadProbe)]


class Simulation:
    """Simulation of a fleet: cores, fake upstreams and a fake platform on one virtual clock."""

    def __init__(self, names=('v1',), document=None, limits=None, seed=1):
        self.now_ms = 1000.0
        self.events = []
        self.sequence = 0
        self.limits = limits or Limits()
        self.seed = seed
        self.upstreams = FakeUpstreams()
        self.document = document or make_document()
        self.platform_down = False
        self.vm_list_down = False
        self.hidden = {}
        self.vms = {}
        self.cores = {}
        self.answers = {}
        self.exited = set()
        self.paused = set()
        self.blocked_links = set()
        self.log = []
        self.peer_filter = None
        self.incarnations = 0
        for name in names:
            self.list_vm(name)
        for name in names:
            self.start(name)
        self.run(100)

    def list_vm(self, name, place='p'):
        self.vms[name] = Vm(name, place, '127.0.0.1', 1, 2, 3)

    def start(self, name):
        self.incarnations += 1
        identity = VmIdentity(name, self.incarnations)
        rng = random.Random(f'{self.seed}-{name}')
        core = Core(identity, self.vms[name].place, self.limits, rng)
        self.cores[name] = core
        self.perform(name, core.start(self.now_ms))
        return core

    def schedule(self, delay_ms, name, event):
        self.sequence += 1
        core = self.cores.get(name)
        entry = (self.now_ms + delay_ms, self.sequence, name, core, event)
        heapq.heappush(self.events, entry)

    def handle(self, name, event):
        self.perform(name, self.cores[name].handle(event, self.now_ms))

    def perform(self, name, actions):
        for action in actions:
            self.log.append((name, action))
            if isinstance(action, Send):
                self.perform_send(name, action)
            elif isinstance(action, CloseConnection):
                self.perform_close(name, action)
            elif isinstance(action, AnswerCaller):
                self.answers.setdefault(action.request_id, []).append(action.answer)
            elif isinstance(action, SendPeer):
                self.perform_peer(name, action)
            elif isinstance(action, ReadConfiguration):
                self.perform_read(name, action)
            elif isinstance(action, ReadVmList):
                vms = [vm for key, vm in self.vms.items() if key not in self.hidden.get(name, ())]
                failure = PlatformFailure(Reason.PLATFORM_UNAVAILABLE)
                result = failure if self.vm_list_down else VmList(tuple(vms))
                self.schedule(1.0, name, VmListReceived(result))
            elif isinstance(action, Exit):
                self.exited.add(name)

    def perform_send(self, name, action):
        result = self.upstreams.answer(action)
        self.in_flight = getattr(self, 'in_flight', {})
        self.in_flight[(name, action.connection_id)] = action
        if result is None:
            return
        delay_ms = self.upstreams.delay_ms(action.replica.replica_id, self.now_ms)
        if isinstance(result, AttemptFailure):
            event = AttemptFailed(action.attempt_id, result)
        else:
            event = ReplyReceived(action.attempt_id, result, True)
        self.schedule(delay_ms, name, event)

    def perform_close(self, name, action):
        send = self.in_flight.pop((name, action.connection_id), None)
        if send is not None and send.attempt_id in self.cores[name].upstreams.attempts:
            self.schedule(0.1, name, AttemptFailed(send.attempt_id, LOST))

    def perform_peer(self, name, action):
        if (name, action.vm.name) in self.blocked_links:
            return
        event = PeerMessageReceived(self.cores[name].identity, action.message)
        if self.peer_filter is not None and not self.peer_filter(name, action.vm.name, event):
            return
        self.schedule(PEER_DELAY_MS, action.vm.name, event)

    def perform_read(self, name, action):
        if self.platform_down:
            result = PlatformFailure(Reason.PLATFORM_UNAVAILABLE)
            self.schedule(1.0, name, ConfigurationReceived(result))
            return
        is_newer = self.document.generation > action.after_generation
        result = self.document if is_newer else None
        self.schedule(
            1.0 if is_newer else max(1, action.wait_ms), name, ConfigurationReceived(result)
        )

    def run(self, duration_ms):
        until_ms = self.now_ms + duration_ms
        while True:
            due_ms, name = self.next_due()
            if due_ms is None or due_ms > until_ms:
                break
            self.now_ms = max(self.now_ms, due_ms)
            if name is not None:
                self.handle(name, Tick())
                continue
            _, _, name, core, event = heapq.heappop(self.events)
            if name in self.paused:
                self.schedule(50.0, name, event)
                continue
            if name in self.cores and core in (None, self.cores[name]):
                self.handle(name, event)
        self.now_ms = until_ms

    def next_due(self):
        due_ms, due_name = (self.events[0][0], None) if self.events else (None, None)
        for name, core in self.cores.items():
            wake_ms = core.next_wake_ms()
            if name in self.paused or name in self.exited or wake_ms is None:
                continue
            if due_ms is None or wake_ms < due_ms:
                due_ms, due_name = wake_ms, name
        return due_ms, due_name

    def kill(self, name):
        del self.cores[name]

    def partition(self, left, right):
        for left_name in left:
            for right_name in right:
                self.blocked_links |= {(left_name, right_name), (right_name, left_name)}

    def ask(self, name='v1', request_id='q1', **fields):
        self.handle(name, QueryReceived(request_id, Query('b', 'c', **fields)))

    def answer(self, request_id='q1'):
        answers = self.answers.get(request_id, [])
        assert len(answers) == 1, f'{len(answers)} answers to {request_id}'
        return answers[0]

    def ticket(self, name='v1', request_id='t1'):
        self.handle(name, TicketRequested(request_id, 'b'))
        return self.answer(request_id).ticket

    def submit(self, name, ticket: Ticket, request_id='r1', deadline_ms=1000, key='k'):
        request = TicketedRequest(ticket, 'b', key, b'{}', deadline_ms)
        self.handle(name, TicketedRequestReceived(request_id, request))

    def actions(self, kind, name=None):
        return [
            action
            for owner, action in self.log
            if isinstance(action, kind) and name in (None, owner)
        ]
