"""Arrivals of a run: the time, sidecar, class and work of each first attempt."""

from __future__ import annotations

from dataclasses import dataclass
from math import log, sqrt

import numpy as np

from lugtally.testbed.scenario.random_streams import stream
from lugtally.testbed.scenario.scenario import RequestClass, Scenario

PROFILE_SAMPLE_INTERVAL_S = 0.01  # between the samples of which the maximum is taken
MAX_RATE_MARGIN = 1.001  # factor on the maximum of the samples
BURST_INTERVAL_S = 0.5  # for which the rate of a bursty load stays constant


@dataclass(frozen=True, slots=True)
class Arrival:
    """A first attempt, ``at`` seconds after the start of the run; ``work`` is in core-seconds."""

    at: float
    sidecar: int
    class_index: int
    work: float


def draw_arrivals(scenario: Scenario, seed: int, rate: float, mean_work: tuple[float, ...]) -> tuple[Arrival, ...]:
    """Draw a Poisson process for each sidecar, thinned to the rate profile (Lewis and Shedler, 1979)."""
    weights = _sidecar_weights(scenario, seed)
    sample_times = np.arange(0, scenario.length_s, PROFILE_SAMPLE_INTERVAL_S)
    max_factor = float(_rate_profile(scenario, seed, sample_times).max()) * MAX_RATE_MARGIN
    arrivals: list[Arrival] = []
    for sidecar, weight in enumerate(weights):
        arrivals += _draw_sidecar_arrivals(scenario, seed, sidecar, rate * weight, max_factor, mean_work)
    return tuple(sorted(arrivals, key=lambda arrival: arrival.at))


def draw_work(request_class: RequestClass, mean: float, random: np.random.Generator, count: int) -> np.ndarray:
    """Draw the work of ``count`` requests, in core-seconds.  All shapes have the same mean."""
    spread = request_class.spread
    if request_class.shape == "fixed":
        return np.full(count, mean)
    if request_class.shape == "exponential":
        return random.exponential(mean, count)
    if request_class.shape == "pareto":
        return (random.pareto(spread, count) + 1) * mean * (spread - 1) / spread
    return random.lognormal(log(mean) - spread**2 / 2, spread, count)


def _sidecar_weights(scenario: Scenario, seed: int) -> list[float]:
    """Draw the share of the load that each sidecar gets."""
    sigma = sqrt(log(1 + scenario.load.sidecar_cv**2))
    sidecars = range(scenario.fleet.sidecars)
    weights = np.array([stream(seed, "weight", sidecar).lognormal(0, sigma) for sidecar in sidecars])
    weights /= weights.sum()
    return [float(weight) for weight in weights]


def _draw_sidecar_arrivals(
    scenario: Scenario, seed: int, sidecar: int, rate: float, max_factor: float, mean_work: tuple[float, ...]
) -> list[Arrival]:
    """Draw the arrivals of one sidecar: candidates at the maximum rate, thinned to the rate profile."""
    random = stream(seed, "arrivals", sidecar)
    length_s, max_rate = scenario.length_s, rate * max_factor
    count = int(max_rate * length_s + 10 * sqrt(max_rate * length_s) + 20)
    times = np.cumsum(random.exponential(1 / max_rate, count))
    accepted = random.random(count) * max_factor < _rate_profile(scenario, seed, np.minimum(times, length_s))
    classes = _draw_classes(scenario, random, count)
    work = [
        draw_work(request_class, mean_work[class_index], stream(seed, "work", sidecar, request_class.name), count)
        for class_index, request_class in enumerate(scenario.classes)
    ]
    return [
        Arrival(float(times[index]), sidecar, int(classes[index]), float(work[int(classes[index])][index]))
        for index in range(count)
        if accepted[index] and times[index] < length_s
    ]


def _draw_classes(scenario: Scenario, random: np.random.Generator, count: int) -> np.ndarray:
    shares = np.cumsum([request_class.share for request_class in scenario.classes])
    return np.minimum(np.searchsorted(shares, random.random(count), side="right"), len(shares) - 1)


def _rate_profile(scenario: Scenario, seed: int, times: np.ndarray) -> np.ndarray:
    """Return the rate at each time as a multiple of the mean rate, including bursts."""
    load = scenario.load
    factor = np.ones_like(times)
    random = stream(seed, "profile")
    if load.shape == "wave":
        phase = random.random()
        factor += load.swing * np.sin(2 * np.pi * (times / load.wave_s + phase))
    elif load.shape == "bursty":
        factors = random.lognormal(0, load.swing, int(scenario.length_s / BURST_INTERVAL_S) + 2)
        factor *= (factors / factors.mean())[(times / BURST_INTERVAL_S).astype(int)]
    for fault in scenario.faults:
        if fault.kind == "burst":
            end = fault.at_s + (fault.for_s or scenario.length_s)
            factor = np.where((times >= fault.at_s) & (times < end), factor * fault.size, factor)
    return factor
