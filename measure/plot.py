"""Draws the results of a run: latency and coverage of both policies, scenario by scenario."""

import sys
from pathlib import Path

import matplotlib

matplotlib.use('Agg')

import matplotlib.pyplot as plt
import msgspec

COLOURS = {'naive': '#b0b0b0', 'current': '#2166ac'}
BAR_WIDTH = 0.4


def p99_ms(figures: dict) -> float:
    """Return the 99th percentile of the most urgent class that was answered, 0 if none was."""
    latencies = list(figures['latency_ms'].values())
    return latencies[0][1] if latencies else 0.0


PANELS = (
    ('p99 latency of the most urgent class, ms', p99_ms),
    ('complete answers, %', lambda figures: 100 * figures['complete_share']),
    ('weighted answers in time, % of allowed', lambda figures: 100 * figures['weighted_in_time']),
)


def draw(report: dict, path: Path) -> None:
    """Draw one column of panels a user."""
    results = report['results']
    figure, axes = plt.subplots(
        len(PANELS), len(results), figsize=(8 * len(results), 9), squeeze=False
    )
    for column, (user, by_policy) in enumerate(results.items()):
        for row, (title, read) in enumerate(PANELS):
            draw_panel(axes[row][column], f'{user}: {title}', by_policy, read)
    axes[0][0].legend()
    figure.suptitle(f'seed {report["seed"]}, commit {report["commit"]}')
    figure.tight_layout()
    figure.savefig(path)


def draw_panel(axis, title: str, by_policy: dict, read) -> None:
    """Draw the bars of both policies side by side."""
    names = list(next(iter(by_policy.values())))
    for number, (policy, rows) in enumerate(by_policy.items()):
        places = [place + number * BAR_WIDTH for place in range(len(names))]
        values = [read(rows[name]) for name in names]
        axis.bar(places, values, BAR_WIDTH, label=policy, color=COLOURS[policy])
    axis.set_xticks([place + BAR_WIDTH / 2 for place in range(len(names))], names, rotation=40)
    axis.set_title(title, fontsize=10)


def main() -> None:
    """Draw a results file beside itself."""
    path = Path(sys.argv[1])
    draw(msgspec.json.decode(path.read_bytes()), path.with_suffix('.png'))


if __name__ == '__main__':
    main()
