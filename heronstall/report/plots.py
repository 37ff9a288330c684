"""Plots as SVG text, drawn without a display."""

from __future__ import annotations

import io
from typing import Any

import matplotlib
from matplotlib.figure import Figure

matplotlib.use("svg")
matplotlib.rcParams.update({"svg.hashsalt": "heronstall", "font.size": 9, "axes.spines.top": False})
SPAN = "#f2d7a0"
WIDE = (9.0, 2.6)


def svg(figure: Figure) -> str:
    """A figure as an svg element. The same figure gives the same text."""
    out = io.StringIO()
    figure.savefig(out, format="svg", bbox_inches="tight", metadata={"Date": None})
    text = out.getvalue()
    return text[text.index("<svg") :]


def service(record: dict[str, Any]) -> str:
    """Worth asked for and served in time, second by second, with the troubles behind it."""
    rows = record["timeline"]
    at = [row["at_s"] for row in rows]
    figure = Figure(figsize=WIDE)
    axes = figure.subplots()
    for trouble in record.get("troubles", []):
        axes.axvspan(trouble["from_s"], max(trouble["to_s"], trouble["from_s"] + 0.2), color=SPAN, alpha=0.5)
        axes.text(trouble["from_s"], 1.02, trouble["kind"], transform=axes.get_xaxis_transform(), fontsize=8)
    axes.step(at, [row["asked"] / 1e6 for row in rows], where="post", color="0.6", label="asked for")
    axes.fill_between(
        at, [row["served"] / 1e6 for row in rows], step="post", color="#3b7ea1", alpha=0.7, label="in time"
    )
    axes.set_xlabel("seconds")
    axes.set_ylabel("worth a second")
    axes.set_ylim(bottom=0)
    axes.legend(loc="lower right", frameon=False)
    return svg(figure)


def latency(record: dict[str, Any]) -> str:
    """Percentiles of the time from due to served, by class."""
    figure = Figure(figsize=(9.0, 0.6 + 0.55 * len(record["latency"])))
    axes = figure.subplots()
    names = list(record["latency"])
    for n, name in enumerate(names):
        row = record["latency"][name]
        marks = [row[key] for key in ("p50_ms", "p90_ms", "p99_ms")]
        axes.plot([marks[0], marks[2]], [n, n], color="#3b7ea1", linewidth=2)
        axes.scatter(marks, [n] * 3, color=["#1d4f6b", "#3b7ea1", "#8fbcd4"], zorder=3)
        axes.annotate(f"{marks[2]:.0f} ms", (marks[2], n), xytext=(6, -3), textcoords="offset points")
    axes.set_yticks(range(len(names)), names)
    axes.set_ylim(-0.7, len(names) - 0.3)
    axes.set_xlim(left=0)
    axes.set_xlabel("ms from due to served: half, 90% and 99% of them")
    return svg(figure)
