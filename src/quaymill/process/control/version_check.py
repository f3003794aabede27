"""Reads the store itself now and then: a watch may miss a change without anybody knowing.

The gateways that rank first do so for all; what they find spreads among the gateways.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from quaymill.process.membership.membership import Membership
from quaymill.process.membership.ranking import rank_nodes

CHECKERS = 2
"""One may be frozen, or turned away by the store, without the others knowing."""


class VersionCheck:
    """Calls ``check`` each ``interval_s`` while this gateway is one of the checkers."""

    def __init__(
        self, membership: Membership, interval_s: float, check: Callable[[], None]
    ) -> None:
        self._membership = membership
        self._interval_s = interval_s
        self._check = check
        self._stopping = threading.Event()

    def start(self) -> None:
        """Begin to check."""
        threading.Thread(target=self._run, name="version-check", daemon=True).start()

    def stop(self) -> None:
        """Check no more."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(self._interval_s):
            if self._is_checker():
                self._check()

    def _is_checker(self) -> bool:
        gateways = [member for member in self._membership.live() if not member.has_disk]
        ranked = rank_nodes("version-check", gateways)[:CHECKERS]
        return self._membership.local().name in {member.name for member in ranked}
