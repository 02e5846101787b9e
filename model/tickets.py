"""
One ticket of one process, with any number of copies of its request and any delay.

A message may arrive at any time after it was sent and any number of times, which covers relays,
duplicates, reordering, pauses and partitions. A crash loses the ticket table; the successor starts
at the same address with another incarnation.
"""

import z3

from .spec import Action, Spec, saturate

FORGOTTEN, ISSUED, RUNNING, DONE, REJECTED, UNKNOWN = range(6)
NO_ATTEMPT, SENT, REJECTED_BY_UPSTREAM, LOST, NOT_SENT = range(5)


def build_spec() -> Spec:
    """Return the specification."""
    entry = z3.Int('entry')
    attempt = z3.Int('attempt')
    alive = z3.Bool('alive')
    successor = z3.Bool('successor')
    requested = z3.Bool('requested')
    at_upstream = z3.Bool('at_upstream')
    executions = z3.Int('executions')
    told_not_run = z3.Bool('told_not_run')
    told_done = z3.Bool('told_done')
    started = z3.Bool('started')
    outcome = z3.Int('outcome')
    outcome_changed = z3.Bool('outcome_changed')
    variables = {
        'entry': entry,
        'attempt': attempt,
        'alive': alive,
        'successor': successor,
        'requested': requested,
        'at_upstream': at_upstream,
        'executions': executions,
        'told_not_run': told_not_run,
        'told_done': told_done,
        'started': started,
        'outcome': outcome,
        'outcome_changed': outcome_changed,
    }
    initial = z3.And(
        entry == ISSUED,
        attempt == NO_ATTEMPT,
        alive,
        z3.Not(successor),
        z3.Not(requested),
        z3.Not(at_upstream),
        executions == 0,
        z3.Not(told_not_run),
        z3.Not(told_done),
        z3.Not(started),
        outcome == FORGOTTEN,
        z3.Not(outcome_changed),
    )

    def settle(value: int) -> dict[str, z3.ExprRef]:
        changed = z3.Or(outcome_changed, z3.And(outcome != FORGOTTEN, outcome != value))
        return {
            'entry': z3.IntVal(value),
            'outcome': z3.IntVal(value),
            'outcome_changed': changed,
        }

    arrived = {'request arrived': requested, 'process is running': alive}
    actions = [
        Action('send request', {}, {'requested': z3.BoolVal(True)}),
        Action(
            'start run',
            {**arrived, 'ticket is unused': entry == ISSUED},
            {
                'entry': z3.IntVal(RUNNING),
                'attempt': z3.IntVal(NO_ATTEMPT),
                'started': z3.BoolVal(True),
            },
        ),
        Action(
            'send attempt',
            {
                'process is running': alive,
                'run is under way': entry == RUNNING,
                'no attempt may have run': z3.Or(
                    attempt == NO_ATTEMPT,
                    attempt == REJECTED_BY_UPSTREAM,
                    attempt == NOT_SENT,
                ),
            },
            {'attempt': z3.IntVal(SENT), 'at_upstream': z3.BoolVal(True)},
        ),
        Action(
            'connection not opened',
            {
                'process is running': alive,
                'no attempt may have run': attempt == NO_ATTEMPT,
            },
            {'attempt': z3.IntVal(NOT_SENT)},
        ),
        Action(
            'upstream runs attempt',
            {'attempt is at the upstream': at_upstream},
            {'at_upstream': z3.BoolVal(False), 'executions': saturate(executions, 2)},
        ),
        Action(
            'upstream rejects attempt',
            {'attempt is at the upstream': at_upstream, 'reply is awaited': attempt == SENT},
            {
                'at_upstream': z3.BoolVal(False),
                'attempt': z3.IntVal(REJECTED_BY_UPSTREAM),
            },
        ),
        Action(
            'reply arrives',
            {
                'process is running': alive,
                'run is under way': entry == RUNNING,
                'reply is awaited': attempt == SENT,
                'attempt ran': z3.And(z3.Not(at_upstream), executions > 0),
            },
            {**settle(DONE), 'told_done': z3.BoolVal(True)},
        ),
        Action(
            'attempt lost',
            {'reply is awaited': attempt == SENT},
            {'attempt': z3.IntVal(LOST)},
        ),
        Action(
            'settle as unknown',
            {'process is running': alive, 'run is under way': entry == RUNNING},
            settle(UNKNOWN),
        ),
        Action(
            'settle as not run',
            {
                'process is running': alive,
                'run is under way': entry == RUNNING,
                'no attempt may run': z3.Or(
                    attempt == NO_ATTEMPT,
                    attempt == REJECTED_BY_UPSTREAM,
                    attempt == NOT_SENT,
                ),
            },
            {**settle(REJECTED), 'told_not_run': z3.BoolVal(True)},
        ),
        Action(
            'answer not run again',
            {**arrived, 'ticket was rejected': entry == REJECTED},
            {'told_not_run': z3.BoolVal(True)},
        ),
        Action(
            'expire ticket',
            {'process is running': alive, 'no run is under way': entry != RUNNING},
            {'entry': z3.IntVal(FORGOTTEN)},
        ),
        Action(
            'crash',
            {'process is running': alive},
            {'alive': z3.BoolVal(False)},
        ),
        Action(
            'restart',
            {'process has crashed': z3.Not(alive)},
            {'successor': z3.BoolVal(True)},
        ),
        Action(
            'successor runs request',
            {
                'request arrived': requested,
                'successor is running': successor,
                'incarnation matches': z3.BoolVal(False),
            },
            {'at_upstream': z3.BoolVal(True)},
        ),
        Action(
            'successor answers not run',
            {
                'request arrived': requested,
                'successor is running': successor,
                'incarnation matches': z3.BoolVal(False),
            },
            {'told_not_run': z3.BoolVal(True)},
        ),
        Action(
            'answer not run if forgotten',
            {
                **arrived,
                'ticket was forgotten': entry == FORGOTTEN,
                'never enabled': z3.BoolVal(False),
            },
            {'told_not_run': z3.BoolVal(True)},
        ),
        Action(
            'run a forgotten ticket',
            {
                **arrived,
                'ticket was forgotten': entry == FORGOTTEN,
                'never enabled': z3.BoolVal(False),
            },
            {'entry': z3.IntVal(RUNNING), 'attempt': z3.IntVal(NO_ATTEMPT)},
        ),
    ]
    invariants = {
        'at most one execution': executions <= 1,
        'an answer of not run stays true': z3.Not(z3.And(told_not_run, executions > 0)),
        'a settled outcome is final': z3.Not(outcome_changed),
        'a run is not forgotten before it is settled': z3.Implies(
            z3.And(alive, started, outcome == FORGOTTEN), entry == RUNNING
        ),
        'an answer of done is true': z3.Implies(told_done, executions == 1),
    }
    return Spec('tickets', variables, initial, actions, invariants, ASSUMPTIONS)


ASSUMPTIONS = frozenset(
    (
        'request arrived',
        'process is running',
        'process has crashed',
        'successor is running',
        'attempt is at the upstream',
        'reply is awaited',
        'attempt ran',
        'ticket was forgotten',
    )
)
"""Guards that describe the network, the upstream and the state of the processes."""
