"""Generates the HTML report of simulation and lab runs."""

from __future__ import annotations

from html import escape
from pathlib import Path
from typing import Any

from heronstall.report import plots

STYLE = """body{font:15px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:62rem;padding:0 1rem;color:#222}
table{border-collapse:collapse;margin:1rem 0}td,th{padding:.2rem .8rem;text-align:left}
td,th{border-bottom:1px solid #ddd}
td.n{text-align:right;font-variant-numeric:tabular-nums}.bad{color:#a11}.good{color:#161}
pre{background:#f6f6f6;padding:.6rem;overflow-x:auto;font-size:12px}svg{max-width:100%;height:auto}"""
METRIC_ROWS = (
    ("score", "score", "service minus the prices"),
    ("service", "service", "worth answered in time, weighted by the goal"),
    ("whole", "whole run", ""),
    ("worst_window", "worst 10 s", ""),
    ("worst_class", "worst class", ""),
    ("worst_tenant", "worst tenant", "within its share"),
    ("waste", "waste", "work that led to no answer, as a fraction of the work requested"),
    ("crossings", "crossings", "between zones, per first try"),
    ("probes", "probes", "per first try"),
    ("late_fail", "failed late", "worth that failed only after its target time"),
)
COUNTS = ("requests", "tries", "attempts", "served", "refused", "failed", "handshakes")
MAX_VIOLATIONS_SHOWN = 50


def page(records: list[dict[str, Any]]) -> str:
    """Returns one HTML page for the runs; it references no external resources."""
    title = ", ".join(dict.fromkeys(f"{r['kind']} of {r['scenario']}" for r in records))
    body = "\n".join(_run_section(record) for record in records)
    return (
        '<!doctype html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>heronstall: {escape(title)}</title>"
        f"<style>{STYLE}</style></head><body>\n{body}\n</body></html>\n"
    )


def write_page(records: list[dict[str, Any]], folder: Path) -> Path:
    """Writes report.html into a folder, creating it if needed."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "report.html"
    path.write_text(page(records), encoding="utf-8")
    return path


def _run_section(r: dict[str, Any]) -> str:
    size = r["size"]
    violations = r["rules_broken"]
    verdict = "bad" if violations or r["verdict"] != "measured" else "good"
    summary = f"{len(violations)} rules broken" if violations else "every rule kept"
    if r["verdict"] != "measured":
        summary += f"; verdict {r['verdict']}"
    rows = "".join(
        f'<tr><td>{name}</td><td class="n">{r[key]:.4f}</td><td>{explanation}</td></tr>'
        for key, name, explanation in METRIC_ROWS
    )
    counts = "".join(f'<tr><td>{name}</td><td class="n">{r[name]}</td></tr>' for name in COUNTS)
    classes = "".join(
        f'<tr><td>{escape(name)}</td><td class="n">{value:.4f}</td></tr>'
        for name, value in [*r["classes"].items(), *r["tenants"].items()]
    )
    return (
        f"<h1>{escape(r['scenario'])}, {r['kind']}, seed {r['seed']}</h1>"
        f"<p>{size['dispatchers']} dispatchers, {size['servers']} servers in {size['zones']} zones,"
        f" {r['load']:.0%} load. <b class={verdict}>{escape(summary)}.</b></p>"
        f"<table>{rows}</table>{plots.plot_service(r)}{plots.plot_latency(r)}"
        f"<h2>Classes and tenants</h2><table>{classes}</table>"
        f"<h2>Counts</h2><table>{counts}</table>{_violations_section(violations)}"
    )


def _violations_section(rows: list[dict[str, Any]]) -> str:
    if not rows:
        return ""
    sections = "".join(
        f"<h3>{escape(b['rule'])} at {b['at_s']:.3f} s, dispatcher {b['dispatcher']}</h3>"
        f"<p>{escape(b['text'])}</p><pre>{escape(chr(10).join(b['evidence']))}</pre>"
        for b in rows[:MAX_VIOLATIONS_SHOWN]
    )
    remainder = (
        f"<p>and {len(rows) - MAX_VIOLATIONS_SHOWN} more</p>" if len(rows) > MAX_VIOLATIONS_SHOWN else ""
    )
    return f'<h2 class="bad">Rules broken</h2>{sections}{remainder}'
