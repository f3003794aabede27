"""What storage nodes keep of the versions that have served, over restarts and in time."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path
from unittest import mock

from quaymill import boot_clock
from quaymill.connection.stream_messages import ExchangeVersions, ServiceVersion
from quaymill.process.streams import archive as archive_module
from quaymill.process.streams.archive import HISTORY_FILE, StreamArchive
from quaymill.process.streams.history import VERSION_RETENTION_S, VersionHistory

V1 = ServiceVersion("engine", "v1")
V2 = ServiceVersion("engine", "v2")


class ArchiveTest(unittest.TestCase):
    """The archive of one storage node."""

    def setUp(self) -> None:
        self.folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.now = boot_clock.now()
        self.enterContext(mock.patch.object(boot_clock, "now", lambda: self.now))
        self.logged: list[str] = []
        self.enterContext(
            mock.patch.object(
                archive_module, "log_message", lambda event, **fields: self.logged.append(event)
            )
        )
        self.archive = self.open()

    def open(self) -> StreamArchive:
        return StreamArchive(self.folder, mock.Mock())

    def exchange(self, *versions: ServiceVersion) -> set[str | None]:
        reply = self.archive._exchange(ExchangeVersions(versions))
        return {one.version for one in reply.versions}

    def test_versions_are_known_for_a_time(self) -> None:
        self.assertEqual({"v1"}, self.exchange(V1))
        self.now += VERSION_RETENTION_S - 1.0
        self.assertEqual({"v1", "v2"}, self.exchange(V2))
        self.now += 2.0
        self.assertEqual({"v2"}, self.exchange(V2))

    def test_restarted_node_knows_the_versions(self) -> None:
        self.exchange(V1, V2)
        self.archive = self.open()
        self.assertEqual({"v1", "v2"}, self.exchange())

    def test_versions_that_are_over_are_not_brought_back_by_a_restart(self) -> None:
        self.exchange(V1, V2)
        self.now += VERSION_RETENTION_S + 1.0
        self.exchange(V2)
        self.archive = self.open()
        self.assertEqual({"v2"}, self.exchange())

    def test_file_is_written_only_if_the_versions_change(self) -> None:
        self.exchange(V1)
        (self.folder / HISTORY_FILE).unlink()
        self.now += 1.0
        self.exchange(V1)
        self.assertFalse((self.folder / HISTORY_FILE).exists())

    def test_unreadable_file_is_reported(self) -> None:
        (self.folder / HISTORY_FILE).write_bytes(b"[7")
        self.archive = self.open()
        self.assertEqual(set(), self.exchange())
        self.assertEqual(["stream:history_unreadable"], self.logged)

    def test_file_that_cannot_be_written_is_reported_and_tried_again(self) -> None:
        with mock.patch.object(Path, "replace", side_effect=OSError("full")):
            self.assertEqual({"v1"}, self.exchange(V1))
        self.assertEqual(["stream:history_not_saved"], self.logged)
        self.exchange(V1)
        self.archive = self.open()
        self.assertEqual({"v1"}, self.exchange())


class HistoryTest(unittest.TestCase):
    """Versions by service."""

    def test_older_report_does_not_shorten_the_time(self) -> None:
        history = VersionHistory()
        history.record([V1])
        history.record([ServiceVersion("engine", "v1", VERSION_RETENTION_S - 1.0)])
        (known,) = history.all()
        self.assertLess(known.age_s, 1.0)

    def test_old_report_is_ignored(self) -> None:
        history = VersionHistory()
        history.record([ServiceVersion("engine", "v1", VERSION_RETENTION_S + 1.0)])
        self.assertEqual(frozenset(), history.of_service("engine"))

    def test_services_are_kept_apart(self) -> None:
        history = VersionHistory()
        history.record([V1, ServiceVersion("other", None)])
        self.assertEqual(frozenset({"v1"}), history.of_service("engine"))
        self.assertEqual(frozenset({None}), history.of_service("other"))


if __name__ == "__main__":
    unittest.main()
