"""Settings of one gateway process."""

from ..record import Record
from .actions import MAX_REPLY_BYTES
from .replicas.cold import ColdRules
from .requests.budgets import BudgetRules

DEFAULT_REPLY_MEMORY_BYTES = 64 * 1024 * 1024
DEFAULT_HELD_MEMORY_BYTES = 128 * 1024 * 1024
DEFAULT_MAX_CONNECTIONS = 2_000
DEFAULT_MAX_HEADER_FIELDS = 4_096
"""A head of 16,384 bytes has fewer."""

DEFAULT_MAX_PIPELINED = 8


class Address(Record):
    """A host and a TCP port."""

    __slots__ = ('host', 'port')

    def __init__(self, host: str, port: int):
        self.host = host
        self.port = port


class GatewaySettings(Record):
    """
    Settings of a gateway process.

    :param regions: region by data centre
    :param seeds: hosts to contact to join the fleet
    :param peer_port: UDP port for heartbeats, the same on all VMs
    :param callers: listen address for callers' requests
    :param readiness: listen address for the platform's readiness checks
    :param peers: listen address for other VMs (store changes) and operators (state, metrics)
    :param directory: listen address for callers' directory lookups
    :param grace_ms: milliseconds between a stop request and the kill
    :param capacity_millicores: available CPU in thousandths of a core
    :param max_ttl_s: maximum lifetime of a directory answer in seconds
    :param max_reply_bytes: largest reply of a replica that is forwarded to a caller
    :param reply_memory_bytes: memory for the replies that are being received
    :param held_memory_bytes: memory for requests, answers and replies together
    :param max_connections: connections of clients on all ports
    :param max_header_fields: header fields of one request
    :param max_pipelined: requests of one connection that are parsed before they are answered
    :param stable_ms: milliseconds within which the fleet has to notice that a VM ended, None for
        no bound
    :param cold_rules: how many requests a cold replica may get
    :param balances_by_work: whether replicas are chosen by expected work instead of latency
    :param is_first_start: whether the whole system starts for the first time
    :param has_short_goals: whether answers are timed to reach clients within their goals
    """

    __slots__ = (
        'balances_by_work',
        'budget',
        'callers',
        'capacity_millicores',
        'cold_rules',
        'directory',
        'grace_ms',
        'has_short_goals',
        'held_memory_bytes',
        'host',
        'is_first_start',
        'max_connections',
        'max_header_fields',
        'max_pipelined',
        'max_reply_bytes',
        'max_ttl_s',
        'name',
        'peer_port',
        'peers',
        'readiness',
        'regions',
        'reply_memory_bytes',
        'seeds',
        'stable_ms',
        'store',
        'zone',
    )

    def __init__(
        self,
        name: str,
        host: str,
        zone: str,
        regions: dict[str, str],
        seeds: tuple[str, ...],
        peer_port: int,
        callers: Address | None,
        readiness: Address | None,
        peers: Address | None,
        directory: Address | None,
        store: Address,
        budget: BudgetRules,
        grace_ms: float,
        max_ttl_s: float,
        capacity_millicores: int = 1000,
        max_reply_bytes: int = MAX_REPLY_BYTES,
        reply_memory_bytes: int = DEFAULT_REPLY_MEMORY_BYTES,
        is_first_start: bool = True,
        stable_ms: float | None = None,
        has_short_goals: bool = False,
        cold_rules: ColdRules | None = None,
        balances_by_work: bool = False,
        held_memory_bytes: int = DEFAULT_HELD_MEMORY_BYTES,
        max_connections: int = DEFAULT_MAX_CONNECTIONS,
        max_header_fields: int = DEFAULT_MAX_HEADER_FIELDS,
        max_pipelined: int = DEFAULT_MAX_PIPELINED,
    ):
        self.cold_rules = cold_rules or ColdRules()
        self.stable_ms = stable_ms
        self.has_short_goals = has_short_goals
        self.balances_by_work = balances_by_work
        self.is_first_start = is_first_start
        self.name = name
        self.host = host
        self.zone = zone
        self.regions = regions
        self.seeds = seeds
        self.peer_port = peer_port
        self.callers = callers
        self.readiness = readiness
        self.peers = peers
        self.directory = directory
        self.store = store
        self.budget = budget
        self.grace_ms = grace_ms
        self.max_ttl_s = max_ttl_s
        self.capacity_millicores = capacity_millicores
        self.max_reply_bytes = max_reply_bytes
        self.reply_memory_bytes = reply_memory_bytes
        self.held_memory_bytes = held_memory_bytes
        self.max_connections = max_connections
        self.max_header_fields = max_header_fields
        self.max_pipelined = max_pipelined
