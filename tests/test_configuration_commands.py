"""The operators' command line with a stand-in platform and a small fleet."""

from __future__ import annotations

import contextlib
import io
import tempfile
from pathlib import Path

from nose2.tools import params

from fleet_support import Fleet, PlatformCase, eventually, set_faults
from quaymill.connection.platform_client import CONFIGURATION_NAME, CONFIGURATIONS
from quaymill.process.commands.main import run

TABLE = (
    "zone_groups/old-site/zones=a",
    "zone_groups/new-site/zones=b,c",
    "services/drafting/kind=model",
    "routes/drafting/old-site/weight=1",
    "routes/drafting/new-site/weight=0",
)
WEIGHT = "routes/drafting/old-site/weight"


class CommandCase(PlatformCase):
    """Base case: a platform with a small configuration, and the command line."""

    def setUp(self):
        super().setUp()
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.expect(0, "config", "set", *TABLE)

    def run_command(self, *arguments: str) -> tuple[int, str]:
        """Run a command; return its exit status and all that it printed."""
        printed = io.StringIO()
        options = ["--platform", f"127.0.0.1:{self.platform.port}"]
        with contextlib.redirect_stdout(printed), contextlib.redirect_stderr(printed):
            try:
                status = run([*arguments, *options])
            except SystemExit as end:
                status = end.code
        return status, printed.getvalue()

    def expect(self, status: int, *arguments: str) -> str:
        actual, printed = self.run_command(*arguments)
        self.assertEqual(actual, status, printed)
        return printed

    def export_table(self) -> Path:
        file = self.folder / "table.csv"
        self.expect(0, "config", "export", "--output", str(file))
        return file


class SetTest(CommandCase):
    """``config show`` and ``config set``."""

    def test_cells_are_set_and_shown(self):
        printed = self.expect(0, "config", "set", f"{WEIGHT}=3", "--expect", "1")
        self.assertIn(f"{WEIGHT}: 1 -> 3", printed)
        self.assertIn("accepted as generation 2", printed)
        self.assertRegex(self.expect(0, "config", "show"), r"drafting +old-site +3 +64 +16")

    def test_conflict_prints_the_new_value_and_its_author(self):
        self.expect(0, "config", "set", f"{WEIGHT}=3", "--author", "bo")
        printed = self.expect(1, "config", "set", f"{WEIGHT}=5", "--expect", "1")
        self.assertIn("was changed by bo to 3 while you saw 1", printed)

    @params(
        (f"{WEIGHT}=-1", WEIGHT, "use a number from 0"),
        (f"{WEIGHT}=lots", WEIGHT, "use a valid value"),
        ("routes/drafting/weight=1", "routes/drafting/weight", "routes/SERVICE/ZONE_GROUP/COLUMN"),
        ("routes/ghost/old-site/weight=1", "routes/ghost/old-site", "set services/ghost/kind"),
        ("tenants/acme/key_hashes=secret", "tenants/acme/key_hashes", "never the key"),
        ("services/x/idempotent=true", "services/x", "set the cell to a valid value"),
        (WEIGHT, WEIGHT, "write CELL=VALUE"),
    )
    def test_invalid_edit_names_cell_and_remedy(self, assignment, cell, remedy):
        printed = self.expect(1, "config", "set", assignment)
        self.assertIn(cell, printed)
        self.assertIn(remedy, printed)
        self.assertNotIn("Traceback", printed)
        self.assertIn("generation 1\n", self.expect(0, "config", "show"))

    def test_row_is_removed_by_unsetting_its_cells(self):
        self.expect(0, "config", "set", "tenants/acme/concurrency=3")
        columns = ("key_hashes", "requests_per_s", "tokens_per_s", "concurrency")
        self.expect(0, "config", "set", *(f"tenants/acme/{column}=" for column in columns))
        self.assertNotIn("acme", self.expect(0, "config", "show"))

    def test_unreachable_platform_is_reported(self):
        set_faults(self.platform, down=True)
        self.assertIn("cannot be read", self.expect(1, "config", "set", f"{WEIGHT}=2"))
        self.assertIn("cannot be read", self.expect(1, "status"))

    def test_edit_id_is_applied_once(self):
        arguments = ("config", "set", f"{WEIGHT}=2", "--expect", "1", "--edit-id", "abc")
        self.expect(0, *arguments)
        self.expect(0, "config", "set", f"{WEIGHT}=7")
        self.assertIn("accepted as generation 2", self.expect(0, *arguments))
        self.assertRegex(self.expect(0, "config", "show"), r"old-site +7 ")


class SpreadsheetTest(CommandCase):
    """``config export`` and ``config import``."""

    def test_edited_file_is_one_edit_and_merges_with_others(self):
        file = self.export_table()
        self.expect(0, "config", "set", "routes/drafting/new-site/weight=9")
        file.write_text(
            file.read_text().replace(",drafting,old-site,1,64", ",drafting,old-site,4,32")
        )
        printed = self.expect(0, "config", "import", str(file))
        self.assertIn("accepted as generation 3", printed)
        shown = self.expect(0, "config", "show")
        self.assertRegex(shown, r"old-site +4 +32 ")
        self.assertRegex(shown, r"new-site +9 ")

    def test_cell_changed_since_the_export_conflicts(self):
        file = self.export_table()
        self.expect(0, "config", "set", f"{WEIGHT}=9", "--author", "bo")
        file.write_text(file.read_text().replace(",drafting,old-site,1,", ",drafting,old-site,4,"))
        self.assertIn("changed by bo to 9", self.expect(1, "config", "import", str(file)))

    def test_unchanged_file_changes_nothing(self):
        self.assertIn(
            "no cell differs", self.expect(0, "config", "import", str(self.export_table()))
        )

    def test_new_row_takes_defaults_for_empty_cells(self):
        file = self.export_table()
        text = file.read_text().replace("[tuning]", ",acme,,5,,\n[tuning]")
        file.write_text(text)
        self.expect(0, "config", "import", str(file))
        self.assertRegex(self.expect(0, "config", "show"), r"acme +5 +0 +0")

    def test_file_of_an_unknown_generation_is_rejected(self):
        file = self.export_table()
        file.write_text(file.read_text().replace("generation,1", "generation,99"))
        self.assertIn("export again", self.expect(1, "config", "import", str(file)))


class FleetCommandTest(CommandCase):
    """Commands that need running nodes."""

    def setUp(self):
        super().setUp()
        self.fleet = Fleet(self.platform, ("a", "b"))
        self.addCleanup(self.fleet.stop)
        self.fleet.start()
        eventually(lambda: self.fleet.all_hold(1))

    def test_table_in_force_is_restored_over_an_invalid_one(self):
        version = self.client.get_version(CONFIGURATIONS, CONFIGURATION_NAME)
        self.client.replace(CONFIGURATIONS, CONFIGURATION_NAME, {"generation": "x"}, version)
        printed = self.expect(1, "config", "show")
        self.assertIn("invalid", printed)
        self.assertIn("config restore", printed)
        node = self.fleet.nodes[0].settings.peer_endpoint
        self.expect(0, "config", "restore", "--node", str(node))
        self.assertRegex(self.expect(0, "config", "show"), r"old-site +1 ")
        eventually(lambda: self.fleet.all_hold(2))

    def test_nothing_is_restored_over_a_valid_table(self):
        node = self.fleet.nodes[0].settings.peer_endpoint
        self.assertIn("is valid", self.expect(1, "config", "restore", "--node", str(node)))

    @params(("nowhere", "HOST:PORT"), ("127.0.0.1:1", "name another node"))
    def test_unreachable_node_is_reported(self, node, remedy):
        self.assertIn(remedy, self.expect(1, "config", "restore", "--node", node))

    def test_missing_status_is_reported(self):
        self.assertIn("no node has written a status yet", self.expect(1, "status"))
