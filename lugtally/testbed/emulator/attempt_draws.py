"""Random draws for an attempt at an emulated server: its work, its resets and its response.

Each draw depends only on the server, the request and the attempt, so that the order in which requests arrive does not
change it.
"""

from __future__ import annotations

from typing import NamedTuple

from lugtally.testbed.emulator.faults import MALFORMED_RESPONSES, EndpointFaults
from lugtally.testbed.scenario.random_streams import named_uniform
from lugtally.testbed.verification.records import ServerOutcome

NOISE_HALF_WIDTH = 1.7  # of a uniform distribution around 1, in standard deviations


class AttemptDraw(NamedTuple):
    """Values that are drawn when a request arrives."""

    work_factor: float  # on the work of the request
    resets_before_work: bool
    resets_instead_of_response: bool


class ResponseDraw(NamedTuple):
    """Values that are drawn when the work of a request is done."""

    outcome: ServerOutcome
    malformed: bytes = b""  # response to write if the outcome is MALFORMED


def draw_attempt(
    seed: int, server: str, request_id: str, attempt_number: int, noise_deviation: float, faults: EndpointFaults
) -> AttemptDraw:
    """Draw the work of an attempt and whether its connection is reset.

    ``attempt_number`` counts the attempts of this request at this server from 0; ``noise_deviation`` is the standard
    deviation of the work factor.  Half of the resets happen before any work, the other half instead of the response.
    """
    noise_draw = named_uniform(seed, "noise", server, request_id, attempt_number)
    reset_draw = named_uniform(seed, "reset", server, request_id, attempt_number)
    half_reset_share = faults.reset_share / 2
    return AttemptDraw(
        work_factor=1 + noise_deviation * (2 * noise_draw - 1) * NOISE_HALF_WIDTH,
        resets_before_work=reset_draw < half_reset_share,
        resets_instead_of_response=reset_draw > 1 - half_reset_share,
    )


def draw_response(
    seed: int, server: str, request_id: str, arrived_at: float, error_rate: float, faults: EndpointFaults
) -> ResponseDraw:
    """Draw the response to a request whose connection is not reset."""
    draw = named_uniform(seed, "end", server, request_id, arrived_at)
    if draw < error_rate + faults.error_share:
        return ResponseDraw(ServerOutcome.ERRORED)
    if draw > 1 - faults.malformed_share:
        index = int(draw * 1e9) % len(MALFORMED_RESPONSES)
        return ResponseDraw(ServerOutcome.MALFORMED, MALFORMED_RESPONSES[index])
    return ResponseDraw(ServerOutcome.SERVED)
