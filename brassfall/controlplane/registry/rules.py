"""HTTP calls `GET /rules`, which answers or watches the revision state, and `PUT /rules`, which publishes."""

from __future__ import annotations

from typing import Any

import msgspec
from aiohttp import web

from brassfall.controlplane.registry import calls, revision_state
from brassfall.controlplane.registry.calls import answer
from brassfall.controlplane.registry.entries import INSTANCES
from brassfall.controlplane.registry.revision_service import CHANNEL, RevisionService
from brassfall.controlplane.revisions import validation
from brassfall.controlplane.revisions.validation import DocumentError, HarmfulError

REVISION_REFUSED, SETTINGS_REFUSED = "edition refused", "settings refused"
NOT_JSON = "settings are no JSON"

_encode = msgspec.json.Encoder().encode


class PublishedAnswer(msgspec.Struct, frozen=True, rename={"revision": "edition"}):
    """The answer to `PUT /rules`."""

    revision: int


class RulesCalls:
    """Answers the HTTP calls under `/rules`."""

    def __init__(self, service: RevisionService) -> None:
        self._service = service

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes of `/rules`."""
        return [web.get("/rules", self._get), web.put("/rules", self._put)]

    async def _get(self, request: web.Request) -> web.StreamResponse:
        if calls.is_watch(request):
            return await self._service.host.watch(request, CHANNEL)
        requested_number = request.query.get("edition")
        if requested_number is None:
            return answer(self._service.line())
        coordinator = self._service.coordinator
        number = calls.parse_whole_number(requested_number, "edition")
        outcome = revision_state.state_of(coordinator.state, coordinator.epoch, coordinator.outcomes, number)
        return answer(_encode(outcome))

    async def _put(self, request: web.Request) -> web.Response:
        settings = _parse_settings(await self._service.host.body(request))
        forced = request.headers.get("X-Force", "0") not in ("0", "")
        self._refuse_harmful(settings, forced=forced)
        number = await self._service.publish(
            settings=settings,
            if_match=calls.if_match_version(request),
            request_id=calls.request_id(request),
            forced=forced,
        )
        self._service.statistics.published += 1
        return answer(_encode(PublishedAnswer(number)))

    def _refuse_harmful(self, settings: dict[str, Any], *, forced: bool) -> None:
        """Raise `HarmfulError` for settings that would stop service, unless they are forced; count both."""
        service = self._service
        concurrent = [revision.settings for revision in service.coordinator.actable_revisions(service.now())]
        harm = validation.find_harm(settings, self._active_regions(), concurrent)
        if harm and not forced:
            service.statistics.harmful += 1
            raise HarmfulError(REVISION_REFUSED, harm)
        service.statistics.forced += bool(harm)

    def _active_regions(self) -> frozenset[str]:
        rows = self._service.host.store.state.rows(INSTANCES)
        return frozenset(row.value["zone"] for row in rows if row.value["status"] == "active")


def _parse_settings(body: bytes) -> dict[str, Any]:
    """Parse the settings in the body of a call; raise `DocumentError` if they are malformed."""
    try:
        settings = msgspec.json.decode(body)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise DocumentError(NOT_JSON, str(error)) from error
    error_text = validation.form_fault(settings)
    if error_text:
        raise DocumentError(SETTINGS_REFUSED, error_text)
    found: dict[str, Any] = settings
    return found
