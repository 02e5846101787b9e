"""
Tickets: one ticket of one process, any number of copies of its request, any delay.

A message once sent may arrive at any later time and any number of times, which covers relays,
duplicates, reordering, pauses and partitions. A crash loses the table; a successor starts on the
same address with another incarnation.
"""

import z3

from .spec import Action, Spec, saturate

FORGOTTEN, ISSUED, RUNNING, DONE, REFUSED, UNKNOWN = range(6)
NO_ATTEMPT, SENT, REFUSED_BY_UPSTREAM, LOST, NEVER_LEFT = range(5)


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

    arrived = {'request arrived': requested, 'process lives': alive}
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
                'process lives': alive,
                'run is under way': entry == RUNNING,
                'no attempt may have run': z3.Or(
                    attempt == NO_ATTEMPT,
                    attempt == REFUSED_BY_UPSTREAM,
                    attempt == NEVER_LEFT,
                ),
            },
            {'attempt': z3.IntVal(SENT), 'at_upstream': z3.BoolVal(True)},
        ),
        Action(
            'connection not opened',
            {
                'process lives': alive,
                'no attempt may have run': attempt == NO_ATTEMPT,
            },
            {'attempt': z3.IntVal(NEVER_LEFT)},
        ),
        Action(
            'upstream runs it',
            {'attempt is there': at_upstream},
            {'at_upstream': z3.BoolVal(False), 'executions': saturate(executions, 2)},
        ),
        Action(
            'upstream refuses it',
            {'attempt is there': at_upstream, 'reply is awaited': attempt == SENT},
            {
                'at_upstream': z3.BoolVal(False),
                'attempt': z3.IntVal(REFUSED_BY_UPSTREAM),
            },
        ),
        Action(
            'reply arrives',
            {
                'process lives': alive,
                'run is under way': entry == RUNNING,
                'reply is awaited': attempt == SENT,
                'it ran': z3.And(z3.Not(at_upstream), executions > 0),
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
            {'process lives': alive, 'run is under way': entry == RUNNING},
            settle(UNKNOWN),
        ),
        Action(
            'settle as not run',
            {
                'process lives': alive,
                'run is under way': entry == RUNNING,
                'no attempt may run': z3.Or(
                    attempt == NO_ATTEMPT,
                    attempt == REFUSED_BY_UPSTREAM,
                    attempt == NEVER_LEFT,
                ),
            },
            {**settle(REFUSED), 'told_not_run': z3.BoolVal(True)},
        ),
        Action(
            'repeat not run',
            {**arrived, 'ticket was refused': entry == REFUSED},
            {'told_not_run': z3.BoolVal(True)},
        ),
        Action(
            'forget',
            {'process lives': alive, 'no run is under way': entry != RUNNING},
            {'entry': z3.IntVal(FORGOTTEN)},
        ),
        Action(
            'crash',
            {'process lives': alive},
            {'alive': z3.BoolVal(False)},
        ),
        Action(
            'restart',
            {'process is gone': z3.Not(alive)},
            {'successor': z3.BoolVal(True)},
        ),
        Action(
            'successor runs it',
            {
                'request arrived': requested,
                'successor lives': successor,
                'incarnation is its own': z3.BoolVal(False),
            },
            {'at_upstream': z3.BoolVal(True)},
        ),
        Action(
            'successor says not run',
            {
                'request arrived': requested,
                'successor lives': successor,
                'incarnation is its own': z3.BoolVal(False),
            },
            {'told_not_run': z3.BoolVal(True)},
        ),
        Action(
            'say not run of a forgotten ticket',
            {**arrived, 'ticket was forgotten': entry == FORGOTTEN, 'never': z3.BoolVal(False)},
            {'told_not_run': z3.BoolVal(True)},
        ),
        Action(
            'run a forgotten ticket',
            {**arrived, 'ticket was forgotten': entry == FORGOTTEN, 'never': z3.BoolVal(False)},
            {'entry': z3.IntVal(RUNNING), 'attempt': z3.IntVal(NO_ATTEMPT)},
        ),
    ]
    invariants = {
        'at most one execution': executions <= 1,
        'not run is true for ever': z3.Not(z3.And(told_not_run, executions > 0)),
        'a settled outcome is final': z3.Not(outcome_changed),
        'a run is kept until it is settled': z3.Implies(
            z3.And(alive, started, outcome == FORGOTTEN), entry == RUNNING
        ),
        'done is true': z3.Implies(told_done, executions == 1),
    }
    return Spec('tickets', variables, initial, actions, invariants, ASSUMPTIONS)


ASSUMPTIONS = frozenset(
    (
        'request arrived',
        'process lives',
        'process is gone',
        'successor lives',
        'attempt is there',
        'reply is awaited',
        'it ran',
        'ticket was forgotten',
    )
)
"""Guards that describe the network, the upstream and the process itself."""
