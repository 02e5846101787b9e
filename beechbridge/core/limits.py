"""Resource limits of one process, from its settings."""

from ..record import Record


class Limits(Record):
    """
    Limits on the work that the process accepts.

    :param active_queries: maximum queries in progress
    :param queue_length: maximum attempts queued for one replica
    :param tickets: maximum entries in the ticket table
    :param ticket_keep_ms: how long an unused ticket remains usable
    :param outcome_keep_ms: how long a ticket's outcome is kept to answer retries
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
