"""Starts a role on the platform: ``python -m quaymill.platform.main ROLE``."""

from __future__ import annotations

import os
import signal
import sys
from pathlib import Path

from quaymill.platform.environment import SETTINGS_VARIABLE
from quaymill.process.early_listener import open_listener


def main() -> int:
    """Run the role named on the command line; return the exit code."""
    # SIGHUP would end the process until the role has installed its handler. Ignoring it loses
    # nothing, since the settings are read after this.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    settings_file = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    listener = open_listener(settings_file)
    from quaymill.platform.roles import run_role

    return run_role(sys.argv[1], settings_file, listener)


if __name__ == "__main__":
    # Exit without joining threads that still wait for a peer or a caller.
    code = main()
    sys.stdout.flush()
    os._exit(code)
