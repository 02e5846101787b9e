"""
Mutation test of the soak: breaks one promise of the product at a time.

Each mutant replaces some text in a copy of the tree, on which the soak runs. The exit status is 0
only if every run reports the promise that its mutant breaks. The mutants run in sequence, since
all runs use the same loopback addresses.
"""

import subprocess
import sys
import tempfile
from pathlib import Path

from beechbridge.record import Record
from beechbridge.status import ExitStatus
from model.mutants import copy_tree, replace_once

COPIED = ('beechbridge', 'soak', 'model')
SOAK_OPTIONS = ('--seeds=1', '--first_seed=7', '--seconds=15', '--vms=5')
TIMEOUT_S = 180
GATEWAY = 'beechbridge/gateway'


class Edit(Record):
    """A text that occurs exactly once in a file, and its replacement."""

    __slots__ = ('file', 'new', 'old')

    def __init__(self, file: str, old: str, new: str):
        self.file = file
        self.old = old
        self.new = new


class SoakMutant(Record):
    """
    A mutant that breaks one promise.

    :param verdict: part of the message with which the soak must report it
    :param options: extra options of the soak that make the affected case frequent
    """

    __slots__ = ('edits', 'name', 'options', 'verdict')

    def __init__(self, name: str, verdict: str, options: tuple[str, ...], *edits: Edit):
        self.name = name
        self.verdict = verdict
        self.options = options
        self.edits = edits


LOSSY = ('--shards=1', '--faults=lossy_replica', '--seconds=25')
SLOW = ('--shards=2', '--faults=slow_replica', '--faults=silence_links', '--seconds=30')
NO_OPTIONS = ()
LIMITED = ('--shards=2', '--faults=limited_replica', '--seconds=30')
LEAVING = ('--shards=2', '--faults=leaving_replica', '--seconds=30')
STOPS = ('--faults=stop_series', '--faults=long_work', '--seconds=25')
COLD = ('--shards=2', '--faults=cold_replica', '--seconds=25')
HOMES = ('--shards=2', '--faults=moved_homes', '--seconds=25')
EVACUATIONS = ('--shards=2', '--faults=evacuated_zone', '--seconds=25')
BURSTS = ('--shards=2', '--faults=burst', '--seconds=20')
DEADLY = ('--shards=2', '--faults=deadly_request', '--seconds=20')


MUTANTS = (
    SoakMutant(
        'evacuated replicas get requests',
        'was evacuated',
        EVACUATIONS,
        Edit(
            f'{GATEWAY}/replicas/evacuations.py',
            'state.is_evacuated = gateway.evacuations.is_evacuated(state.entry.zone)',
            'state.is_evacuated = False',
        ),
    ),
    SoakMutant(
        'cold replicas get as much as warm ones',
        'while it was cold',
        COLD,
        Edit(
            f'{GATEWAY}/replicas/cold_limits.py',
            'notices.cold_limit = make_limit(rules.cold_rate_per_s, gateway.cold_rules)',
            'return',
        ),
    ),
    SoakMutant(
        'home regions are ignored',
        'outside its home regions',
        HOMES,
        Edit(
            f'{GATEWAY}/requests/candidates.py',
            'work.allowed_zones = zones_of(current_homes(work, gateway), gateway.fleet.regions)',
            'work.allowed_zones = None',
        ),
    ),
    SoakMutant(
        'rejections do not say when to retry',
        'was rejected without a time to retry',
        BURSTS,
        Edit(
            'beechbridge/platform/callers.py',
            'if answer.retry_after_ms is not None:',
            'if False:',
        ),
    ),
    SoakMutant(
        'no request is ever convicted',
        'after it had ended the third',
        DEADLY,
        Edit(
            f'{GATEWAY}/requests/suspicion.py',
            'return Verdict.CONVICTED if self.is_convicting(suspicion) else Verdict.SUSPECT',
            'return Verdict.SUSPECT',
        ),
    ),
    SoakMutant(
        'a lost connection convicts',
        'was turned away though it ends no replica',
        ('--shards=1', '--faults=lossy_replica', '--faults=reset_links', '--seconds=30'),
        Edit(
            f'{GATEWAY}/requests/evidence.py',
            'if event.is_refused:',
            'if True:',
        ),
    ),
    SoakMutant(
        'the limits of replicas are ignored',
        'for a limit of',
        LIMITED,
        Edit(
            f'{GATEWAY}/replicas/notices.py',
            'notices.limit_per_s = limit_per_s\n',
            'notices.limit_per_s = None\n',
        ),
    ),
    SoakMutant(
        'replicas that say they leave stay in use',
        'that it leaves',
        LEAVING,
        Edit(
            f'{GATEWAY}/replicas/notices.py',
            'notices.is_leaving = True\n',
            'notices.is_leaving = False\n',
        ),
    ),
    SoakMutant(
        'a filing without a response is retried',
        'was executed 2 times',
        LOSSY,
        Edit(
            f'{GATEWAY}/requests/progress.py',
            'may_retry=not failure.was_sent or task.work.route.is_idempotent',
            'may_retry=True',
        ),
        Edit(
            f'{GATEWAY}/requests/progress.py',
            'resume_task(task, gateway, may_retry=work.route.is_idempotent)',
            'resume_task(task, gateway, may_retry=True)',
        ),
    ),
    SoakMutant(
        'an unknown outcome is reported as not run',
        'was rejected but had been executed',
        LOSSY,
        Edit(
            'beechbridge/platform/callers.py',
            'status = DEADLINE_STATUS if answer.reason is Reason.DEADLINE else UNKNOWN_STATUS',
            'status = NOT_RUN_STATUS',
        ),
    ),
    SoakMutant(
        'missing shards are not reported',
        'missing match no published set of shards',
        SLOW,
        Edit(
            f'{GATEWAY}/requests/answers.py',
            'len(work.tasks) - len(signatures))',
            '0)',
        ),
    ),
    SoakMutant(
        'a gather succeeds with too few shards',
        'succeeded below the minimum coverage with',
        NO_OPTIONS,
        Edit(
            f'{GATEWAY}/requests/works.py',
            'return max(1, math.ceil(self.route.min_share * len(self.tasks) - 1e-9))',
            'return 1',
        ),
        Edit(
            f'{GATEWAY}/requests/progress.py',
            'if gateway.now_ms >= work.soft_at_ms or not',
            'if gateway.now_ms >= work.arrived_ms + 4 or not',
        ),
    ),
    SoakMutant(
        'the smallest records are returned',
        'does not hold the largest records',
        NO_OPTIONS,
        Edit(f'{GATEWAY}/requests/answers.py', 'heapq.nlargest', 'heapq.nsmallest'),
    ),
    SoakMutant(
        'a part of another request is accepted',
        'belongs to no part of this request',
        NO_OPTIONS,
        Edit(
            f'{GATEWAY}/requests/answers.py',
            'signatures = [reply.signature for reply in replies]',
            "signatures = [reply.signature + 'x' for reply in replies]",
        ),
    ),
    SoakMutant(
        'the retry budget is ignored',
        'requests exceed the budget',
        NO_OPTIONS,
        Edit(
            f'{GATEWAY}/requests/budgets.py',
            'if self.extra_count + 1 > self.allowed(share, now_ms):',
            'if False:',
        ),
        Edit(
            f'{GATEWAY}/requests/hedges.py',
            'due_ms = exchange.sent_ms + hedge_delay_ms(exchange, share, gateway)',
            'due_ms = exchange.sent_ms + 2.0',
        ),
    ),
    SoakMutant(
        'a withdrawn replica gets new requests',
        'after it was withdrawn',
        NO_OPTIONS,
        Edit(
            f'{GATEWAY}/replicas/upstreams.py',
            'self.is_gone or self.entry.is_draining or self.notices.is_leaving',
            'self.is_gone',
        ),
        Edit(
            f'{GATEWAY}/replicas/store_updates.py',
            'apply_entry_removal(item.key, state, gateway)\n        return',
            'pass\n        return',
        ),
    ),
    SoakMutant(
        'newer route tables are ignored',
        'no gather succeeded',
        ('--faults=reshard',),
        Edit(
            f'{GATEWAY}/replicas/store_updates.py',
            'if current is not None and table.version <= current.version:',
            'if current is not None:',
        ),
    ),
    SoakMutant(
        'a stop aborts requests in flight',
        'was forwarded but aborted by',
        ('--faults=stop_vm',),
        Edit(
            f'{GATEWAY}/fleet/stopping.py',
            "    gateway.act(WriteLine('stop_asked'",
            "    gateway.act(ExitProcess(0.0))\n    gateway.act(WriteLine('stop_asked'",
        ),
        Edit('beechbridge/daemon/gateway.py', 'EXIT_DELAY_S = 0.15', 'EXIT_DELAY_S = 0.0'),
    ),
    SoakMutant(
        'the exit drops what is in flight',
        'the replica was at work',
        STOPS,
        Edit(
            f'{GATEWAY}/fleet/stopping.py',
            'gateway.timers.arm(gateway.now_ms, DeadlineTimer(key))',
            'pass',
        ),
    ),
    SoakMutant(
        'the exit drops answers that are being sent',
        'the replica had done its work',
        (*STOPS, '--first_seed=1'),
        Edit('beechbridge/daemon/closing.py', 'if is_sent or', 'if True or'),
    ),
    SoakMutant(
        'requests that a stopping VM rejects get no answer',
        'was sent but not answered by',
        STOPS,
        Edit(
            'beechbridge/daemon/front.py',
            'if caller is None:\n            return\n        self.keys_by_channel',
            "is_lost = getattr(answer, 'retry_after_ms', None) == 0 and caller is not None\n"
            '        is_lost = is_lost and caller.channel.server.adj is self.callers_adjustments\n'
            '        if caller is None or is_lost:\n            return\n'
            '        self.keys_by_channel',
        ),
    ),
    SoakMutant(
        'work is taken until the end of a stop',
        'was given up by',
        STOPS,
        Edit(
            f'{GATEWAY}/fleet/stopping.py',
            'return now_ms >= self.at_ms(LONG_REQUEST_SHARE) and',
            'return False and',
        ),
    ),
)


def run_mutant(mutant: SoakMutant) -> str:
    """Return 'noticed' if the soak reports the broken promise, else what went wrong."""
    with tempfile.TemporaryDirectory(prefix='soak-mutant-') as folder:
        root = Path(folder)
        copy_tree(COPIED, root)
        for edit in mutant.edits:
            problem = replace_once(root / edit.file, edit.old, edit.new)
            if problem:
                return problem
        done = subprocess.run(
            [sys.executable, '-m', 'soak.run', *SOAK_OPTIONS, *mutant.options],
            cwd=root,
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        if mutant.verdict in done.stdout:
            return 'noticed'
        return f'MISSED: {done.stdout.strip().splitlines()[-3:]} {done.stderr[-200:]}'


def main() -> ExitStatus:
    """Run all mutants, or those whose names contain the argument."""
    wanted = sys.argv[1] if len(sys.argv) > 1 else ''
    missed_count = 0
    for mutant in MUTANTS:
        if wanted not in mutant.name:
            continue
        verdict = run_mutant(mutant)
        missed_count += verdict != 'noticed'
        print(f'{mutant.name:<45}{verdict}', flush=True)
    return ExitStatus.ERROR if missed_count else ExitStatus.OK


if __name__ == '__main__':
    sys.exit(main())
