"""
Drain of an upstream that signals it to one VM.

Gossip reaches the other VM within GOSSIP_TICKS. The health endpoint lags: it may report healthy
for up to HEALTH_LAG_TICKS after the signal.
"""

import z3

from .spec import Action, Spec, saturate

GOSSIP_TICKS = 1
HEALTH_LAG_TICKS = 3
DRAIN_HOLD_TICKS = 4
"""Ticks during which a drain signal overrides a healthy endpoint; more than the endpoint lags."""

MAX_TICKS = 8
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
    is_known = z3.Or(*knows)
    actions = [
        Action(
            'drain starts, signal to vm0',
            {'upstream serves': z3.Not(drains)},
            {'drains': z3.BoolVal(True), 'knows0': z3.BoolVal(True), 'since_sign': z3.IntVal(0)},
        ),
        Action(
            'tick',
            {
                'gossip is in time': z3.Or(
                    z3.Not(drains), since_sign < GOSSIP_TICKS, z3.And(*knows)
                ),
            },
            {'since_sign': z3.If(drains, saturate(since_sign, MAX_TICKS), since_sign)},
        ),
        Action(
            'gossip arrives', {'a VM knows of the drain': is_known}, {'knows1': z3.BoolVal(True)}
        ),
    ]
    for vm in range(VMS):
        late = z3.And(drains, since_sign > GOSSIP_TICKS)
        actions.append(
            Action(
                f'vm{vm} sends a request',
                {'no signal was received': z3.Not(knows[vm])},
                {'late_work': z3.Or(late_work, late)},
            )
        )
        actions.append(
            Action(
                f'vm{vm} reads a healthy status',
                {
                    'endpoint lags or upstream serves': z3.Or(
                        z3.Not(drains), since_sign <= HEALTH_LAG_TICKS
                    ),
                    'hold of the signal has expired': since_sign >= DRAIN_HOLD_TICKS,
                },
                {f'knows{vm}': z3.BoolVal(False)},
            )
        )
    invariants = {'no request after gossip has spread': z3.Not(late_work)}
    assumptions = frozenset(
        (
            'upstream serves',
            'gossip is in time',
            'a VM knows of the drain',
            'endpoint lags or upstream serves',
        )
    )
    return Spec('drain', variables, initial, actions, invariants, assumptions)
