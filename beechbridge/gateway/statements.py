"""What replicas state about themselves in their replies."""

from ..record import Record


class LoadReport(Record):
    """
    Load that a replica reports in one reply.

    :param running: requests that it is processing
    :param waiting: requests in its queue
    :param slots: requests that it processes at the same time
    :param pace_percent: how long work takes there now, 100 as usual
    """

    __slots__ = ('pace_percent', 'running', 'slots', 'waiting')

    def __init__(self, running: int, waiting: int, slots: int, pace_percent: float = 100.0):
        self.running = running
        self.waiting = waiting
        self.slots = slots
        self.pace_percent = pace_percent


class Notice(Record):
    """
    What a replica states about itself in one reply.

    :param limit_per_s: requests per second that it accepts from all VMs together, None if it
        names no limit
    :param is_limit_unreadable: it names a limit that is no number, so the earlier one stays
    :param is_leaving: it is about to stop and wants no new requests
    :param retry_after_ms: milliseconds for which it wants no requests of this VM, None if it has
        not said so
    :param cold_ms: milliseconds for which it stays cold, 0 if it is warm, None if it has not said
        either
    :param load: its load, None if it has not reported it
    """

    __slots__ = (
        'cold_ms',
        'is_leaving',
        'is_limit_unreadable',
        'limit_per_s',
        'load',
        'retry_after_ms',
    )

    def __init__(
        self,
        limit_per_s: float | None = None,
        is_limit_unreadable: bool = False,
        is_leaving: bool = False,
        retry_after_ms: float | None = None,
        cold_ms: float | None = None,
        load: LoadReport | None = None,
    ):
        self.cold_ms = cold_ms
        self.load = load
        self.limit_per_s = limit_per_s
        self.is_limit_unreadable = is_limit_unreadable
        self.is_leaving = is_leaving
        self.retry_after_ms = retry_after_ms
