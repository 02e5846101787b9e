"""
Prove all specifications and find a counterexample for each of their mutants.

The exit status is 0 only if all proofs hold and every mutant has a counterexample.
"""

import sys

from . import (
    configuration,
    drain,
    extra_attempts,
    orders,
    permits,
    relays,
    shares,
    stopping,
    tickets,
    withdrawal,
)
from .spec import Spec, find_trace, format_trace, prove


def build_specs() -> list[Spec]:
    """Return the specifications whose mutants are checked."""
    modules = (
        tickets,
        configuration,
        stopping,
        drain,
        shares,
        extra_attempts,
        orders,
        permits,
        relays,
        withdrawal,
    )
    return [module.build_spec() for module in modules]


def check_proofs() -> bool:
    """Prove the specifications, further instances of some, and the division into shares."""
    specs = build_specs() + [shares.build_spec(*sizes) for sizes in shares.INSTANCES[1:]]
    specs += [orders.build_spec(count) for count in orders.INSTANCES[1:]]
    all_hold = True
    for spec in specs:
        holds = prove(spec)
        all_hold = all_hold and holds
        print(f'{spec.name:<16}{len(spec.actions):>3} actions  {"proved" if holds else "BROKEN"}')
        if not holds:
            print(format_trace(spec, find_trace(spec) or []))
    division_holds = shares.prove_division()
    print(f'division of a limit, any sizes  {"proved" if division_holds else "BROKEN"}')
    bound_holds = permits.prove_bound()
    print(f'bound of a limit, any limit     {"proved" if bound_holds else "BROKEN"}')
    return all_hold and division_holds and bound_holds


def check_mutants() -> bool:
    """Print the shortest counterexample of every mutant."""
    all_refuted = True
    for spec in build_specs():
        for mutant in spec.mutants():
            trace = find_trace(mutant)
            print(f'\n{mutant.name}: {"counterexample found" if trace else "NO COUNTEREXAMPLE"}')
            all_refuted = all_refuted and trace is not None
            print(format_trace(mutant, trace or []))
    return all_refuted


def main() -> int:
    """Run all checks and return the exit status."""
    proved = check_proofs()
    refuted = check_mutants()
    print(
        '\nall specifications proved, counterexample found for every mutant'
        if proved and refuted
        else '\ncheck failed: see BROKEN and NO COUNTEREXAMPLE above'
    )
    return 0 if proved and refuted else 1


if __name__ == '__main__':
    sys.exit(main())
