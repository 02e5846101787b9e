"""Plots the results of a run: latency and coverage of both policies for each scenario."""

import sys
from pathlib import Path

import matplotlib

matplotlib.use('Agg')

import matplotlib.pyplot as plt
import msgspec

COLOURS = {'naive': '#b0b0b0', 'current': '#2166ac'}
BAR_WIDTH = 0.4


def p99_ms(figures: dict) -> float:
    """Return the p99 latency of the most urgent class with answers, 0 if there is none."""
    latencies = list(figures['latency_ms'].values())
    return latencies[0][1] if latencies else 0.0


PANELS = (
    ('p99 latency of the most urgent class, ms', p99_ms),
    ('complete answers, %', lambda figures: 100 * figures['complete_share']),
    ('weighted answers in time, % of allowed', lambda figures: 100 * figures['weighted_in_time']),
)


def draw(report: dict, path: Path) -> None:
    """Plot one column of panels for each user."""
    results = report['results']
    figure, axes = plt.subplots(
        len(PANELS), len(results), figsize=(8 * len(results), 9), squeeze=False
    )
    for column, (user, by_policy) in enumerate(results.items()):
        for row, (title, get_value) in enumerate(PANELS):
            draw_panel(axes[row][column], f'{user}: {title}', by_policy, get_value)
    axes[0][0].legend()
    figure.suptitle(f'seed {report["seed"]}, commit {report["commit"]}')
    figure.tight_layout()
    figure.savefig(path)


def draw_panel(axis, title: str, by_policy: dict, get_value) -> None:
    """Plot the bars of both policies side by side."""
    names = list(next(iter(by_policy.values())))
    for number, (policy, rows) in enumerate(by_policy.items()):
        positions = [position + number * BAR_WIDTH for position in range(len(names))]
        values = [get_value(rows[name]) for name in names]
        axis.bar(positions, values, BAR_WIDTH, label=policy, color=COLOURS[policy])
    axis.set_xticks(
        [position + BAR_WIDTH / 2 for position in range(len(names))], names, rotation=40
    )
    axis.set_title(title, fontsize=10)


def main() -> None:
    """Plot a results file to a PNG file next to it."""
    path = Path(sys.argv[1])
    draw(msgspec.json.decode(path.read_bytes()), path.with_suffix('.png'))


if __name__ == '__main__':
    main()
