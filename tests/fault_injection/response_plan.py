"""Plans of the endpoints' responses, drawn from the seed, the request id and the index of the attempt."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

from tests.fault_injection.behaviour import EndpointBehaviour

FAULTY_SHARE = 0.25
"""The share of attempts to which an endpoint responds with one of the enabled faults."""
MIN_LATENCY_S, MEAN_LATENCY_S, MAX_LATENCY_S = 0.002, 0.025, 0.4
SHORT_BODY_BYTES = (120, 3000)
LONG_BODY_BYTES = (66_000, 400_000)
SLOW_BODY_BYTES = (100_000, 200_000)


class FaultPosition(Enum):
    """The position in a response at which a fault is injected."""

    BEFORE_HEAD = "before the head"
    IN_HEAD = "in the head"
    IN_BODY = "in the body"
    AFTER = "after the response"


class Framing(Enum):
    """How the end of a response's body is marked."""

    LENGTH = "length"
    CHUNKED = "chunked"
    UNTIL_CLOSE = "until close"


@dataclass(slots=True, frozen=True)
class ResponsePlan:
    """The response of an endpoint to one attempt, and the fault injected into it."""

    behaviour: EndpointBehaviour
    latency_s: float
    body_bytes: int
    framing: Framing
    fault_position: FaultPosition

    def __str__(self) -> str:
        fault = (
            f"{self.behaviour.value} {self.fault_position.value}, "
            if self.behaviour is not EndpointBehaviour.NORMAL
            else ""
        )
        return f"{fault}{self.latency_s * 1000:.0f} ms, {self.body_bytes} bytes, framing: {self.framing.value}"


def plan_response(
    seed: int, request_id: str, attempt_index: int, time_left_s: float, enabled: tuple[EndpointBehaviour, ...]
) -> ResponsePlan:
    """Return the plan for one attempt, counted from 0, of a request; equal arguments give equal plans."""
    random = Random(f"{seed}/{request_id}/{attempt_index}")
    latency_s = min(MAX_LATENCY_S, MIN_LATENCY_S + random.expovariate(1 / MEAN_LATENCY_S))
    behaviour = EndpointBehaviour.NORMAL
    if enabled and random.random() < FAULTY_SHARE:
        behaviour = random.choice(enabled)
    long_body = behaviour is EndpointBehaviour.LONG_BODY or (
        EndpointBehaviour.LONG_BODY in enabled and random.random() < FAULTY_SHARE
    )
    framing = random.choice(list(Framing)) if long_body else Framing.LENGTH
    body_bytes = random.randint(*(LONG_BODY_BYTES if long_body else SHORT_BODY_BYTES))
    fault_position = random.choice(list(FaultPosition))
    if behaviour is EndpointBehaviour.DUPLICATED:
        framing = Framing.LENGTH  # any other framing would add the second copy to the body
    if behaviour in (EndpointBehaviour.SLOW_BODY, EndpointBehaviour.PAUSING_BODY):
        body_bytes = random.randint(*SLOW_BODY_BYTES)
        framing = random.choice(list(Framing))
    if behaviour is EndpointBehaviour.LATE:
        latency_s = time_left_s + random.uniform(-0.1, 0.5)
    return ResponsePlan(behaviour, max(0.0, latency_s), body_bytes, framing, fault_position)
