"""Regions of a deployment's zones, and the distances between zones."""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Callable, Iterable, Mapping

from quaymill import boot_clock
from quaymill.connection.member import Member

ASSUMED_ROUND_TRIP_S = 0.02
"""Network round trip to another region that is assumed until a probe there has been answered."""
ROUND_TRIP_SAMPLES = 16
"""Number of recent round trips whose minimum is used, which leaves out delays caused by load."""
LEARN_INTERVAL_S = 1.0
"""Time between two looks at the members for the regions of zones that the settings do not name."""


class Distance(enum.IntEnum):
    """How far two zones are apart."""

    SAME_ZONE = 0
    SAME_REGION = 1
    OTHER_REGION = 2


class RegionMap:
    """Regions by zone; safe to use from any thread.

    Without a table of zones in the settings there is one region, whatever members report. The
    region of a zone that the table does not name is the one that its members report. If it has no
    members either, it is the first of all known regions by name: every gateway must assign a zone
    to the same region, as it selects the engine pool of the zone's replicas.

    Parameters
    ----------
    zone, own_region
        Zone of this process, and the region in its settings.
    zone_regions
        Region of each zone that the settings name; a zone with an empty region counts as unnamed.
    members
        Returns all known members, including dead ones.
    """

    def __init__(
        self,
        zone: str = "",
        own_region: str = "",
        zone_regions: Mapping[str, str] | None = None,
        members: Callable[[], Iterable[Member]] = tuple,
    ) -> None:
        self._zone = zone
        self._named = {name: region for name, region in (zone_regions or {}).items() if region}
        self._members = members
        self._reported = {} if not zone or zone in self._named else {zone: own_region}
        self._regions = frozenset(self._named.values()) | frozenset(self._reported.values())
        self._learn_at = 0.0
        self._round_trips_s: deque[float] = deque(maxlen=ROUND_TRIP_SAMPLES)

    @property
    def has_several(self) -> bool:
        """Whether the deployment spans several regions."""
        return len(self._regions) > 1

    def region_of(self, zone: str) -> str:
        """Return the region of a zone."""
        region = self._named.get(zone)
        if region is not None:
            return region
        if self._named:
            self._learn()
        return self._reported.get(zone) or min(self._regions, default="")

    def pool_region(self, zone: str) -> str:
        """Return the region of a zone for the names of engine pools: empty if there is only one."""
        if not self._named:
            return ""
        region = self.region_of(zone)
        return region if self.has_several else ""

    def distance(self, zone: str, other: str) -> Distance:
        """Return the distance between two zones."""
        if zone == other:
            return Distance.SAME_ZONE
        if not self._named or self.pool_region(zone) == self.pool_region(other):
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
        is_remote = member is not None and self.is_remote(member.zone)
        return self.round_trip_s if is_remote else 0.0

    @property
    def round_trip_s(self) -> float:
        """Network round trip to another region in seconds, as probes have measured it."""
        return min(tuple(self._round_trips_s), default=ASSUMED_ROUND_TRIP_S)

    def record_round_trip(self, member: Member, took_s: float) -> None:
        """Record how long a member took to answer a probe; ignored within the own region."""
        if self.is_remote(member.zone):
            self._round_trips_s.append(took_s)

    def _learn(self) -> None:
        """Take the regions of unnamed zones from the members; known ones are kept."""
        now = boot_clock.now()
        if now < self._learn_at:
            return
        self._learn_at = now + LEARN_INTERVAL_S
        reported: dict[str, str] = {}
        for member in self._members():
            if member.zone not in self._named and member.region:
                # Members of a zone should agree; if not, all gateways choose the same region.
                known = reported.get(member.zone, member.region)
                reported[member.zone] = min(known, member.region)
        self._reported = self._reported | reported
        self._regions = frozenset(self._named.values()) | frozenset(self._reported.values())


ONE_REGION = RegionMap()
"""The map of a deployment with a single region."""
