"""keelhollow: the decisions of a sidecar balancer, without the sidecar."""

from keelhollow.decide import Balancer

__all__ = ["Balancer"]
__version__ = "0.1.0"
