"""Latency baselines: what a good response of each class takes while little is queued, and the load seen."""

from lugtally.balancing.events import AttemptResult
from lugtally.balancing.records import BalancerState, InFlightAttempt, LatencyState
from lugtally.balancing.settings import Settings
from lugtally.units import NS_PER_S

MAX_RISE_PER_S = 0.01  # how fast a baseline may rise
CONGESTED_RATIO = 3.0  # response times, against the baseline, at which an endpoint has too much in flight
PROMPT_RATIO = 1.4  # response times, against the baseline, up to which a missing response is no queue
NEVER_LATE_SHARE = 10.0  # a response within this fraction of the tightest objective is never late
INITIAL_HEADROOM = 9.0
MIN_SAMPLES = 20  # good responses before a baseline only falls with them
MAX_UTILISATION = 0.9
REPORT_FIELDS = ("inflight", "queue", "util")  # the first that the reports carry is used


def initial_state(settings: Settings) -> LatencyState:
    """Return the thresholds that hold until responses have been seen."""
    fields = settings.load_report_fields
    column = next((fields.index(name) for name in REPORT_FIELDS if name in fields), -1)
    return LatencyState(CONGESTED_RATIO, PROMPT_RATIO, INITIAL_HEADROOM, column)


def record_latency(state: BalancerState, attempt: InFlightAttempt) -> float:
    """Learn from a response and return its class's baseline; congestion must not pass for normal."""
    baseline_ns, recent_ns = state.latency.baseline_ns, state.latency.recent_ns
    index, took_ns = attempt.class_index, attempt.took_ns
    if index not in baseline_ns:
        baseline_ns[index] = recent_ns[index] = float(took_ns)
    elif attempt.was_only_one and attempt.result is AttemptResult.OK:
        count = state.latency.samples[index] = state.latency.samples.get(index, 1) + 1
        recent_ns[index] += max(0.03, 1 / count) * (took_ns - recent_ns[index])
        if count < MIN_SAMPLES or recent_ns[index] < baseline_ns[index]:
            baseline_ns[index] = recent_ns[index]
    return baseline_ns[index]


def record_load(state: BalancerState, now: int, attempt: InFlightAttempt, baseline_ns: float) -> None:
    """Learn how slow an endpoint is, and how many wait there, by its report as far as our own time agrees."""
    endpoint, report = attempt.endpoint, attempt.load_report
    ratio = min(max(10.0, 2 * state.latency.congested_at), attempt.took_ns / max(1.0, baseline_ns))
    endpoint.slowness += 0.15 * (ratio - endpoint.slowness)
    endpoint.samples += 1
    load, column = max(0.0, ratio - 1), state.latency.report_column
    if report is not None and 0 <= column < len(report):
        reported = max(0.0, float(report[column]))
        if state.settings.load_report_fields[column] == "util":
            reported = min(MAX_UTILISATION, reported) / (1 - min(MAX_UTILISATION, reported))
        load = min(max(load, reported), 3 * (load + 1))
        endpoint.reported_load = reported
        state.latency.reports_seen = True
    endpoint.load_estimate, endpoint.load_estimated_ns = load, now
    state.latency.mean_load += 0.05 * (load - state.latency.mean_load)


def update_baselines(state: BalancerState, elapsed_ns: int) -> None:
    """Let baselines rise slowly, and derive the thresholds."""
    latency, objective = state.latency, state.settings.request_class
    for index, recent_ns in latency.recent_ns.items():
        old_ns = latency.baseline_ns[index]
        limit_ns = old_ns * (1 + MAX_RISE_PER_S * elapsed_ns / NS_PER_S)
        latency.baseline_ns[index] = min(max(recent_ns, old_ns), limit_ns)
    headrooms = (objective(i).latency_objective_ns / max(1.0, b) for i, b in latency.baseline_ns.items())
    latency.headroom = min(headrooms, default=INITIAL_HEADROOM)
    # Where objectives are far, several baselines are still soon: docs/design.md, "Far objectives".
    never_late = latency.headroom / NEVER_LATE_SHARE
    latency.congested_at = max(min(CONGESTED_RATIO, latency.headroom / 2.5), never_late)
    latency.prompt_below = max(PROMPT_RATIO, never_late)
