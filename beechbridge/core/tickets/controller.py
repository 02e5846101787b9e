"""
Controller of tickets: at most one execution of each non-idempotent request.

A ticket names the one process that may run its request. That process decides from a table in
its memory; no lease, clock or shared state takes part. Where the issuer cannot be asked the
outcome is `unknown`, and a refusal spends the ticket, so that it stays true.
"""

from ...actions import AnswerCaller, SendPeer
from ...events import RequestArrived, TicketWanted
from ...failures import AttemptFailure, Executed, Failure, Reason, not_run, unknown
from ...messages import RelayedOutcome, RelayedRequest, Reply, ReplyStatus, ShardRequest
from ...models import Done, Outcome, Ticket, TicketedRequest, TicketGrant, VmIdentity
from ..requests.attempts import Attempt, build_message, on_dropped, on_failure, on_reply
from ..surface import CoreSurface
from .ticket_state import (
    ForgetTimer,
    LocalWaiter,
    Relay,
    RelayTimer,
    RelayWaiter,
    Run,
    RunDeadlineTimer,
    RunRetryTimer,
    TicketEntry,
    TicketState,
)

TICKET_URGENCY = 100

RELAY_REPEAT_MS = 300.0

LEAST_KEEP_MS = 500.0
"""Shortest time a ticket must stay usable to be worth giving out."""

RETRY_PAUSE_MS = 20.0

RETRY_LATER_MS = 1_000

LEAST_RUN_MS = 100.0
"""Time that a run needs before its deadline to be tried again after a refusal."""

NOT_RUN_STATUSES = frozenset(
    (ReplyStatus.SHED, ReplyStatus.DRAINING, ReplyStatus.MOVED, ReplyStatus.NOT_YET)
)


class TicketsController:
    """Tickets of this process, runs under way, and requests relayed to other issuers."""

    __slots__ = ('entries', 'next_relay', 'relays', 'runs')

    def __init__(self):
        self.entries: dict[str, TicketEntry] = {}
        self.runs: dict[str, Run] = {}
        self.relays: dict[str, Relay] = {}
        self.next_relay = 0

    def issue(self, back_end: str, core: CoreSurface) -> TicketGrant | Failure:
        """Mint a ticket, if it can be kept."""
        failure = core.refuse_if_not_ready()
        if failure is not None:
            return failure
        if back_end not in core.configuration.current.back_ends:
            return not_run(Reason.UNKNOWN_BACK_END, f'no back end {back_end!r}')
        keep_ms = min(core.limits.ticket_keep_ms, core.stopping.remaining_ms(core))
        if keep_ms < LEAST_KEEP_MS:
            return not_run(Reason.STOPPING, 'this VM stops; use another address', 1)
        if len(self.entries) >= core.limits.tickets:
            return not_run(Reason.TICKET_TABLE_FULL, 'too many tickets are open', 1000)
        number = format(core.rng.getrandbits(96), '024x')
        # Relays and clocks lag, so an entry outlives the time that the caller is told.
        until_ms = core.now_ms + 2 * keep_ms
        self.entries[number] = TicketEntry(number, back_end, until_ms)
        core.timers.arm(until_ms, ForgetTimer(number))
        core.counters.add('tickets_issued')
        return TicketGrant(Ticket(core.identity, number), int(keep_ms))

    def take_request(self, request_id: str, request: TicketedRequest, core: CoreSurface) -> None:
        """Run a caller's request, or relay it to the ticket's issuer."""
        issuer = request.ticket.issuer
        if issuer == core.identity:
            self.run_once(LocalWaiter(request_id), request, core)
            return
        failure = self.refuse_relay(issuer, core)
        if failure is not None:
            core.act(AnswerCaller(request_id, failure))
            return
        self.next_relay += 1
        relay_id = f'{core.identity.incarnation:x}-{self.next_relay:x}'
        until_ms = core.now_ms + request.deadline_ms
        relay = Relay(relay_id, request_id, request, until_ms)
        self.relays[relay_id] = relay
        self.send_relay(relay, core)

    def refuse_relay(self, issuer: VmIdentity, core: CoreSurface) -> Failure | None:
        """Say `unknown` at once where the issuing process is gone for good."""
        if issuer.name == core.identity.name:
            return unknown(Reason.ISSUER_RESTARTED, 'the issuing process is gone')
        member = core.membership.members.get(issuer.name)
        if member is not None and member.identity.incarnation > issuer.incarnation:
            return unknown(Reason.ISSUER_RESTARTED, 'the issuing process is gone')
        if core.membership.find_vm(issuer.name) is None:
            return unknown(Reason.ISSUER_UNREACHABLE, 'the issuing VM is not on the list')
        return None

    def send_relay(self, relay: Relay, core: CoreSurface) -> None:
        """Send or repeat a relay; the issuer's table makes repeats harmless."""
        vm = core.membership.find_vm(relay.issuer.name)
        if vm is not None:
            core.counters.add('relays_sent')
            remaining_ms = max(1, int(relay.deadline_at_ms - core.now_ms))
            request = TicketedRequest(
                relay.request.ticket,
                relay.request.back_end,
                relay.request.key,
                relay.request.body,
                remaining_ms,
            )
            core.act(SendPeer(vm, RelayedRequest(relay.relay_id, request)))
        due_ms = min(core.now_ms + RELAY_REPEAT_MS, relay.deadline_at_ms)
        core.timers.arm(due_ms, RelayTimer(relay.relay_id))

    def finish_relay(self, relay: Relay, outcome: Outcome, core: CoreSurface) -> None:
        """Give the caller the outcome."""
        del self.relays[relay.relay_id]
        core.act(AnswerCaller(relay.request_id, outcome))
        core.stopping.check(core)

    def take_relayed(self, message: RelayedRequest, sender: VmIdentity, core: CoreSurface) -> None:
        """Run a request that another VM passed on."""
        waiter = RelayWaiter(sender.name, message.relay_id)
        if message.request.ticket.issuer != core.identity:
            outcome = unknown(Reason.ISSUER_RESTARTED, 'the issuing process is gone')
            self.tell(waiter, outcome, core)
            return
        self.run_once(waiter, message.request, core)

    def take_outcome(self, message: RelayedOutcome, sender: VmIdentity, core: CoreSurface) -> None:
        """Take the outcome of a relayed request from its issuer."""
        relay = self.relays.get(message.relay_id)
        if relay is None or sender.name != relay.issuer.name:
            core.counters.add('outcomes_unexpected')
            return
        self.finish_relay(relay, message.outcome, core)

    def run_once(self, waiter, request: TicketedRequest, core: CoreSurface) -> None:
        """Start the run of a ticket, or join the one under way, or repeat its outcome."""
        entry = self.entries.get(request.ticket.number)
        if entry is None:
            # A forgotten ticket may have run, and nothing here can tell.
            core.counters.add('tickets_forgotten_used')
            self.tell(waiter, unknown(Reason.TICKET_FORGOTTEN, 'ticket not in the table'), core)
            return
        if entry.state is TicketState.SETTLED:
            core.counters.add('tickets_repeated')
            self.tell(waiter, entry.outcome, core)
            return
        if entry.state is TicketState.RUNNING:
            core.counters.add('tickets_repeated')
            if waiter not in entry.waiting:
                entry.waiting.append(waiter)
            return
        entry.waiting.append(waiter)
        self.start_run(entry, request, core)

    def start_run(self, entry: TicketEntry, request: TicketedRequest, core: CoreSurface) -> None:
        """Run a ticket's request at the shard that holds its key."""
        entry.state = TicketState.RUNNING
        deadline_at_ms = core.now_ms + request.deadline_ms
        run = Run(entry, request, deadline_at_ms)
        self.runs[entry.number] = run
        if request.back_end != entry.back_end:
            detail = f'the ticket is for back end {entry.back_end!r}'
            self.settle(run, not_run(Reason.TICKET_BACK_END, detail), core)
            return
        core.timers.arm(deadline_at_ms, RunDeadlineTimer(entry.number))
        self.try_replica(run, core)

    def try_replica(self, run: Run, core: CoreSurface) -> None:
        """Send the request to one replica, over a new connection."""
        if run.tried and run.deadline_at_ms - core.now_ms < LEAST_RUN_MS:
            detail = 'every replica refused and too little time is left'
            self.settle(run, not_run(run.reason, detail, RETRY_LATER_MS), core)
            return
        back_end = core.configuration.current.back_ends.get(run.request.back_end)
        if back_end is None:
            self.settle(run, not_run(Reason.UNKNOWN_BACK_END, 'the back end was removed'), core)
            return
        _, shard_map = back_end.shard_maps[0]
        run.shard = shard_map.shard_of(run.request.key)
        service = back_end.services[run.shard.service]
        state = core.upstreams.choose(service, 0, run.tried, TICKET_URGENCY, core)
        is_waiting = run.tried or core.upstreams.is_held_up(service, core)
        if state is None and not is_waiting:
            self.settle(run, not_run(Reason.NO_REPLICA, 'no replica takes work', 1000), core)
            return
        if state is None:
            due_ms = core.now_ms + RETRY_PAUSE_MS * core.rng.uniform(0.5, 1.5)
            core.timers.arm(due_ms, RunRetryTimer(run.entry.number))
            return
        attempt_id = core.upstreams.new_attempt_id(core)
        replica_id = state.replica.replica_id
        run.attempt = Attempt(
            attempt_id, replica_id, run, TICKET_URGENCY, run.deadline_at_ms, fresh=True
        )
        core.upstreams.submit(state, run.attempt, core)

    def settle(self, run: Run, outcome: Outcome, core: CoreSurface) -> None:
        """Fix a ticket's outcome for good and tell everyone who waits."""
        entry = run.entry
        if entry.state is TicketState.SETTLED:
            return
        entry.state = TicketState.SETTLED
        entry.outcome = outcome
        entry.until_ms = core.now_ms + core.limits.outcome_keep_ms
        core.timers.arm(entry.until_ms, ForgetTimer(entry.number))
        del self.runs[entry.number]
        label = outcome.executed.value if isinstance(outcome, Failure) else 'done'
        core.counters.add('outcomes', label)
        waiting, entry.waiting = entry.waiting, []
        for waiter in waiting:
            self.tell(waiter, outcome, core)
        core.stopping.check(core)

    def tell(self, waiter, outcome: Outcome, core: CoreSurface) -> None:
        """Give an outcome to a caller here, or to the VM that relayed for one."""
        if isinstance(waiter, LocalWaiter):
            core.act(AnswerCaller(waiter.request_id, outcome))
            return
        vm = core.membership.find_vm(waiter.vm_name)
        if vm is not None:
            core.act(SendPeer(vm, RelayedOutcome(waiter.relay_id, outcome)))

    def is_idle(self) -> bool:
        """Tell whether no run or relay is under way."""
        return not self.runs and not self.relays

    def describe(self) -> dict:
        """Return the state for a dump."""
        counts = {state.value: 0 for state in TicketState}
        for entry in self.entries.values():
            counts[entry.state.value] += 1
        return {'entries': counts, 'runs': len(self.runs), 'relays': len(self.relays)}


def handle_ticket_wanted(event: TicketWanted, core: CoreSurface) -> None:
    """Answer a caller with a ticket."""
    core.act(AnswerCaller(event.request_id, core.tickets.issue(event.back_end, core)))


def handle_request(event: RequestArrived, core: CoreSurface) -> None:
    """Take a ticketed request from a caller."""
    core.tickets.take_request(event.request_id, event.request, core)


def fire_run_deadline(timer: RunDeadlineTimer, core: CoreSurface) -> None:
    """Settle a run at its deadline: unknown if it was sent, not run and spent if it was not."""
    run = core.tickets.runs.get(timer.number)
    if run is None:
        return
    attempt = run.attempt
    if attempt is not None:
        core.upstreams.cancel(attempt, core)
    if attempt is not None and attempt.sent_ms is not None:
        core.tickets.settle(run, unknown(Reason.DEADLINE, 'no reply by the deadline'), core)
        return
    core.tickets.settle(run, not_run(run.reason, 'not sent by the deadline'), core)


def fire_run_retry(timer: RunRetryTimer, core: CoreSurface) -> None:
    """Try a run again that certainly has not run."""
    run = core.tickets.runs.get(timer.number)
    if run is None or run.attempt is not None:
        return
    if run.deadline_at_ms - core.now_ms >= LEAST_RUN_MS:
        run.tried.clear()
    core.tickets.try_replica(run, core)


def fire_relay(timer: RelayTimer, core: CoreSurface) -> None:
    """Repeat a relay, or give it up at its deadline."""
    relay = core.tickets.relays.get(timer.relay_id)
    if relay is None:
        return
    failure = core.tickets.refuse_relay(relay.issuer, core)
    if failure is None and core.now_ms >= relay.deadline_at_ms:
        failure = unknown(Reason.ISSUER_UNREACHABLE, 'the issuing VM did not answer in time')
    if failure is not None:
        core.tickets.finish_relay(relay, failure, core)
        return
    core.tickets.send_relay(relay, core)


def fire_forget(timer: ForgetTimer, core: CoreSurface) -> None:
    """Forget a ticket that was never used, or whose outcome was kept long enough."""
    entry = core.tickets.entries.get(timer.number)
    if entry is None or entry.until_ms > core.now_ms:
        return
    if entry.state is not TicketState.RUNNING:
        del core.tickets.entries[timer.number]


@build_message.register
def build_request(owner: Run, attempt: Attempt, core: CoreSurface) -> ShardRequest:
    """Send the request itself."""
    return ShardRequest(
        owner.entry.number,
        owner.request.back_end,
        owner.shard,
        owner.request.key,
        owner.request.body,
        max(1.0, owner.deadline_at_ms - core.now_ms),
    )


@on_dropped.register
def note_run_dropped(owner: Run, attempt: Attempt, reason: Reason, core: CoreSurface) -> None:
    """Try another replica: nothing was sent. At the deadline its timer settles the run."""
    owner.attempt = None
    owner.reason = reason
    if reason is Reason.DEADLINE:
        return
    owner.tried.add(attempt.replica_id)
    core.tickets.try_replica(owner, core)


@on_reply.register
def take_run_reply(owner: Run, attempt: Attempt, reply: Reply, core: CoreSurface) -> None:
    """Settle the run, or go on where the upstream says that it did not run."""
    if reply.status is ReplyStatus.DONE and reply.request_id == owner.entry.number:
        core.tickets.settle(owner, Done(reply.snapshot, reply.result), core)
        return
    if reply.executed or reply.status not in NOT_RUN_STATUSES:
        detail = f'the upstream answered {reply.status.value}'
        core.tickets.settle(owner, unknown(Reason.UPSTREAM_ERROR, detail), core)
        return
    owner.attempt = None
    owner.reason = Reason.SHED if reply.status is ReplyStatus.SHED else Reason.DRAINING
    owner.tried.add(attempt.replica_id)
    core.tickets.try_replica(owner, core)


@on_failure.register
def take_run_failure(
    owner: Run, attempt: Attempt, failure: AttemptFailure, core: CoreSurface
) -> None:
    """Go on only where no byte of the request can have left."""
    if failure.executed is not Executed.NOT_RUN:
        core.tickets.settle(owner, unknown(failure.reason, failure.detail), core)
        return
    owner.attempt = None
    owner.reason = failure.reason
    owner.tried.add(attempt.replica_id)
    core.tickets.try_replica(owner, core)
