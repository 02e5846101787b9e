"""What clients' connections hold of a process's memory; turns some away if it is too much."""

from collections.abc import Callable

from ..gateway.models import Answer, ForwardedAnswer, MergedAnswer, PartsAnswer
from .caller_channel import SINGLE_READ_BYTES, CallerChannel
from .clock import read_clock_ms
from .held_memory import HeldMemory
from .memory_account import ANSWERS, BODIES, HEADS, LEAST_URGENT, MemoryAccount, TurnedAway
from .refusals import RefusalLog, RequestMemoryError


def measure_answer(answer: Answer) -> int:
    """Return the size of the body of an answer that waits to be written, 0 if it is small."""
    if isinstance(answer, ForwardedAnswer):
        byte_count = len(answer.reply.body)
    else:
        byte_count = len(answer.body) if isinstance(answer, (MergedAnswer, PartsAnswer)) else 0
    return byte_count if byte_count > SINGLE_READ_BYTES else 0


class ClientMemory:
    """
    The heads, bodies and answers of clients' connections in the account of a process.

    :param heads: heads of requests, as far as they have arrived, until these are answered
    :param received: requests that are too large for a single read
    :param unsent: answers that their callers do not take as fast as they are written
    :param find_urgency: returns the priority of the route for a host and a path
    """

    __slots__ = ('account', 'find_urgency', 'heads', 'received', 'refusals', 'unsent')

    def __init__(
        self,
        account: MemoryAccount,
        refusals: RefusalLog,
        answer_memory_bytes: int | None,
        request_memory_bytes: int | None,
    ):
        self.account = account
        self.refusals = refusals
        self.find_urgency: Callable[[str, str], int] = lambda host, path: LEAST_URGENT
        # What was received in full may be running: it is counted, but not given up.
        self.heads = HeldMemory(None, is_incomplete, account, HEADS)
        self.received = HeldMemory(request_memory_bytes, is_incomplete, account, BODIES)
        self.unsent = HeldMemory(answer_memory_bytes, lambda one: True, account, ANSWERS)

    def hold_head(self, channel: CallerChannel) -> bool:
        """
        Count a head that is complete; return False if there is no room for it.

        Call in the server's thread, with the lock of the connection's requests held.
        """
        now_ms = read_clock_ms()
        has_room = True
        for one in self.heads.take(channel, channel.head_bytes(), now_ms, LEAST_URGENT):
            if one.channel is channel and one.purpose is not ANSWERS:
                self.log(one, now_ms)
                has_room = False
                self.recount_earlier(channel, channel.request.head_cost_bytes, now_ms)
                continue
            self.turn_away(one, now_ms)
        return has_room

    def hold_partial_head(self, channel: CallerChannel) -> None:
        """Count a head that comes in; turn others away if there is too little memory."""
        self.hold(self.heads, channel, channel.head_bytes(), LEAST_URGENT)

    def hold_request(self, channel: CallerChannel) -> None:
        """Count a body that comes in; turn others away if there is too little memory."""
        self.hold(self.received, channel, channel.received_bytes(), channel.urgency)

    def hold_unsent(self, channel: CallerChannel) -> bool:
        """
        Count an answer that its caller did not take at once; return whether a limit is exceeded.

        Worker threads call this. They turn nobody away, because an incomplete request may be
        completed by the server's thread meanwhile.
        """
        byte_count = channel.held_bytes()
        is_exceeded = self.unsent.note(channel, byte_count, read_clock_ms(), channel.urgency)
        if not channel.total_outbufs_len:
            # It was sent, or its connection closed, before it was counted.
            self.unsent.release(channel)
        return is_exceeded

    def hold(
        self, part: HeldMemory, channel: CallerChannel, byte_count: int, urgency: int
    ) -> None:
        """Count what a connection holds, and turn away whom that leaves no room for."""
        now_ms = read_clock_ms()
        self.turn_all_away(part.take(channel, byte_count, now_ms, urgency), now_ms)

    def relieve(self) -> None:
        """Turn connections away after replies have taken too much; call in the server's thread."""
        now_ms = read_clock_ms()
        self.turn_all_away(self.account.relieve(now_ms), now_ms)

    def turn_all_away(self, turned_away: list[TurnedAway], now_ms: float) -> None:
        """Turn connections away, and more of them if that gives back less than was counted."""
        while turned_away:
            for one in turned_away:
                self.turn_away(one, now_ms)
            turned_away = self.account.relieve(now_ms)

    def turn_away(self, one: TurnedAway, now_ms: float) -> None:
        """Reject an incomplete request, or break off an answer."""
        channel = one.channel
        self.log(one, now_ms)
        if one.purpose is ANSWERS:
            channel.break_off()
            return
        channel.reject_request(RequestMemoryError('no memory for the rest of the request'))
        with channel.requests_lock:
            self.recount_earlier(channel, 0, now_ms)

    def recount_earlier(self, channel: CallerChannel, rejected_bytes: int, now_ms: float) -> None:
        """
        Count again the earlier requests of a connection whose latest one was rejected.

        They may be running. Call with the lock of the connection's requests held.

        :param rejected_bytes: size of the head that was rejected, if it is still there
        """
        for part, byte_count in (
            (self.heads, channel.head_bytes() - rejected_bytes),
            (self.received, channel.received_bytes()),
        ):
            if byte_count > 0 and channel.connected:
                part.note(channel, byte_count, now_ms, channel.urgency)

    def log(self, one: TurnedAway, now_ms: float) -> None:
        """Log who is turned away, and for what."""
        fields = {
            'bytes': one.holding.byte_count,
            'ms': round(now_ms - one.holding.since_ms),
            'limit_bytes': one.limit_bytes,
        }
        if one.purpose is ANSWERS:
            answer = {'request': one.channel.answered_id, 'unsent': one.channel.total_outbufs_len}
            self.refusals.add('answer_given_up', 'memory_answers', {**answer, **fields})
            return
        fields['caller'] = one.channel.addr[0]
        self.refusals.add('request_unread', f'memory_{one.purpose}', fields)

    def recount_requests(self, channel: CallerChannel) -> None:
        """Count what is left once a request was served or rejected."""
        if not channel.requests and channel.request is None and not self.received.by_channel:
            # The usual case, with nothing left to count.
            self.heads.release(channel)
            return
        for part, byte_count in (
            (self.heads, channel.head_bytes()),
            (self.received, channel.received_bytes()),
        ):
            if byte_count and channel.connected:
                part.shrink(channel, byte_count)
            elif channel in part.by_channel:
                part.release(channel)

    def release(self, channel: CallerChannel) -> None:
        """Stop counting a connection that is closed."""
        for part in (self.heads, self.received, self.unsent):
            part.release(channel)


def is_incomplete(channel: CallerChannel) -> bool:
    """Return whether a connection has a request that was not received in full."""
    return channel.request is not None
