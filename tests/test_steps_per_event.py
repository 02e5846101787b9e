"""Work of one event does not grow with the number of replicas or VMs that it does not concern."""

import sys
import unittest

from nose2.tools import params

from beechbridge.gateway.events import ConnectionEnded, HeartbeatReceived
from beechbridge.gateway.member import Member
from beechbridge.gateway.models import Reply
from measure.emulator import Emulator

from .gateways import WORK_MS, ManualRequest, single_route

SIZES = (30, 300, 3_000)


def count_steps(call):
    """Return how many lines of Python a call executes."""
    steps = 0

    def trace(frame, event, argument):
        nonlocal steps
        steps += event == 'line'
        return trace

    previous = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(previous)
    return steps


def start_gateway(replica_count=1, member_count=0):
    """Return an emulator of one VM that knows replicas, and VMs of another data centre."""
    emulator = Emulator(('brum-a',), WORK_MS)
    for number in range(replica_count - 1):
        emulator.put_replica(f'r-{number}', f'shard-{number}', 'brum-a')
    emulator.put_replica('r-last', 'register', 'brum-a')
    emulator.put_table([single_route('lookup')])
    emulator.run(4_000.0)
    fleet = emulator.vms[0].gateway.fleet
    for number in range(member_count):
        member = Member(f'far-{number}', f'far-{number}', 'notts-a', 1, 1)
        fleet.apply_member(member, emulator.now_ms)
    return emulator


def end_connection(emulator):
    """Return the call of the event that an idle connection was closed."""
    lookup = ManualRequest(emulator, 'q1', '/lookup/x', 'GET', 4000.0)
    lookup.end(Reply(200, [], b'done', 'signature', 'q1'))
    event = ConnectionEnded(lookup.sends[0].connection_id)
    return lambda: lookup.gateway.handle(event, lookup.now_ms)


def serve_lookup(emulator):
    """Return the call that serves one request."""

    def call():
        lookup = ManualRequest(emulator, 'q1', '/lookup/x', 'GET', 4000.0)
        lookup.end(Reply(200, [], b'done', 'signature', 'q1'))

    return call


def hear_member(emulator):
    """Return the call of a heartbeat from another data centre."""
    gateway = emulator.vms[0].gateway
    heartbeat = HeartbeatReceived([Member('far-0', 'far-0', 'notts-a', 1, 2)], 1, 1)
    return lambda: gateway.handle(heartbeat, gateway.now_ms)


class StepsTest(unittest.TestCase):
    # At 49,000 replicas and 6,600 VMs a walk over all of them for each event would take all time.
    @params(
        ('connection ended', end_connection, 'replica_count'),
        ('request served', serve_lookup, 'replica_count'),
        ('heartbeat received', hear_member, 'member_count'),
    )
    def test_steps_do_not_grow_with(self, _, make_call, what):
        counts = [count_steps(make_call(start_gateway(**{what: size}))) for size in SIZES]
        self.assertLess(max(counts), 2 * min(counts))
