"""Writes the report of a comparison as an HTML page, and its data as Parquet and JSON."""

from __future__ import annotations

import json
from html import escape
from pathlib import Path
from typing import Any

import pyarrow as pa
import pyarrow.parquet as pq
from matplotlib.figure import Figure

from heronstall.report.page import STYLE
from heronstall.report.plots import WIDE_FIGURE, svg

COLOUR_A, COLOUR_B = "#8a8a8a", "#3b7ea1"
HISTOGRAM_BINS = 24


def plot_differences(record: dict[str, Any]) -> str:
    """Returns a plot of every metric's difference with its confidence bounds, relative to A."""
    rows = [(name, row) for name, row in record["figures"].items()]
    figure = Figure(figsize=(9.0, 0.8 + 0.3 * len(rows)))
    axes = figure.subplots()
    for n, (_, row) in enumerate(rows):
        scale = abs(row["a"]) or 1.0
        low, middle, high = (100.0 * row[key] / scale for key in ("low", "difference", "high"))
        colour = {"better": "#2a7a2a", "worse": "#aa1111"}.get(row["verdict"], "0.5")
        axes.plot([low, high], [n, n], color=colour, linewidth=2)
        axes.plot([middle], [n], "o", color=colour, markersize=4)
    axes.axvline(0.0, color="0.3", linewidth=0.8)
    axes.set_yticks(range(len(rows)), [name for name, _ in rows])
    axes.invert_yaxis()
    axes.set_xlabel("B minus A, in percent of A")
    return svg(figure)


def plot_service_over_time(record: dict[str, Any]) -> str:
    """Returns a plot of the service per second, as the mean of all runs."""
    figure = Figure(figsize=WIDE_FIGURE)
    axes = figure.subplots()
    for rows, name, colour in zip(record["seconds"], "AB", (COLOUR_A, COLOUR_B), strict=True):
        axes.plot(range(len(rows)), rows, color=colour, label=name, linewidth=1.5)
    axes.set_xlabel("seconds")
    axes.set_ylabel("served in time")
    axes.legend(frameon=False, loc="lower right")
    return svg(figure)


def plot_distributions(record: dict[str, Any]) -> str:
    """Returns histograms of the runs of both sides and of their paired differences."""
    a, b = record["pairs"]["service"]
    figure = Figure(figsize=WIDE_FIGURE)
    left, right = figure.subplots(1, 2)
    left.hist([a, b], bins=HISTOGRAM_BINS, color=[COLOUR_A, COLOUR_B], label=["A", "B"])
    left.set_xlabel("service of a run")
    left.legend(frameon=False, loc="upper left")
    right.hist([y - x for x, y in zip(a, b, strict=True)], bins=HISTOGRAM_BINS, color="0.4")
    right.set_xlabel("B minus A per pair")
    return svg(figure)


def comparison_page(record: dict[str, Any]) -> str:
    """Returns the HTML page; it references no external resources."""
    rows = "".join(
        f'<tr><td>{escape(name)}</td><td class="n">{row["a"]:.4f}</td><td class="n">{row["b"]:.4f}</td>'
        f'<td class="n">{row["difference"]:+.4f}</td>'
        f'<td class="n">{row["low"]:+.4f} to {row["high"]:+.4f}</td>'
        f'<td class="{_css_class(row["verdict"])}">{row["verdict"]}</td></tr>'
        for name, row in record["figures"].items()
    )
    largest_differences = "".join(
        f'<tr><td class="n">{row["seed"]}</td><td class="n">{row["a"]:.4f}</td>'
        f'<td class="n">{row["b"]:.4f}</td></tr>'
        for row in record["apart"]
    )
    service = record["figures"]["service"]
    notes = []
    if service["groups"]:
        notes.append(f"Two groups of outcomes: {service['groups']}.")
    if service["pairing"]:
        notes.append(f"Pairing reduced the variance of service by a factor of {service['pairing']:.1f}.")
    scenario = " and ".join(dict.fromkeys(record["scenario"]))
    return (
        '<!doctype html>\n<html lang="en"><head><meta charset="utf-8"><title>heronstall: comparison</title>'
        f"<style>{STYLE}</style></head><body><h1>{escape(record['a'])} and {escape(record['b'])}</h1>"
        f"<p>A is {escape(record['a'])}, B {escape(record['b'])}, on {escape(scenario)}:"
        f" {record['runs']} pairs of runs."
        f' <b class="{_css_class(record["verdict"])}">On service, B: {record["verdict"]}.</b>'
        f" The bounds hold simultaneously at {record['level']:.0%}.</p><p>{escape(' '.join(notes))}</p>"
        "<table><tr><th>metric</th><th>A</th><th>B</th><th>B - A</th><th>bounds</th><th></th></tr>"
        f"{rows}</table>"
        f"{plot_differences(record)}{plot_service_over_time(record)}{plot_distributions(record)}"
        f"<h2>Runs with the largest difference</h2><table><tr><th>seed</th><th>A</th><th>B</th></tr>"
        f"{largest_differences}</table>"
        "</body></html>\n"
    )


def _css_class(verdict: str) -> str:
    return {"better": "good", "worse": "bad"}.get(verdict, "")


def write_comparison(record: dict[str, Any], folder: Path) -> Path:
    """Writes report.html, comparison.json and pairs.parquet into a folder, creating it if needed."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "comparison.json").write_text(json.dumps(record, indent=1) + "\n", encoding="utf-8")
    columns: dict[str, list[float]] = {}
    for name, (a, b) in record["pairs"].items():
        columns[f"a {name}"], columns[f"b {name}"] = a, b
    pq.write_table(pa.table(columns), folder / "pairs.parquet", compression="zstd")
    path = folder / "report.html"
    path.write_text(comparison_page(record), encoding="utf-8")
    return path
