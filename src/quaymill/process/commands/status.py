"""``quaymill status``: what the system says beside the cells."""

from __future__ import annotations

from quaymill.connection.platform_client import STATUS_NAME, STATUSES, NotFound, PlatformObject
from quaymill.process.commands.platform_option import EXIT_OK, connect_platform, fail


def status(*, platform: str = "") -> int:
    """Show the status that the nodes report.

    Parameters
    ----------
    platform
        HOST:PORT of the platform's object API.
    """
    result = connect_platform(platform).get(STATUSES, STATUS_NAME)
    if isinstance(result, NotFound):
        fail("no node has written a status yet; start a node")
    if not isinstance(result, PlatformObject):
        fail(f"the status cannot be read: {result.reason}; try again later")
    print(bytes(result.spec).decode())
    return EXIT_OK
