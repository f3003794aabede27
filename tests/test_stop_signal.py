"""A process stops on SIGTERM, whichever of its threads receives the signal."""

import ctypes
import platform
import signal
import subprocess
import sys
import unittest

from nose2.tools import params

PROGRAM = """
import threading
from quaymill.process.stop_signal import StopSignal

stop_signal = StopSignal()
other = threading.Thread(target=threading.Event().wait, daemon=True)
other.start()
print(other.native_id, flush=True)
stop_signal.wait()
"""
STOP_TIMEOUT_S = 5.0
TGKILL_NUMBERS = {"x86_64": 234, "aarch64": 131}


class StopSignalTest(unittest.TestCase):
    """``StopSignal`` in a separate process."""

    def setUp(self):
        self.process = subprocess.Popen(
            [sys.executable, "-c", PROGRAM], stdout=subprocess.PIPE, text=True
        )
        self.addCleanup(self.process.stdout.close)
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.kill)
        self.other_thread = int(self.process.stdout.readline())

    @params(signal.SIGTERM, signal.SIGINT)
    def test_a_signal_to_the_process_stops_it(self, number):
        self.process.send_signal(number)
        self.assertEqual(self.process.wait(STOP_TIMEOUT_S), 0)

    def test_a_signal_received_by_another_thread_stops_the_process(self):
        tgkill = TGKILL_NUMBERS[platform.machine()]
        result = ctypes.CDLL(None).syscall(
            tgkill, self.process.pid, self.other_thread, int(signal.SIGTERM)
        )
        self.assertEqual(result, 0)
        self.assertEqual(self.process.wait(STOP_TIMEOUT_S), 0)


class EarlySignalTest(unittest.TestCase):
    """A SIGHUP, which requests a reload of the settings, must not end a loading process."""

    def test_early_hang_up_does_not_end_the_process(self):
        # A replacement for the role sends the signal before a handler is installed.
        program = (
            "import os, signal, sys, types\n"
            "roles = types.ModuleType('quaymill.platform.roles')\n"
            "roles.run_role = lambda *_: os.kill(os.getpid(), signal.SIGHUP) or 0\n"
            "sys.modules['quaymill.platform.roles'] = roles\n"
            "sys.argv = ['main', 'gateway']\n"
            "from quaymill.platform.main import main\n"
            "sys.exit(main())\n"
        )
        result = subprocess.run([sys.executable, "-c", program], timeout=STOP_TIMEOUT_S)
        self.assertEqual(result.returncode, 0)
