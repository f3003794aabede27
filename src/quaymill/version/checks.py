"""Checks that a configuration must pass before it may take effect.

Each problem names the cell, the reason and the remedy. The same checks run in the command
line before an edit is written, and in every reader before a document takes effect.
"""

from __future__ import annotations

import re
import sys
from collections.abc import Iterator
from typing import Any

import msgspec

from quaymill.version.cells import (
    ROW_NAME_COUNTS,
    ROW_TYPES,
    CellPath,
    CellProblem,
    is_valid_name,
    rows_of,
)
from quaymill.version.configuration import ServingConfiguration

KEY_HASH = re.compile(r"[0-9a-f]{64}")
MAX_LIMIT = 1_000_000
MAX_NAME_LENGTH = 100
MAX_FLOAT = sys.float_info.max

Ranges = dict[str, tuple[float, float]]

ROUTE_RANGES: Ranges = {
    "weight": (0, MAX_LIMIT),
    "online_limit": (0, MAX_LIMIT),
    "batch_limit": (0, MAX_LIMIT),
}
TENANT_RANGES: Ranges = {
    "requests_per_s": (0, MAX_FLOAT),
    "tokens_per_s": (0, MAX_FLOAT),
    "concurrency": (0, MAX_LIMIT),
}
TUNING_RANGES: Ranges = {
    "batch_reserve": (0, MAX_LIMIT),
    "result_retention_s": (60, MAX_FLOAT),
    "item_max_attempts": (1, 1000),
}


class InvalidConfiguration(msgspec.Struct, frozen=True):
    """The problems of an invalid document; ``generation`` is 0 if it cannot be decoded."""

    generation: int
    problems: tuple[CellProblem, ...]

    def __str__(self) -> str:
        return "; ".join(str(problem) for problem in self.problems)


def decode_configuration(document: bytes) -> ServingConfiguration | InvalidConfiguration:
    """Decode and check a stored document."""
    try:
        configuration = msgspec.json.decode(document, type=ServingConfiguration)
    except msgspec.ValidationError as error:
        tree = msgspec.json.decode(document)
        problems = tuple(_locate_problems(tree))
        if not problems:
            problems = (CellProblem("document", str(error), "correct the stored object"),)
        generation = tree.get("generation", 0) if isinstance(tree, dict) else 0
        return InvalidConfiguration(generation if isinstance(generation, int) else 0, problems)
    except msgspec.DecodeError as error:
        problem = CellProblem("document", f"is not JSON: {error}", "correct the stored object")
        return InvalidConfiguration(0, (problem,))
    problems = check_configuration(configuration)
    if problems:
        return InvalidConfiguration(configuration.generation, problems)
    return configuration


def check_configuration(configuration: ServingConfiguration) -> tuple[CellProblem, ...]:
    """Return every problem of a configuration; empty if it is valid."""
    return tuple(
        problem
        for check in (
            _check_names,
            _check_zone_groups,
            _check_routes,
            _check_tenants,
            _check_tuning,
        )
        for problem in check(configuration)
    )


def _check_names(configuration: ServingConfiguration) -> Iterator[CellProblem]:
    for table in ROW_TYPES:
        for names, _ in rows_of(configuration, table):
            for name in names:
                if len(name) > MAX_NAME_LENGTH or not is_valid_name(name):
                    yield CellProblem(
                        "/".join((table, *names)),
                        f"{name!r} is not a valid name",
                        f"use up to {MAX_NAME_LENGTH} characters without space / = , or quotes",
                    )


def _check_zone_groups(configuration: ServingConfiguration) -> Iterator[CellProblem]:
    group_of_zone: dict[str, str] = {}
    for name, group in configuration.zone_groups.items():
        cell = f"zone_groups/{name}/zones"
        if not group.zones:
            yield CellProblem(cell, "contains no zone", "add at least one zone")
        for zone in group.zones:
            other = group_of_zone.setdefault(zone, name)
            if other != name:
                yield CellProblem(
                    cell, f"zone {zone} is in {other} as well", "keep the zone in one zone group"
                )


def _check_routes(configuration: ServingConfiguration) -> Iterator[CellProblem]:
    for (service, group), route in rows_of(configuration, "routes"):
        row = f"routes/{service}/{group}"
        if service not in configuration.services:
            yield CellProblem(row, f"there is no service {service}", f"set services/{service}/kind")
        if group not in configuration.zone_groups:
            yield CellProblem(
                row, f"there is no zone group {group}", f"set zone_groups/{group}/zones"
            )
        yield from _check_numbers(row, route, ROUTE_RANGES)


def _check_tenants(configuration: ServingConfiguration) -> Iterator[CellProblem]:
    tenant_of_key: dict[str, str] = {}
    for name, tenant in configuration.tenants.items():
        row = f"tenants/{name}"
        for key_hash in tenant.key_hashes:
            if not KEY_HASH.fullmatch(key_hash):
                yield CellProblem(
                    f"{row}/key_hashes",
                    f"{key_hash!r} is not a SHA-256 hash in hexadecimal",
                    "write the hash of the key, never the key",
                )
            other = tenant_of_key.setdefault(key_hash, name)
            if other != name:
                yield CellProblem(
                    f"{row}/key_hashes",
                    f"contains a key of tenant {other}",
                    "use each key for one tenant",
                )
        yield from _check_numbers(row, tenant, TENANT_RANGES)


def _check_tuning(configuration: ServingConfiguration) -> Iterator[CellProblem]:
    yield from _check_numbers("tuning", configuration.tuning, TUNING_RANGES)


def _check_numbers(row: str, cells: Any, ranges: Ranges) -> tuple[CellProblem, ...]:
    """Check the ranges of one row's numbers; fast for valid rows, as tables have thousands."""
    problems = ()
    for column, (lowest, highest) in ranges.items():
        value = getattr(cells, column)
        # The comparison is also false for NaN.
        if not lowest <= value <= highest:
            upper = "" if highest == MAX_FLOAT else f" to {highest}"
            remedy = f"use a number from {lowest}{upper}"
            problems = (*problems, CellProblem(f"{row}/{column}", f"is {value}", remedy))
    return problems


def _locate_problems(tree: Any) -> Iterator[CellProblem]:
    """Find the cells that prevent a document from being decoded."""
    if not isinstance(tree, dict):
        yield CellProblem("document", "is not an object", "correct the stored object")
        return
    for key in tree.keys() - set(ServingConfiguration.__struct_fields__):
        yield CellProblem(key, "is not a table of this version", "remove it, or upgrade the nodes")
    for table, row_type in ROW_TYPES.items():
        yield from _locate_in_table(
            table, row_type, tree.get(table, {}), ROW_NAME_COUNTS[table], ()
        )


def _locate_in_table(
    table: str, row_type: type, value: Any, depth: int, names: tuple[str, ...]
) -> Iterator[CellProblem]:
    row_path = "/".join((table, *names))
    if not isinstance(value, dict):
        yield CellProblem(row_path, f"is {value!r}", "make it a table of rows")
        return
    if depth:
        for name, child in value.items():
            yield from _locate_in_table(table, row_type, child, depth - 1, (*names, name))
        return
    for column in value.keys() - set(row_type.__struct_fields__):
        yield CellProblem(
            f"{row_path}/{column}", "is not a column of this version", "remove the cell"
        )
    for column in row_type.__struct_fields__:
        yield from _locate_in_cell(CellPath(table, names, column), row_type, value)


def _locate_in_cell(path: CellPath, row_type: type, row: dict) -> Iterator[CellProblem]:
    field = next(field for field in msgspec.structs.fields(row_type) if field.name == path.column)
    if path.column not in row:
        if field.required:
            yield CellProblem(str(path), "is missing", "set the cell")
        return
    try:
        msgspec.convert(row[path.column], field.type)
    except msgspec.ValidationError as error:
        yield CellProblem(str(path), f"is {row[path.column]!r}: {error}", "set a valid value")
