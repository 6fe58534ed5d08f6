"""`GET /edges`: all sidecars, those that report here and the children that aggregators list."""

from __future__ import annotations

import asyncio

import aiohttp
import msgspec
from aiohttp import web

from brassfall.controlplane.registry import children_listing, sidecar_rows
from brassfall.controlplane.registry.calls import answer
from brassfall.controlplane.registry.children_listing import ChildListing
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.fleet import Fleet
from brassfall.controlplane.registry.revision_service import RevisionService
from brassfall.controlplane.registry.sidecar_rows import SidecarRow, Spread
from brassfall.controlplane.revisions.refusals import refusal_text

_encode = msgspec.json.Encoder().encode


class Listing(
    msgspec.Struct,
    frozen=True,
    rename={"rows": "edges", "revision": "edition", "granting": "permits", "lists": "list"},
):
    """The answer to `GET /edges`; `unanswered` has the aggregators that did not list their children."""

    rows: list[SidecarRow]
    revision: int
    granting: str  # "yes", or why no lease can be granted
    lists: Spread
    unanswered: dict[str, str] = {}


class FleetListing:
    """Makes the listing, and requests it from aggregators; concurrent calls share one request."""

    def __init__(self, service: RevisionService, fleet: Fleet) -> None:
        self._service = service
        self._fleet = fleet
        self._session: aiohttp.ClientSession | None = None
        self._request: asyncio.Task[ChildListing] | None = None

    def start(self) -> None:
        """Prepare requests to aggregators; call it within the running loop."""
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def close(self) -> None:
        """Cancel a request under way, and stop."""
        if self._request is not None:
            self._request.cancel()
            await asyncio.gather(self._request, return_exceptions=True)
        if self._session is not None:
            await self._session.close()

    def routes(self) -> list[web.RouteDef]:
        """Return the route of `GET /edges`."""
        return [web.get("/edges", self._get)]

    async def _get(self, _request: web.Request) -> web.Response:
        return answer(_encode(await self.listing()))

    async def listing(self) -> Listing:
        """Return the listing. Cancelling it does not cancel a request that other calls share."""
        service, expected = self._service, self._fleet.expected()
        children = await self._ask()
        by_name = {row.name: row for row in self._fleet.rows()}
        by_name |= self._children(children)
        rows = [by_name[name] for name in sorted(by_name)]
        index = service.host.store.state.last_index(INSTANCES)
        sidecar_rows.add_findings(rows, [extension.findings() for extension in service.extensions])
        return Listing(
            rows=rows,
            revision=expected.committed,
            granting=refusal_text(service.coordinator.grant_refusal(service.now())) or "yes",
            lists=sidecar_rows.spread(rows, index, expected.silent_ms),
            unanswered=children.unanswered,
        )

    async def _ask(self) -> ChildListing:
        aggregators = self._service.directory.aggregators
        if not aggregators or self._session is None:
            return ChildListing()
        if self._request is None or self._request.done():
            listens = {name: process.report.listen for name, process in aggregators.items()}
            request = children_listing.gather(self._session, listens, self._fleet.expected())
            self._request = asyncio.create_task(request)
        return await asyncio.shield(self._request)

    def _children(self, listing: ChildListing) -> dict[str, SidecarRow]:
        """Return the rows of children by name, each from the aggregator that owns it.

        A child whose aggregator does not answer has a row without details.
        """
        rows: dict[str, SidecarRow] = {}
        directory, nodes = self._service.directory, self._service.coordinator.membership.nodes
        for name, process in directory.aggregators.items():
            why = "does not answer" if name in listing.unanswered else "does not list it"
            for child in process.children:
                rows[child] = SidecarRow(name=child, behind=f"aggregator {name} {why}", via=name)
        for name, listed in listing.rows.items():
            for row in listed:
                owner = directory.owner(row.name)
                if owner == name or (owner is None and row.name not in nodes):
                    rows[row.name] = row
        return rows
