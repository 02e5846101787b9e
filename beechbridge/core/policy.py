"""What the core decides by: the current policy, and a naive one to measure it against."""

from ..record import Record


class Policy(Record):
    """
    Switches of the decisions under load and faults.

    :param balances: choose the cheaper of two replicas rather than any
    :param hedges: ask a second replica when the first is slow
    :param orders: serve queues by urgency and deadline rather than as they come
    :param admits: refuse what would be late or exceeds the active queries
    :param adapts: move the windows rather than use the whole share at once
    :param stall_timeout_ms: fixed time-out of an exchange, or None to follow the latency
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
