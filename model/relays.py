"""
Relay of one request that must run at most once, from a VM (A) that reaches no replica.

A believes at any time that its links are lost, or back. It may ask a VM (B), and another one (C)
if that has not run the request. Connections open or fail, messages are delayed or never arrive,
and B and C run the request or refuse it.
"""

import z3

from .spec import Action, Spec

VMS = ('b', 'c')


def build_spec() -> Spec:
    """Return the specification."""
    flags = ['a_lost', 'a_sent', 'a_ran', 'told_not_run', 'ended']
    for vm in VMS:
        flags += [f'{vm}_{flag}' for flag in ('asked', 'open', 'failed', 'ran', 'refused', 'read')]
    state = {name: z3.Bool(name) for name in flags}
    true, false = z3.BoolVal(True), z3.BoolVal(False)
    is_unanswered = z3.Not(z3.Or(state['told_not_run'], state['ended']))
    is_unsent = z3.Not(state['a_sent'])
    has_not_run = {vm: z3.Or(state[f'{vm}_failed'], state[f'{vm}_read']) for vm in VMS}
    actions = [
        Action(
            'A loses its links',
            {'links are believed to stand': z3.Not(state['a_lost'])},
            {'a_lost': true},
        ),
        Action(
            'A has its links back', {'links are believed lost': state['a_lost']}, {'a_lost': false}
        ),
        Action(
            'A sends the request to a replica',
            {
                'links are believed to stand': z3.Not(state['a_lost']),
                'request was not relayed': z3.Not(state['b_asked']),
                'request is unanswered': is_unanswered,
            },
            {'a_sent': true},
        ),
        Action(
            'replica of A runs it',
            {'A has sent it': z3.And(state['a_sent'], z3.Not(state['a_ran']))},
            {'a_ran': true},
        ),
        Action(
            'A relays to B',
            {
                'links are believed lost': state['a_lost'],
                'nothing was sent to a replica': is_unsent,
                'B was not asked yet': z3.Not(state['b_asked']),
                'request is unanswered': is_unanswered,
            },
            {'b_asked': true},
        ),
        Action(
            'A relays to C',
            {
                'B was asked and C was not': z3.And(state['b_asked'], z3.Not(state['c_asked'])),
                'B is known not to have run it': has_not_run['b'],
                'request is unanswered': is_unanswered,
            },
            {'c_asked': true},
        ),
        Action(
            'A answers that it has not run',
            {
                'nothing was sent to a replica': is_unsent,
                'B is known not to have run it': z3.Or(z3.Not(state['b_asked']), has_not_run['b']),
                'C is known not to have run it': z3.Or(z3.Not(state['c_asked']), has_not_run['c']),
                'no answer was sent': is_unanswered,
            },
            {'told_not_run': true},
        ),
        Action('A answers otherwise', {'no answer was sent': is_unanswered}, {'ended': true}),
    ]
    for vm in VMS:
        actions += build_vm_actions(vm, state)
    run_count = z3.Sum([z3.If(state[f'{vm}_ran'], 1, 0) for vm in ('a', *VMS)])
    invariants = {
        'the request runs at most once': run_count <= 1,
        'a request that was told not to have run never runs': z3.Implies(
            state['told_not_run'], run_count == 0
        ),
    }
    assumptions = frozenset(
        (
            'links are believed to stand',
            'links are believed lost',
            'A has sent it',
            'B was not asked yet',
            'B was asked and C was not',
            'connection is being opened',
            'request has arrived',
            'refusal was sent',
            'no answer was sent',
        )
    )
    initial = z3.And(*[z3.Not(flag) for flag in state.values()])
    return Spec('relays', state, initial, actions, invariants, assumptions)


def build_vm_actions(vm: str, state: dict[str, z3.BoolRef]) -> list[Action]:
    """Return the actions of a VM that is asked, and of the connection to it."""
    name = vm.upper()
    true = z3.BoolVal(True)
    flag = {key: state[f'{vm}_{key}'] for key in ('asked', 'open', 'failed', 'ran', 'refused')}
    is_opening = z3.And(flag['asked'], z3.Not(flag['open']), z3.Not(flag['failed']))
    return [
        Action(
            f'connection to {name} opens',
            {'connection is being opened': is_opening},
            {f'{vm}_open': true},
        ),
        Action(
            f'connection to {name} fails before it opens',
            {'connection is being opened': is_opening},
            {f'{vm}_failed': true},
        ),
        Action(
            f'{name} runs it',
            {
                'request has arrived': z3.And(flag['open'], z3.Not(flag['ran'])),
                f'{name} has not refused it': z3.Not(flag['refused']),
            },
            {f'{vm}_ran': true},
        ),
        Action(
            f'{name} refuses it',
            {
                'request has arrived': flag['open'],
                f'{name} has not run it': z3.Not(flag['ran']),
            },
            {f'{vm}_refused': true},
        ),
        Action(
            f'A learns that {name} has refused it',
            {'refusal was sent': flag['refused']},
            {f'{vm}_read': true},
        ),
    ]
