"""Items of the store, and values of another writer that cannot be read."""

import json

import msgspec

from beechbridge.platform.names import REPLICAS_PREFIX

ENTRY = {
    'service': 's',
    'addr': '10.0.0.9:8080',
    'zone': 'brum-a',
    'version': 'v1',
    'slots': 2,
    'state': 'ready',
    'coldLeftMs': 0,
    'seq': 4,
    'born': 17,
}
TABLE = {
    'version': 7,
    'routes': [
        {
            'name': 'r',
            'host': 'h.example',
            'prefix': '/a/',
            'kind': 'idempotent',
            'timeoutMs': 800,
            'goalMs': 86,
            'priority': 2,
            'service': 's',
            'attempts': 2,
        }
    ],
    'services': [
        {'name': 's', 'healthPath': '/healthz', 'maxConns': 26, 'proto': 'h1', 'tls': False}
    ],
    'limits': {'headerBytes': 16384, 'bodyBytes': 262144, 'headerMs': 3000, 'idleMs': 15000},
}


def encode(value, **changes):
    """Return the bytes of an item, with some fields changed."""
    return msgspec.json.encode({**value, **changes})


def encode_raw(value, field, text):
    """Return the bytes of an item of which one field is any text."""
    return msgspec.json.encode({**value, field: msgspec.Raw(text)})


def encode_any(value, field, changed):
    """Return the bytes of an item of which one field is any value of the library `json`."""
    return json.dumps({**value, field: changed}).encode()


def nest(depth):
    """Return an array in arrays."""
    return b'[' * depth + b']' * depth


def omit(value, field):
    """Return the bytes of an item without one of its fields."""
    return msgspec.json.encode({name: value[name] for name in value if name != field})


REQUIRED_FIELDS = [name for name in ENTRY if name != 'born']
WRONG_VALUES = [
    ('service', [7, None, '', 's' * 201, ['s'], {}]),
    ('addr', [7, None, '', ['h:80'], '10.0.0.9:80:', '10.0.0.9:8080\n', '10.0.0.9:\u0668']),
    ('zone', [7, None, '', 'z' * 201]),
    ('version', [7, None, 'v' * 201]),
    ('slots', ['2', None, 2.5, -1, True, 10**7, 10**30, 1e300]),
    ('state', [1, None, '', 'READY', 'gone', ['ready']]),
    ('coldLeftMs', ['0', None, -1, False, 10**9, 10**30, 1e300, [0]]),
    ('seq', ['4', None, -1, 4.5, True, 2**63, 10**30]),
    ('born', ['17', None, 0, -1, 17.5, True, 2**63, 10**30, [17]]),
]
UNREADABLE_ENTRIES = [
    *[omit(ENTRY, name) for name in REQUIRED_FIELDS],
    *[encode_any(ENTRY, name, value) for name, values in WRONG_VALUES for value in values],
    # review/4; test_start_beside_unreadable_entry guards that case by itself.
    encode(ENTRY, addr='10.0.0.9:' + '9' * 5_000),
    encode(ENTRY, addr='10.0.0.9:65536'),
    encode(ENTRY, addr='10.0.0.9:0'),
    encode(ENTRY, addr='10.0.0.9:-1'),
    encode(ENTRY, addr='10.0.0.9:'),
    encode(ENTRY, addr='10.0.0.9'),
    encode(ENTRY, addr=':8080'),
    encode(ENTRY, state='odd'),
    encode(ENTRY, service=None),
    encode_raw(ENTRY, 'later', nest(100_000)),
    encode_raw(ENTRY, 'coldLeftMs', b'1e999'),
    encode_raw(ENTRY, 'coldLeftMs', b'NaN'),
    encode_raw(ENTRY, 'slots', b'9' * 5_000),
    nest(100_000),
    nest(1),
    b'9' * 5_000,
    b'null',
    b'"text"',
    b'{}',
    b'',
    b'\xff\xfe\x00',
]
"""Values of entries that name no replica."""


UNREADABLE_HOSTS = [
    '10.0.0.9\r\nHost: x',
    '10.0.0.9 ',
    ' 10.0.0.9',
    '10.0.0.9\0',
    'h' * 64,
    'h.' * 127 + 'h',
    'h..example',
    '.h',
    'h\u00fc',
    'user@h',
    'h/path',
    'h:80',
    '[::1]',
    '::1',
]
"""Hosts to which no connection can be opened, or that the address of an entry does not name."""

UNREADABLE_IDS = ['', 'i 1', 'i\r\nX-Own: 1', 'i\n', '\ti', 'i\0', 'i\u00fc', 'i\u20ac', 'i' * 201]
"""IDs that the header with the expected replica cannot carry."""

ROUTE = TABLE['routes'][0]
GATHER = {**{name: ROUTE[name] for name in ROUTE if name != 'service'}, 'gather': ['s', 't']}
WRONG_ROUTE_VALUES = [
    ('name', [7, None, '']),
    ('host', [7, None, '']),
    ('prefix', [7, None, '', 'a/', '/a', '/a/\n']),
    ('kind', [7, None, 'odd']),
    ('timeoutMs', ['800', None, 0, -1, 1e300, 10**400, True]),
    ('goalMs', ['86', None, 0, -1, 1e300]),
    ('attempts', ['2', None, 0, -1, 1.5, 10**30, True]),
    ('priority', ['2', None, -1, 10**30]),
    ('service', [7, None, '']),
    ('split', [None, [], [{}], [{'service': 's'}], [{'service': 's', 'weight': -1}]]),
    ('gather', [None, [], [7], 's']),
]
WRONG_ROUTES = [
    *[{k: ROUTE[k] for k in ROUTE if k != name} for name in ROUTE],
    *[{**ROUTE, name: value} for name, values in WRONG_ROUTE_VALUES for value in values],
    {**ROUTE, 'split': [{'service': 's', 'weight': 1}]},
    {**ROUTE, 'gather': ['s'], 'topK': 5, 'minShare': 0.5},
    {**GATHER, 'topK': 5},
    {**GATHER, 'minShare': 0.5},
    {**GATHER, 'topK': 10**30, 'minShare': 0.5},
    {**GATHER, 'topK': 5, 'minShare': 1.5},
    {**GATHER, 'topK': 5, 'minShare': -1},
    {**GATHER, 'topK': 5, 'minShare': None},
    7,
    None,
]
WRONG_LIMITS = [
    {name: value for name, value in TABLE['limits'].items() if name != 'idleMs'},
    {**TABLE['limits'], 'headerBytes': 10**30},
    {**TABLE['limits'], 'bodyBytes': -1},
    {**TABLE['limits'], 'headerMs': 0},
    {**TABLE['limits'], 'idleMs': 1e300},
    None,
    [],
]
WRONG_SERVICES = [None, {}, [7], [{}], [{'name': 's'}], [{'maxConns': 3}]]
WRONG_SERVICES += [[{'name': 's', 'maxConns': value}] for value in ('3', 0, -1, 1.5, 10**30)]
UNREADABLE_TABLES = [
    *[omit(TABLE, name) for name in TABLE],
    *[encode_any(TABLE, 'version', value) for value in ('8', None, -1, 8.5, 2**63, 10**30)],
    *[encode_any(TABLE, 'routes', [ROUTE, route]) for route in WRONG_ROUTES],
    *[encode_any(TABLE, 'services', services) for services in WRONG_SERVICES],
    *[encode_any(TABLE, 'limits', limits) for limits in WRONG_LIMITS],
    encode_raw(TABLE, 'version', b'9' * 5_000),
    encode_raw(TABLE, 'later', nest(100_000)),
    nest(100_000),
    b'null',
    b'{}',
    b'',
    b'\xff',
]
"""Values of the routing table that cannot be in force."""


def name_entry(number):
    """Return the key of the entry of another writer; it sorts before those of replicas."""
    return f'{REPLICAS_PREFIX}i-0-{number:02}'
