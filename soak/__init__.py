"""
Fault soak: the real programs as separate processes on loopback, with faults from outside.

`make soak` runs it. The parts: `standins` (store and replicas), `proxy` (links that fail),
`fleet` (processes and signals), `callers`, `ledger` (what was seen, and the promises that it is
checked against), `faults` (a plan from a seed), `run` and `mutants` (each check is able to fail).
`regressions.txt` keeps the runs that ever failed.
"""
