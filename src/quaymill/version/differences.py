"""Differences between two generations, which contain only the changed cells."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Iterable

import msgspec
import xxhash

from quaymill.version.cells import (
    ROW_TYPES,
    CellChange,
    CellProblem,
    apply_changes,
    cells_of_row,
    rows_of,
)
from quaymill.version.configuration import EditRecord, ServingConfiguration
from quaymill.version.edits import MAX_EDIT_RECORDS, MAX_RECENT_EDITS

MAX_KEPT_DIFFERENCES = 128
_SORTED_ENCODER = msgspec.json.Encoder(order="sorted")


class ConfigurationDifference(msgspec.Struct, frozen=True):
    """The changes from one generation to a later one.

    Attributes
    ----------
    digest
        Digest of the later configuration, by which a wrong result is detected and rejected.
    """

    base_generation: int
    generation: int
    changes: tuple[CellChange, ...]
    new_edits: tuple[str, ...]
    new_records: tuple[EditRecord, ...]
    digest: str


def digest_of(configuration: ServingConfiguration) -> str:
    """Return a digest that does not depend on the order of rows."""
    return xxhash.xxh3_128_hexdigest(_SORTED_ENCODER.encode(configuration))


def find_difference(
    base: ServingConfiguration, target: ServingConfiguration
) -> ConfigurationDifference:
    """Return the changes from ``base`` to ``target``."""
    return ConfigurationDifference(
        base.generation,
        target.generation,
        tuple(_changed_cells(base, target)),
        tuple(edit for edit in target.recent_edits if edit not in base.recent_edits),
        tuple(record for record in target.edit_records if record.generation > base.generation),
        digest_of(target),
    )


def apply_difference(
    base: ServingConfiguration, difference: ConfigurationDifference
) -> ServingConfiguration | None:
    """Return the later configuration, ``None`` if the difference does not fit ``base``.

    ``base`` may be between the two generations: the changes contain the final values of cells, and
    the digest shows whether they are complete for ``base``.
    """
    if not difference.base_generation <= base.generation < difference.generation:
        return None
    new_edits = tuple(edit for edit in difference.new_edits if edit not in base.recent_edits)
    new_records = tuple(
        record for record in difference.new_records if record.generation > base.generation
    )
    changed = apply_changes(base, difference.changes)
    if isinstance(changed, CellProblem):
        return None
    target = msgspec.structs.replace(
        changed,
        generation=difference.generation,
        recent_edits=(*base.recent_edits, *new_edits)[-MAX_RECENT_EDITS:],
        edit_records=(*base.edit_records, *new_records)[-MAX_EDIT_RECORDS:],
    )
    return target if digest_of(target) == difference.digest else None


class DifferenceLog:
    """The latest differences of the current configuration, for peers with an older generation."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._differences: deque[ConfigurationDifference] = deque(maxlen=MAX_KEPT_DIFFERENCES)

    def add(self, differences: Iterable[ConfigurationDifference]) -> None:
        """Add differences that have just taken effect, oldest first."""
        with self._lock:
            self._differences.extend(differences)

    def since(self, generation: int) -> tuple[ConfigurationDifference, ...] | None:
        """Return the differences after a generation; ``None`` if some are no longer kept."""
        with self._lock:
            later = [
                difference for difference in self._differences if difference.generation > generation
            ]
        if not later or later[0].base_generation > generation:
            return None
        return tuple(later)


def _changed_cells(base: ServingConfiguration, target: ServingConfiguration) -> list[CellChange]:
    changes = []
    for table in ROW_TYPES:
        if getattr(base, table) == getattr(target, table):
            continue  # Most edits change one table; comparing rows is much slower.
        before = dict(rows_of(base, table))
        after = dict(rows_of(target, table))
        for names in [*after, *(names for names in before if names not in after)]:
            old, new = before.get(names), after.get(names)
            if old == new:
                continue
            old_cells = dict(cells_of_row(table, names, old))
            for path, value in cells_of_row(table, names, new):
                if new is None or old is None or value != old_cells[path]:
                    changes.append(CellChange(str(path), value))
    return changes
