"""Limits on own requests in flight, by Little's law and a quota (docs/design.md, "Concurrency limits")."""

from math import exp

from lugtally.balancing.events import AttemptResult
from lugtally.balancing.records import BalancerState, InFlightAttempt
from lugtally.units import NS_PER_MS, NS_PER_S

REFRESH_INTERVAL_NS = 250 * NS_PER_MS  # how often weights and limits are drawn up anew
MIN_UPDATES = 4  # before the throughput estimate is used
LIMIT_RATIO = 1.8  # the limit, as a multiple of what is in flight at the edge of congestion
DEVIATIONS = 3.0  # deviations of chance in flight that the limit leaves free
MIN_LIMIT = 4.0
MAX_ENDPOINT_LIMIT = 64.0
FLEET_LIMIT = 3.5  # requests that all balancers together let an endpoint hold, by its report, at first
SHARE_DECAY_NS = 5 * NS_PER_S  # how fast what was seen of our share of these fades
PROMPT_SHARE = 0.25  # part of the objective within which a response shows that endpoints could hold more
MIN_RISE_PER_S = 0.01  # how fast the smallest of these parts rises
MAX_REPORT_AGE_NS = 2 * NS_PER_S
CONGESTION_RESULTS = (AttemptResult.OK, AttemptResult.TIMEOUT, AttemptResult.REJECTED)


def traffic_share(state: BalancerState) -> float:
    """Return our part of the fleet's traffic, 0 if unknown."""
    own_load, fleet_load = state.concurrency.own_load, state.concurrency.fleet_load
    return own_load / fleet_load / max(1, len(state.usable)) if fleet_load else 0.0


def record_response(state: BalancerState, attempt: InFlightAttempt, baseline_ns: float) -> None:
    """Count the work that a good response has done."""
    concurrency = state.concurrency
    concurrency.work_done += baseline_ns
    share = attempt.took_ns / attempt.request_class.latency_objective_ns
    concurrency.objective_share += 0.02 * (share - concurrency.objective_share)


def adjust_endpoint_limit(state: BalancerState, now: int, attempt: InFlightAttempt) -> None:
    """Raise an endpoint's own limit while its responses are soon; lower it once for each late batch."""
    endpoint, result, limit = attempt.endpoint, attempt.result, attempt.endpoint.concurrency_limit
    if result is AttemptResult.OK and endpoint.slowness < state.latency.congested_at:
        if len(endpoint.in_flight) + 1 >= limit / 2:
            endpoint.concurrency_limit = min(MAX_ENDPOINT_LIMIT, limit + 1 / limit)
    elif result in CONGESTION_RESULTS and now - attempt.took_ns >= endpoint.limit_lowered_ns:
        endpoint.limit_lowered_ns = now
        endpoint.concurrency_limit = max(1.0, limit * 0.8)


def allow_start(state: BalancerState) -> None:
    """After our own restart the pace is unknown, and the clients of the pause come all at once."""
    if state.concurrency.updates <= MIN_UPDATES:
        state.concurrency.limit = 2.0 * max(4, len(state.subset.members))


def update_limit(state: BalancerState, now: int, elapsed_ns: int) -> None:
    """Draw up the limit from what was done since the last update."""
    concurrency, latency = state.concurrency, state.latency
    concurrency.updates += 1
    weight = max(min(1.0, 0.3 * elapsed_ns / REFRESH_INTERVAL_NS), 1 / concurrency.updates)
    concurrency.throughput += weight * (concurrency.work_done / elapsed_ns - concurrency.throughput)
    concurrency.work_done = 0.0
    if concurrency.updates > MIN_UPDATES:
        floor = max(MIN_LIMIT, 4 * len(state.subset.members) / state.settings.fleet_size)
        # Few requests in flight scatter by as much as their number.
        edge = LIMIT_RATIO * max(latency.congested_at, latency.headroom / 6) * concurrency.throughput
        concurrency.limit = max(floor, edge + DEVIATIONS * concurrency.throughput**0.5)
        _apply_fleet_quota(state, now, elapsed_ns)


def _apply_fleet_quota(state: BalancerState, now: int, elapsed_ns: int) -> None:
    """Hold the limit to our part of what all endpoints should hold together, by their reports."""
    concurrency, oldest_ns = state.concurrency, now - MAX_REPORT_AGE_NS
    recent = [m for m in state.subset.members if m.load_estimated_ns and m.load_estimated_ns > oldest_ns]
    if not state.latency.reports_seen or not recent:
        return
    load, decay = sum(m.reported_load for m in recent) / len(recent), exp(-elapsed_ns / SHARE_DECAY_NS)
    concurrency.own_load = decay * concurrency.own_load + len(state.attempts) * elapsed_ns
    concurrency.fleet_load = decay * concurrency.fleet_load + load * elapsed_ns
    share, min_share = concurrency.objective_share, concurrency.min_objective_share
    min_share = min(share, min_share * (1 + MIN_RISE_PER_S * elapsed_ns / NS_PER_S)) if min_share else share
    concurrency.min_objective_share = min_share
    if load > 0.7 * concurrency.fleet_limit:  # endpoints of many cores may hold more
        rise = 0.4 if share < min(PROMPT_SHARE, 1.6 * min_share) else -0.4
        risen = concurrency.fleet_limit * (1 + rise * elapsed_ns / NS_PER_S)
        concurrency.fleet_limit = max(FLEET_LIMIT, risen)
    quota = concurrency.fleet_limit * concurrency.own_load / max(1.0, concurrency.fleet_load) + 1.0
    slack = max(1.0, 0.75 * concurrency.fleet_limit / max(0.1, load))
    concurrency.limit = min(concurrency.limit, max(2.0, quota * slack))
