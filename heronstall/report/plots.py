"""Plots as SVG text, rendered without a display."""

from __future__ import annotations

import io
from typing import Any

import matplotlib
from matplotlib.figure import Figure

matplotlib.use("svg")
matplotlib.rcParams.update({"svg.hashsalt": "heronstall", "font.size": 9, "axes.spines.top": False})
FAULT_COLOUR = "#f2d7a0"
WIDE_FIGURE = (9.0, 2.6)


def svg(figure: Figure) -> str:
    """Returns a figure as an svg element. The output is deterministic."""
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg", bbox_inches="tight", metadata={"Date": None})
    text = buffer.getvalue()
    return text[text.index("<svg") :]


def plot_service(record: dict[str, Any]) -> str:
    """Returns a plot of the worth requested and served in time per second, with the faults highlighted."""
    rows = record["timeline"]
    times = [row["at_s"] for row in rows]
    figure = Figure(figsize=WIDE_FIGURE)
    axes = figure.subplots()
    for trouble in record.get("troubles", []):
        axes.axvspan(
            trouble["from_s"], max(trouble["to_s"], trouble["from_s"] + 0.2), color=FAULT_COLOUR, alpha=0.5
        )
        axes.text(trouble["from_s"], 1.02, trouble["kind"], transform=axes.get_xaxis_transform(), fontsize=8)
    axes.step(times, [row["asked"] / 1e6 for row in rows], where="post", color="0.6", label="requested")
    axes.fill_between(
        times, [row["served"] / 1e6 for row in rows], step="post", color="#3b7ea1", alpha=0.7, label="in time"
    )
    axes.set_xlabel("seconds")
    axes.set_ylabel("worth per second")
    axes.set_ylim(bottom=0)
    axes.legend(loc="lower right", frameon=False)
    return svg(figure)


def plot_latency(record: dict[str, Any]) -> str:
    """Returns a plot of the percentiles of the time from due to served, by class."""
    figure = Figure(figsize=(9.0, 0.6 + 0.55 * len(record["latency"])))
    axes = figure.subplots()
    names = list(record["latency"])
    for n, name in enumerate(names):
        row = record["latency"][name]
        percentiles = [row[key] for key in ("p50_ms", "p90_ms", "p99_ms")]
        axes.plot([percentiles[0], percentiles[2]], [n, n], color="#3b7ea1", linewidth=2)
        axes.scatter(percentiles, [n] * 3, color=["#1d4f6b", "#3b7ea1", "#8fbcd4"], zorder=3)
        axes.annotate(
            f"{percentiles[2]:.0f} ms", (percentiles[2], n), xytext=(6, -3), textcoords="offset points"
        )
    axes.set_yticks(range(len(names)), names)
    axes.set_ylim(-0.7, len(names) - 0.3)
    axes.set_xlim(left=0)
    axes.set_xlabel("ms from due to served: 50th, 90th and 99th percentile")
    return svg(figure)
