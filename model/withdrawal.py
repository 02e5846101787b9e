"""
Withdrawal of one request that must run at most once, before it is said not to have run.

The core hands exchanges to the driver, at most one at a time, and hears what came of them at any
later time, or never: a freeze of the process, a timer that fires first and a report that is lost
are all such delays. Requests leave, and replicas run them, without the core's knowledge. Once a
timer is due the core withdraws what it takes for unsent. The driver closes a connection that is
not open and gives its word, or gives none. On its word the core answers that nothing has run, or
relays the request to another VM. It may cancel an exchange at any time, which proves nothing.
"""

import z3

from .spec import Action, Spec

EXCHANGES = ('first', 'retry')
FLAGS = ('handed', 'withdrawn', 'cancelled', 'left', 'closed', 'word', 'heard', 'ran')


def build_spec() -> Spec:
    """Return the specification."""
    names = [f'{name}_{flag}' for name in EXCHANGES for flag in FLAGS]
    names += ['due', 'relayed', 'vm_ran', 'vm_refused', 'refusal_heard', 'told_not_run', 'ended']
    state = {name: z3.Bool(name) for name in names}
    true = z3.BoolVal(True)
    is_unanswered = z3.Not(z3.Or(state['told_not_run'], state['ended']))
    is_unsent = {
        name: z3.Or(z3.Not(state[f'{name}_handed']), state[f'{name}_heard']) for name in EXCHANGES
    }
    actions = [
        Action(
            'core sends it',
            {
                'request is unanswered': is_unanswered,
                'request was not relayed': z3.Not(state['relayed']),
            },
            {'first_handed': true},
        ),
        Action(
            'core sends it again',
            {
                'first exchange began': state['first_handed'],
                'driver has said that the first was not sent': state['first_heard'],
                'request is unanswered': is_unanswered,
                'request was not relayed': z3.Not(state['relayed']),
            },
            {'retry_handed': true},
        ),
        Action('timer is due', {}, {'due': true}),
        Action(
            'core relays it',
            {
                'request is unanswered': is_unanswered,
                'driver has said that the first was not sent': is_unsent['first'],
                'driver has said that the retry was not sent': is_unsent['retry'],
            },
            {'relayed': true},
        ),
        Action(
            'other VM runs it',
            {
                'request was relayed': z3.And(state['relayed'], z3.Not(state['vm_ran'])),
                'it has not refused it': z3.Not(state['vm_refused']),
            },
            {'vm_ran': true},
        ),
        Action(
            'other VM refuses it',
            {
                'request was relayed': state['relayed'],
                'it has not run it': z3.Not(state['vm_ran']),
            },
            {'vm_refused': true},
        ),
        Action(
            'core hears of the refusal',
            {'other VM has refused it': state['vm_refused']},
            {'refusal_heard': true},
        ),
        Action(
            'core answers that it has not run',
            {
                'no answer was sent': is_unanswered,
                'driver has said that the first was not sent': is_unsent['first'],
                'driver has said that the retry was not sent': is_unsent['retry'],
                'other VM is known not to have run it': z3.Or(
                    z3.Not(state['relayed']), state['refusal_heard']
                ),
            },
            {'told_not_run': true},
        ),
        Action('core answers otherwise', {'no answer was sent': is_unanswered}, {'ended': true}),
    ]
    for name in EXCHANGES:
        actions += build_exchange_actions(name, state)
    run_count = z3.Sum([z3.If(state[f'{name}_ran'], 1, 0) for name in EXCHANGES])
    run_count += z3.If(state['vm_ran'], 1, 0)
    invariants = {
        'the request runs at most once': run_count <= 1,
        'a request that was told not to have run never runs': z3.Implies(
            state['told_not_run'], run_count == 0
        ),
    }
    assumptions = frozenset(
        (
            'first exchange began',
            'timer fires',
            'exchange is under way',
            'core has withdrawn it',
            'core has cancelled it',
            'connection is being opened',
            'request has left',
            'driver has given its word',
            'request was relayed',
            'other VM has refused it',
            'no answer was sent',
        )
    )
    initial = z3.And(*[z3.Not(flag) for flag in state.values()])
    lemmas = build_lemmas(state, is_unsent)
    return Spec('withdrawal', state, initial, actions, invariants, assumptions, lemmas)


def build_lemmas(
    state: dict[str, z3.BoolRef], is_unsent: dict[str, z3.BoolRef]
) -> tuple[z3.BoolRef, ...]:
    """Return what holds of the word of the driver and of the other VM, and what rests on it."""
    is_known = z3.And(*is_unsent.values())
    lemmas = [
        z3.Implies(state['retry_handed'], z3.And(state['first_handed'], state['first_heard'])),
        z3.Implies(state['relayed'], is_known),
        z3.Implies(state['told_not_run'], is_known),
        z3.Implies(state['told_not_run'], z3.Or(z3.Not(state['relayed']), state['refusal_heard'])),
        z3.Implies(state['refusal_heard'], state['vm_refused']),
        z3.Implies(state['vm_refused'], z3.Not(state['vm_ran'])),
        z3.Implies(state['vm_ran'], state['relayed']),
    ]
    for name in EXCHANGES:
        flag = {key: state[f'{name}_{key}'] for key in FLAGS}
        lemmas += [
            z3.Implies(flag['heard'], flag['word']),
            z3.Implies(flag['word'], z3.And(flag['closed'], z3.Not(flag['left']))),
            z3.Implies(flag['ran'], flag['left']),
            z3.Implies(flag['left'], flag['handed']),
        ]
    return tuple(lemmas)


def build_exchange_actions(name: str, state: dict[str, z3.BoolRef]) -> list[Action]:
    """Return the actions of the core, the driver and a replica on one exchange."""
    true = z3.BoolVal(True)
    flag = {key: state[f'{name}_{key}'] for key in FLAGS}
    is_opening = z3.And(flag['handed'], z3.Not(flag['left']))
    return [
        Action(
            f'core withdraws the {name}',
            {'timer fires': state['due'], 'exchange is under way': flag['handed']},
            {f'{name}_withdrawn': true},
        ),
        Action(
            f'core cancels the {name}',
            {'exchange is under way': flag['handed']},
            {f'{name}_cancelled': true},
        ),
        Action(
            f'request of the {name} leaves',
            {
                'connection is being opened': is_opening,
                'connection was not closed': z3.Not(flag['closed']),
            },
            {f'{name}_left': true},
        ),
        Action(
            f'connection of the {name} fails before it opens',
            {'connection is being opened': is_opening},
            {f'{name}_closed': true, f'{name}_word': true},
        ),
        Action(
            f'driver closes the {name}',
            {'core has cancelled it': flag['cancelled']},
            {f'{name}_closed': true},
        ),
        Action(
            f'driver gives its word on the {name}',
            {'core has withdrawn it': flag['withdrawn'], 'nothing has left': z3.Not(flag['left'])},
            {f'{name}_closed': true, f'{name}_word': true},
        ),
        Action(
            f'core hears that the {name} was not sent',
            {'driver has given its word': flag['word']},
            {f'{name}_heard': true},
        ),
        Action(
            f'replica runs the {name}',
            {'request has left': z3.And(flag['left'], z3.Not(flag['ran']))},
            {f'{name}_ran': true},
        ),
    ]
