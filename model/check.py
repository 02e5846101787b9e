"""
Proves every specification and shows that every mutant breaks.

The exit status is 0 only if all proofs hold and each mutant yields a trace.
"""

import sys

from . import configuration, drain, orders, repeats, shares, stopping, tickets
from .spec import Spec, find_trace, format_trace, prove


def build_specs() -> list[Spec]:
    """Return the specifications whose mutants are checked."""
    modules = (tickets, configuration, stopping, drain, shares, repeats, orders)
    return [module.build_spec() for module in modules]


def check_proofs() -> bool:
    """Prove the specifications, further instances of some, and the division of shares."""
    specs = build_specs() + [shares.build_spec(*sizes) for sizes in shares.INSTANCES[1:]]
    specs += [orders.build_spec(count) for count in orders.INSTANCES[1:]]
    all_hold = True
    for spec in specs:
        holds = prove(spec)
        all_hold = all_hold and holds
        print(f'{spec.name:<16}{len(spec.actions):>3} actions  {"proved" if holds else "BROKEN"}')
        if not holds:
            print(format_trace(spec, find_trace(spec) or []))
    divides = shares.prove_division()
    print(f'division of a limit, any sizes  {"proved" if divides else "BROKEN"}')
    return all_hold and divides


def check_mutants() -> bool:
    """Print the shortest trace of every mutant."""
    all_break = True
    for spec in build_specs():
        for mutant in spec.mutants():
            trace = find_trace(mutant)
            print(f'\n{mutant.name}: {"breaks" if trace else "DOES NOT BREAK"}')
            all_break = all_break and trace is not None
            print(format_trace(mutant, trace or []))
    return all_break


def main() -> int:
    """Run all checks."""
    proved = check_proofs()
    broken = check_mutants()
    print('\nall proved, every mutant breaks' if proved and broken else '\nsomething is wrong')
    return 0 if proved and broken else 1


if __name__ == '__main__':
    sys.exit(main())
