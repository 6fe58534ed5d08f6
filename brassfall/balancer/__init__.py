"""Load-balancing decisions of one sidecar for requests between services."""

from brassfall.balancer.balancer import Balancer
from brassfall.balancer.settings import Settings

__all__ = ["Balancer", "Settings"]
