"""`GET /edges`: the listing of all sidecars, both direct ones and the children of aggregators."""

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
    """The answer to `GET /edges`.

    `unanswered` maps each aggregator that did not list its children to the reason.
    """

    rows: list[SidecarRow]
    revision: int
    granting: str  # "yes", or why no lease can be granted
    lists: Spread
    unanswered: dict[str, str] = {}


class FleetListing:
    """Answers `GET /edges`, for which it requests rows from aggregators; concurrent calls share a request."""

    def __init__(self, service: RevisionService, fleet: Fleet) -> None:
        self._service = service
        self._fleet = fleet
        self._session: aiohttp.ClientSession | None = None
        self._request: asyncio.Task[ChildListing] | None = None

    def start(self) -> None:
        """Open the client session for requests to aggregators; call it within the running loop."""
        self._session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))

    async def close(self) -> None:
        """Cancel a request under way, and close the client session."""
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
        """Return the listing of all sidecars.

        Cancelling it does not cancel the request to the aggregators, which other calls may share.
        """
        service, expected = self._service, self._fleet.expected()
        children = await self._request_children()
        rows_by_name = {row.name: row for row in self._fleet.rows()}
        rows_by_name |= self._child_rows(children)
        rows = [rows_by_name[name] for name in sorted(rows_by_name)]
        index = service.host.store.state.last_index(INSTANCES)
        sidecar_rows.add_findings(rows, [extension.findings() for extension in service.extensions])
        return Listing(
            rows=rows,
            revision=expected.committed,
            granting=refusal_text(service.coordinator.grant_refusal(service.now())) or "yes",
            lists=sidecar_rows.list_spread(rows, index, expected.silent_ms),
            unanswered=children.unanswered,
        )

    async def _request_children(self) -> ChildListing:
        aggregators = self._service.directory.aggregators
        if not aggregators or self._session is None:
            return ChildListing()
        if self._request is None or self._request.done():
            addresses = {name: process.report.listen for name, process in aggregators.items()}
            request = children_listing.request_child_rows(self._session, addresses, self._fleet.expected())
            self._request = asyncio.create_task(request)
        return await asyncio.shield(self._request)

    def _child_rows(self, listing: ChildListing) -> dict[str, SidecarRow]:
        """Return the rows of aggregators' children by name, each from the aggregator that owns the child.

        A child has a row without details if its aggregator does not answer or does not list it.
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
