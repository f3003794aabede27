"""Program: one control node as a process of its own, so that it can be frozen and killed."""

from __future__ import annotations

import sys
import threading

import msgspec

from fleet_support import start_node
from quaymill.process.settings import NodeSettings

if __name__ == "__main__":
    start_node(msgspec.json.decode(sys.argv[1], type=NodeSettings))
    print("ready", flush=True)
    threading.Event().wait()
