"""Plots as SVG.  The output is reproducible: the same data give the same bytes."""

from __future__ import annotations

import io
from pathlib import Path
from typing import Any

from lugtally.testbed.reporting.report import Report

NO_METADATA = {"Date": None, "Creator": None, "Format": None, "Type": None}  # the date differs from run to run
HASH_SALT = "lugtally"  # without a salt matplotlib draws random element ids
MAX_LEGEND_SERVERS = 16  # with more servers the plot has no legend


def pyplot() -> Any:
    """Import and return matplotlib's pyplot, with a backend that needs no display."""
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = HASH_SALT
    import matplotlib.pyplot as plt

    return plt


def save_svg(figure: Any, file: Path | io.StringIO) -> None:
    """Write a figure to a file as SVG and close the figure."""
    figure.savefig(file, format="svg", bbox_inches="tight", metadata=NO_METADATA)
    pyplot().close(figure)


def plot_report(report: Report) -> dict[str, str]:
    """Return the plots of a report as SVG elements, by title."""
    return {
        "Service over time, by class": _plot_service(report),
        "Latency of served requests": _plot_latencies(report),
        "Requests in flight, by server": _plot_in_flight(report),
        "Server attempts per client attempt": _plot_attempts(report),
    }


def _svg_element(figure: Any) -> str:
    file = io.StringIO()
    save_svg(figure, file)
    text = file.getvalue()
    return text[text.index("<svg") :]


def _mark_faults(axes: Any, report: Report) -> None:
    """Shade the time of each fault and label it with the kind of the fault."""
    for index, fault in enumerate(report.faults):
        end = report.length_s if fault.ended_s is None else fault.ended_s
        axes.axvspan(fault.began_s, end, color=f"C{3 + index % 6}", alpha=0.12, lw=0)
        axes.text(
            fault.began_s,
            1.0,
            fault.kind,
            rotation=90,
            va="top",
            fontsize=6,
            transform=axes.get_xaxis_transform(),
        )


def _plot_service(report: Report) -> str:
    figure, axes = pyplot().subplots(figsize=(9, 3))
    for name, values in report.findings.per_second.items():
        axes.step(range(len(values)), values, where="post", label=name)
    _mark_faults(axes, report)
    axes.set(xlabel="seconds", ylabel="share of the priority weight", ylim=(0, 1.05), xlim=(0, report.length_s))
    axes.legend(loc="lower left", fontsize=7)
    return _svg_element(figure)


def _plot_latencies(report: Report) -> str:
    figure, axes = pyplot().subplots(figsize=(9, 3))
    for latency in report.latencies:
        if latency.count:
            percentiles = latency.percentiles
            axes.plot(list(percentiles), list(percentiles.values()), marker="o", label=latency.name)
    axes.set(xlabel="percentile", ylabel="ms since the intended time", yscale="log")
    axes.legend(fontsize=7)
    return _svg_element(figure)


def _plot_in_flight(report: Report) -> str:
    figure, axes = pyplot().subplots(figsize=(9, 3))
    for server, samples in sorted(report.in_flight.items()):
        times, counts = [sample.at for sample in samples], [sample.requests for sample in samples]
        axes.plot(times, counts, lw=0.8, label=server)
    _mark_faults(axes, report)
    axes.set(xlabel="seconds", ylabel="requests in flight", xlim=(0, report.length_s))
    if len(report.in_flight) <= MAX_LEGEND_SERVERS:
        axes.legend(fontsize=5, ncol=4)
    return _svg_element(figure)


def _plot_attempts(report: Report) -> str:
    figure, axes = pyplot().subplots(figsize=(9, 2.5))
    counts = report.attempts_per_client_attempt
    axes.bar(list(counts), [max(count, 0.5) for count in counts.values()])
    axes.set(xlabel="server attempts (9: 9 or more)", ylabel="client attempts", yscale="log")
    return _svg_element(figure)
