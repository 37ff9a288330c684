"""One page on a rollout, from its journal: what happened and why, curves of old and new, intervals."""

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

NEW, OLD = "#3b7ea1", "#8a8a8a"
PLAIN = ("begin", "baseline", "watch", "look", "epoch")
PERIODS = 6  # watches shown at the most; the latest


def curves(looks: list[dict[str, Any]]) -> str:
    """Either cohort's figures, look by look of one watch."""
    names = [name for name in looks[-1]["levels"] if any(name in look["levels"] for look in looks)]
    across = 3
    down = max(1, math.ceil(len(names) / across))
    figure = Figure(figsize=(9.0, 1.7 * down), layout="constrained")
    axes = figure.subplots(down, across, squeeze=False)
    for n, name in enumerate(names):
        one = axes[n // across][n % across]
        some = [look for look in looks if name in look["levels"]]
        at = [look["elapsed"] / 1e6 for look in some]
        for k, (label, colour) in enumerate((("new", NEW), ("old", OLD))):
            one.plot(at, [look["levels"][name][k] for look in some], color=colour, label=label, marker=".")
        one.set_title(name, fontsize=8)
        one.tick_params(labelsize=7)
    for n in range(len(names), down * across):
        axes[n // across][n % across].axis("off")
    if names:
        axes[0][0].legend(frameon=False, fontsize=7)
    return svg(figure)


def intervals(look: dict[str, Any]) -> str:
    """A look's findings: what new is worse by, in units of what is tolerable."""
    rows = [row for row in look["findings"] if row[4] > 0]
    if not rows:
        return ""
    figure = Figure(figsize=(9.0, 0.7 + 0.24 * len(rows)))
    axes = figure.subplots()
    for n, (_, _, value, least, tolerable, bad) in enumerate(rows):
        colour = "#aa1111" if bad else "0.4"
        axes.plot([max(-4, least / tolerable), min(4, value / tolerable)], [n, n], color=colour, linewidth=2)
        axes.plot([max(-4, min(4, value / tolerable))], [n], "o", color=colour, markersize=4)
    axes.axvline(0.0, color="0.3", linewidth=0.8)
    axes.axvline(1.0, color="#aa1111", linewidth=0.8, linestyle=":")
    axes.set_yticks(range(len(rows)), [f"{row[0]} {row[1]}".strip() for row in rows], fontsize=7)
    axes.invert_yaxis()
    axes.set_xlim(-4.2, 4.2)
    axes.set_xlabel("worse by, where 1 is tolerable; the line begins at what it is surely above")
    return svg(figure)


def _when(record: dict[str, Any]) -> str:
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(record["at"] / 1e6))


def page(plan: Plan, records: list[dict[str, Any]]) -> str:
    """The page; it refers to nothing outside itself."""
    state = State.from_records(records)
    steps = []
    for r in records:
        if r["kind"] in PLAIN and not r.get("foot"):
            continue
        told = "; ".join(r["all"]) if "all" in r else r.get("reason") or r.get("text") or ""
        who = r.get("dispatcher", "")
        colour = "bad" if r["kind"] in ("back", "refused", "lost", "trouble", "hold", "stopped") else ""
        steps.append(
            f'<tr class="{colour}"><td>{_when(r)}</td><td>{r["kind"]}</td><td>{escape(who)}</td>'
            f"<td>{escape(str(told))}</td></tr>"
        )
    watches: dict[tuple[int, int], list[dict[str, Any]]] = defaultdict(list)
    nth = 0
    for r in records:
        nth += r["kind"] == "watch"
        if r["kind"] == "look" and not r.get("foot"):
            watches[nth, r["stage"]].append(r)
    shown = []
    for (_, stage), looks in list(watches.items())[-PERIODS:]:
        jobs = ", ".join(f"{name} {n:.0f}" for name, n in looks[-1]["jobs"].items())
        shown.append(
            f"<h2>Stage {stage + 1}, watched from {_when(looks[0])}</h2>"
            f"<p>Jobs at new dispatchers: {escape(jobs)}. {len(looks)} looks.</p>"
            f"{curves(looks)}{intervals(looks[-1])}"
        )
    good = "good" if state.phase == "done" else "bad" if state.phase == "stopped" else ""
    stages = "".join(
        f"<tr><td>{n + 1}</td><td>{escape(', '.join(names)) or 'nobody'}</td></tr>"
        for n, names in enumerate(state.stages)
    )
    why = f": {escape(state.reason)}" if state.reason else ""
    return (
        '<!doctype html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>heronstall: rollout {escape(plan.name)}</title><style>{STYLE}</style></head><body>"
        f"<h1>Rollout {escape(plan.name)}</h1><p>{escape(state.release)},"
        f" {len(state.placements)} dispatchers."
        f' <b class="{good}">{state.phase}{why}.</b></p>'
        f"<h2>Steps</h2><table>{''.join(steps)}</table>{''.join(shown)}"
        f"<h2>Stages</h2><table>{stages}</table></body></html>\n"
    )


def write(plan: Plan, records: list[dict[str, Any]], folder: Path) -> Path:
    """Write rollout.html into a folder, which is made."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "rollout.html"
    path.write_text(page(plan, records), encoding="utf-8")
    return path
