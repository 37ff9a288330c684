"""Generates the HTML report of a rollout from its journal: steps with reasons, curves and intervals."""

from __future__ import annotations

import math
import time
from collections import defaultdict
from html import escape
from pathlib import Path
from typing import Any

from matplotlib.figure import Figure

from heronstall.report.page import STYLE
from heronstall.report.plots import svg
from heronstall.rollout.plan import Plan
from heronstall.rollout.state import State

NEW_COLOUR, OLD_COLOUR = "#3b7ea1", "#8a8a8a"
UNLISTED_KINDS = ("begin", "baseline", "watch", "look", "epoch")
MAX_WATCHES_SHOWN = 6  # the number of latest watches that the page shows


def plot_curves(evaluations: list[dict[str, Any]]) -> str:
    """Returns a plot of both cohorts' metrics over the interim evaluations of one watch."""
    names = [
        name
        for name in evaluations[-1]["levels"]
        if any(name in evaluation["levels"] for evaluation in evaluations)
    ]
    column_count = 3
    row_count = max(1, math.ceil(len(names) / column_count))
    figure = Figure(figsize=(9.0, 1.7 * row_count), layout="constrained")
    axes = figure.subplots(row_count, column_count, squeeze=False)
    for n, name in enumerate(names):
        subplot = axes[n // column_count][n % column_count]
        present_evaluations = [evaluation for evaluation in evaluations if name in evaluation["levels"]]
        at = [evaluation["elapsed"] / 1e6 for evaluation in present_evaluations]
        for k, (label, colour) in enumerate((("new", NEW_COLOUR), ("old", OLD_COLOUR))):
            subplot.plot(
                at,
                [evaluation["levels"][name][k] for evaluation in present_evaluations],
                color=colour,
                label=label,
                marker=".",
            )
        subplot.set_title(name, fontsize=8)
        subplot.tick_params(labelsize=7)
    for n in range(len(names), row_count * column_count):
        axes[n // column_count][n % column_count].axis("off")
    if names:
        axes[0][0].legend(frameon=False, fontsize=7)
    return svg(figure)


def plot_intervals(evaluation: dict[str, Any]) -> str:
    """Returns a plot of an evaluation's findings: the degradation in units of the tolerance."""
    rows = [row for row in evaluation["findings"] if row[4] > 0]
    if not rows:
        return ""
    figure = Figure(figsize=(9.0, 0.7 + 0.24 * len(rows)))
    axes = figure.subplots()
    for n, (_, _, value, lower_bound, tolerance, bad) in enumerate(rows):
        colour = "#aa1111" if bad else "0.4"
        axes.plot(
            [max(-4, lower_bound / tolerance), min(4, value / tolerance)], [n, n], color=colour, linewidth=2
        )
        axes.plot([max(-4, min(4, value / tolerance))], [n], "o", color=colour, markersize=4)
    axes.axvline(0.0, color="0.3", linewidth=0.8)
    axes.axvline(1.0, color="#aa1111", linewidth=0.8, linestyle=":")
    axes.set_yticks(range(len(rows)), [f"{row[0]} {row[1]}".strip() for row in rows], fontsize=7)
    axes.invert_yaxis()
    axes.set_xlim(-4.2, 4.2)
    axes.set_xlabel("degradation, 1 = tolerated; each line begins at the lower confidence bound")
    return svg(figure)


def _format_time(record: dict[str, Any]) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(record["at"] / 1e6))


def rollout_page(plan: Plan, records: list[dict[str, Any]]) -> str:
    """Returns the HTML page; it references no external resources."""
    state = State.from_records(records)
    steps = []
    for r in records:
        if r["kind"] in UNLISTED_KINDS and not r.get("foot"):
            continue
        detail = "; ".join(r["all"]) if "all" in r else r.get("reason") or r.get("text") or ""
        dispatcher = r.get("dispatcher", "")
        colour = "bad" if r["kind"] in ("back", "refused", "lost", "trouble", "hold", "stopped") else ""
        steps.append(
            f'<tr class="{colour}"><td>{_format_time(r)}</td><td>{r["kind"]}</td>'
            f"<td>{escape(dispatcher)}</td>"
            f"<td>{escape(str(detail))}</td></tr>"
        )
    watches: dict[tuple[int, int], list[dict[str, Any]]] = defaultdict(list)
    watch_number = 0
    for r in records:
        watch_number += r["kind"] == "watch"
        if r["kind"] == "look" and not r.get("foot"):
            watches[watch_number, r["stage"]].append(r)
    watch_sections = []
    for (_, stage), evaluations in list(watches.items())[-MAX_WATCHES_SHOWN:]:
        jobs = ", ".join(f"{name} {n:.0f}" for name, n in evaluations[-1]["jobs"].items())
        watch_sections.append(
            f"<h2>Stage {stage + 1}, watched from {_format_time(evaluations[0])}</h2>"
            f"<p>Jobs at new dispatchers: {escape(jobs)}. {len(evaluations)} interim evaluations.</p>"
            f"{plot_curves(evaluations)}{plot_intervals(evaluations[-1])}"
        )
    status_class = "good" if state.phase == "done" else "bad" if state.phase == "stopped" else ""
    stages = "".join(
        f"<tr><td>{n + 1}</td><td>{escape(', '.join(names)) or 'none'}</td></tr>"
        for n, names in enumerate(state.stages)
    )
    reason_text = f": {escape(state.reason)}" if state.reason else ""
    return (
        '<!doctype html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>heronstall: rollout {escape(plan.name)}</title><style>{STYLE}</style></head><body>"
        f"<h1>Rollout {escape(plan.name)}</h1><p>{escape(state.release)},"
        f" {len(state.placements)} dispatchers."
        f' <b class="{status_class}">{state.phase}{reason_text}.</b></p>'
        f"<h2>Steps</h2><table>{''.join(steps)}</table>{''.join(watch_sections)}"
        f"<h2>Stages</h2><table>{stages}</table></body></html>\n"
    )


def write_rollout_page(plan: Plan, records: list[dict[str, Any]], folder: Path) -> Path:
    """Writes rollout.html into a folder, creating it if needed."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "rollout.html"
    path.write_text(rollout_page(plan, records), encoding="utf-8")
    return path
