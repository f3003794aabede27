"""Edits of the configuration under faults of the platform and by concurrent operators.

Guards against edits that are lost, applied twice, or made to an outdated table.
"""

from __future__ import annotations

import threading

import msgspec
from nose2.tools import params

from fleet_support import PlatformCase, set_faults
from quaymill.connection.endpoint import Endpoint
from quaymill.connection.platform_client import (
    CONFIGURATION_NAME,
    CONFIGURATIONS,
    STATUS_NAME,
    STATUSES,
    PlatformClient,
)
from quaymill.connection.platform_objects import (
    AlreadyExists,
    Conflict,
    NotFound,
    ObjectChanged,
    PlatformObject,
    PlatformUnavailable,
    WatchEnded,
)
from quaymill.process.configuration.editor import (
    ConfigurationEditor,
    EditAccepted,
    EditNotSent,
    EditUnknown,
    NothingToRestore,
    TableSetBack,
)
from quaymill.version.checks import InvalidConfiguration
from quaymill.version.configuration import ServingConfiguration
from quaymill.version.edits import Edit, EditConflict, EditedCell, EditInvalid, new_edit_id
from quaymill.version.status import ServingStatus

RESERVE = "tuning/batch_reserve"


def edit(cell: str, expected: object, value: object, author: str = "ana") -> Edit:
    return Edit(new_edit_id(), author, (EditedCell(cell, expected, value),))


class EditorCase(PlatformCase):
    """An editor that uses the platform of the test class."""

    def setUp(self):
        super().setUp()
        self.editor = ConfigurationEditor(self.client)

    def stored(self) -> ServingConfiguration:
        return self.editor.read().configuration


class PlatformClientTest(EditorCase):
    """Each kind of response of the platform is returned as its own type."""

    def test_objects_are_created_replaced_and_listed(self):
        self.assertEqual(self.client.get("machines", "m"), NotFound("m"))
        self.assertEqual(self.client.replace("machines", "m", {}, "1"), NotFound("m"))
        created = self.client.create("storegroups", "g", {"a": 1})
        self.assertIsInstance(created, PlatformObject)
        self.assertEqual(self.client.create("storegroups", "g", {}), AlreadyExists("g"))
        replaced = self.client.replace("storegroups", "g", {"a": 2}, created.resource_version)
        self.assertEqual(msgspec.json.decode(replaced.spec), {"a": 2})
        late = self.client.replace("storegroups", "g", {"a": 3}, created.resource_version)
        self.assertIsInstance(late, Conflict)
        self.assertEqual(self.client.list_objects("storegroups").items, (replaced,))
        self.assertEqual(self.client.get_version("storegroups", "g"), replaced.resource_version)
        self.assertEqual(self.client.get_version("storegroups", "h"), NotFound("h"))

    @params(
        ({"down": True}, True),
        ({"error_probability": 1.0}, True),
        ({"drop_probability": 1.0}, True),
        ({"lose_answer_probability": 1.0}, True),
        ({"delay_s": 1.0}, True),
        ({"truncate_probability": 1.0}, True),
    )
    def test_faulty_write_may_have_been_applied(self, faults, may_have_acted):
        set_faults(self.platform, **faults)
        result = self.client.create("storegroups", "g", {"a": 1}, timeout_s=0.3)
        self.assertIsInstance(result, PlatformUnavailable, result)
        self.assertEqual(result.may_have_acted, may_have_acted)
        self.assertIsInstance(self.client.get("storegroups", "g", 0.3), PlatformUnavailable)

    def test_unreachable_platform_was_sent_nothing(self):
        self.links.set_blocked(frozenset((self.client.endpoint,)))
        blocked = self.client.create("storegroups", "g", {}, timeout_s=0.1)
        unreachable = PlatformClient(Endpoint("127.0.0.1", 1))
        refused = unreachable.create("storegroups", "g", {})
        for result in (blocked, refused):
            self.assertIsInstance(result, PlatformUnavailable)
            self.assertFalse(result.may_have_acted)

    def test_only_an_unresponsive_watch_ends_as_silent(self):
        watch = self.client.watch("storegroups", "0", timeout_s=1)
        self.assertEqual(list(watch)[-1], WatchEnded("the platform ended the watch", silent=False))
        set_faults(self.platform, watch_silent=True)
        last = list(self.client.watch("storegroups", "0", timeout_s=1))[-1]
        self.assertTrue(last.silent, last)

    def test_watch_yields_changes_at_once(self):
        watch = self.client.watch("storegroups", "0", timeout_s=5)
        created = self.client.create("storegroups", "g", {"a": 1})
        self.assertEqual(next(watch), ObjectChanged(created))
        watch.close()


class EditorFaultTest(EditorCase):
    """An edit is committed once or not at all, and its result says which."""

    @params(
        {"lose_answer_probability": 0.6, "seed": 3},
        {"error_probability": 0.6, "seed": 3},
        {"drop_probability": 0.6, "seed": 3},
        {"truncate_probability": 0.6, "seed": 3},
        {"delay_s": 0.2, "delay_probability": 0.5, "seed": 3},
    )
    def test_edit_happens_exactly_once_under_faults(self, faults):
        set_faults(self.platform, **faults)
        accepted = [self.editor.submit(edit(RESERVE, n + 1, n + 2)) for n in range(4)]
        set_faults(self.platform)
        self.assertEqual(accepted, [EditAccepted(n) for n in range(1, 5)])
        self.assertEqual((self.stored().generation, self.stored().tuning.batch_reserve), (4, 5))

    def test_edit_while_the_platform_is_down_is_not_sent(self):
        set_faults(self.platform, down=True)
        self.assertIsInstance(self.editor.submit(edit(RESERVE, 1, 2), 0.3), EditNotSent)
        set_faults(self.platform)
        self.assertEqual(self.stored().generation, 0)

    def test_edit_with_a_lost_response_is_unknown_and_may_be_repeated(self):
        class DownAfterWrite(PlatformClient):
            """Loses the response of the first write; the platform is down afterwards."""

            def create(client, *arguments, **options):  # noqa: N805
                super().create(*arguments, **options)
                set_faults(self.platform, down=True)
                return PlatformUnavailable("answer lost", may_have_acted=True)

        editor = ConfigurationEditor(DownAfterWrite(self.client.endpoint))
        lost = edit(RESERVE, 1, 2)
        unknown = editor.submit(lost, 0.3)
        self.assertIsInstance(unknown, EditUnknown)
        self.assertIn(lost.id, str(unknown))
        set_faults(self.platform)
        self.editor.submit(edit(RESERVE, 2, 7, "bo"))
        self.assertEqual(self.editor.submit(lost), EditAccepted(1))
        self.assertEqual(self.stored().tuning.batch_reserve, 7, "the repetition changed nothing")

    def test_concurrent_edits_of_one_cell_conflict(self):
        results = self._submit_concurrently(edit(RESERVE, 1, 2, "ana"), edit(RESERVE, 1, 3, "bo"))
        self.assertEqual({type(result) for result in results}, {EditAccepted, EditConflict})
        conflict = next(result for result in results if isinstance(result, EditConflict))
        winner = {2: "ana", 3: "bo"}[self.stored().tuning.batch_reserve]
        self.assertEqual((conflict.found, conflict.author), ({"ana": 2, "bo": 3}[winner], winner))

    def test_concurrent_edits_of_different_cells_merge(self):
        columns = ("requests_per_s", "tokens_per_s", "concurrency")
        edits = [edit("tenants/a/concurrency", None, 1)]
        self.editor.submit(edits[0])
        results = self._submit_concurrently(
            *(
                edit(f"tenants/a/{column}", n and 0.0, 5)
                for n, column in enumerate(columns, 1)
                if n < 3
            )
        )
        self.assertEqual([type(result) for result in results], [EditAccepted] * 2)
        row = self.stored().tenants["a"]
        self.assertEqual((row.requests_per_s, row.tokens_per_s, row.concurrency), (5, 5, 1))

    def test_invalid_edit_is_refused_and_changes_nothing(self):
        self.assertIsInstance(self.editor.submit(edit(RESERVE, 1, -2)), EditInvalid)
        self.assertEqual(self.stored().generation, 0)

    def _submit_concurrently(self, *edits: Edit) -> list:
        results: list = [None] * len(edits)

        def submit(index: int) -> None:
            results[index] = self.editor.submit(edits[index])

        threads = [threading.Thread(target=submit, args=(n,)) for n in range(len(edits))]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return results


class RestoreTest(EditorCase):
    """A stored table that was set back to an older one is not edited, but may be restored."""

    def setUp(self):
        super().setUp()
        for value in (2, 3, 4):
            self.editor.submit(edit(RESERVE, value - 1, value))
        self.held = self.stored()
        self.client.create(STATUSES, STATUS_NAME, ServingStatus(generation=3))

    def put(self, document: object) -> None:
        version = self.client.get_version(CONFIGURATIONS, CONFIGURATION_NAME)
        self.client.replace(CONFIGURATIONS, CONFIGURATION_NAME, document, version)

    def test_edit_of_a_table_that_was_set_back_is_refused(self):
        self.put(msgspec.structs.replace(self.held, generation=1))
        self.assertEqual(self.editor.submit(edit(RESERVE, 4, 5)), TableSetBack(1, 3))

    @params(({"generation": 1},), ({"generation": 9, "tuning": {"batch_reserve": "x"}},), ("no",))
    def test_table_in_force_is_restored_above_both_generations(self, document):
        self.put(document)
        higher = max(3, document["generation"] if isinstance(document, dict) else 0) + 1
        restored = self.editor.restore(self.held, "r1", "ana")
        self.assertEqual(restored, EditAccepted(higher))
        self.assertEqual(self.stored().tuning, self.held.tuning)
        self.assertEqual(self.editor.restore(self.held, "r1", "ana"), EditAccepted(higher))
        self.assertEqual(self.editor.restore(self.held, "r2", "bo"), NothingToRestore(higher))

    def test_invalid_stored_table_is_not_edited(self):
        self.put({"generation": 4, "tuning": {"batch_reserve": -1}})
        refused = self.editor.submit(edit(RESERVE, 4, 5))
        self.assertIsInstance(refused, InvalidConfiguration)
        self.assertEqual(refused.problems[0].cell, RESERVE)
