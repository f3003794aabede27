"""Checks whether this gateway may grant requests to cold replicas.

It may if it has ranked first for an engine pool for some time and sees enough of the other
gateways; see ``replica_set/cold_start.py``.
"""

from __future__ import annotations

import threading
from collections.abc import Callable, Collection

from eliot import log_message

from quaymill import boot_clock
from quaymill.connection.member import Member
from quaymill.process.jobs.engine_pool import EnginePool, pools_of
from quaymill.process.jobs.slot_claims import AllocatorChoice, ReachableOf
from quaymill.process.regions import ONE_REGION, RegionMap
from quaymill.process.replica_set.cold_start import GrantEligibility, PauseWatch
from quaymill.process.replica_set.table import ReplicaTable

TICK_INTERVAL_S = 0.2
"""Time between two checks, and so how long a request waits for a window that has room again."""


class ColdGrantWatch:
    """Checks several times a second whether this gateway may grant to cold replicas.

    Parameters
    ----------
    services
        Returns the services that declare a rate for cold replicas.
    gateways, known_gateways
        Return the live gateways, and all that are known, including this one.
    reachable
        Returns those of the given gateways that are in reachable zones; see ``ReachableOf``.
    may_be_alone
        Whether this gateway may grant if it knows no other one.
    regions
        Regions of the deployment's zones.
    grant_waiting
        Grants the requests of some services that wait for room at a cold replica.
    """

    def __init__(
        self,
        own_name: str,
        table: ReplicaTable,
        services: Callable[[], Collection[str]],
        gateways: Callable[[], tuple[Member, ...]],
        known_gateways: Callable[[], tuple[Member, ...]],
        reachable: ReachableOf,
        grant_waiting: Callable[[Collection[str]], None],
        *,
        may_be_alone: bool,
        regions: RegionMap = ONE_REGION,
    ) -> None:
        self._own_name = own_name
        self._table = table
        self._services = services
        self._gateways = gateways
        self._known_gateways = known_gateways
        self._allocator_choice = AllocatorChoice(gateways, reachable, regions)
        self._grant_waiting = grant_waiting
        self._eligibility = GrantEligibility(may_be_alone=may_be_alone)
        self._pauses = PauseWatch()
        self._granting: set[EnginePool] = set()
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start checking."""
        threading.Thread(target=self._run, name="cold-grants", daemon=True).start()

    def stop(self) -> None:
        """Stop checking, and so granting."""
        self._stopping.set()

    def may_grant(self, pool: EnginePool) -> bool:
        """Return whether this gateway may grant requests to the cold replicas of a pool."""
        return self._eligibility.may_grant(pool, boot_clock.now())

    def eligible_in_s(self, pool: EnginePool) -> float:
        """Return the shortest time after which this gateway may grant, 0 if it may now."""
        return self._eligibility.eligible_in_s(pool, boot_clock.now())

    def paused_recently(self) -> bool:
        """Return whether this process was paused, so that grants may have waited for it."""
        return self._pauses.paused_recently(boot_clock.now())

    def _run(self) -> None:
        while not self._stopping.wait(TICK_INTERVAL_S):
            try:
                self.check()
            except Exception as error:  # A bug must not end the checks of this gateway.
                log_message("cold:check_error", error=repr(error))

    def check(self) -> None:
        """Check this gateway's rank, and grant requests that wait for room."""
        self._pauses.tick(boot_clock.now())
        services = self._services()
        if not services and not self._granting:
            return
        first_for = {
            pool
            for service in services
            for pool in pools_of(service, self._table)
            if self._is_first_for(pool)
        }
        now = boot_clock.now()
        self._eligibility.check(first_for, len(self._gateways()), len(self._known_gateways()), now)
        self._log_changes({pool for pool in first_for if self._eligibility.may_grant(pool, now)})
        self._grant_waiting(services)

    def _is_first_for(self, pool: EnginePool) -> bool:
        first = self._allocator_choice.allocator_of(pool.service, pool.index, pool.region)
        return first is not None and first.name == self._own_name

    def _log_changes(self, granting: set[EnginePool]) -> None:
        for pool in granting - self._granting:
            log_message("cold:grants_started", service=pool.service, pool=pool.index)
        for pool in self._granting - granting:
            log_message("cold:grants_stopped", service=pool.service, pool=pool.index)
        self._granting = granting
