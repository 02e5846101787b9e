"""
Permits for a replica that names a limit, while the VM that keeps the limit changes.

Time advances in lifetimes of a permit. A keeper's bucket goes on filling while another VM is in
charge, as it may if views of the members differ; the keeper changes at most once in a window. The
window may start at any moment.
"""

import z3

from beechbridge.gateway.replicas.limits import BURST_S, FIXED_BURST
from beechbridge.gateway.replicas.notices import PERMIT_LIFETIME_MS
from measure.notice_log import FIXED_COUNT, RATE_FACTOR, WINDOW_MS

from .spec import Action, Spec

KEEPERS = 2
RATE = 1
"""Tokens of a bucket per lifetime of a permit."""

BURST = 2
WINDOW = 3
"""Lifetimes of a permit in a window."""


def build_spec() -> Spec:
    """Return the specification."""
    tokens = [z3.Int(f'tokens{keeper}') for keeper in range(KEEPERS)]
    is_first = z3.Bool('first_in_charge')
    fresh, old = z3.Ints('fresh_permits old_permits')
    sent, elapsed, stable = z3.Ints('sent elapsed stable')
    variables: dict[str, z3.ExprRef] = {
        'tokens0': tokens[0],
        'tokens1': tokens[1],
        'first_in_charge': is_first,
        'fresh_permits': fresh,
        'old_permits': old,
        'sent': sent,
        'elapsed': elapsed,
        'stable': stable,
    }
    initial = z3.And(
        *[count == 0 for count in (*tokens, fresh, old, sent, elapsed)],
        stable == WINDOW + 2,
        is_first,
    )
    filled = {}
    for keeper in range(KEEPERS):
        more = tokens[keeper] + RATE
        filled[f'tokens{keeper}'] = z3.If(more < BURST, more, BURST)
    in_charge = z3.If(is_first, tokens[0], tokens[1])
    actions = [
        Action(
            'keeper grants a permit',
            {'a token is left': in_charge >= 1},
            {
                'tokens0': z3.If(is_first, tokens[0] - 1, tokens[0]),
                'tokens1': z3.If(is_first, tokens[1], tokens[1] - 1),
                'fresh_permits': fresh + 1,
            },
        ),
        Action(
            'VM sends with a fresh permit',
            {'fresh permit is left': fresh >= 1},
            {'fresh_permits': fresh - 1, 'sent': sent + 1},
        ),
        Action(
            'VM sends with an old permit',
            {'old permit is left': old >= 1},
            {'old_permits': old - 1, 'sent': sent + 1},
        ),
        Action(
            'VM restarts and loses a permit',
            {'a permit can be lost': old >= 1},
            {'old_permits': old - 1},
        ),
        Action(
            'lifetime passes',
            {'window has not ended': elapsed < WINDOW},
            {
                **filled,
                'fresh_permits': z3.IntVal(0),
                'old_permits': fresh,
                'elapsed': elapsed + 1,
                'stable': stable + 1,
            },
        ),
        Action(
            'keeper changes',
            {'no change lately': stable >= WINDOW + 2},
            {'first_in_charge': z3.Not(is_first), 'stable': z3.IntVal(0)},
        ),
        Action('window starts', {}, {'sent': z3.IntVal(0), 'elapsed': z3.IntVal(0)}),
    ]
    outstanding = in_charge + fresh + old
    bursts = z3.If(stable > elapsed + 1, BURST, 2 * BURST)
    lemmas = (
        z3.And(*[count >= 0 for count in (*tokens, fresh, old, sent, elapsed, stable)]),
        z3.And(elapsed <= WINDOW, *[count <= BURST for count in tokens]),
        in_charge + fresh <= z3.If(stable >= 1, BURST, 2 * BURST),
        outstanding <= z3.If(stable >= 2, BURST, 2 * BURST) + RATE,
        sent + outstanding <= bursts + RATE * (elapsed + 1),
    )
    invariants = {
        'a window has two bursts and what the limit allows': sent
        <= 2 * BURST + RATE * (elapsed + 1)
    }
    assumptions = frozenset(('window has not ended', 'no change lately', 'a permit can be lost'))
    return Spec('permits', variables, initial, actions, invariants, assumptions, lemmas)


def prove_bound() -> bool:
    """Prove for any limit that two bursts and a window's worth are within what is allowed."""
    limit_per_s = z3.Real('limit_per_s')
    burst = FIXED_BURST + BURST_S * limit_per_s
    span_s = (WINDOW_MS + PERMIT_LIFETIME_MS) / 1000.0
    most = 2 * burst + limit_per_s * span_s
    solver = z3.Solver()
    solver.add(limit_per_s >= 0)
    solver.add(most > RATE_FACTOR * limit_per_s * (WINDOW_MS / 1000.0) + FIXED_COUNT)
    return solver.check() == z3.unsat
