"""
At-most-once execution of non-idempotent requests by tickets.

A ticket names the one process that may run its request. That process decides from a table in
its memory; no lease, clock or shared state is involved. If the issuer cannot be reached the
outcome is `unknown`. A rejection uses up the ticket, so that the request cannot run afterwards.
"""

from ...actions import AnswerCaller, SendPeer
from ...events import TicketedRequestReceived, TicketRequested
from ...failures import AttemptFailure, Executed, Failure, Reason, not_run, unknown
from ...messages import RelayedOutcome, RelayedRequest, Reply, ReplyStatus, ShardRequest
from ...models import Done, Outcome, Ticket, TicketedRequest, TicketGrant, VmIdentity
from ..interface import CoreInterface
from ..requests.attempts import Attempt, build_message, on_dropped, on_failure, on_reply
from .ticket_state import (
    LocalWaiter,
    Relay,
    RelayTimer,
    RelayWaiter,
    Run,
    RunDeadlineTimer,
    RunRetryTimer,
    TicketEntry,
    TicketExpiryTimer,
    TicketState,
)

TICKET_URGENCY = 100

RELAY_RETRY_MS = 300.0

MIN_KEEP_MS = 500.0
"""Minimum time for which a new ticket must stay usable; otherwise none is issued."""

RETRY_BACKOFF_MS = 20.0

RETRY_AFTER_MS = 1_000

MIN_RUN_MS = 100.0
"""Minimum time before its deadline for a rejected run to be retried."""

NOT_RUN_STATUSES = frozenset(
    (ReplyStatus.SHED, ReplyStatus.DRAINING, ReplyStatus.MOVED, ReplyStatus.NOT_YET)
)


class TicketsController:
    """Tickets of this process, active runs, and requests relayed to other issuers."""

    __slots__ = ('entries', 'next_relay', 'relays', 'runs')

    def __init__(self):
        self.entries: dict[str, TicketEntry] = {}
        self.runs: dict[str, Run] = {}
        self.relays: dict[str, Relay] = {}
        self.next_relay = 0

    def issue(self, back_end: str, core: CoreInterface) -> TicketGrant | Failure:
        """Issue a ticket if it can be kept for long enough."""
        failure = core.reject_if_not_ready()
        if failure is not None:
            return failure
        if back_end not in core.configuration.current.back_ends:
            return not_run(Reason.UNKNOWN_BACK_END, f'no back end {back_end!r}')
        keep_ms = min(core.limits.ticket_keep_ms, core.stopping.remaining_ms(core))
        if keep_ms < MIN_KEEP_MS:
            return not_run(Reason.STOPPING, 'this VM is stopping; use another address', 1)
        if len(self.entries) >= core.limits.tickets:
            return not_run(Reason.TICKET_TABLE_FULL, 'too many tickets are open', 1000)
        number = format(core.rng.getrandbits(96), '024x')
        # An entry outlives the time returned to the caller, as relays and clocks may lag.
        expires_ms = core.now_ms + 2 * keep_ms
        self.entries[number] = TicketEntry(number, back_end, expires_ms)
        core.timers.arm(expires_ms, TicketExpiryTimer(number))
        core.counters.add('tickets_issued')
        return TicketGrant(Ticket(core.identity, number), int(keep_ms))

    def handle_caller_request(
        self, request_id: str, request: TicketedRequest, core: CoreInterface
    ) -> None:
        """Run a caller's request, or relay it to the ticket's issuer."""
        issuer = request.ticket.issuer
        if issuer == core.identity:
            self.run_once(LocalWaiter(request_id), request, core)
            return
        failure = self.check_issuer(issuer, core)
        if failure is not None:
            core.act(AnswerCaller(request_id, failure))
            return
        self.next_relay += 1
        relay_id = f'{core.identity.incarnation:x}-{self.next_relay:x}'
        deadline_at_ms = core.now_ms + request.deadline_ms
        relay = Relay(relay_id, request_id, request, deadline_at_ms)
        self.relays[relay_id] = relay
        self.send_relay(relay, core)

    def check_issuer(self, issuer: VmIdentity, core: CoreInterface) -> Failure | None:
        """Return an `unknown` outcome if the issuing process is gone or its VM is not listed."""
        if issuer.name == core.identity.name:
            return unknown(Reason.ISSUER_RESTARTED, 'the issuing process is gone')
        member = core.membership.members.get(issuer.name)
        if member is not None and member.identity.incarnation > issuer.incarnation:
            return unknown(Reason.ISSUER_RESTARTED, 'the issuing process is gone')
        if core.membership.find_vm(issuer.name) is None:
            return unknown(Reason.ISSUER_UNREACHABLE, 'the issuing VM is not in the VM list')
        return None

    def send_relay(self, relay: Relay, core: CoreInterface) -> None:
        """Send or resend a relay; the issuer's table makes resending safe."""
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
        due_ms = min(core.now_ms + RELAY_RETRY_MS, relay.deadline_at_ms)
        core.timers.arm(due_ms, RelayTimer(relay.relay_id))

    def finish_relay(self, relay: Relay, outcome: Outcome, core: CoreInterface) -> None:
        """Remove a relay and answer its caller with the outcome."""
        del self.relays[relay.relay_id]
        core.act(AnswerCaller(relay.request_id, outcome))
        core.stopping.exit_if_idle(core)

    def handle_relayed_request(
        self, message: RelayedRequest, sender: VmIdentity, core: CoreInterface
    ) -> None:
        """Run a request relayed by another VM."""
        waiter = RelayWaiter(sender.name, message.relay_id)
        if message.request.ticket.issuer != core.identity:
            outcome = unknown(Reason.ISSUER_RESTARTED, 'the issuing process is gone')
            self.deliver_outcome(waiter, outcome, core)
            return
        self.run_once(waiter, message.request, core)

    def handle_relayed_outcome(
        self, message: RelayedOutcome, sender: VmIdentity, core: CoreInterface
    ) -> None:
        """Handle the outcome of a relayed request, as sent by its issuer."""
        relay = self.relays.get(message.relay_id)
        if relay is None or sender.name != relay.issuer.name:
            core.counters.add('outcomes_unexpected')
            return
        self.finish_relay(relay, message.outcome, core)

    def run_once(self, waiter, request: TicketedRequest, core: CoreInterface) -> None:
        """Start the run of a ticket, wait for the active one, or return its settled outcome."""
        entry = self.entries.get(request.ticket.number)
        if entry is None:
            # An expired ticket may have run; there is no record of it any more.
            core.counters.add('tickets_forgotten_used')
            self.deliver_outcome(
                waiter, unknown(Reason.TICKET_FORGOTTEN, 'ticket not in the table'), core
            )
            return
        if entry.state is TicketState.SETTLED:
            core.counters.add('tickets_repeated')
            self.deliver_outcome(waiter, entry.outcome, core)
            return
        if entry.state is TicketState.RUNNING:
            core.counters.add('tickets_repeated')
            if waiter not in entry.waiters:
                entry.waiters.append(waiter)
            return
        entry.waiters.append(waiter)
        self.start_run(entry, request, core)

    def start_run(self, entry: TicketEntry, request: TicketedRequest, core: CoreInterface) -> None:
        """Start the run of a ticket's request at the shard that holds its key."""
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

    def try_replica(self, run: Run, core: CoreInterface) -> None:
        """Send the request to one replica, over a new connection."""
        if run.tried_replicas and run.deadline_at_ms - core.now_ms < MIN_RUN_MS:
            detail = 'all replicas rejected the request and too little time is left to retry'
            self.settle(run, not_run(run.reason, detail, RETRY_AFTER_MS), core)
            return
        back_end = core.configuration.current.back_ends.get(run.request.back_end)
        if back_end is None:
            self.settle(run, not_run(Reason.UNKNOWN_BACK_END, 'the back end was removed'), core)
            return
        _, shard_map = back_end.shard_maps[0]
        run.shard = shard_map.shard_of(run.request.key)
        service = back_end.services[run.shard.service]
        state = core.upstreams.choose_replica(service, 0, run.tried_replicas, TICKET_URGENCY, core)
        should_wait = run.tried_replicas or core.upstreams.is_connection_limited(service, core)
        if state is None and not should_wait:
            self.settle(run, not_run(Reason.NO_REPLICA, 'no replica is available', 1000), core)
            return
        if state is None:
            due_ms = core.now_ms + RETRY_BACKOFF_MS * core.rng.uniform(0.5, 1.5)
            core.timers.arm(due_ms, RunRetryTimer(run.entry.number))
            return
        attempt_id = core.upstreams.new_attempt_id(core)
        replica_id = state.replica.replica_id
        run.attempt = Attempt(
            attempt_id, replica_id, run, TICKET_URGENCY, run.deadline_at_ms, requires_new=True
        )
        core.upstreams.submit(state, run.attempt, core)

    def settle(self, run: Run, outcome: Outcome, core: CoreInterface) -> None:
        """Set a ticket's final outcome and deliver it to all waiters."""
        entry = run.entry
        if entry.state is TicketState.SETTLED:
            return
        entry.state = TicketState.SETTLED
        entry.outcome = outcome
        entry.expires_ms = core.now_ms + core.limits.outcome_keep_ms
        core.timers.arm(entry.expires_ms, TicketExpiryTimer(entry.number))
        del self.runs[entry.number]
        label = outcome.executed.value if isinstance(outcome, Failure) else 'done'
        core.counters.add('outcomes', label)
        waiters, entry.waiters = entry.waiters, []
        for waiter in waiters:
            self.deliver_outcome(waiter, outcome, core)
        core.stopping.exit_if_idle(core)

    def deliver_outcome(self, waiter, outcome: Outcome, core: CoreInterface) -> None:
        """Send an outcome to a local caller, or to the VM that relayed the request."""
        if isinstance(waiter, LocalWaiter):
            core.act(AnswerCaller(waiter.request_id, outcome))
            return
        vm = core.membership.find_vm(waiter.vm_name)
        if vm is not None:
            core.act(SendPeer(vm, RelayedOutcome(waiter.relay_id, outcome)))

    def end_all(self, core: CoreInterface) -> None:
        """Answer all that is in progress, because the process exits."""
        for run in list(self.runs.values()):
            self.end_run(run, Reason.STOPPING, 'the VM exits', core)
        for relay in list(self.relays.values()):
            detail = 'the VM exits before the issuing VM has answered'
            self.finish_relay(relay, unknown(Reason.STOPPING, detail), core)

    def end_run(self, run: Run, reason: Reason, cause: str, core: CoreInterface) -> None:
        """Settle a run without a reply: `unknown` if it was sent, else `not_run`."""
        attempt = run.attempt
        if attempt is not None:
            core.upstreams.cancel(attempt, core)
        if attempt is not None and attempt.sent_ms is not None:
            self.settle(run, unknown(reason, f'no reply before {cause}'), core)
            return
        self.settle(run, not_run(run.reason, f'not sent before {cause}'), core)

    def is_idle(self) -> bool:
        """Return whether no run or relay is active."""
        return not self.runs and not self.relays

    def describe(self) -> dict:
        """Return the state for the state dump."""
        counts = {state.value: 0 for state in TicketState}
        for entry in self.entries.values():
            counts[entry.state.value] += 1
        return {'entries': counts, 'runs': len(self.runs), 'relays': len(self.relays)}


def handle_ticket_requested(event: TicketRequested, core: CoreInterface) -> None:
    """Answer a caller with a new ticket or the reason why none is issued."""
    core.act(AnswerCaller(event.request_id, core.tickets.issue(event.back_end, core)))


def handle_ticketed_request_received(event: TicketedRequestReceived, core: CoreInterface) -> None:
    """Handle a ticketed request from a caller."""
    core.tickets.handle_caller_request(event.request_id, event.request, core)


def fire_run_deadline(timer: RunDeadlineTimer, core: CoreInterface) -> None:
    """Settle a run at its deadline: `unknown` if it was sent, else `not_run`; both are final."""
    run = core.tickets.runs.get(timer.number)
    if run is not None:
        core.tickets.end_run(run, Reason.DEADLINE, 'the deadline', core)


def fire_run_retry(timer: RunRetryTimer, core: CoreInterface) -> None:
    """Retry a run that has certainly not been executed."""
    run = core.tickets.runs.get(timer.number)
    if run is None or run.attempt is not None:
        return
    if run.deadline_at_ms - core.now_ms >= MIN_RUN_MS:
        run.tried_replicas.clear()
    core.tickets.try_replica(run, core)


def fire_relay(timer: RelayTimer, core: CoreInterface) -> None:
    """Resend a relay, or fail it at its deadline."""
    relay = core.tickets.relays.get(timer.relay_id)
    if relay is None:
        return
    failure = core.tickets.check_issuer(relay.issuer, core)
    if failure is None and core.now_ms >= relay.deadline_at_ms:
        failure = unknown(Reason.ISSUER_UNREACHABLE, 'the issuing VM did not answer in time')
    if failure is not None:
        core.tickets.finish_relay(relay, failure, core)
        return
    core.tickets.send_relay(relay, core)


def fire_ticket_expiry(timer: TicketExpiryTimer, core: CoreInterface) -> None:
    """Remove an entry whose ticket was never used, or whose outcome was kept long enough."""
    entry = core.tickets.entries.get(timer.number)
    if entry is None or entry.expires_ms > core.now_ms:
        return
    if entry.state is not TicketState.RUNNING:
        del core.tickets.entries[timer.number]


@build_message.register
def build_shard_request(owner: Run, attempt: Attempt, core: CoreInterface) -> ShardRequest:
    """Build the request for the shard."""
    return ShardRequest(
        owner.entry.number,
        owner.request.back_end,
        owner.shard,
        owner.request.key,
        owner.request.body,
        max(1.0, owner.deadline_at_ms - core.now_ms),
    )


@on_dropped.register
def handle_run_dropped(owner: Run, attempt: Attempt, reason: Reason, core: CoreInterface) -> None:
    """Try another replica, as nothing was sent; after the deadline the timer settles the run."""
    owner.attempt = None
    owner.reason = reason
    if reason is Reason.DEADLINE:
        return
    owner.tried_replicas.add(attempt.replica_id)
    core.tickets.try_replica(owner, core)


@on_reply.register
def handle_run_reply(owner: Run, attempt: Attempt, reply: Reply, core: CoreInterface) -> None:
    """Settle the run, or try another replica if the upstream says that it did not run."""
    if reply.status is ReplyStatus.DONE and reply.request_id == owner.entry.number:
        core.tickets.settle(owner, Done(reply.snapshot, reply.result), core)
        return
    if reply.executed or reply.status not in NOT_RUN_STATUSES:
        detail = f'the upstream answered {reply.status.value}'
        core.tickets.settle(owner, unknown(Reason.UPSTREAM_ERROR, detail), core)
        return
    owner.attempt = None
    owner.reason = Reason.SHED if reply.status is ReplyStatus.SHED else Reason.DRAINING
    owner.tried_replicas.add(attempt.replica_id)
    core.tickets.try_replica(owner, core)


@on_failure.register
def handle_run_failure(
    owner: Run, attempt: Attempt, failure: AttemptFailure, core: CoreInterface
) -> None:
    """Try another replica only if no byte of the request can have been sent."""
    if failure.executed is not Executed.NOT_RUN:
        core.tickets.settle(owner, unknown(failure.reason, failure.detail), core)
        return
    owner.attempt = None
    owner.reason = failure.reason
    owner.tried_replicas.add(attempt.replica_id)
    core.tickets.try_replica(owner, core)
