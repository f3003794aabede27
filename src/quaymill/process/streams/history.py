"""Which software versions of each service have served lately."""

from __future__ import annotations

import threading
from collections.abc import Iterable

from quaymill import boot_clock
from quaymill.connection.stream_messages import ServiceVersion

VERSION_RETENTION_S = 30.0
"""How long after a version has last served callers may still take up streams that it began."""


class VersionHistory:
    """Versions by service, and when each was last known to serve; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._seen_at: dict[tuple[str, str | None], float] = {}

    def record(self, served: Iterable[ServiceVersion]) -> None:
        """Record versions, each with how long ago it was last known to serve."""
        now = boot_clock.now()
        with self._lock:
            for one in served:
                key = (one.service, one.version)
                seen_at = now - one.age_s
                if seen_at > now - VERSION_RETENTION_S:
                    self._seen_at[key] = max(seen_at, self._seen_at.get(key, seen_at))
            self._drop_old(now)

    def all(self) -> tuple[ServiceVersion, ...]:
        """Return the versions of all services."""
        now = boot_clock.now()
        with self._lock:
            self._drop_old(now)
            return tuple(
                ServiceVersion(service, version, round(now - seen_at, 3))
                for (service, version), seen_at in self._seen_at.items()
            )

    def of_service(self, service: str) -> frozenset[str | None]:
        """Return the versions of a service; ``None`` stands for an invalid one."""
        return frozenset(one.version for one in self.all() if one.service == service)

    def _drop_old(self, now: float) -> None:
        oldest = now - VERSION_RETENTION_S
        self._seen_at = {key: at for key, at in self._seen_at.items() if at > oldest}
