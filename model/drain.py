"""
Drain: an upstream shows a sign to one VM, gossip reaches the other within SPREAD ticks, and a
lagging health endpoint goes on saying healthy for up to LAG ticks after the sign.
"""

import z3

from .spec import Action, Spec, saturate

SPREAD = 1
LAG = 3
HOLD = 4
"""Ticks for which a sign holds against a healthy endpoint; longer than it lags."""

MOST = 8
VMS = 2


def build_spec() -> Spec:
    """Return the specification."""
    drains = z3.Bool('drains')
    since_sign = z3.Int('since_sign')
    knows = [z3.Bool(f'knows{vm}') for vm in range(VMS)]
    late_work = z3.Bool('late_work')
    variables = {'drains': drains, 'since_sign': since_sign, 'late_work': late_work}
    for vm in range(VMS):
        variables[f'knows{vm}'] = knows[vm]
    initial = z3.And(
        z3.Not(drains),
        since_sign == 0,
        z3.Not(late_work),
        *[z3.Not(known) for known in knows],
    )
    is_told = z3.Or(*knows)
    actions = [
        Action(
            'upstream drains and vm0 sees it',
            {'it serves': z3.Not(drains)},
            {'drains': z3.BoolVal(True), 'knows0': z3.BoolVal(True), 'since_sign': z3.IntVal(0)},
        ),
        Action(
            'tick',
            {
                'gossip is in time': z3.Or(z3.Not(drains), since_sign < SPREAD, z3.And(*knows)),
            },
            {'since_sign': z3.If(drains, saturate(since_sign, MOST), since_sign)},
        ),
        Action('gossip arrives', {'one knows': is_told}, {'knows1': z3.BoolVal(True)}),
    ]
    for vm in range(VMS):
        late = z3.And(drains, since_sign > SPREAD)
        actions.append(
            Action(
                f'vm{vm} sends work',
                {'no sign was seen': z3.Not(knows[vm])},
                {'late_work': z3.Or(late_work, late)},
            )
        )
        actions.append(
            Action(
                f'vm{vm} hears healthy',
                {
                    'endpoint still lags or work is taken': z3.Or(
                        z3.Not(drains), since_sign <= LAG
                    ),
                    'sign is old': since_sign >= HOLD,
                },
                {f'knows{vm}': z3.BoolVal(False)},
            )
        )
    invariants = {'no new work after the spread': z3.Not(late_work)}
    assumptions = frozenset(
        ('it serves', 'gossip is in time', 'one knows', 'endpoint still lags or work is taken')
    )
    return Spec('drain', variables, initial, actions, invariants, assumptions)
