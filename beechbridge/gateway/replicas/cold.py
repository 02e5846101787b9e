"""
Cold replicas: when a replica is cold, and how many requests it may get meanwhile.

Pure functions and records. The bound holds for any second and all VMs together; the permits of
the keepers of limits enforce it.
"""

from ...record import Record
from ..permits import PERMIT_LIFETIME_MS

MESSAGE_DELAY_S = 0.1
"""Time by which the ways of the answer with a permit and of the request that uses it may differ: a
keeper's answer counts for 25 ms and a round trip, and a new connection takes two round trips."""

SPREAD_S = 1.0 + PERMIT_LIFETIME_MS / 1000.0 + MESSAGE_DELAY_S
"""Time in which the permits were granted whose requests arrive in one second."""

LEAST_BURST = 1.0
"""Permits that a bucket holds at least: with less than one it would never grant any."""

LEAST_RATE_PER_S = 0.05
"""Rate used in place of a lower one, so that a replica with little slack still warms up."""


REPORT_MS = 2_500.0
"""Time after a VM has learned that a replica is cold in which it reports that: by then a keeper
that ended has been replaced."""

REPEAT_MS = 500.0
"""Interval of its reports: a datagram may be lost."""


class ColdRules(Record):
    """
    How far the requests to a cold replica may exceed the rate that it tolerates.

    A replica that tolerates r requests per second must not get more than r times `excess` plus
    `slack` in any second.
    """

    __slots__ = ('excess', 'slack')

    def __init__(self, excess: float = 1.0, slack: float = 1.0):
        self.excess = excess
        self.slack = slack


class ColdLimit(Record):
    """Rate and burst of the permits for a cold replica."""

    __slots__ = ('burst', 'rate_per_s')

    def __init__(self, rate_per_s: float, burst: float):
        self.rate_per_s = rate_per_s
        self.burst = burst


def bound_per_second(cold_rate_per_s: float, rules: ColdRules) -> float:
    """Return how many requests a cold replica may get in one second."""
    return cold_rate_per_s * rules.excess + rules.slack


def permit_rate(cold_rate_per_s: float, rules: ColdRules) -> float:
    """
    Return the permits per second for a cold replica.

    That is the rate that it tolerates, unless burst and rate together would exceed the bound.
    """
    most_per_s = (bound_per_second(cold_rate_per_s, rules) - LEAST_BURST) / SPREAD_S
    return max(LEAST_RATE_PER_S, min(cold_rate_per_s, most_per_s))


def permit_burst(cold_rate_per_s: float, rules: ColdRules) -> float:
    """Return how many permits for a cold replica may be granted at once: what the rate leaves."""
    rate_per_s = permit_rate(cold_rate_per_s, rules)
    return max(LEAST_BURST, bound_per_second(cold_rate_per_s, rules) - SPREAD_S * rate_per_s)


def make_limit(cold_rate_per_s: float, rules: ColdRules) -> ColdLimit:
    """Return rate and burst of the permits for a replica that tolerates a rate while cold."""
    return ColdLimit(permit_rate(cold_rate_per_s, rules), permit_burst(cold_rate_per_s, rules))


class Coldness(Record):
    """
    What one incarnation of a replica has said about being cold, in its entry and its replies.

    Times are in milliseconds.

    :param entry_until_ms: when it will be warm by its entry
    :param reply_until_ms: when it will be warm by its replies
    :param reported_ms: when this VM last reported it
    :param since_ms: when this VM first heard that it is cold, since it was last warm
    :param stated_ms: when this VM last heard that it is cold
    """

    __slots__ = ('entry_until_ms', 'reply_until_ms', 'reported_ms', 'since_ms', 'stated_ms')

    def __init__(self):
        self.entry_until_ms = 0.0
        self.reply_until_ms = 0.0
        self.reported_ms = 0.0
        self.since_ms = 0.0
        self.stated_ms = 0.0

    @property
    def until_ms(self) -> float:
        """Return when it will be warm."""
        return max(self.entry_until_ms, self.reply_until_ms)

    def is_cold(self, now_ms: float) -> bool:
        """Return whether it is cold."""
        return now_ms < self.until_ms

    def record_entry(self, cold_left_ms: float, now_ms: float) -> None:
        """Record what its entry says; an entry may be older than a reply and does not end that."""
        if cold_left_ms > 0.0:
            self.state_cold(now_ms)
        self.entry_until_ms = now_ms + cold_left_ms

    def record_reply(self, cold_ms: float, sent_ms: float, now_ms: float) -> None:
        """
        Record what a reply says.

        Replies over several connections overtake each other: only one to a request that was sent
        after the replica was last said to be cold can end that, or end it earlier.

        :param sent_ms: time in milliseconds when the request was sent
        """
        is_latest = sent_ms >= self.stated_ms
        until_ms = now_ms + cold_ms
        if cold_ms > 0.0:
            self.state_cold(now_ms)
        if is_latest:
            self.reply_until_ms = until_ms
            self.entry_until_ms = min(self.entry_until_ms, until_ms)
        elif cold_ms > 0.0:
            self.reply_until_ms = max(self.reply_until_ms, until_ms)

    def record_report(self, left_ms: float, now_ms: float) -> None:
        """Record what another VM says; it does not end earlier than what a reply has said."""
        self.state_cold(now_ms)
        self.reply_until_ms = max(self.reply_until_ms, now_ms + left_ms)

    def is_report_due(self, now_ms: float) -> bool:
        """Return whether other VMs are to be told: at first, and again in case that was lost."""
        if not self.is_cold(now_ms):
            return False
        if self.reported_ms < self.since_ms:
            return True
        is_early = now_ms - self.since_ms < REPORT_MS
        return is_early and now_ms - self.reported_ms >= REPEAT_MS

    def state_cold(self, now_ms: float) -> None:
        """Record that the replica is said to be cold."""
        if not self.is_cold(now_ms):
            self.since_ms = now_ms
        self.stated_ms = now_ms
