"""
Fixed part of the budget of extra attempts while VMs start, exit and learn of each other.

Time advances in half windows: the window holds what was spent in the current half and the previous
one. What a process spent stays in the window after its exit; the ghost variables count it. A VM
divides the fixed part by the number of VMs that it knows; all running VMs know of a new VM before
its first half window ends.
"""

import z3

from .spec import Action, Spec

VMS = 2
FIXED_BUDGET = 2
"""Extra attempts that the fleet may send per window."""

WARM_UP_HALVES = 2
"""Half windows after which the window holds nothing that an earlier process spent."""


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
        return z3.If(knows[vm], FIXED_BUDGET // 2, FIXED_BUDGET)

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
                {'VM is stopped': z3.Not(runs[vm])},
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
                f'vm{vm} exits',
                {'VM runs': runs[vm]},
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
                f'vm{vm} learns of vm{other}',
                {'VM runs': runs[vm], 'other VM runs': runs[other]},
                {f'knows_other{vm}': z3.BoolVal(True)},
            )
        )
        actions.append(
            Action(
                f'vm{vm} sends an extra attempt',
                {
                    'VM runs': runs[vm],
                    'its first window has passed': age[vm] >= WARM_UP_HALVES,
                    'its share is not spent': now[vm] + before[vm] < share(vm),
                },
                {f'now{vm}': now[vm] + 1},
            )
        )
    running_known = [z3.Implies(z3.And(runs[vm], runs[1 - vm]), knows[vm]) for vm in range(VMS)]
    half_window_updates = {'ghost_before': ghost_now, 'ghost_now': z3.IntVal(0)}
    for vm in range(VMS):
        half_window_updates[f'before{vm}'] = now[vm]
        half_window_updates[f'now{vm}'] = z3.IntVal(0)
        half_window_updates[f'age{vm}'] = z3.If(age[vm] < WARM_UP_HALVES, age[vm] + 1, age[vm])
    actions.append(
        Action(
            'half a window passes',
            {'running VMs know of each other': z3.And(*running_known)},
            half_window_updates,
        )
    )
    total = ghost_now + ghost_before + z3.Sum(*now) + z3.Sum(*before)
    invariants = {'spending in the window is within the fixed part': total <= FIXED_BUDGET}
    assumptions = frozenset(
        ('VM is stopped', 'VM runs', 'other VM runs', 'running VMs know of each other')
    )
    return Spec('extra_attempts', variables, initial, actions, invariants, assumptions)
