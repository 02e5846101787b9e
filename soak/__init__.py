"""
Soak test with fault injection: the real programs run as separate processes on loopback.

`make soak` runs it. `standins` has the store and the replicas, `proxy` the faulty connections,
`fleet` the processes and signals, `callers` the clients, `faults` the fault schedule of a seed,
`ledger` the recorded traffic and the checks of what the product promises, `run` the entry point.
Options of a run are listed by `python -m soak.run --help`: with `--planned` no fault excuses a
request that is lost.
`mutants` shows that each check can fail. `regressions.txt` lists the runs that have ever failed.
"""
