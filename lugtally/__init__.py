"""lugtally: a load-balancing sidecar.  The public API is the balancer, which can be used without the sidecar."""

from lugtally.balancing import Balancer

__all__ = ["Balancer"]
__version__ = "0.1.0"
