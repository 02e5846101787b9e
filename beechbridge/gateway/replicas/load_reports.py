"""What is known of the work at a replica: its load report with its age, and its speed."""

import math

from ...record import Record
from ..statements import LoadReport
from .work_costs import limit_sample

SPEED_WEIGHT = 0.15
"""Weight of a new sample of a replica's speed: 5 samples show a replica that is far too slow."""

SPEED_HALF_LIFE_MS = 10_000.0
"""Half-life of a replica's speed, after which one that was slow is tried again."""

MAX_LOAD_AGE_MS = 1_000.0
"""Age at which a load report has no weight any more; it changes many times a second."""


class ReplicaLoad(Record):
    """
    Load report of a replica, as this VM received it.

    :param others: requests there that are not of this VM
    :param pace: how long work takes there, 1 as usual
    :param received_ms: time in milliseconds when it was received
    """

    __slots__ = ('others', 'pace', 'received_ms', 'running', 'slots', 'waiting')

    def __init__(self, report: LoadReport, own_count: int, received_ms: float):
        self.running = report.running
        self.waiting = report.waiting
        self.slots = report.slots
        self.pace = report.pace_percent / 100.0
        self.others = max(0, report.running + report.waiting - own_count)
        self.received_ms = received_ms

    def weight(self, now_ms: float) -> float:
        """Return its weight, which falls with its age from 1 to 0."""
        return max(0.0, 1.0 - (now_ms - self.received_ms) / MAX_LOAD_AGE_MS)


class ReplicaWork:
    """
    What is known of the work at one incarnation of a replica.

    :param load: its latest load report, None if it has sent none
    :param log_speed: logarithm of the time it needs as a multiple of the usual one
    :param sampled_ms: time in milliseconds of the latest sample of its speed
    """

    __slots__ = ('load', 'log_speed', 'sampled_ms')

    def __init__(self):
        self.load: ReplicaLoad | None = None
        self.log_speed = 0.0
        self.sampled_ms = 0.0

    def time_factor(self, now_ms: float) -> float:
        """Return the time that work takes there now, as a multiple of the usual time."""
        factor = 1.0
        if self.log_speed:
            decay = 0.5 ** ((now_ms - self.sampled_ms) / SPEED_HALF_LIFE_MS)
            factor = math.exp(self.log_speed * decay)
        load = self.load
        if load is not None and load.pace != 1.0:
            factor *= 1.0 + load.weight(now_ms) * (load.pace - 1.0)
        return factor

    def learn(self, work_ms: float, expected_ms: float, now_ms: float) -> None:
        """Learn its speed from the work that a request took and that expected at usual speed."""
        decay = 0.5 ** ((now_ms - self.sampled_ms) / SPEED_HALF_LIFE_MS)
        sample = math.log(limit_sample(work_ms, expected_ms) / expected_ms)
        self.log_speed *= decay
        self.log_speed += SPEED_WEIGHT * (sample - self.log_speed)
        self.sampled_ms = now_ms

    def describe(self, now_ms: float) -> dict:
        """Return its fields for the state dump; none while nothing is known."""
        fields = {}
        if self.sampled_ms:
            fields['time_factor'] = round(self.time_factor(now_ms), 2)
        load = self.load
        if load is not None:
            fields['load'] = f'{load.running},{load.waiting},{load.slots},{load.pace:.0%}'
            fields['load_age_ms'] = round(now_ms - load.received_ms)
            fields['others'] = load.others
        return fields
