"""Latency baselines by request class, and the load that is seen at each endpoint.

A baseline is the response time of a class while little is queued.
"""

from __future__ import annotations

from lugtally.balancing.attempts import InFlightAttempt
from lugtally.balancing.endpoint import EndpointStats
from lugtally.balancing.events import AttemptResult
from lugtally.balancing.settings import Settings
from lugtally.units import NS_PER_S

MAX_RISE_PER_S = 0.01
"""Fastest relative rise of a baseline: congestion must not become the normal state."""
CONGESTED_RATIO = 3.0
"""Response time, as a multiple of the baseline, from which an endpoint has too much in flight."""
PROMPT_RATIO = 1.4
"""Response time, as a multiple of the baseline, up to which an endpoint has no queue."""
NEVER_LATE_SHARE = 10.0
"""A response within the tightest latency objective divided by this is never late."""
CONGESTED_HEADROOM_SHARE = 2.5
"""A response over the tightest latency objective divided by this shows congestion."""
INITIAL_HEADROOM = 9.0
"""Headroom before any response was seen: enough for ``CONGESTED_RATIO`` to hold."""
MIN_SAMPLES = 20
"""Good responses after which a baseline falls with their mean, but rises only with time."""
MIN_RECENT_SMOOTHING = 0.03
"""Least weight of the newest response in the mean of recent ones."""
MIN_RATIO_CAP = 10.0
"""Least bound on the response time that one sample counts as, in baselines."""
CONGESTED_RATIO_CAP = 2
"""The same bound as a multiple of the ratio that shows congestion."""
SLOWNESS_SMOOTHING = 0.15
"""Weight of the newest response in an endpoint's slowness."""
MEAN_LOAD_SMOOTHING = 0.05
"""Weight of the newest response in the mean load."""
MAX_REPORTED_RATIO = 3
"""A reported load counts up to this multiple of the load that the own response time shows."""
MAX_UTILISATION = 0.9
"""Highest utilisation that counts: near 1 the queue that follows from it has no bound."""
UTILISATION_FIELD = "util"
REPORT_FIELDS = ("inflight", "queue", UTILISATION_FIELD)
"""Fields of load reports that are understood, the most useful first."""
NO_COLUMN = -1


class LatencyTracker:
    """Response times against the baselines of their classes, and the thresholds that follow from them."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        fields = settings.load_report_fields
        self._report_column = next(
            (fields.index(name) for name in REPORT_FIELDS if name in fields), NO_COLUMN
        )
        self.baselines_ns: dict[int, float] = {}
        """Baseline by class."""
        self._recent_ns: dict[int, float] = {}
        """Good responses of endpoints with no other own attempt in flight, smoothed, by class."""
        self._samples: dict[int, int] = {}
        self.congested_ratio = CONGESTED_RATIO
        """Response time, in baselines, from which an endpoint has too much in flight."""
        self.prompt_ratio = PROMPT_RATIO
        """Response time, in baselines, up to which an endpoint has no queue."""
        self.headroom = INITIAL_HEADROOM
        """Number of baselines in the tightest latency objective."""
        self.mean_load = 0.0
        """Estimated requests that wait at an endpoint, over all of them, smoothed."""
        self.reports_seen = False
        """Whether any response carried a load report."""

    def baseline_ns(self, class_index: int) -> float:
        """Return the baseline of a class, 0 where it is not known yet."""
        return self.baselines_ns.get(class_index, 0.0)

    def record_latency(self, attempt: InFlightAttempt) -> float:
        """Learn from a response; return the baseline of its class."""
        index, duration_ns = attempt.class_index, attempt.duration_ns
        if index not in self.baselines_ns:
            self.baselines_ns[index] = self._recent_ns[index] = float(duration_ns)
        elif attempt.was_alone_at_endpoint and attempt.result is AttemptResult.OK:
            self._record_unqueued(index, duration_ns)
        return self.baselines_ns[index]

    def _record_unqueued(self, index: int, duration_ns: int) -> None:
        """Learn from a good response that waited for no other own request."""
        count = self._samples[index] = self._samples.get(index, 1) + 1
        recent_ns = self._recent_ns[index]
        recent_ns += max(MIN_RECENT_SMOOTHING, 1 / count) * (duration_ns - recent_ns)
        self._recent_ns[index] = recent_ns
        if count < MIN_SAMPLES or recent_ns < self.baselines_ns[index]:
            self.baselines_ns[index] = recent_ns

    def record_load(self, now_ns: int, attempt: InFlightAttempt, baseline_ns: float) -> None:
        """Learn from a response how slow its endpoint is and how many requests wait there."""
        endpoint = attempt.endpoint
        max_ratio = max(MIN_RATIO_CAP, CONGESTED_RATIO_CAP * self.congested_ratio)
        ratio = min(max_ratio, attempt.duration_ns / max(1.0, baseline_ns))
        endpoint.slowness += SLOWNESS_SMOOTHING * (ratio - endpoint.slowness)
        endpoint.samples += 1
        load = max(0.0, ratio - 1)
        reported = self._reported_load(attempt.load_report)
        if reported is not None:
            load = min(max(load, reported), MAX_REPORTED_RATIO * (load + 1))
            endpoint.reported_load = reported
            self.reports_seen = True
        endpoint.load_estimate = load
        endpoint.load_estimated_ns = now_ns
        self.mean_load += MEAN_LOAD_SMOOTHING * (load - self.mean_load)

    def _reported_load(self, report: tuple[float, ...] | None) -> float | None:
        """Return the requests in flight at an endpoint by its report, ``None`` where it carries none."""
        column = self._report_column
        if report is None or not 0 <= column < len(report):
            return None
        reported = max(0.0, float(report[column]))
        if self._settings.load_report_fields[column] == UTILISATION_FIELD:
            utilisation = min(MAX_UTILISATION, reported)
            return utilisation / (1 - utilisation)
        return reported

    def expected_ratio(self, now_ns: int, endpoint: EndpointStats) -> float:
        """Return the expected response time of an endpoint in baselines; old load estimates count less."""
        age_s = (now_ns - endpoint.load_estimated_ns) / NS_PER_S
        freshness = 1 / (1 + age_s)
        above_mean = (endpoint.load_estimate - self.mean_load) * freshness
        return endpoint.slowness * (1 + self.mean_load + above_mean)

    def update_baselines(self, elapsed_ns: int) -> None:
        """Let baselines rise slowly, and derive the thresholds from them."""
        for index, recent_ns in self._recent_ns.items():
            old_ns = self.baselines_ns[index]
            limit_ns = old_ns * (1 + MAX_RISE_PER_S * elapsed_ns / NS_PER_S)
            self.baselines_ns[index] = min(max(recent_ns, old_ns), limit_ns)
        self.headroom = min(
            (
                self._settings.request_class(index).latency_objective_ns / max(1.0, baseline_ns)
                for index, baseline_ns in self.baselines_ns.items()
            ),
            default=INITIAL_HEADROOM,
        )
        # With a distant objective several baselines are still early enough: docs/design.md, "Far objectives".
        never_late = self.headroom / NEVER_LATE_SHARE
        tight_ratio = min(CONGESTED_RATIO, self.headroom / CONGESTED_HEADROOM_SHARE)
        self.congested_ratio = max(tight_ratio, never_late)
        self.prompt_ratio = max(PROMPT_RATIO, never_late)
