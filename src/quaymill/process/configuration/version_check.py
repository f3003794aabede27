"""One node of the fleet asks the platform for the configuration's version, again and again.

Watches of readers can all be dead without a sign. A read of one version every second or two
by a single node bounds how late that is found, at a cost that does not grow with the fleet.
"""

from __future__ import annotations

import threading
from collections.abc import Callable

from quaymill.connection.platform_client import CONFIGURATION_NAME, CONFIGURATIONS, PlatformClient
from quaymill.connection.platform_objects import PlatformObject
from quaymill.process.configuration.reader import ConfigurationFollower


class VersionCheck:
    """Reads the object when its version is not the one that was seen last.

    Parameters
    ----------
    is_checker
        Whether this node is the one that checks; others on the far side of a cut check too.
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
        """Begin to check."""
        threading.Thread(target=self._run, name="version-check", daemon=True).start()

    def stop(self) -> None:
        """End before the next check."""
        self._stopping.set()

    def _run(self) -> None:
        while not self._stopping.wait(self._interval_s):
            if self._is_checker() and not self._follower.is_current():
                stored = self._platform.get(CONFIGURATIONS, CONFIGURATION_NAME)
                if isinstance(stored, PlatformObject):
                    self._follower.on_change(stored)
