"""
Messages between VMs whose frames are kept, as every landing has encoded them.

`python -m tests.golden COMMIT` prints the frames of the code that it runs on; they are added to
golden_frames.json after each landing.
"""

import json
import sys
from pathlib import Path

from beechbridge.gateway.actions import SendHeartbeat, SendOrder, SendPermits, SendSuspects
from beechbridge.gateway.events import ChangesReceived
from beechbridge.gateway.member import Member
from beechbridge.gateway.models import CallerRequest, Item, PartsAnswer, PartsOrder
from beechbridge.gateway.permits import PermitsAnswered, PermitsWanted
from beechbridge.gateway.suspects import EndReport, SuspectReport, SuspectsReport
from beechbridge.wire.fleet import (
    encode_changes,
    encode_heartbeat,
    encode_permits,
    encode_suspects,
    write_order,
    write_parts,
)

FRAMES_FILE = Path(__file__).parent / 'golden_frames.json'
HOST = '10.1.0.9'
REQUEST = CallerRequest('q1', 'POST', '/a/x?b=1', '', '/a/x', [('Accept', '*/*')], b'deed')
ORDER = PartsOrder(REQUEST, 'sweep', 1, ('shard-0', 'shard-1'), 2, 10, 126.0, 1188.0, 'd1')
PARTS = PartsAnswer(
    {'shard-0': 's0'}, {'shard-1': 1}, b'0' * 16, 12.5, frozenset(('shard-1',)), frozenset()
)
ITEMS = [Item('servers/i-1', b'{}', 7), Item('servers/i-2', None, 8)]
CHANGES = ChangesReceived(ITEMS, 8, epoch=2)
WANTED = PermitsWanted(3, [('i-1', 2.5), ('i-2', 0.05)], 1, 0.25)
ANSWERED = PermitsAnswered(3, [0, 1_500])
SUSPECTS = SuspectsReport(
    [
        SuspectReport('d1', 'lookup', [EndReport('i-1', 1_700_000_000_000, 'a:0', 84, True)]),
        SuspectReport('d2', 'sweep', [], 12),
    ],
    600_000,
)


def make_member() -> Member:
    """Return a VM that serves, and of which every field differs from its default."""
    member = Member('vm-1', HOST, 'brum-a', 77, 5, capacity_millicores=1_070)
    member.is_serving = True
    member.is_active = True
    member.rate_per_s = 12.0
    return member


def make_frames() -> dict[str, str]:
    """Return the frame of each message, as hexadecimal digits."""
    member = make_member()
    frames = {
        'heartbeat': encode_heartbeat(SendHeartbeat([], [member], 9, 8, True, 2)),
        'permits wanted': encode_permits(SendPermits(HOST, member, WANTED)),
        'permits answered': encode_permits(SendPermits(HOST, member, ANSWERED)),
        'suspects': encode_suspects(SendSuspects([], member, SUSPECTS)),
        'changes': encode_changes(CHANGES),
        'order': write_order(SendOrder(1, 1, True, HOST, ORDER)).partition(b'\r\n\r\n')[2],
        'parts': write_parts(PARTS, 'q1').body,
    }
    return {name: frame.hex() for name, frame in frames.items()}


if __name__ == '__main__':
    known = json.loads(FRAMES_FILE.read_text()) if FRAMES_FILE.exists() else {}
    known[sys.argv[1]] = make_frames()
    print(json.dumps(known, indent=2))
