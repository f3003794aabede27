"""The load report of the engine and application stand-ins, which lags and may lie."""

from __future__ import annotations

import threading

import msgspec

from quaymill_standins.faults import Faults, FaultSwitches
from quaymill_standins.lagged import LaggedValue


class Load(msgspec.Struct, frozen=True):
    """Work at a replica at one moment."""

    running: int = 0
    waiting: int = 0
    batch_running: int = 0
    draining: bool = False


class LoadAnswer(msgspec.Struct, frozen=True):
    """Answer to ``GET /load``; ``age_s`` is the lag, which a stale report does not admit."""

    replica: str
    running: int
    waiting: int
    batch_running: int
    slots: int
    draining: bool
    age_s: float


class LoadReporter:
    """Keeps the load that is reported, which is ``lag_s`` seconds old."""

    def __init__(self, replica: str, slots: int, lag_s: float, switches: FaultSwitches) -> None:
        self._replica = replica
        self._slots = slots
        self._lag_s = lag_s
        self._switches = switches
        self._load = LaggedValue(Load(), lag_s)
        self._stale_lock = threading.Lock()
        self._stale_load: Load | None = None
        switches.subscribe(self._hold_if_stale)

    def update(self, load: Load) -> None:
        """Note the true load; it is reported when the lag has passed."""
        self._load.write(load)

    def report(self) -> LoadAnswer | None:
        """Return what ``GET /load`` says, or ``None`` while it says nothing."""
        lie = self._switches.current().load_lies
        if lie == "none":
            return None
        load = Load() if lie == "zero" else self._load_or_stale(lie == "stale")
        return LoadAnswer(
            replica=self._replica,
            running=load.running,
            waiting=load.waiting,
            batch_running=load.batch_running,
            slots=self._slots,
            draining=load.draining,
            age_s=self._lag_s,
        )

    def _hold_if_stale(self, faults: Faults) -> None:
        """Keep the load of the moment at which ``stale`` is switched on."""
        self._load_or_stale(faults.load_lies == "stale")

    def _load_or_stale(self, stale: bool) -> Load:
        with self._stale_lock:
            if not stale:
                self._stale_load = None
                return self._load.read()
            if self._stale_load is None:
                self._stale_load = self._load.read()
            return self._stale_load
