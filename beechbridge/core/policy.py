"""Decision policies: the current one, and a naive one as a baseline for benchmarks."""

from ..record import Record


class Policy(Record):
    """
    Switches for the behaviour under load and faults.

    :param balances: choose the cheaper of two random replicas rather than any
    :param hedges: send a hedge to a second replica if the first is slow
    :param orders: order queues by urgency and deadline rather than by arrival
    :param admits: reject queries that would be late or exceed the limit of active queries
    :param adapts: adapt the concurrency windows rather than always use the whole share
    :param stall_timeout_ms: fixed timeout of an exchange, or None to derive it from the latency
    """

    __slots__ = ('adapts', 'admits', 'balances', 'hedges', 'name', 'orders', 'stall_timeout_ms')

    def __init__(
        self,
        name: str,
        balances: bool,
        hedges: bool,
        orders: bool,
        admits: bool,
        adapts: bool,
        stall_timeout_ms: float | None,
    ):
        self.name = name
        self.balances = balances
        self.hedges = hedges
        self.orders = orders
        self.admits = admits
        self.adapts = adapts
        self.stall_timeout_ms = stall_timeout_ms


CURRENT = Policy('current', True, True, True, True, True, None)
NAIVE = Policy('naive', False, False, False, False, False, 1000.0)
POLICIES = {policy.name: policy for policy in (CURRENT, NAIVE)}
