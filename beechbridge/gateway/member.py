"""One VM of the fleet, as the others know it."""

from ..record import Record


class Member(Record):
    """
    One VM of the fleet.

    :param incarnation: increases with every start of its process
    :param heartbeat: counter that increases while the process runs
    :param is_serving: whether it takes requests of callers
    :param capacity_millicores: available CPU in thousandths of a core
    :param reaches_store: whether it can reach the store
    :param reaches_replicas: whether it can reach any replica, as far as it knows
    :param rate_per_s: requests per second that it sends to replicas
    :param is_active: whether callers are directed to it
    :param last_heartbeat_ms: time in milliseconds when its heartbeat last increased
    :param age_ms: age of the record in milliseconds when its sender sent it, 0 if it does not say
    :param is_heard: whether it has sent a heartbeat to this VM itself
    """

    __slots__ = (
        'age_ms',
        'capacity_millicores',
        'heartbeat',
        'host',
        'incarnation',
        'is_active',
        'is_heard',
        'is_serving',
        'last_heartbeat_ms',
        'name',
        'rate_per_s',
        'reaches_replicas',
        'reaches_store',
        'zone',
    )

    def __init__(
        self,
        name: str,
        host: str,
        zone: str,
        incarnation: int,
        heartbeat: int = 0,
        capacity_millicores: int = 1000,
    ):
        self.name = name
        self.host = host
        self.zone = zone
        self.incarnation = incarnation
        self.heartbeat = heartbeat
        self.capacity_millicores = capacity_millicores
        self.is_serving = False
        self.is_active = False
        self.is_heard = False
        self.reaches_store = False
        self.reaches_replicas = True
        self.rate_per_s = 0.0
        self.last_heartbeat_ms = 0.0
        self.age_ms = 0.0

    def age_at(self, now_ms: float) -> float:
        """Return the time in milliseconds since its heartbeat increased, as far as it is known."""
        return max(0.0, now_ms - self.last_heartbeat_ms)
