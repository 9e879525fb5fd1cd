"""Report of a run as a self-contained HTML page."""

from __future__ import annotations

from importlib import resources
from pathlib import Path

import jinja2

from lugtally.testbed.reporting.plots import plot_report
from lugtally.testbed.reporting.report import Report

TEMPLATE = "report.html.jinja"


def write_page(report: Report, path: Path) -> None:
    """Write a report to an HTML file that refers to no external resources."""
    source = (resources.files("lugtally.testbed.reporting") / TEMPLATE).read_text(encoding="utf-8")
    template = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined).from_string(source)
    page = template.render(
        report=report,
        findings=report.findings,
        plots=plot_report(report),
        latency={latency.name: latency.percentiles for latency in report.latencies},
    )
    path.write_text(page, encoding="utf-8")
