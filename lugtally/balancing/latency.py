"""Latency baselines by request class, and the estimated load of each endpoint.

A baseline is the response time of a class while little is queued.  A ratio is a response time as a multiple
of the baseline of its class.
"""

from __future__ import annotations

from lugtally.balancing.attempts import InFlightAttempt
from lugtally.balancing.endpoint import EndpointStats
from lugtally.balancing.events import AttemptResult
from lugtally.balancing.settings import Settings
from lugtally.units import NS_PER_S

MAX_BASELINE_RISE_PER_S = 0.01
"""Maximum relative rise of a baseline per second: congestion must not become the baseline."""
CONGESTED_RATIO = 3.0
"""Ratio from which an endpoint has too much in flight."""
PROMPT_RATIO = 1.4
"""Ratio up to which an endpoint has no queue."""
NEVER_LATE_DIVISOR = 10.0
"""A response within the tightest latency objective divided by this is never late."""
CONGESTED_HEADROOM_DIVISOR = 2.5
"""A response over the tightest latency objective divided by this shows congestion."""
INITIAL_HEADROOM = 9.0
"""Headroom before the first response: enough for ``CONGESTED_RATIO`` to apply."""
MIN_BASELINE_SAMPLES = 20
"""Successful responses after which a baseline still falls with their mean, but rises only with time."""
MIN_RECENT_SMOOTHING = 0.03
"""Lower bound of the weight of the newest response in the mean of recent ones."""
MIN_RATIO_CAP = 10.0
"""Lower bound of the cap on the ratio of a single response."""
CAP_TO_CONGESTED_RATIO = 2
"""That cap as a multiple of the ratio that shows congestion."""
SLOWNESS_SMOOTHING = 0.15
"""Weight of the newest response in an endpoint's slowness."""
MEAN_LOAD_SMOOTHING = 0.05
"""Weight of the newest response in the mean load."""
MAX_REPORTED_LOAD_TO_RATIO = 3
"""Upper bound of a load that is taken from a report, as a multiple of the ratio that the response shows."""
MAX_UTILISATION = 0.9
"""Upper bound of a reported utilisation: the queue that is derived from it grows without bound near 1."""
UTILISATION_FIELD = "util"
REPORT_FIELDS = ("inflight", "queue", UTILISATION_FIELD)
"""Supported fields of load reports, the most useful first."""
NO_COLUMN = -1
"""No supported field is configured."""


class LatencyTracker:
    """Compares response times with the baselines of their classes, and derives thresholds for congestion."""

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        fields = settings.load_report_fields
        self._report_column = next(
            (fields.index(name) for name in REPORT_FIELDS if name in fields), NO_COLUMN
        )
        self.baselines_ns: dict[int, float] = {}
        """Baseline by class."""
        self._recent_means_ns: dict[int, float] = {}
        """Smoothed times of successful responses by class.

        After the first, only those of attempts sent while this balancer had no other attempt at the endpoint.
        """
        self._sample_counts: dict[int, int] = {}
        self.congested_ratio = CONGESTED_RATIO
        """Ratio from which an endpoint has too much in flight."""
        self.prompt_ratio = PROMPT_RATIO
        """Ratio up to which an endpoint has no queue."""
        self.headroom = INITIAL_HEADROOM
        """Number of baselines in the tightest latency objective."""
        self.mean_load = 0.0
        """Estimated number of requests that wait at an endpoint, smoothed over responses of all endpoints."""
        self.load_reports_seen = False
        """Whether any response carried a load report."""

    def baseline_ns(self, class_index: int) -> float:
        """Return the baseline of a class, 0 if it is not known yet."""
        return self.baselines_ns.get(class_index, 0.0)

    def record_latency(self, attempt: InFlightAttempt) -> float:
        """Update the baseline of an attempt's class with its response time, and return it."""
        class_index, duration_ns = attempt.class_index, attempt.duration_ns
        if class_index not in self.baselines_ns:
            self.baselines_ns[class_index] = self._recent_means_ns[class_index] = float(duration_ns)
        elif attempt.was_alone_at_endpoint and attempt.result is AttemptResult.OK:
            self._record_unqueued(class_index, duration_ns)
        return self.baselines_ns[class_index]

    def _record_unqueued(self, class_index: int, duration_ns: int) -> None:
        """Record the time of a successful response that waited for no other request of this balancer."""
        count = self._sample_counts[class_index] = self._sample_counts.get(class_index, 1) + 1
        mean_ns = self._recent_means_ns[class_index]
        mean_ns += max(MIN_RECENT_SMOOTHING, 1 / count) * (duration_ns - mean_ns)
        self._recent_means_ns[class_index] = mean_ns
        if count < MIN_BASELINE_SAMPLES or mean_ns < self.baselines_ns[class_index]:
            self.baselines_ns[class_index] = mean_ns

    def record_load(self, now_ns: int, attempt: InFlightAttempt, baseline_ns: float) -> None:
        """Update the slowness and the load estimate of an attempt's endpoint."""
        endpoint = attempt.endpoint
        max_ratio = max(MIN_RATIO_CAP, CAP_TO_CONGESTED_RATIO * self.congested_ratio)
        ratio = min(max_ratio, attempt.duration_ns / max(1.0, baseline_ns))
        endpoint.slowness += SLOWNESS_SMOOTHING * (ratio - endpoint.slowness)
        endpoint.samples += 1
        load = max(0.0, ratio - 1)
        reported = self._reported_load(attempt.load_report)
        if reported is not None:
            load = min(max(load, reported), MAX_REPORTED_LOAD_TO_RATIO * (load + 1))
            endpoint.reported_load = reported
            self.load_reports_seen = True
        endpoint.load_estimate = load
        endpoint.load_estimated_ns = now_ns
        self.mean_load += MEAN_LOAD_SMOOTHING * (load - self.mean_load)

    def _reported_load(self, report: tuple[float, ...] | None) -> float | None:
        """Return the requests in flight at an endpoint by its load report, ``None`` if it reports none."""
        column = self._report_column
        if report is None or not 0 <= column < len(report):
            return None
        reported = max(0.0, float(report[column]))
        if self._settings.load_report_fields[column] == UTILISATION_FIELD:
            utilisation = min(MAX_UTILISATION, reported)
            return utilisation / (1 - utilisation)  # mean number of requests in an M/M/1 queue
        return reported

    def expected_ratio(self, now_ns: int, endpoint: EndpointStats) -> float:
        """Return the expected response time of an endpoint in baselines; old load estimates count less."""
        age_s = (now_ns - endpoint.load_estimated_ns) / NS_PER_S
        freshness = 1 / (1 + age_s)
        load_above_mean = (endpoint.load_estimate - self.mean_load) * freshness
        return endpoint.slowness * (1 + self.mean_load + load_above_mean)

    def update_baselines(self, elapsed_ns: int) -> None:
        """Let baselines rise slowly, and derive the thresholds from them."""
        for class_index, mean_ns in self._recent_means_ns.items():
            current_ns = self.baselines_ns[class_index]
            max_ns = current_ns * (1 + MAX_BASELINE_RISE_PER_S * elapsed_ns / NS_PER_S)
            self.baselines_ns[class_index] = min(max(mean_ns, current_ns), max_ns)
        self.headroom = min(
            (
                self._settings.request_class(class_index).latency_objective_ns / max(1.0, baseline_ns)
                for class_index, baseline_ns in self.baselines_ns.items()
            ),
            default=INITIAL_HEADROOM,
        )
        # If the objective is far off, responses of several baselines are still early enough: docs/design.md,
        # "Far objectives".
        never_late_ratio = self.headroom / NEVER_LATE_DIVISOR
        tight_ratio = min(CONGESTED_RATIO, self.headroom / CONGESTED_HEADROOM_DIVISOR)
        self.congested_ratio = max(tight_ratio, never_late_ratio)
        self.prompt_ratio = max(PROMPT_RATIO, never_late_ratio)
