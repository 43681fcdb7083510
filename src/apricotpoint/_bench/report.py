"""Report of a benchmark run: a table and plots."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import matplotlib as mpl

from apricotpoint._bench.figure import Figure

mpl.use("Agg")
from matplotlib import pyplot as plt  # noqa: E402


def write_report(figures: Sequence[Figure], folder: Path) -> None:
    """Write `bench.md` and, per deployment, a plot of mean response time / ideal to `folder`."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "bench.md").write_text(_table(figures), encoding="utf-8")
    for deployment in sorted({figure.deployment for figure in figures}):
        deployment_figures = [figure for figure in figures if figure.deployment == deployment]
        _plot(deployment_figures, deployment, folder / f"bench-{deployment}.png")


def _table(figures: Sequence[Figure]) -> str:
    lines = [
        "# Bench",
        "",
        "| deployment | scenario | policy | metric | value | unit | target | met |",
        "|---|---|---|---|---|---|---|---|",
    ]
    for item in figures:
        if item.metric.startswith("own_messages."):
            continue
        target = "" if item.target is None else f"{item.target:g}"
        met = {None: "", True: "yes", False: "no"}[item.met]
        lines.append(
            f"| {item.deployment} | {item.scenario} | {item.policy} | {item.metric} "
            f"| {item.value:g} | {item.unit} | {target} | {met} |"
        )
    return "\n".join(lines) + "\n"


def _plot(figures: Sequence[Figure], deployment: str, path: Path) -> None:
    ratios = [figure for figure in figures if figure.metric == "ideal_ratio_mean"]
    labels = [f"{figure.scenario} {figure.policy}" for figure in ratios]
    chart, axes = plt.subplots(figsize=(9, 0.35 * len(labels) + 1.5))
    axes.barh(labels, [figure.value for figure in ratios])
    axes.axvline(1.0, color="black", linewidth=0.8)
    axes.invert_yaxis()
    axes.set_xlabel("mean response time / ideal")
    axes.set_title(deployment)
    chart.tight_layout()
    chart.savefig(path)
    plt.close(chart)
