"""A report for people: lines and a table for the terminal, and one self-contained page with plots."""

from __future__ import annotations

import io
from importlib import resources
from pathlib import Path
from typing import Any

import jinja2
from rich.console import Console
from rich.table import Table

from lugtally.testbed.reporting.report import BROKEN, FAILED, PASSED, VOID, Report

COLOURS = {PASSED: "green", FAILED: "yellow", BROKEN: "red", VOID: "magenta"}
NO_METADATA = {"Date": None, "Creator": None, "Format": None, "Type": None}
WIDTH = 118
SHOWN = 12  # breaches on the terminal


def wide() -> Console:
    """The terminal, or lines long enough for our tables where there is none."""
    console = Console()
    return console if console.is_terminal and console.width >= WIDTH else Console(width=WIDTH)


def terminal(report: Report, console: Console) -> None:
    """Verdict first, then service by class, latencies, prices and what the kit itself used."""
    found = report.findings
    console.print(
        f"[bold {COLOURS[report.verdict]}]{report.verdict.upper()}[/]  {report.scenario}, seed "
        f"{report.seed}, {report.policy}: service {found.service:.3f}, net of prices {found.net:.3f}",
        highlight=False,
    )
    for reason in report.reasons:
        console.print(f"  {reason}", highlight=False, markup=False)
    for violation in found.violations[:SHOWN]:
        console.print(
            f"  {violation.at:8.3f} s  {violation.name}  {violation.subject}: {violation.description}",
            highlight=False,
            markup=False,
        )
    more = sum(report.violations_by_name.values()) - SHOWN
    if more > 0:
        console.print(f"  and {more} more", highlight=False)
    console.print(
        f"whole run {found.overall:.3f}, worst 10 s {found.worst_10s:.3f}, worst class "
        f"{found.worst_class:.3f}; {report.rate_per_s:.0f} first tries/s, {found.client_attempts} tries, "
        f"{found.server_attempts} attempts, {found.retries} of them retries",
        highlight=False,
    )
    console.print(_classes(report))
    console.print("  ".join(f"{name} {value:.3f}" for name, value in found.prices.items()), highlight=False)
    for late in report.late:
        console.print(
            f"{late.process}: {late.p99_ms:.1f} ms late at the 99th percentile, {late.worst_ms:.1f} at worst; "
            f"{late.cpu_s:.1f} s of a core",
            highlight=False,
        )
    used = sum(s.cpu_s for s in report.sidecars)
    most = max((s.rss_mb for s in report.sidecars), default=0.0)
    console.print(f"sidecars: {used:.1f} s of a core together, {most:.1f} MB resident at most", highlight=False)


def _classes(report: Report) -> Table:
    table = Table(box=None, pad_edge=False)
    table.add_column("class", no_wrap=True)
    for name in ("asked", "served", "late", "refused", "failed", "service", "p50 ms", "p99 ms", "max ms"):
        table.add_column(name, justify="right")
    latency = {one.name: one.percentiles for one in report.latencies}
    for row in report.findings.classes:
        ms = latency.get(row.name, {})
        table.add_row(
            row.name,
            *map(str, (row.requests, row.served, row.late, row.rejected, row.failed)),
            f"{row.service:.3f}",
            *(f"{ms.get(p, 0):.0f}" for p in ("50", "99", "100")),
        )
    return table


def summary(reports: list[Report], console: Console) -> None:
    """One line a run."""
    table = Table(box=None, pad_edge=False)
    for name in ("verdict", "scenario", "seed", "policy"):
        table.add_column(name)
    for name in ("service", "net", "worst 10 s", "worst class", "late p99 ms"):
        table.add_column(name, justify="right")
    table.add_column("why")
    for one in reports:
        found = one.findings
        table.add_row(
            f"[{COLOURS[one.verdict]}]{one.verdict}[/]",
            one.scenario,
            str(one.seed),
            one.policy,
            f"{found.service:.3f}",
            f"{found.net:.3f}",
            f"{found.worst_10s:.3f}",
            f"{found.worst_class:.3f}",
            f"{max((x.p99_ms for x in one.late), default=0):.1f}",
            "; ".join(one.reasons)[:90],
        )
    console.print(table)


# ---------------------------------------------------------------- the page


def _svg(figure: Any) -> str:
    import matplotlib.pyplot as plt

    text = io.StringIO()
    figure.savefig(text, format="svg", bbox_inches="tight", metadata=NO_METADATA)
    plt.close(figure)
    whole = text.getvalue()
    return whole[whole.index("<svg") :]


def _plots(report: Report) -> dict[str, str]:
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "lugtally"  # the same report gives the same page
    import matplotlib.pyplot as plt

    def spans(axes: Any) -> None:
        for at, trouble in enumerate(report.troubles):
            end = report.length_s if trouble.ended_s is None else trouble.ended_s
            axes.axvspan(trouble.begun_s, end, color=f"C{3 + at % 6}", alpha=0.12, lw=0)
            axes.text(
                trouble.begun_s,
                1.0,
                trouble.kind,
                rotation=90,
                va="top",
                fontsize=6,
                transform=axes.get_xaxis_transform(),
            )

    plots: dict[str, str] = {}
    figure, axes = plt.subplots(figsize=(9, 3))
    for name, values in report.findings.per_second.items():
        axes.step(range(len(values)), values, where="post", label=name)
    spans(axes)
    axes.set(xlabel="seconds", ylabel="share of worth", ylim=(0, 1.05), xlim=(0, report.length_s))
    axes.legend(loc="lower left", fontsize=7)
    plots["Service over time, by class"] = _svg(figure)

    figure, axes = plt.subplots(figsize=(9, 3))
    for one in report.latencies:
        if one.count:
            axes.plot([str(p) for p in one.percentiles], list(one.percentiles.values()), marker="o", label=one.name)
    axes.set(xlabel="percentile", ylabel="ms from the intended time", yscale="log")
    axes.legend(fontsize=7)
    plots["Latency of served requests"] = _svg(figure)

    figure, axes = plt.subplots(figsize=(9, 3))
    for name, points in sorted(report.in_flight.items()):
        axes.plot([t for t, _ in points], [n for _, n in points], lw=0.8, label=name)
    spans(axes)
    axes.set(xlabel="seconds", ylabel="requests held", xlim=(0, report.length_s))
    if len(report.in_flight) <= 16:
        axes.legend(fontsize=5, ncol=4)
    plots["Requests held, by server"] = _svg(figure)

    figure, axes = plt.subplots(figsize=(9, 2.5))
    counts = report.attempts_per_try
    axes.bar(list(counts), [max(n, 0.5) for n in counts.values()])
    axes.set(xlabel="attempts of a try (9: or more)", ylabel="tries", yscale="log")
    plots["Attempts per try"] = _svg(figure)
    return plots


def page(report: Report, path: Path) -> None:
    """One HTML file that needs nothing else."""
    text = (resources.files("lugtally.testbed.reporting") / "report.html.jinja").read_text(encoding="utf-8")
    template = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined).from_string(text)
    path.write_text(
        template.render(
            report=report,
            found=report.findings,
            plots=_plots(report),
            latency={one.name: one.percentiles for one in report.latencies},
        ),
        encoding="utf-8",
    )
