"""
Spread of the configuration to three VMs from a service that may be stale or restored.

Gossip compares generations and digests periodically, so that a lost message only causes a delay.
Each generation has two possible documents, to cover a race between operators; one document of
generation 2 is invalid, to cover a faulty document.
"""

import z3

from .spec import Action, Spec

VMS = 3
NEWEST = 3
NONE = 0


def build_spec() -> Spec:
    """Return the specification."""
    held = [z3.Int(f'held{vm}') for vm in range(VMS)]
    digest = [z3.Bool(f'digest{vm}') for vm in range(VMS)]
    highest = [z3.Int(f'highest{vm}') for vm in range(VMS)]
    swapped = [z3.Bool(f'swapped{vm}') for vm in range(VMS)]
    service = z3.Int('service')
    service_digest = z3.Bool('service_digest')
    variables = {'service': service, 'service_digest': service_digest}
    for vm in range(VMS):
        variables[f'held{vm}'] = held[vm]
        variables[f'digest{vm}'] = digest[vm]
        variables[f'highest{vm}'] = highest[vm]
        variables[f'swapped{vm}'] = swapped[vm]
    initial = z3.And(
        service == NONE,
        z3.Not(service_digest),
        *[held[vm] == NONE for vm in range(VMS)],
        *[z3.Not(digest[vm]) for vm in range(VMS)],
        *[highest[vm] == NONE for vm in range(VMS)],
        *[z3.Not(swapped[vm]) for vm in range(VMS)],
    )

    def accept(vm: int, generation: z3.ArithRef, new_digest: z3.BoolRef) -> dict[str, z3.ExprRef]:
        is_swap = z3.And(generation == held[vm], new_digest != digest[vm])
        return {
            f'held{vm}': generation,
            f'digest{vm}': new_digest,
            f'highest{vm}': z3.If(generation > highest[vm], generation, highest[vm]),
            f'swapped{vm}': z3.Or(swapped[vm], is_swap),
        }

    actions = []
    for generation in range(1, NEWEST + 1):
        for new_digest in (False, True):
            name = f'service publishes {generation}{"b" if new_digest else "a"}'
            published = {
                'service': z3.IntVal(generation),
                'service_digest': z3.BoolVal(new_digest),
            }
            actions.append(Action(name, {}, published))
    for vm in range(VMS):
        actions.append(
            Action(
                f'vm{vm} reads the service',
                {
                    'service has a document': service > NONE,
                    'document is newer': service > held[vm],
                    'document is valid': is_valid(service, service_digest),
                },
                accept(vm, service, service_digest),
            )
        )
        restart = {
            f'held{vm}': z3.IntVal(NONE),
            f'digest{vm}': z3.BoolVal(False),
            f'highest{vm}': z3.IntVal(NONE),
            f'swapped{vm}': z3.BoolVal(False),
        }
        actions.append(Action(f'vm{vm} restarts', {}, restart))
        for peer in range(VMS):
            if peer == vm:
                continue
            actions.append(
                Action(
                    f'vm{vm} fetches from vm{peer}',
                    {
                        'peer has a document': held[peer] > NONE,
                        'document is newer': held[peer] > held[vm],
                    },
                    accept(vm, held[peer], digest[peer]),
                )
            )
    invariants = {}
    for vm in range(VMS):
        invariants[f'vm{vm} never returns to an older generation'] = held[vm] >= highest[vm]
        invariants[f'vm{vm} holds one document per generation'] = z3.Not(swapped[vm])
        invariants[f'vm{vm} holds a valid document'] = z3.Or(
            held[vm] == NONE, is_valid(held[vm], digest[vm])
        )
        for peer in range(VMS):
            if peer == vm:
                continue
            fetch_guards = [
                z3.And(*action.guards.values())
                for action in actions
                if action.name.startswith(f'vm{vm} fetches')
            ]
            invariants[f'vm{vm} can catch up with vm{peer}'] = z3.Implies(
                held[vm] < held[peer], z3.Or(*fetch_guards)
            )
    assumptions = frozenset(('service has a document', 'peer has a document'))
    return Spec('configuration', variables, initial, actions, invariants, assumptions)


def is_valid(generation: z3.ArithRef, new_digest: z3.BoolRef) -> z3.BoolRef:
    """Return whether a document is valid; only the second one of generation 2 is not."""
    return z3.Not(z3.And(generation == 2, new_digest))
