"""The set of evacuated zones: no new request may be sent to replicas in them.

The operator requests the evacuation of a zone by an object in the platform's store, and withdraws
it by removing the object. The list is always read as a whole, so a truncated history loses nothing.
"""

from __future__ import annotations

import math
import threading
from collections.abc import Callable, Iterable

from eliot import log_message

from quaymill.connection.object_store import Listing

MAX_LOGGED_AGE_S = 999.0
"""Age that is logged if the view was never confirmed."""

EvacuationListener = Callable[[frozenset[str], frozenset[str]], None]
"""Receives the zones whose evacuation has begun, and those whose evacuation has ended."""
ZonesReleased = Callable[[frozenset[str]], None]
"""Receives the zones whose evacuation has ended, before they are used again."""


class EvacuatedZones:
    """The newest known set of evacuated zones; safe to use from any thread.

    Parameters
    ----------
    confirmed_age_s
        Returns the time since the set was last known to be the newest, for the log.

    Attributes
    ----------
    zones
        The evacuated zones; empty while the set is unknown.
    revision
        Revision of the platform's store at which the set last changed; 0 while it is unknown.
    """

    def __init__(self, confirmed_age_s: Callable[[], float] = lambda: math.inf) -> None:
        self.zones: frozenset[str] = frozenset()
        self.revision = 0
        self._confirmed_age_s = confirmed_age_s
        # Held while listeners run, so that they receive the changes in their order.
        self._lock = threading.Lock()
        self._last_list_revision = 0
        self._listeners: list[EvacuationListener] = []
        self._before_release: list[ZonesReleased] = []

    def is_evacuated(self, zone: str) -> bool:
        """Return whether no new request may be sent to replicas in a zone."""
        return zone in self.zones

    def subscribe(self, listener: EvacuationListener) -> None:
        """Call ``listener(begun, ended)`` after each change of the zones; it must not block."""
        self._listeners.append(listener)

    def before_release(self, callback: ZonesReleased) -> None:
        """Call ``callback(ended)`` before zones are used again; it must not block."""
        self._before_release.append(callback)

    def apply(self, zones: Iterable[str], revision: int, source: str) -> bool:
        """Replace the set by the one at a revision of the store; return whether zones changed.

        A set that is older than the last one is ignored. The revision increases only when the zones
        change, so that gateways with the same set do not exchange it. If the revision of an
        ignored set is above that of the current one, another gateway would keep sending it, so the
        current revision is raised to that of the last list.

        Parameters
        ----------
        source
            Where the set comes from: the store or a peer.
        """
        with self._lock:
            if revision <= self._last_list_revision:
                if revision > self.revision:
                    self.revision = self._last_list_revision
                return False
            self._last_list_revision = revision
            new_zones = frozenset(zones)
            begun, ended = new_zones - self.zones, self.zones - new_zones
            if self.revision and not begun and not ended:
                return False
            try:
                for callback in self._before_release if ended else ():
                    callback(ended)
            finally:
                # The zones come first: whoever sees the new revision must see the new zones, too.
                self.zones = new_zones
                self.revision = revision
                self._log(begun, ended, source)
            # Listeners may refuse requests that no zone can serve, so they see the new zones.
            for listener in self._listeners if begun or ended else ():
                listener(begun, ended)
            return bool(begun or ended)

    def apply_from_peer(self, zones: Iterable[str], revision: int, source: str) -> bool:
        """Apply the set of a gateway with a newer revision; return whether zones changed.

        The revision is raised even if the zones are the same, for example after an evacuation was
        withdrawn and requested again. Otherwise the same set would be requested again and again.
        """
        changed = self.apply(zones, revision, source)
        with self._lock:
            self.revision = max(self.revision, revision)
        return changed

    def snapshot(self) -> tuple[frozenset[str], int]:
        """Return the zones and their revision."""
        with self._lock:
            return self.zones, self.revision

    def _log(self, begun: frozenset[str], ended: frozenset[str], source: str) -> None:
        log_message(
            "control:evacuations",
            revision=self.revision,
            zones=sorted(self.zones),
            begun=sorted(begun),
            ended=sorted(ended),
            source=source,
            age_s=round(min(self._confirmed_age_s(), MAX_LOGGED_AGE_S), 2),
        )


def zones_in(listing: Listing) -> frozenset[str]:
    """Return the zones whose evacuation a list requests.

    An object that cannot be decoded counts if its name is known, as its name is the zone. An object
    that is marked for deletion counts as withdrawn.
    """
    requested = {stored.name for stored in listing.objects if not stored.deleting}
    return frozenset(requested | {one.name for one in listing.unreadable if one.name})
