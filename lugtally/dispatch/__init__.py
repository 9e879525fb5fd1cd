"""Management of the requests in progress, between the connections and the balancer.

This package owns each request from its submission to its final answer, the timers of the balancer, the drains that
operators start, and the request metrics.  It must not depend on sockets or protocols, and it makes no balancing
decisions.
"""

from lugtally.dispatch.attempt_outcome import ATTEMPT_RESULTS, FULLY_SENT, AttemptOutcome
from lugtally.dispatch.decision import Decision, Failed, Finished, Rejected, StartAttempt
from lugtally.dispatch.dispatcher import Dispatcher
from lugtally.dispatch.endpoint_registry import ListedEndpoint
from lugtally.dispatch.metrics import RequestMetrics
from lugtally.dispatch.pending_request import UNKNOWN_TENANT, PendingRequest
from lugtally.dispatch.policy import BalancingPolicy, BalancingPolicyFactory

__all__ = [
    "ATTEMPT_RESULTS",
    "FULLY_SENT",
    "UNKNOWN_TENANT",
    "AttemptOutcome",
    "BalancingPolicy",
    "BalancingPolicyFactory",
    "Decision",
    "Dispatcher",
    "Failed",
    "Finished",
    "ListedEndpoint",
    "PendingRequest",
    "Rejected",
    "RequestMetrics",
    "StartAttempt",
]
