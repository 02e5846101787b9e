"""Limits of one process, taken from its settings."""

from ..record import Record


class Limits(Record):
    """
    Bounds on what the process takes on.

    :param active_queries: queries worked on at once
    :param queue_length: sub-requests that wait for one replica at most
    :param tickets: entries of the ticket table at most
    :param ticket_keep_ms: how long an unused ticket stays usable
    :param outcome_keep_ms: how long the outcome of a ticket is kept for repeats
    """

    __slots__ = (
        'active_queries',
        'outcome_keep_ms',
        'queue_length',
        'ticket_keep_ms',
        'tickets',
    )

    def __init__(
        self,
        active_queries: int = 400,
        queue_length: int = 64,
        tickets: int = 10_000,
        ticket_keep_ms: int = 10_000,
        outcome_keep_ms: int = 600_000,
    ):
        self.active_queries = active_queries
        self.queue_length = queue_length
        self.tickets = tickets
        self.ticket_keep_ms = ticket_keep_ms
        self.outcome_keep_ms = outcome_keep_ms
