"""
One shard that a VM orders from another one: who may ask which replica, and what is merged.

The VM that orders (A) sets attempts aside for the one that gathers (B). A may ask the replicas
itself once the order is refused or says that nothing ran, or where the shard has no more replicas
than attempts. B may be silent or gone at any time; its answer may come late or never.
"""

import z3

from .spec import Action, Spec

ATTEMPTS = 2
INSTANCES = (3, 2)
"""Replicas of the shard in each instance that is proved."""


def build_spec(replica_count: int = 3) -> Spec:
    """Return the specification for a shard with some replicas."""
    names = ('ordered', 'taken', 'refused', 'answered', 'gathered', 'read', 'direct', 'merged')
    state = {name: z3.Bool(name) for name in names}
    by_b = [z3.Bool(f'b_asked{number}') for number in range(replica_count)]
    by_a = [z3.Bool(f'a_asked{number}') for number in range(replica_count)]
    copies = z3.Int('copies')
    variables: dict[str, z3.ExprRef] = dict(state)
    for number in range(replica_count):
        variables[f'b_asked{number}'] = by_b[number]
        variables[f'a_asked{number}'] = by_a[number]
    variables['copies'] = copies

    def count(flags: list[z3.BoolRef]) -> z3.ArithRef:
        return z3.Sum([z3.If(flag, 1, 0) for flag in flags])

    b_count = count(by_b)
    a_count = count(by_a)
    is_unrun = z3.Or(state['refused'], z3.And(state['read'], b_count == 0))
    reserved = z3.If(is_unrun, 0, z3.IntVal(1 if replica_count <= ATTEMPTS else ATTEMPTS))
    initial = z3.And(*[z3.Not(one) for one in (*state.values(), *by_b, *by_a)], copies == 0)
    yes = z3.BoolVal(True)
    is_working = z3.And(state['taken'], z3.Not(state['answered']))
    actions = [
        Action(
            'A orders',
            {'it has not asked': z3.Not(z3.Or(state['ordered'], a_count > 0))},
            {'ordered': yes},
        ),
        Action(
            'B takes the order',
            {
                'it is on the way': z3.And(
                    state['ordered'], z3.Not(z3.Or(state['taken'], state['refused']))
                )
            },
            {'taken': yes},
        ),
        Action(
            'B refuses the order',
            {
                'it is on the way': z3.And(
                    state['ordered'], z3.Not(z3.Or(state['taken'], state['refused']))
                )
            },
            {'refused': yes},
        ),
        Action(
            'B has the part',
            {'it works on the order': is_working, 'a replica was asked': b_count > 0},
            {'gathered': yes},
        ),
        Action('B answers', {'it works on the order': is_working}, {'answered': yes}),
        Action(
            'A reads the answer',
            {'it is there': state['answered'], 'it is not merged yet': z3.Not(state['merged'])},
            {
                'read': yes,
                # The part of the order takes the place of one that came directly.
                'copies': z3.If(state['gathered'], 1, copies),
            },
        ),
        Action(
            'A gets the part directly',
            {
                'a replica was asked': a_count > 0,
                'the shard has no part yet': copies == 0,
                'it is not merged yet': z3.Not(state['merged']),
            },
            {'direct': yes, 'copies': copies + 1},
        ),
        Action('A merges', {'it is not merged yet': z3.Not(state['merged'])}, {'merged': yes}),
    ]
    for number in range(replica_count):
        actions.append(
            Action(
                f'B asks replica {number}',
                {
                    'it works on the order': is_working,
                    'attempts allow it': b_count < ATTEMPTS,
                    'not asked yet': z3.Not(by_b[number]),
                },
                {f'b_asked{number}': yes},
            )
        )
        actions.append(
            Action(
                f'A asks replica {number}',
                {
                    'it has ordered': state['ordered'],
                    'attempts allow it': a_count + reserved < ATTEMPTS,
                    'not asked yet': z3.Not(by_a[number]),
                },
                {f'a_asked{number}': yes},
            )
        )
    asked = count([z3.Or(by_b[number], by_a[number]) for number in range(replica_count)])
    invariants = {
        'no more replicas than attempts': asked <= ATTEMPTS,
        'a part is merged once': copies <= 1,
    }
    assumptions = frozenset(
        (
            'it has not asked',
            'it is on the way',
            'it works on the order',
            'a replica was asked',
            'it is there',
            'it is not merged yet',
            'it has ordered',
            'not asked yet',
        )
    )
    return Spec('orders', variables, initial, actions, invariants, assumptions)
