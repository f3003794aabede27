"""Cells, checks, edits, differences and tables of the configuration, without any node."""

from __future__ import annotations

import random
import unittest

import msgspec
from nose2.tools import params

from quaymill.version.cells import CellChange, CellPath, CellProblem, apply_changes, parse_value
from quaymill.version.checks import (
    InvalidConfiguration,
    check_configuration,
    decode_configuration,
)
from quaymill.version.configuration import ServingConfiguration
from quaymill.version.differences import DifferenceLog, apply_difference, find_difference
from quaymill.version.edits import (
    MAX_EDIT_RECORDS,
    MAX_RECENT_EDITS,
    MAX_RECORDED_CHANGES,
    Edit,
    EditAlreadyApplied,
    EditConflict,
    EditedCell,
    EditInvalid,
    apply_edit,
    undo_records,
)
from quaymill.version.table import ImportedTable, export_csv, import_csv, render_configuration

KEY_HASH = "ab" * 32


def sample_configuration() -> ServingConfiguration:
    changed = apply_changes(
        ServingConfiguration(generation=7),
        [
            CellChange("zone_groups/old-site/zones", ("a", "b")),
            CellChange("zone_groups/new-site/zones", ("c",)),
            CellChange("services/drafting/kind", "model"),
            CellChange("routes/drafting/old-site/weight", 1.0),
            CellChange("routes/drafting/new-site/weight", 0.0),
            CellChange("tenants/acme/key_hashes", (KEY_HASH,)),
            CellChange("tenants/acme/requests_per_s", 5.0),
        ],
    )
    assert isinstance(changed, ServingConfiguration), changed
    return changed


def edit(cell: str, expected: object, value: object, author: str = "ana", id: str = "") -> Edit:
    return Edit(id or f"{author}-{cell}", author, (EditedCell(cell, expected, value),))


class CellTest(unittest.TestCase):
    """Paths and values of cells."""

    @params(
        ("weights/x", "unknown table"),
        ("routes/drafting/weight", "is not the path of a cell"),
        ("routes/drafting/old-site/wait", "unknown column"),
        ("tenants//concurrency", "empty or malformed name"),
        ("tenants/a b/concurrency", "empty or malformed name"),
    )
    def test_invalid_path_is_rejected(self, text, reason):
        problem = CellPath.parse(text)
        self.assertIsInstance(problem, CellProblem)
        self.assertIn(reason, problem.reason)
        self.assertTrue(problem.remedy)

    @params(
        ("routes/s/g/weight", "2", 2.0),
        ("routes/s/g/online_limit", "12", 12),
        ("services/s/idempotent", "false", False),
        ("zone_groups/g/zones", "a, b", ("a", "b")),
        ("zone_groups/g/zones", "", ()),
        ("services/s/kind", "application", "application"),
    )
    def test_valid_value_is_parsed(self, cell, text, value):
        parsed = parse_value(CellPath.parse(cell), text)
        self.assertEqual(parsed, value)
        self.assertIs(type(parsed), type(value))

    @params(("routes/s/g/weight", "much"), ("services/s/kind", "robot"), ("tuning/x", "1"))
    def test_value_of_the_wrong_type_is_rejected(self, cell, text):
        path = CellPath.parse(cell)
        problem = path if isinstance(path, CellProblem) else parse_value(path, text)
        self.assertIsInstance(problem, CellProblem)
        self.assertTrue(problem.cell.startswith(cell.split("/")[0]))

    def test_row_is_removed_when_all_its_cells_are_unset(self):
        columns = ("key_hashes", "requests_per_s", "tokens_per_s", "concurrency")
        unset = [CellChange(f"tenants/acme/{column}", None) for column in columns]
        self.assertNotIn("acme", apply_changes(sample_configuration(), unset).tenants)
        self.assertEqual(
            apply_changes(sample_configuration(), unset[1:2]).tenants["acme"].requests_per_s, 0.0
        )


class CheckTest(unittest.TestCase):
    """Every problem names its cell, the reason and the remedy."""

    @params(
        ("routes/drafting/old-site/weight", -1.0),
        ("routes/drafting/old-site/weight", float("nan")),
        ("routes/drafting/old-site/batch_limit", -1),
        ("zone_groups/old-site/zones", ()),
        ("zone_groups/new-site/zones", ("a",)),
        ("tenants/acme/key_hashes", ("secret",)),
        ("tenants/other/key_hashes", (KEY_HASH,)),
        ("tenants/acme/tokens_per_s", float("inf")),
        ("tuning/item_max_attempts", 0),
        ("tuning/result_retention_s", 0.0),
    )
    def test_cell_out_of_range_is_named_with_a_remedy(self, cell, value):
        problems = check_configuration(
            apply_changes(sample_configuration(), [CellChange(cell, value)])
        )
        self.assertEqual([problem.cell for problem in problems], [cell])
        self.assertTrue(problems[0].reason and problems[0].remedy)

    @params(
        ("routes/ghost/old-site/weight", "no service"), ("routes/drafting/x/weight", "zone group")
    )
    def test_route_of_unknown_service_or_zone_group_is_rejected(self, cell, reason):
        problems = check_configuration(
            apply_changes(sample_configuration(), [CellChange(cell, 1.0)])
        )
        self.assertIn(reason, str(problems))

    @params(
        (b"{", "document"),
        (b"[]", "document"),
        (b'{"generation":8,"routes":{"drafting":{"old-site":{"weight":"x"}}}}', "/old-site/weight"),
        (b'{"generation":8,"routes":{"drafting":[]}}', "routes/drafting"),
        (b'{"generation":8,"services":{"drafting":{}}}', "services/drafting/kind"),
        (b'{"generation":8,"tuning":{"speed":1}}', "tuning/speed"),
        (b'{"generation":8,"colours":{}}', "colours"),
        (b'{"generation":"x"}', "document"),
    )
    def test_document_that_cannot_be_decoded_names_the_cell(self, document, cell):
        decoded = decode_configuration(document)
        self.assertIsInstance(decoded, InvalidConfiguration)
        self.assertIn(cell, decoded.problems[0].cell)

    def test_valid_document_is_decoded(self):
        self.assertEqual(
            decode_configuration(msgspec.json.encode(sample_configuration())),
            sample_configuration(),
        )


class EditTest(unittest.TestCase):
    """Edits merge, conflict, and are recognised when they are repeated."""

    WEIGHT = "routes/drafting/old-site/weight"

    def test_edits_to_two_cells_of_a_row_merge(self):
        first = apply_edit(sample_configuration(), edit(self.WEIGHT, 1.0, 3.0), 0.0)
        second = apply_edit(first, edit("routes/drafting/old-site/batch_limit", 16, 4, "bo"), 0.0)
        route = second.routes["drafting"]["old-site"]
        self.assertEqual((second.generation, route.weight, route.batch_limit), (9, 3.0, 4))

    def test_edit_of_a_cell_that_changed_names_the_other_value_and_author(self):
        first = apply_edit(sample_configuration(), edit(self.WEIGHT, 1.0, 3.0, "ana"), 0.0)
        conflict = apply_edit(first, edit(self.WEIGHT, 1.0, 5.0, "bo"), 0.0)
        self.assertEqual(conflict, EditConflict(self.WEIGHT, 1.0, 3.0, "ana", 8))
        self.assertIn("by ana to 3 while you saw 1", str(conflict))

    def test_one_conflict_rejects_the_whole_edit(self):
        both = Edit(
            "1", "bo", (EditedCell("tuning/batch_reserve", 1, 2), EditedCell(self.WEIGHT, 9.0, 2.0))
        )
        self.assertIsInstance(apply_edit(sample_configuration(), both, 0.0), EditConflict)

    def test_repeated_edit_is_recognised_after_a_later_change(self):
        first = apply_edit(sample_configuration(), edit(self.WEIGHT, 1.0, 3.0, id="one"), 0.0)
        second = apply_edit(first, edit(self.WEIGHT, 3.0, 5.0, "bo"), 0.0)
        self.assertEqual(
            apply_edit(second, edit(self.WEIGHT, 1.0, 3.0, id="one"), 0.0), EditAlreadyApplied(8)
        )

    def test_invalid_edit_is_rejected_with_its_cell(self):
        refused = apply_edit(sample_configuration(), edit(self.WEIGHT, 1.0, -3.0), 0.0)
        self.assertIsInstance(refused, EditInvalid)
        self.assertEqual(refused.problems[0].cell, self.WEIGHT)

    def test_edit_to_a_removed_row_conflicts(self):
        columns = ("key_hashes", "requests_per_s", "tokens_per_s", "concurrency")
        removed = apply_changes(
            sample_configuration(),
            [CellChange(f"tenants/acme/{column}", None) for column in columns],
        )
        outcome = apply_edit(removed, edit("tenants/acme/requests_per_s", 5.0, 6.0), 0.0)
        self.assertIsInstance(outcome, EditConflict)
        self.assertIn("to unset", str(outcome))

    def test_records_and_ids_are_bounded(self):
        configuration = sample_configuration()
        for value in range(MAX_RECENT_EDITS + 5):
            change = edit("tuning/batch_reserve", value + 1, value + 2, id=str(value))
            configuration = apply_edit(configuration, change, 0.0)
        self.assertEqual(len(configuration.recent_edits), MAX_RECENT_EDITS)
        self.assertEqual(len(configuration.edit_records), MAX_EDIT_RECORDS)

    def test_records_are_undone_to_an_earlier_generation(self):
        first = apply_edit(sample_configuration(), edit(self.WEIGHT, 1.0, 3.0), 0.0)
        second = apply_edit(first, edit("tenants/new/concurrency", None, 2, "bo"), 0.0)
        self.assertEqual(undo_records(second, 8).tenants, first.tenants)
        self.assertEqual(undo_records(second, 7).routes, sample_configuration().routes)
        self.assertIsNone(undo_records(second, 6))

    def test_large_edit_keeps_no_details_and_cannot_be_undone(self):
        cells = tuple(
            EditedCell(f"tenants/t{number}/concurrency", None, 1)
            for number in range(MAX_RECORDED_CHANGES + 1)
        )
        large = apply_edit(sample_configuration(), Edit("1", "ana", cells), 0.0)
        self.assertTrue(large.edit_records[-1].truncated)
        self.assertIsNone(undo_records(large, 7))


class DifferenceTest(unittest.TestCase):
    """Applying differences gives the same document as the edits."""

    def test_random_edits_by_differences_give_the_same_document(self):
        rng = random.Random(20)
        configuration, follower, log = (
            sample_configuration(),
            sample_configuration(),
            DifferenceLog(),
        )
        for number in range(150):
            changed = apply_edit(configuration, _random_edit(rng, configuration, number), 0.0)
            self.assertIsInstance(changed, ServingConfiguration, changed)
            log.add([find_difference(configuration, changed)])
            configuration = changed
            if rng.random() < 0.2:
                for difference in log.since(follower.generation):
                    follower = apply_difference(follower, difference)
                self.assertEqual(follower, configuration)
        self.assertIsNone(log.since(7), "the log is bounded")

    def test_difference_applies_to_a_generation_in_between(self):
        first = apply_edit(sample_configuration(), edit("tuning/batch_reserve", 1, 9), 0.0)
        second = apply_edit(first, edit("tenants/b/concurrency", None, 1), 0.0)
        log = DifferenceLog()
        log.add([find_difference(sample_configuration(), second)])
        self.assertEqual(apply_difference(first, log.since(8)[0]), second)
        undone = apply_edit(first, edit("tuning/batch_reserve", 9, 1, id="back"), 0.0)
        difference = find_difference(sample_configuration(), undone)
        self.assertIsNone(apply_difference(first, difference), "the digest does not fit")

    def test_difference_from_another_history_is_rejected(self):
        other = apply_edit(sample_configuration(), edit("tuning/batch_reserve", 1, 9), 0.0)
        first = apply_edit(sample_configuration(), edit("tuning/item_max_attempts", 5, 9), 0.0)
        later = apply_edit(first, edit("tenants/b/concurrency", None, 1), 0.0)
        self.assertIsNone(apply_difference(other, find_difference(first, later)))
        self.assertIsNone(apply_difference(sample_configuration(), find_difference(first, later)))


class TableTest(unittest.TestCase):
    """Rendering for a terminal, and export to and import from CSV."""

    def test_export_and_import_give_the_same_cells(self):
        imported = import_csv(export_csv(sample_configuration()))
        self.assertIsInstance(imported, ImportedTable, imported)
        again = apply_changes(
            ServingConfiguration(generation=imported.generation),
            [CellChange(cell, value) for cell, value in imported.cells.items()],
        )
        self.assertEqual(again, sample_configuration())

    @params(
        ("", "generation"),
        ("generation,1\n,a,1\n", "before any table"),
        ("generation,1\n[colours],name\n", "is not a table"),
        ("generation,1\n[tenants],tenant,colour\n", "is not a column"),
        ("generation,1\n[tenants],concurrency\n", "is missing"),
        ("generation,1\n[tenants],tenant,concurrency\n,a,many\n", "invalid value"),
        ("generation,1\n[tenants],tenant,concurrency\n,,3\n", "empty"),
    )
    def test_invalid_file_is_rejected_with_a_reason(self, text, reason):
        problem = import_csv(text)
        self.assertNotIsInstance(problem, ImportedTable)
        self.assertIn(reason, str(problem))

    def test_terminal_table_shows_every_row(self):
        text = render_configuration(sample_configuration())
        self.assertRegex(text, r"drafting +old-site +1 +64 +16")
        self.assertIn("generation 7", text)


def _random_edit(rng: random.Random, configuration: ServingConfiguration, number: int) -> Edit:
    tenant = f"t{rng.randrange(8)}"
    columns = ("requests_per_s", "tokens_per_s", "concurrency", "key_hashes")
    row = configuration.tenants.get(tenant)
    if row is not None and rng.random() < 0.3:
        cells = tuple(
            EditedCell(f"tenants/{tenant}/{column}", getattr(row, column), None)
            for column in columns
        )
        return Edit(str(number), "ana", cells)
    column = rng.choice(columns[:3])
    value = rng.randrange(1, 10**6)
    expected = None if row is None else getattr(row, column)
    return edit(f"tenants/{tenant}/{column}", expected, value, id=str(number))
