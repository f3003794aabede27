"""Periodic check of the configuration's version on the platform by one node of the fleet.

The watches of all readers may have failed unnoticed. The check limits the delay until that is
found, at a cost that does not grow with the fleet.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from quaymill.connection.platform_client import CONFIGURATION_NAME, CONFIGURATIONS, PlatformClient
from quaymill.connection.platform_objects import PlatformObject
from quaymill.process.configuration.reader import ConfigurationFollower


class VersionCheck:
    """Reads the configuration when its version differs from the one seen last.

    Parameters
    ----------
    is_checker
        Returns whether this node does the check; during a network partition one node on each side
        does.
    """

    def __init__(
        self,
        platform: PlatformClient,
        follower: ConfigurationFollower,
        is_checker: Callable[[], bool],
        interval_s: float,
    ) -> None:
        self._platform = platform
        self._follower = follower
        self._is_checker = is_checker
        self._interval_s = interval_s
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self._run, name="version-check", daemon=True).start()

    def stop(self) -> None:
        """Stop before the next check."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(self._interval_s):
            if self._is_checker() and not self._follower.is_current():
                stored = self._platform.get(CONFIGURATIONS, CONFIGURATION_NAME)
                if isinstance(stored, PlatformObject):
                    self._follower.on_change(stored)
