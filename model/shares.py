"""
Connection shares while VMs start, exit and learn of others.

The list of VMs that a VM knows lacks at most the spare VMs. A VM adds another one to its list only
after it has closed the connections that its smaller share no longer allows. The division itself is
proved separately for any limit, spare and number of VMs.
"""

import z3

from .spec import Action, Spec

INSTANCES = ((2, 2, 0), (3, 4, 1), (4, 7, 1), (4, 12, 2))
"""VMs, connection limit and spare VMs of each proved instance."""


def build_spec(vm_count: int = 2, limit: int = 2, spare: int = 0) -> Spec:
    """
    Return the specification of one instance.

    :param vm_count: number of VMs
    :param limit: number of connections that the replica accepts
    :param spare: number of running VMs that a list may lack
    """
    runs = [z3.Bool(f'runs{vm}') for vm in range(vm_count)]
    knows = [
        [z3.Bool(f'knows{vm}_{other}') for other in range(vm_count)] for vm in range(vm_count)
    ]
    opened = [z3.Int(f'opened{vm}') for vm in range(vm_count)]
    variables: dict[str, z3.ExprRef] = {}
    for vm in range(vm_count):
        variables[f'runs{vm}'] = runs[vm]
        variables[f'opened{vm}'] = opened[vm]
        for other in range(vm_count):
            variables[f'knows{vm}_{other}'] = knows[vm][other]

    def share(vm: int, added_vm: int | None = None) -> z3.ArithRef:
        known = [z3.If(one, 1, 0) for one in knows[vm]]
        if added_vm is not None:
            known[added_vm] = z3.IntVal(1)
        listed = z3.Sum(known)
        value = z3.IntVal(0)
        for count in range(1, vm_count + 1):
            value = z3.If(listed == count, limit // (count + spare), value)
        return value

    def missing(vm: int, added_vm: int) -> z3.ArithRef:
        parts = []
        for other in range(vm_count):
            is_running = z3.BoolVal(True) if other == added_vm else runs[other]
            parts.append(z3.If(z3.And(is_running, z3.Not(knows[vm][other])), 1, 0))
        return z3.Sum(parts)

    initial = z3.And(
        *[z3.Not(running) for running in runs],
        *[count == 0 for count in opened],
        *[z3.Not(knows[vm][other]) for vm in range(vm_count) for other in range(vm_count)],
    )
    actions = []
    for vm in range(vm_count):
        lists_allow = z3.And(
            *[
                z3.Or(z3.Not(runs[other]), missing(other, vm) <= spare)
                for other in range(vm_count)
                if other != vm
            ]
        )
        knows_all = {
            f'knows{vm}_{other}': z3.BoolVal(True) if other == vm else runs[other]
            for other in range(vm_count)
        }
        actions.append(
            Action(
                f'vm{vm} starts',
                {
                    'VM is stopped': z3.Not(runs[vm]),
                    'lists lack at most the spare VMs': lists_allow,
                },
                {f'runs{vm}': z3.BoolVal(True), f'opened{vm}': z3.IntVal(0), **knows_all},
            )
        )
        actions.append(
            Action(
                f'vm{vm} exits',
                {'VM runs': runs[vm]},
                {f'runs{vm}': z3.BoolVal(False), f'opened{vm}': z3.IntVal(0)},
            )
        )
        actions.append(
            Action(
                f'vm{vm} opens a connection',
                {'VM runs': runs[vm], 'share is not used up': opened[vm] < share(vm)},
                {f'opened{vm}': opened[vm] + 1},
            )
        )
        for other in range(vm_count):
            if other == vm:
                continue
            actions.append(
                Action(
                    f'vm{vm} learns of vm{other}',
                    {
                        'VM runs': runs[vm],
                        'connections above the new share are closed': opened[vm]
                        <= share(vm, other),
                    },
                    {f'knows{vm}_{other}': z3.BoolVal(True)},
                )
            )
            actions.append(
                Action(
                    f'vm{vm} forgets vm{other}',
                    {'VM runs': runs[vm], 'other VM stopped long ago': z3.Not(runs[other])},
                    {f'knows{vm}_{other}': z3.BoolVal(False)},
                )
            )
    total = z3.Sum([z3.If(runs[vm], opened[vm], 0) for vm in range(vm_count)])
    invariants = {'connections of the fleet are within the limit': total <= limit}
    assumptions = frozenset(('VM is stopped', 'VM runs', 'lists lack at most the spare VMs'))
    lemmas = []
    for vm in range(vm_count):
        vm_lemma = z3.And(
            knows[vm][vm],
            opened[vm] >= 0,
            opened[vm] <= share(vm),
            missing(vm, vm) <= spare,
        )
        lemmas.append(z3.Implies(runs[vm], vm_lemma))
    return Spec('shares', variables, initial, actions, invariants, assumptions, tuple(lemmas))


def prove_division() -> bool:
    """Prove for any number of VMs that equal shares stay within the limit."""
    limit, listed, spare, running, share = z3.Ints('limit listed spare running share')
    solver = z3.Solver()
    solver.add(share >= 0, listed >= 0, spare >= 0, running >= 0)
    solver.add(share * (listed + spare) <= limit)
    solver.add(listed + spare >= running)
    solver.add(running * share > limit)
    return solver.check() == z3.unsat
