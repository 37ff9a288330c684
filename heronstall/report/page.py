"""The page."""

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
SHOWN = (
    ("score", "score", "service less its prices"),
    ("service", "service", "worth answered in time, as the goal weighs it"),
    ("whole", "whole run", ""),
    ("worst_window", "worst 10 s", ""),
    ("worst_class", "worst class", ""),
    ("worst_tenant", "worst tenant", "within its share"),
    ("waste", "waste", "work that served no answer, as a part of what was asked for"),
    ("crossings", "crossings", "between zones, by first try"),
    ("probes", "probes", "by first try"),
    ("late_fail", "failed late", "worth that failed only after its aim"),
)
COUNTS = ("requests", "tries", "attempts", "served", "refused", "failed", "handshakes")
BREACHES = 50


def page(records: list[dict[str, Any]]) -> str:
    """One HTML page for these runs; it refers to nothing outside itself."""
    title = ", ".join(dict.fromkeys(f"{r['kind']} of {r['scenario']}" for r in records))
    body = "\n".join(_run(record) for record in records)
    return (
        '<!doctype html>\n<html lang="en"><head><meta charset="utf-8">'
        f"<title>heronstall: {escape(title)}</title>"
        f"<style>{STYLE}</style></head><body>\n{body}\n</body></html>\n"
    )


def write_page(records: list[dict[str, Any]], folder: Path) -> Path:
    """Write report.html into a folder, which is made."""
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / "report.html"
    path.write_text(page(records), encoding="utf-8")
    return path


def _run(r: dict[str, Any]) -> str:
    size = r["size"]
    broken = r["rules_broken"]
    verdict = "bad" if broken or r["verdict"] != "measured" else "good"
    said = f"{len(broken)} rules broken" if broken else "every rule kept"
    if r["verdict"] != "measured":
        said += f"; verdict {r['verdict']}"
    rows = "".join(
        f'<tr><td>{name}</td><td class="n">{r[key]:.4f}</td><td>{about}</td></tr>'
        for key, name, about in SHOWN
    )
    counts = "".join(f'<tr><td>{name}</td><td class="n">{r[name]}</td></tr>' for name in COUNTS)
    classes = "".join(
        f'<tr><td>{escape(name)}</td><td class="n">{value:.4f}</td></tr>'
        for name, value in [*r["classes"].items(), *r["tenants"].items()]
    )
    return (
        f"<h1>{escape(r['scenario'])}, {r['kind']}, seed {r['seed']}</h1>"
        f"<p>{size['dispatchers']} dispatchers, {size['servers']} servers in {size['zones']} zones,"
        f" {r['load']:.0%} load. <b class={verdict}>{escape(said)}.</b></p>"
        f"<table>{rows}</table>{plots.service(r)}{plots.latency(r)}"
        f"<h2>Classes and tenants</h2><table>{classes}</table>"
        f"<h2>Counts</h2><table>{counts}</table>{_broken(broken)}"
    )


def _broken(rows: list[dict[str, Any]]) -> str:
    if not rows:
        return ""
    told = "".join(
        f"<h3>{escape(b['rule'])} at {b['at_s']:.3f} s, dispatcher {b['dispatcher']}</h3>"
        f"<p>{escape(b['text'])}</p><pre>{escape(chr(10).join(b['evidence']))}</pre>"
        for b in rows[:BREACHES]
    )
    more = f"<p>and {len(rows) - BREACHES} more</p>" if len(rows) > BREACHES else ""
    return f'<h2 class="bad">Rules broken</h2>{told}{more}'
