"""The tenants of the soak: their keys and limits as they change, and what holds of them.

Checked from what callers and replicas saw:

- a request runs only as a tenant that held its key at some time, and never without a known key;
- no key that was held all the time is refused;
- nobody but its tenant reads a job;
- within each window a limited tenant's requests that ran stay below what is tolerated.
"""

from __future__ import annotations

import bisect
import random
import threading
import time
from typing import Any

import attrs

from quaymill_bench.fleet_processes import OVERRUN_REQUESTS
from quaymill_bench.fleet_world import tenant
from quaymill_standins.fleet_replica import FleetReplica

OFFICE = "office"
FLOOD = "flood"
NOBODY = "nobody"
ROAMING_HOLDERS = ("kiosk", "school", NOBODY)
OFFICE_KEYS = ("key-office-1", "key-office-2")
FLOOD_KEY = "key-flood"
ROAMING_KEY = "key-roaming"
UNKNOWN_KEY = "key-unknown"
WINDOW_S = 5.0
OVERRUN_SHARE = 0.1
FLOOD_RATES_PER_S = (10.0, 4.0, 16.0)
"""The first is the one in force at the start of a round."""
LIMIT_LAG_S = 10.0
"""How long an earlier, higher limit may still go: a reading of the store, and faults of it."""


@attrs.frozen
class LimitChange:
    """From when on (monotonic) the flooding tenant's limit is so high."""

    at: float
    rate_per_s: float


class SoakTenants:
    """What the operator has written of tenants in one round; safe to use from any thread."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._roaming_holder = ROAMING_HOLDERS[0]
        self._holders_by_key = {key: {OFFICE} for key in OFFICE_KEYS}
        self._holders_by_key[FLOOD_KEY] = {FLOOD}
        self._holders_by_key[ROAMING_KEY] = {self._roaming_holder}
        self._limits = [LimitChange(time.monotonic(), FLOOD_RATES_PER_S[0])]

    def table(self) -> tuple[dict[str, Any], ...]:
        """Return the tenants as they stand in the operator's configuration."""
        with self._lock:
            rate = self._limits[-1].rate_per_s
            holder = self._roaming_holder
        rows = [
            tenant(OFFICE, *OFFICE_KEYS, priority=1),
            tenant(FLOOD, FLOOD_KEY, rate_per_s=rate, burst=rate),
        ]
        for name in ROAMING_HOLDERS[:2]:
            rows.append(tenant(name, *([ROAMING_KEY] if name == holder else [])))
        return tuple(rows)

    def change(self, chance: random.Random) -> str:
        """Pass the roaming key on, or change the flooding tenant's limit; return what was done."""
        with self._lock:
            if chance.random() < 0.6:
                others = [name for name in ROAMING_HOLDERS if name != self._roaming_holder]
                self._roaming_holder = chance.choice(others)
                self._holders_by_key[ROAMING_KEY].add(self._roaming_holder)
                return f"the roaming key is held by {self._roaming_holder}"
            rate = chance.choice(FLOOD_RATES_PER_S)
            self._limits.append(LimitChange(time.monotonic(), rate))
            return f"the limit of {FLOOD} is {rate:g} a second"

    def may_run_as(self, key: str) -> frozenset[str]:
        """Return the tenants that have held a key."""
        with self._lock:
            return frozenset(self._holders_by_key.get(key, ())) - {NOBODY}

    def always_held(self, key: str) -> bool:
        """Return whether every version of the round holds a key."""
        return key in OFFICE_KEYS or key == FLOOD_KEY

    def check_limit(self, replicas: list[FleetReplica]) -> list[str]:
        """Return what the flooding tenant's requests that ran exceed, if they do."""
        starts = sorted(
            run.started_s
            for replica in replicas
            for run in replica.runs
            if run.headers.get("tenant") == FLOOD
        )
        for index, begin in enumerate(starts):
            count = bisect.bisect_right(starts, begin + WINDOW_S) - index
            rate = self._highest_rate(begin - LIMIT_LAG_S, begin + WINDOW_S)
            allowed = rate * (WINDOW_S + 1.0)
            most = allowed * (1.0 + OVERRUN_SHARE) + OVERRUN_REQUESTS
            if count > most:
                return [f"{FLOOD}: {count} requests within {WINDOW_S:g} s, {most:.0f} tolerated"]
        return []

    def _highest_rate(self, begin: float, end: float) -> float:
        """Return the highest limit that was in force at some time of a span."""
        with self._lock:
            changes = list(self._limits)
        rates = [
            change.rate_per_s
            for change, following in zip(changes, [*changes[1:], None], strict=True)
            if change.at <= end and (following is None or following.at >= begin)
        ]
        return max(rates)
