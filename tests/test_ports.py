"""Two runs on one machine share neither a port nor an address.

The story. Two runs of the tests stood side by side, and in one of them a gateway never became
ready. Each node has an address of its own, and gateways serve their metrics on one port that is
the same everywhere. Both runs counted their addresses from the same one: the second gateway found
the port of its metrics taken, and ended.
"""

from __future__ import annotations

import json
import subprocess
import sys
import unittest

from quaymill_bench.ports import free_port, loopback_address

ASKED = 300
OTHER_RUN = f"""
import json
from quaymill_bench.ports import free_port, loopback_address
asked = {{"addresses": [loopback_address() for _ in range({ASKED})]}}
asked["ports"] = [free_port() for _ in range({ASKED})]
print(json.dumps(asked))
"""


class PortsTest(unittest.TestCase):
    """What this process is given, and another one meanwhile."""

    def test_nothing_is_given_twice(self) -> None:
        addresses = [loopback_address() for _ in range(ASKED)]
        ports = [free_port() for _ in range(ASKED)]
        printed = subprocess.run(
            [sys.executable, "-c", OTHER_RUN], capture_output=True, check=True
        ).stdout
        other = json.loads(printed)
        self.assertEqual(2 * ASKED, len({*addresses, *other["addresses"]}))
        self.assertEqual(2 * ASKED, len({*ports, *other["ports"]}))
