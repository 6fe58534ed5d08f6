"""The parts of discovery that the agent uses: the addresses of the list service and the endpoint list."""

from __future__ import annotations

from brassfall.sidecar.discovery.endpoint_index import EndpointList
from brassfall.sidecar.discovery.sources import RETRY_SPREAD, ServiceAddresses

__all__ = ["RETRY_SPREAD", "EndpointList", "ServiceAddresses"]
