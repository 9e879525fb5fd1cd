"""Service score of a run: the share of the clients' requests that was served in time, by priority weight."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from math import inf
from typing import NamedTuple

from msgspec import Struct

from lugtally.testbed.scenario.scenario import RequestClass
from lugtally.testbed.scenario.schedule import Schedule
from lugtally.testbed.verification.event_log import EventLog
from lugtally.testbed.verification.records import ClientAttempt, ClientOutcome

WINDOW_S = 10.0
WINDOW_STARTS_PER_S = 2
EXCLUDED_START_S = 1.0  # at the start, excluded from the score
# These weights are defined by the operators' requirements.
OVERALL_WEIGHT, WORST_WINDOW_WEIGHT, WORST_CLASS_WEIGHT = 0.65, 0.15, 0.2


class ClassService(Struct, rename={"requests": "asked", "rejected": "refused"}):
    """Service of one request class."""

    name: str
    requests: int
    served: int  # within the latency objective
    late: int  # after the latency objective, within the deadline
    rejected: int  # the last attempt was rejected or found no connection
    failed: int  # all others
    service: float  # share of the priority weight that was earned


class RequestScore(NamedTuple):
    """Priority weight of a request, and the part of it that the response earned."""

    at: float  # seconds since the start of the scenario
    class_index: int
    weight: float
    earned: float


class _RequestResult(NamedTuple):
    """Result of a request over all attempts of its client."""

    earned_share: float  # of its priority weight
    failed_late: bool = False  # it failed after its latency objective


@dataclass(slots=True)
class ServiceScore:
    """The service score and its parts."""

    overall: float
    worst_window: float
    worst_class: float
    classes: list[ClassService]
    per_second: dict[str, list[float]]  # by class: share of the priority weight earned in each second
    requests: int  # the attempts of a client for the same request count once
    client_attempts: int
    late_failures: float  # share of the priority weight that failed after the latency objective

    @property
    def service(self) -> float:
        """Sum of the parts, weighted as the operators' requirements define."""
        return (
            OVERALL_WEIGHT * self.overall
            + WORST_WINDOW_WEIGHT * self.worst_window
            + WORST_CLASS_WEIGHT * self.worst_class
        )


def score_service(log: EventLog, schedule: Schedule, start: float) -> ServiceScore:
    """Score all requests of a run."""
    classes = schedule.scenario.classes
    class_rows = [ClassService(request_class.name, 0, 0, 0, 0, 0, 0.0) for request_class in classes]
    requests = _attempts_by_request(log)
    scores: list[RequestScore] = []
    late_failed_weight = 0.0
    for attempts in requests.values():
        class_index = attempts[0].class_index
        began_at = min(attempt.intended_at for attempt in attempts)
        weight = classes[class_index].priority_weight
        result = _score_request(attempts, classes[class_index], class_rows[class_index], began_at)
        if result.failed_late:
            late_failed_weight += weight
        scores.append(RequestScore(began_at - start, class_index, weight, weight * result.earned_share))
    included = [score for score in scores if score.at >= EXCLUDED_START_S] or scores
    for index, row in enumerate(class_rows):
        row.service = _earned_share([score for score in included if score.class_index == index])
    overall = _earned_share(included)
    return ServiceScore(
        overall=overall,
        worst_window=_worst_window(included, schedule.scenario.length_s, overall),
        worst_class=min((row.service for row in class_rows if row.requests), default=1.0),
        classes=class_rows,
        per_second=_earned_share_per_second(scores, schedule),
        requests=len(requests),
        client_attempts=sum(len(attempts) for attempts in requests.values()),
        late_failures=late_failed_weight / (sum(score.weight for score in scores) or 1),
    )


def _attempts_by_request(log: EventLog) -> dict[str, list[ClientAttempt]]:
    """Return the client attempts of each request, by the id of the first attempt."""
    by_request: dict[str, list[ClientAttempt]] = defaultdict(list)
    for attempt in log.client_attempts:
        if attempt.outcome != ClientOutcome.DUPLICATE:
            by_request[attempt.first_id].append(attempt)
    return by_request


def _score_request(
    attempts: list[ClientAttempt], request_class: RequestClass, row: ClassService, began_at: float
) -> _RequestResult:
    """Return the result of a request, and count the request in the row of its class."""
    row.requests += 1
    objective_s = request_class.latency_objective_ms / 1000
    served_at = min(
        (
            attempt.ended_at
            for attempt in attempts
            if attempt.outcome == ClientOutcome.SERVED and attempt.ended_at <= attempt.deadline_at
        ),
        default=inf,
    )
    if served_at - began_at <= objective_s:
        row.served += 1
        return _RequestResult(1.0)
    if served_at - began_at <= request_class.deadline_ms / 1000:
        row.late += 1
        return _RequestResult(request_class.late_priority_weight)
    last = max(attempts, key=lambda attempt: attempt.ended_at)
    if last.outcome in (ClientOutcome.REJECTED, ClientOutcome.UNREACHABLE):
        row.rejected += 1
    else:
        row.failed += 1
    return _RequestResult(0.0, failed_late=last.ended_at - began_at > objective_s)


def _earned_share(scores: list[RequestScore]) -> float:
    """Return the share of the priority weight that was earned; 1 if there are no requests."""
    total_weight = sum(score.weight for score in scores)
    return sum(score.earned for score in scores) / total_weight if total_weight else 1.0


def _worst_window(scores: list[RequestScore], length_s: float, overall: float) -> float:
    """Return the lowest earned share of all windows with requests; a window starts every half second."""
    window_starts = [0.0]
    if length_s > WINDOW_S + EXCLUDED_START_S:
        first = int(EXCLUDED_START_S * WINDOW_STARTS_PER_S)
        last = max(first + 1, int((length_s - WINDOW_S) * WINDOW_STARTS_PER_S) + 1)
        window_starts = [index / WINDOW_STARTS_PER_S for index in range(first, last)]
    windows = [
        [score for score in scores if window_start <= score.at < window_start + WINDOW_S]
        for window_start in window_starts
    ]
    return min((_earned_share(window) for window in windows if window), default=overall)


def _earned_share_per_second(scores: list[RequestScore], schedule: Schedule) -> dict[str, list[float]]:
    """Return the earned share of each class in each second."""
    seconds = range(int(schedule.scenario.length_s + 0.999))
    return {
        request_class.name: [
            _earned_share([score for score in scores if score.class_index == index and second <= score.at < second + 1])
            for second in seconds
        ]
        for index, request_class in enumerate(schedule.scenario.classes)
    }
