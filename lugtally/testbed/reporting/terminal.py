"""Reports on the terminal: details of one run, a summary of many runs, or a comparison of two sets."""

from __future__ import annotations

from rich.console import Console
from rich.table import Table

from lugtally.testbed.reporting.compare import Difference
from lugtally.testbed.reporting.report import Report, Verdict

COLOURS = {Verdict.PASSED: "green", Verdict.FAILED: "yellow", Verdict.BROKEN: "red", Verdict.VOID: "magenta"}
TABLE_WIDTH = 118  # characters
MAX_SHOWN_VIOLATIONS = 12
MAX_REASONS_LENGTH = 90  # characters, in the summary
SHOWN_PERCENTILES = ("50", "99", "100")


def console_for_tables() -> Console:
    """Return a console for the terminal, or one of the tables' width if there is no terminal or it is narrower."""
    console = Console()
    return console if console.is_terminal and console.width >= TABLE_WIDTH else Console(width=TABLE_WIDTH)


def print_report(report: Report, console: Console) -> None:
    """Print the verdict, violations, service by class, latencies, prices and resource usage of a run."""
    findings = report.findings
    console.print(
        f"[bold {COLOURS[report.verdict]}]{report.verdict.upper()}[/]  {report.scenario}, seed "
        f"{report.seed}, {report.policy}: service {findings.service:.3f}, net of prices {findings.net:.3f}",
        highlight=False,
    )
    for reason in report.reasons:
        console.print(f"  {reason}", highlight=False, markup=False)
    _print_violations(report, console)
    console.print(
        f"complete run {findings.overall:.3f}, worst 10 s {findings.worst_10s:.3f}, worst class "
        f"{findings.worst_class:.3f}; {report.rate_per_s:.0f} requests/s, {findings.client_attempts} client "
        f"attempts, {findings.server_attempts} server attempts, {findings.retries} of them retries",
        highlight=False,
    )
    console.print(_class_table(report))
    console.print("  ".join(f"{name} {value:.3f}" for name, value in findings.prices.items()), highlight=False)
    _print_usage(report, console)


def print_summary(reports: list[Report], console: Console) -> None:
    """Print a table with one line for each run."""
    table = Table(box=None, pad_edge=False)
    for name in ("verdict", "scenario", "seed", "policy"):
        table.add_column(name)
    for name in ("service", "net", "worst 10 s", "worst class", "timer lag p99 ms"):
        table.add_column(name, justify="right")
    table.add_column("reasons")
    for report in reports:
        findings = report.findings
        table.add_row(
            f"[{COLOURS[report.verdict]}]{report.verdict}[/]",
            report.scenario,
            str(report.seed),
            report.policy,
            f"{findings.service:.3f}",
            f"{findings.net:.3f}",
            f"{findings.worst_10s:.3f}",
            f"{findings.worst_class:.3f}",
            f"{max((lag.p99_ms for lag in report.timer_lags), default=0):.1f}",
            "; ".join(report.reasons)[:MAX_REASONS_LENGTH],
        )
    console.print(table)


def print_differences(differences: list[Difference], console: Console) -> None:
    """Print a table with one line for each measure."""
    table = Table(box=None, pad_edge=False)
    table.add_column("measure")
    for name in ("pairs", "A", "B", "B minus A", "95% interval"):
        table.add_column(name, justify="right")
    table.add_column("")
    for difference in differences:
        table.add_row(
            difference.measure,
            str(difference.pairs),
            f"{difference.mean_a:.4f}",
            f"{difference.mean_b:.4f}",
            f"{difference.mean:+.4f}",
            f"{difference.low:+.4f} to {difference.high:+.4f}",
            difference.finding,
        )
    console.print(table)


def _print_violations(report: Report, console: Console) -> None:
    for violation in report.findings.violations[:MAX_SHOWN_VIOLATIONS]:
        console.print(
            f"  {violation.at:8.3f} s  {violation.name}  {violation.subject}: {violation.description}",
            highlight=False,
            markup=False,
        )
    hidden_count = sum(report.violations_by_name.values()) - MAX_SHOWN_VIOLATIONS
    if hidden_count > 0:
        console.print(f"  and {hidden_count} more", highlight=False)


def _print_usage(report: Report, console: Console) -> None:
    for lag in report.timer_lags:
        console.print(
            f"{lag.process}: timer lag {lag.p99_ms:.1f} ms at the 99th percentile, {lag.worst_ms:.1f} ms at most; "
            f"{lag.cpu_s:.1f} s of CPU time",
            highlight=False,
        )
    cpu_s = sum(sidecar.cpu_s for sidecar in report.sidecars)
    max_rss_mb = max((sidecar.rss_mb for sidecar in report.sidecars), default=0.0)
    console.print(f"sidecars: {cpu_s:.1f} s of CPU time in total, {max_rss_mb:.1f} MB RSS at most", highlight=False)


def _class_table(report: Report) -> Table:
    table = Table(box=None, pad_edge=False)
    table.add_column("class", no_wrap=True)
    for name in ("requests", "served", "late", "rejected", "failed", "service", "p50 ms", "p99 ms", "max ms"):
        table.add_column(name, justify="right")
    latencies = {latency.name: latency.percentiles for latency in report.latencies}
    for row in report.findings.classes:
        percentiles = latencies.get(row.name, {})
        table.add_row(
            row.name,
            *map(str, (row.requests, row.served, row.late, row.rejected, row.failed)),
            f"{row.service:.3f}",
            *(f"{percentiles.get(percentile, 0):.0f}" for percentile in SHOWN_PERCENTILES),
        )
    return table
