"""
Order of one shard: which VM may ask which replica, and which part is merged.

The VM that orders (A) reserves attempts for the VM that gathers (B). A may ask replicas itself
once B has rejected the order or answered that nothing ran, or where the shard has no more replicas
than attempts. B may stop responding or exit at any time; its answer may arrive late or never.
"""

import z3

from .spec import Action, Spec

ATTEMPTS = 2
INSTANCES = (3, 2)
"""Number of replicas of the shard in each proved instance."""


def build_spec(replica_count: int = 3) -> Spec:
    """
    Return the specification of one instance.

    :param replica_count: number of replicas of the shard
    """
    names = ('ordered', 'taken', 'refused', 'answered', 'gathered', 'read', 'direct', 'merged')
    state = {name: z3.Bool(name) for name in names}
    asked_by_b = [z3.Bool(f'b_asked{number}') for number in range(replica_count)]
    asked_by_a = [z3.Bool(f'a_asked{number}') for number in range(replica_count)]
    copies = z3.Int('copies')
    variables: dict[str, z3.ExprRef] = dict(state)
    for number in range(replica_count):
        variables[f'b_asked{number}'] = asked_by_b[number]
        variables[f'a_asked{number}'] = asked_by_a[number]
    variables['copies'] = copies

    def count(flags: list[z3.BoolRef]) -> z3.ArithRef:
        return z3.Sum([z3.If(flag, 1, 0) for flag in flags])

    b_count = count(asked_by_b)
    a_count = count(asked_by_a)
    ran_nothing = z3.Or(state['refused'], z3.And(state['read'], b_count == 0))
    reserved = z3.If(ran_nothing, 0, z3.IntVal(1 if replica_count <= ATTEMPTS else ATTEMPTS))
    initial = z3.And(
        *[z3.Not(one) for one in (*state.values(), *asked_by_b, *asked_by_a)], copies == 0
    )
    true = z3.BoolVal(True)
    is_gathering = z3.And(state['taken'], z3.Not(state['answered']))
    actions = [
        Action(
            'A orders',
            {'A has neither ordered nor asked': z3.Not(z3.Or(state['ordered'], a_count > 0))},
            {'ordered': true},
        ),
        Action(
            'B accepts the order',
            {
                'order is in flight': z3.And(
                    state['ordered'], z3.Not(z3.Or(state['taken'], state['refused']))
                )
            },
            {'taken': true},
        ),
        Action(
            'B rejects the order',
            {
                'order is in flight': z3.And(
                    state['ordered'], z3.Not(z3.Or(state['taken'], state['refused']))
                )
            },
            {'refused': true},
        ),
        Action(
            'B receives the part',
            {'B is gathering': is_gathering, 'a replica was asked': b_count > 0},
            {'gathered': true},
        ),
        Action('B answers', {'B is gathering': is_gathering}, {'answered': true}),
        Action(
            'A receives the answer',
            {
                'B has answered': state['answered'],
                'shard is not merged yet': z3.Not(state['merged']),
            },
            {
                'read': true,
                # The part from the order replaces one that was received directly.
                'copies': z3.If(state['gathered'], 1, copies),
            },
        ),
        Action(
            'A receives part directly',
            {
                'a replica was asked': a_count > 0,
                'shard has no part yet': copies == 0,
                'shard is not merged yet': z3.Not(state['merged']),
            },
            {'direct': true, 'copies': copies + 1},
        ),
        Action('A merges', {'shard is not merged yet': z3.Not(state['merged'])}, {'merged': true}),
    ]
    for number in range(replica_count):
        actions.append(
            Action(
                f'B asks replica {number}',
                {
                    'B is gathering': is_gathering,
                    'attempts are left': b_count < ATTEMPTS,
                    'replica was not asked yet': z3.Not(asked_by_b[number]),
                },
                {f'b_asked{number}': true},
            )
        )
        actions.append(
            Action(
                f'A asks replica {number}',
                {
                    'A has ordered': state['ordered'],
                    'attempts are left': a_count + reserved < ATTEMPTS,
                    'replica was not asked yet': z3.Not(asked_by_a[number]),
                },
                {f'a_asked{number}': true},
            )
        )
    asked = count(
        [z3.Or(asked_by_b[number], asked_by_a[number]) for number in range(replica_count)]
    )
    invariants = {
        'at most as many replicas as attempts are asked': asked <= ATTEMPTS,
        'at most one part is merged': copies <= 1,
    }
    assumptions = frozenset(
        (
            'A has neither ordered nor asked',
            'order is in flight',
            'B is gathering',
            'a replica was asked',
            'B has answered',
            'shard is not merged yet',
            'A has ordered',
            'replica was not asked yet',
        )
    )
    return Spec('orders', variables, initial, actions, invariants, assumptions)
