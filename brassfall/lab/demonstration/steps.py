"""The steps that the demonstration shows, and what each of them must lead to."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from collections.abc import Callable

import aiohttp

from brassfall.controlplane.revisions.reports import FALLBACK
from brassfall.lab.demonstration.fleet import REGIONS, REQUEST_CLASS, SERVICE, SIDECAR, DemoFleet
from brassfall.lab.demonstration.processes import DemoError

STEP_REQUESTS = 60
EXCLUSION_REQUESTS = 30
RECOVERY_REQUESTS = 10  # of one round
RECOVERY_INTERVAL_S = 0.2  # between two rounds
RECOVERY_TIMEOUT_S = 8.0  # the recovery ramp takes 5 s
OVERRIDE_S = 4.0
SUSPENSION_S = 2.0
EXPIRY_MARGIN_S = 0.2  # from the override's expiry to the sidecar's resumption, at least
EXCLUDED_REGION = "b"
DRAINED_SERVER = "s3"


class Demonstration:
    """The steps of one demonstration on a fleet; each line of its output goes to `say`."""

    def __init__(self, fleet: DemoFleet, say: Callable[[str], None]) -> None:
        self._fleet = fleet
        self._say = say

    async def run(self) -> None:
        """Show every step; raise `DemoError` at the first with another result than it must have."""
        await self._start_fleet()
        await self._send(STEP_REQUESTS, "all servers up")
        await self._publish_revision()
        await self._show_override_expiry()
        await self._restart_service()
        await self._drain_server()
        self._show_ledgers()
        self._say("it works")

    async def _start_fleet(self) -> None:
        fleet = self._fleet
        self._say(f"list service on {fleet.service_address}")
        await fleet.start_service()
        for name, region in REGIONS.items():
            self._say(f"server {name} in region {region} on {await fleet.start_server(name)}")
        await fleet.wait_for_active_servers(len(REGIONS))
        await fleet.start_sidecar()
        self._say(f"sidecar on {fleet.sidecar_address}")

    async def _publish_revision(self) -> None:
        settings = {"Profiles": [{"Name": REQUEST_CLASS, "Objective": 400.0}]}
        number = await self._fleet.publish_revision(settings)
        published = time.monotonic()
        failure = "the sidecar did not apply the configuration revision"
        await self._fleet.wait_for_state(lambda state: state.acting == number, failure)
        took_s = time.monotonic() - published
        self._say(
            f"configuration revision {number}: committed, and applied by the sidecar "
            f"{took_s:.1f} s after it was published"
        )

    async def _show_override_expiry(self) -> None:
        """Exclude a region for a while, and suspend the sidecar past the override's expiry."""
        expires_unix_s = time.time() + OVERRIDE_S
        await self._fleet.exclude_region(EXCLUDED_REGION, expires_unix_s)
        failure = "the sidecar did not apply the override"
        await self._fleet.wait_for_state(lambda state: state.overrides == ["demo"], failure)
        applied = time.monotonic()
        left_s = expires_unix_s - time.time()
        self._say(f"override: region {EXCLUDED_REGION} is excluded; it expires in {left_s:.1f} s")
        await self._send(EXCLUSION_REQUESTS, f"region {EXCLUDED_REGION} excluded")
        await self._suspend_sidecar_until(expires_unix_s + EXPIRY_MARGIN_S)
        resumed = time.monotonic()
        state = await self._fleet.sidecar_state()
        if state.overrides:
            failure = "the sidecar applied an override past its expiry"
            raise DemoError(failure, ", ".join(state.overrides))
        self._say("  the sidecar has resumed, and no longer applies the override")
        await self._show_recovery(applied, resumed)

    async def _suspend_sidecar_until(self, unix_s: float) -> None:
        self._say(f"the sidecar is suspended for {SUSPENSION_S:g} s, past the override's expiry")
        self._fleet.processes.suspend(SIDECAR)
        try:
            await asyncio.sleep(max(SUSPENSION_S, unix_s - time.time()))
        finally:
            self._fleet.processes.resume(SIDECAR)

    async def _show_recovery(self, applied: float, resumed: float) -> None:
        """Send until the excluded region receives requests again, and check its ledgers.

        `applied` and `resumed` are times of the monotonic clock: of the override, and of the sidecar.
        """
        while not (after := [at for at in self._times_in_excluded_region() if at > resumed]):
            if time.monotonic() - resumed > RECOVERY_TIMEOUT_S:
                what = f"region {EXCLUDED_REGION} received no request after the override's expiry"
                raise DemoError(what, f"not within {RECOVERY_TIMEOUT_S:g} s")
            await self._request(RECOVERY_REQUESTS)
            await asyncio.sleep(RECOVERY_INTERVAL_S)
        during = [at for at in self._times_in_excluded_region() if applied < at < resumed]
        if during:
            failure = f"region {EXCLUDED_REGION} received requests while excluded"
            raise DemoError(failure, f"{len(during)} of them")
        self._say(
            f"  ledgers of region {EXCLUDED_REGION}: no request while it was excluded, "
            f"the first one {min(after) - resumed:.1f} s after the sidecar resumed"
        )

    def _times_in_excluded_region(self) -> list[float]:
        return [row.at_s for row in self._fleet.ledger_rows(EXCLUDED_REGION)]

    async def _restart_service(self) -> None:
        self._say("the list service is killed; the sidecar goes on with its cached list")
        await self._fleet.processes.kill(SERVICE)
        await self._send(STEP_REQUESTS, "no list service")
        await self._fleet.start_service()
        await self._fleet.wait_for_active_servers(len(REGIONS))
        self._say("the list service is back, with every server")

    async def _drain_server(self) -> None:
        self._say(f"server {DRAINED_SERVER} drains")
        await self._fleet.processes.drain(DRAINED_SERVER)
        await self._fleet.wait_for_active_servers(len(REGIONS) - 1)
        answered = await self._send(STEP_REQUESTS, f"{DRAINED_SERVER} drained")
        if DRAINED_SERVER in answered:
            failure = f"{DRAINED_SERVER} received requests after it had drained"
            raise DemoError(failure)

    def _show_ledgers(self) -> None:
        """Show the configuration revision of the requests in each server's ledger."""
        self._say("requests in the servers' ledgers, by the configuration revision that each one named:")
        rows = self._fleet.ledger_rows()
        for name in REGIONS:
            found = Counter(_revision_text(row.revision) for row in rows if row.server == name)
            counts = ", ".join(f"{count} of {revision}" for revision, count in found.items())
            self._say(f"  {name}: {counts}")
        if any(row.revision is None for row in rows):
            failure = "a request named no configuration revision"
            raise DemoError(failure)

    async def _send(self, count: int, situation: str) -> Counter[str]:
        """Send requests and show which servers answered; return the number of answers by server."""
        answered = await self._request(count)
        shares = ", ".join(f"{name} {times}" for name, times in sorted(answered.items()))
        self._say(f"  {situation}: {count} requests, answered by {shares}")
        return answered

    async def _request(self, count: int) -> Counter[str]:
        """Send requests one by one; raise `DemoError` if one of them fails."""
        async with aiohttp.ClientSession() as session:
            answered = Counter([await self._fleet.send(session, number) for number in range(count)])
        failures = [f"{name} {times}" for name, times in answered.items() if name.startswith("status")]
        if failures:
            failure = "a request failed"
            raise DemoError(failure, ", ".join(failures))
        return answered


def _revision_text(revision: str | None) -> str:
    return "the fallback configuration" if revision == FALLBACK else f"revision {revision}"
