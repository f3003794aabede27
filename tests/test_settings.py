"""Invalid settings files are refused with the key and a remedy."""

import tempfile
import unittest
from pathlib import Path

from nose2.tools import params

from quaymill.process.serving_settings import (
    ServingRole,
    ServingSettings,
    load_serving_settings,
)
from quaymill.process.settings import NodeSettings, SettingsError, load_settings

VALID = """
name = "node-a"
zone = "a"
region = "north"
address = "127.0.0.1"
http_port = 8001
peer_port = 7001
platform = "127.0.0.1:9000"
seeds = ["127.0.0.1:7002"]
"""

SERVING = """
name = "storage-a"
zone = "a"
region = "north"
address = "127.0.0.1"
peer_ports = "7660,7675"
store = "127.0.0.1:9000"
data_folder = "/data"
"""


def _load_serving(text: str) -> ServingSettings | SettingsError:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.toml"
        path.write_text(text)
        return load_serving_settings(path, ServingRole.JOB_STORAGE)


def _load(text: str) -> NodeSettings | SettingsError:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "node.toml"
        path.write_text(text)
        return load_settings(path)


class SettingsTest(unittest.TestCase):
    """Errors in a node's settings file."""

    def test_valid_file_is_read(self):
        settings = _load(VALID)
        self.assertIsInstance(settings, NodeSettings)
        self.assertEqual(settings.peer_endpoint.port, 7001)

    @params(
        ("unknown key", VALID + 'colour = "red"\n', "colour"),
        ("wrong type", VALID.replace("8001", '"8001"'), "http_port"),
        ("missing key", VALID.replace('zone = "a"\n', ""), "zone"),
        ("port out of range", VALID.replace("8001", "70000"), "http_port"),
        ("empty name", VALID.replace('"node-a"', '""'), "name"),
        ("seed without port", VALID.replace("127.0.0.1:7002", "127.0.0.1"), "seeds"),
        ("admission", VALID + "[gateway]\nthreads = 16\nadmission_limit = 16\n", "admission_limit"),
        ("few threads", VALID + "[gateway]\nthreads = 2\nadmission_limit = 1\n", "threads"),
        ("negative time", VALID + "[batch]\nlease_s = -1.0\n", "batch.lease_s"),
        ("election", VALID + "[log]\nheartbeat_s = 1.0\n", "log.election_timeout_s"),
        ("nested unknown key", VALID + "[batch]\nleases = 1\n", "leases"),
        ("not TOML", "name = \n", "TOML"),
    )
    def test_fault_is_refused_with_key_and_remedy(self, _name, text, expected):
        fault = _load(text)
        self.assertIsInstance(fault, SettingsError)
        self.assertIn(expected, str(fault))
        self.assertTrue(fault.remedy)

    def test_missing_file_is_refused(self):
        fault = load_settings(Path("/nonexistent/node.toml"))
        self.assertIsInstance(fault, SettingsError)
        self.assertIn("check the path", str(fault))


class ServingSettingsTest(unittest.TestCase):
    """The settings file of a gateway or storage node."""

    @params(
        ("left out", "", 0),
        ("none", "zones_lost_at_once = 0\n", 0),
        ("one", "zones_lost_at_once = 1\n", 1),
    )
    def test_zones_lost_at_once_are_read(self, _name, line, expected):
        self.assertEqual(expected, _load_serving(SERVING + line).zones_lost_at_once)

    @params(
        ("zones_lost_at_once", "-1"), ("zones_lost_at_once", '"1"'), ("disks_lost_at_once", "-1")
    )
    def test_invalid_number_is_refused(self, key, value):
        fault = _load_serving(f"{SERVING}{key} = {value}\n")
        self.assertIsInstance(fault, SettingsError)
        self.assertEqual(key, fault.key)
