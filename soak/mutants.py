"""
Breaks one promise of the product at a time and shows that the soak notices.

Each mutant is some replacements in a copy of the tree, on which the soak runs. The exit status is
0 only if every run names the promise that its mutant breaks. Runs follow each other, since all use
the same loopback addresses.
"""

import subprocess
import sys
import tempfile
from pathlib import Path

from beechbridge.record import Record
from beechbridge.status import ExitStatus
from model.mutants import copy_tree, replace_once

COPIED = ('beechbridge', 'soak', 'model')
SOAK = ('--seeds=1', '--first_seed=7', '--seconds=15', '--vms=5')
TIMEOUT_S = 180
GATEWAY = 'beechbridge/gateway'


class Edit(Record):
    """A text that a file holds exactly once, and what stands there instead."""

    __slots__ = ('file', 'new', 'old')

    def __init__(self, file: str, old: str, new: str):
        self.file = file
        self.old = old
        self.new = new


class SoakMutant(Record):
    """
    One broken promise.

    :param verdict: part of the sentence in which the soak must name it
    :param options: options of the soak besides the usual ones, so that what meets it is frequent
    """

    __slots__ = ('edits', 'name', 'options', 'verdict')

    def __init__(self, name: str, verdict: str, options: tuple[str, ...], *edits: Edit):
        self.name = name
        self.verdict = verdict
        self.options = options
        self.edits = edits


LOSSY = ('--shards=1', '--faults=lossy_replica', '--seconds=25')
SLOW = ('--shards=2', '--faults=slow_replica', '--faults=silence_links', '--seconds=30')
ANY = ()


MUTANTS = (
    SoakMutant(
        'a filing whose answer is lost runs again',
        'ran 2 times',
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
        'what may have run is refused as not run',
        'was refused and has run',
        LOSSY,
        Edit(
            'beechbridge/platform/callers.py',
            'status = DEADLINE_STATUS if answer.reason is Reason.DEADLINE else UNKNOWN_STATUS',
            'status = NOT_RUN_STATUS',
        ),
    ),
    SoakMutant(
        'a missing shard is not told',
        'missing fit no set of shards',
        SLOW,
        Edit(
            f'{GATEWAY}/requests/answers.py',
            'len(work.tasks) - len(signatures))',
            '0)',
        ),
    ),
    SoakMutant(
        'too few shards make a success',
        'a success with',
        ANY,
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
        'the least records are kept',
        'is not the greatest records',
        ANY,
        Edit(f'{GATEWAY}/requests/answers.py', 'heapq.nlargest', 'heapq.nsmallest'),
    ),
    SoakMutant(
        'a reply to another request is taken',
        'signs no part of it',
        ANY,
        Edit(
            f'{GATEWAY}/requests/answers.py',
            'signatures = [reply.signature for reply in replies]',
            "signatures = [reply.signature + 'x' for reply in replies]",
        ),
    ),
    SoakMutant(
        'repeats know no budget',
        'repeats of',
        ANY,
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
        'a leaving replica gets new work',
        'after it had left',
        ANY,
        Edit(
            f'{GATEWAY}/replicas/upstreams.py',
            'return not self.is_gone and not self.entry.is_draining',
            'return not self.is_gone',
        ),
        Edit(
            f'{GATEWAY}/replicas/store_updates.py',
            'apply_entry_removal(item.key, state, gateway)\n        return',
            'pass\n        return',
        ),
    ),
    SoakMutant(
        'newer tables are passed over',
        'no gather was served',
        ('--faults=reshard',),
        Edit(
            f'{GATEWAY}/replicas/store_updates.py',
            'if current is not None and table.version <= current.version:',
            'if current is not None:',
        ),
    ),
    SoakMutant(
        'a stop cuts off what is in flight',
        'was cut off by',
        ('--faults=stop_vm',),
        Edit(
            f'{GATEWAY}/fleet/stopping.py',
            "    gateway.act(WriteLine('stop_asked'",
            "    gateway.act(ExitProcess())\n    gateway.act(WriteLine('stop_asked'",
        ),
        Edit('beechbridge/daemon/gateway.py', 'EXIT_DELAY_S = 0.15', 'EXIT_DELAY_S = 0.0'),
    ),
)


def run_mutant(mutant: SoakMutant) -> str:
    """Return 'noticed', or what is wrong with the mutant."""
    with tempfile.TemporaryDirectory(prefix='soak-mutant-') as folder:
        root = Path(folder)
        copy_tree(COPIED, root)
        for edit in mutant.edits:
            problem = replace_once(root / edit.file, edit.old, edit.new)
            if problem:
                return problem
        done = subprocess.run(
            [sys.executable, '-m', 'soak.run', *SOAK, *mutant.options],
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
    """Run all mutants, or those whose names hold an argument."""
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
