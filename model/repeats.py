"""
The fixed part of a budget of repeats while VMs start, end and learn of each other.

Time goes in halves of the window: what was spent in this half and the one before is in the window.
What an earlier process of a VM spent stays in it after the process has ended. A VM divides the
fixed part by the VMs that it knows; all that run know of one within its first half.
"""

import z3

from .spec import Action, Spec

VMS = 2
FIXED = 2
"""Repeats that the fleet may send in a window."""

OLD_AGE = 2
"""Halves after its start from which nothing of an earlier process is in the window."""


def build_spec() -> Spec:
    """Return the specification."""
    runs = [z3.Bool(f'runs{vm}') for vm in range(VMS)]
    knows = [z3.Bool(f'knows_other{vm}') for vm in range(VMS)]
    age = [z3.Int(f'age{vm}') for vm in range(VMS)]
    now = [z3.Int(f'now{vm}') for vm in range(VMS)]
    before = [z3.Int(f'before{vm}') for vm in range(VMS)]
    ghost_now = z3.Int('ghost_now')
    ghost_before = z3.Int('ghost_before')
    variables: dict[str, z3.ExprRef] = {'ghost_now': ghost_now, 'ghost_before': ghost_before}
    for vm in range(VMS):
        variables |= {
            f'runs{vm}': runs[vm],
            f'knows_other{vm}': knows[vm],
            f'age{vm}': age[vm],
            f'now{vm}': now[vm],
            f'before{vm}': before[vm],
        }

    def share(vm: int) -> z3.ArithRef:
        return z3.If(knows[vm], FIXED // 2, FIXED)

    initial = z3.And(
        ghost_now == 0,
        ghost_before == 0,
        *[z3.Not(one) for one in (*runs, *knows)],
        *[count == 0 for count in (*age, *now, *before)],
    )
    actions = []
    for vm, other in ((0, 1), (1, 0)):
        actions.append(
            Action(
                f'vm{vm} starts',
                {'it is gone': z3.Not(runs[vm])},
                {
                    f'runs{vm}': z3.BoolVal(True),
                    f'knows_other{vm}': z3.BoolVal(False),
                    f'age{vm}': z3.IntVal(0),
                    f'now{vm}': z3.IntVal(0),
                    f'before{vm}': z3.IntVal(0),
                },
            )
        )
        actions.append(
            Action(
                f'vm{vm} ends',
                {'it runs': runs[vm]},
                {
                    f'runs{vm}': z3.BoolVal(False),
                    f'now{vm}': z3.IntVal(0),
                    f'before{vm}': z3.IntVal(0),
                    'ghost_now': ghost_now + now[vm],
                    'ghost_before': ghost_before + before[vm],
                },
            )
        )
        actions.append(
            Action(
                f'vm{vm} hears of vm{other}',
                {'it runs': runs[vm], 'the other runs': runs[other]},
                {f'knows_other{vm}': z3.BoolVal(True)},
            )
        )
        actions.append(
            Action(
                f'vm{vm} repeats a request',
                {
                    'it runs': runs[vm],
                    'its first window has passed': age[vm] >= OLD_AGE,
                    'its share allows it': now[vm] + before[vm] < share(vm),
                },
                {f'now{vm}': now[vm] + 1},
            )
        )
    heard = [z3.Implies(z3.And(runs[vm], runs[1 - vm]), knows[vm]) for vm in range(VMS)]
    half = {'ghost_before': ghost_now, 'ghost_now': z3.IntVal(0)}
    for vm in range(VMS):
        half[f'before{vm}'] = now[vm]
        half[f'now{vm}'] = z3.IntVal(0)
        half[f'age{vm}'] = z3.If(age[vm] < OLD_AGE, age[vm] + 1, age[vm])
    actions.append(
        Action('half a window passes', {'all that run know of each other': z3.And(*heard)}, half)
    )
    total = ghost_now + ghost_before + z3.Sum(*now) + z3.Sum(*before)
    invariants = {'the window holds no more than the fixed part': total <= FIXED}
    assumptions = frozenset(
        ('it is gone', 'it runs', 'the other runs', 'all that run know of each other')
    )
    return Spec('repeats', variables, initial, actions, invariants, assumptions)
