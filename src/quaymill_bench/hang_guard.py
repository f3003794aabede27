"""Plugin for nose2 that ends a run in which nothing moves, and shows where each thread stands.

Without it a test that waits for ever takes the whole time that CI has, and tells nothing.
"""

from __future__ import annotations

import faulthandler

from nose2.events import (
    Plugin,
    ReportSummaryEvent,
    StartTestEvent,
    StopTestEvent,
)

HANG_S = 300.0
"""Many times what the slowest test takes, in seconds; a run that goes on never meets it."""


class HangGuard(Plugin):
    """Begins the wait anew at the start and the end of every test."""

    alwaysOn = True  # noqa: N815 (nose2's name)
    configSection = "hang-guard"  # noqa: N815 (nose2's name)

    def startTest(self, event: StartTestEvent) -> None:  # noqa: N802 (nose2's name)
        """Wait for this test."""
        _wait_anew()

    def stopTest(self, event: StopTestEvent) -> None:  # noqa: N802 (nose2's name)
        """Wait for what comes next: the end of a class or a module may hang as well."""
        _wait_anew()

    def afterSummaryReport(self, event: ReportSummaryEvent) -> None:  # noqa: N802 (nose2's name)
        """Wait no longer: all has been reported."""
        faulthandler.cancel_dump_traceback_later()


def _wait_anew() -> None:
    faulthandler.dump_traceback_later(HANG_S, exit=True)
