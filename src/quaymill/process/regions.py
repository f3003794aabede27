"""Regions of a deployment's zones, and the distances between zones."""

from __future__ import annotations

import enum
import threading
from collections import deque
from collections.abc import Mapping

from eliot import log_message

from quaymill.connection.member import Member

ASSUMED_ROUND_TRIP_S = 0.03
"""Network round trip to another region that is assumed until a probe there has been answered. Twice
the specified latency of 12 ms and a margin of 6 ms: calls whose timeouts are extended by less would
end before the answer arrives."""
ROUND_TRIP_SAMPLES = 16
"""Number of recent round trips whose minimum is used, which leaves out delays caused by load."""


class Distance(enum.IntEnum):
    """How far two zones are apart."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


class RegionMap:
    """Regions by zone; safe to use from any thread.

    Without a table of zones in the settings there is one region, whatever members report. A zone
    that the table does not name belongs to the first of the named regions by name. This depends on
    the settings alone, as every gateway must assign a zone to the same region at any time: it
    selects the engine pool of the zone's replicas.

    Parameters
    ----------
    zone, own_region
        Zone of this process, and the region in its settings, which is used without a table only.
    zone_regions
        Region of each zone that the settings name; a zone with an empty region counts as unnamed.
    """

    def __init__(
        self,
        zone: str = "",
        own_region: str = "",
        zone_regions: Mapping[str, str] | None = None,
    ) -> None:
        self._zone = zone
        self._named = {name: region for name, region in (zone_regions or {}).items() if region}
        regions = frozenset(self._named.values())
        self._first_region = min(regions, default=own_region)
        self._has_several = len(regions) > 1
        self._lock = threading.Lock()
        self._unnamed: set[str] = set()
        self._round_trips_s: dict[str, deque[float]] = {
            region: deque(maxlen=ROUND_TRIP_SAMPLES) for region in regions
        }

    @property
    def has_several(self) -> bool:
        """Whether the deployment spans several regions."""
        return self._has_several

    def region_of(self, zone: str) -> str:
        """Return the region of a zone."""
        region = self._named.get(zone)
        if region is not None:
            return region
        if self._has_several:
            self._log_unnamed(zone)
        return self._first_region

    def pool_region(self, zone: str) -> str:
        """Return the region of a zone for the names of engine pools: empty if there is only one."""
        return self.region_of(zone) if self._has_several else ""

    def distance(self, zone: str, other: str) -> Distance:
        """Return the distance between two zones."""
        if zone == other:
            return Distance.SAME_ZONE
        if not self._has_several or self.pool_region(zone) == self.pool_region(other):
            return Distance.SAME_REGION
        return Distance.OTHER_REGION

    @property
    def own_pool_region(self) -> str:
        """Region of this process for the names of engine pools: empty if there is only one."""
        return self.pool_region(self._zone)

    def is_remote(self, zone: str) -> bool:
        """Return whether a zone is in another region than this process."""
        return self.distance(self._zone, zone) is Distance.OTHER_REGION

    def travel_s(self, member: Member | None) -> float:
        """Return the time to add to the timeout of a call to a member, in seconds."""
        if member is None or not self.is_remote(member.zone):
            return 0.0
        return self.round_trip_s(self.region_of(member.zone))

    def round_trip_s(self, region: str) -> float:
        """Return the network round trip to another region in seconds, as probes measured it."""
        return min(tuple(self._round_trips_s.get(region, ())), default=ASSUMED_ROUND_TRIP_S)

    def record_round_trip(self, member: Member, took_s: float) -> None:
        """Record how long a member took to answer a probe; ignored within the own region."""
        if self.is_remote(member.zone):
            self._round_trips_s[self.region_of(member.zone)].append(took_s)

    def _log_unnamed(self, zone: str) -> None:
        """Log a zone that the settings do not name, once."""
        if zone in self._unnamed:
            return
        with self._lock:
            is_new = zone not in self._unnamed
            self._unnamed.add(zone)
        if is_new:
            log_message("region:zone_not_named", zone=zone, region=self._first_region)


ONE_REGION = RegionMap()
"""The map of a deployment with a single region."""
