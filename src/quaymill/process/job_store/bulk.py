"""Many rows in one statement.

SQLite's module for Python gives up the interpreter's lock at every step of a statement. Under
load each of them waits for the other threads, so a hundred rows go into one step where they
can.
"""

from __future__ import annotations

import sqlite3
from collections.abc import Iterable, Sequence

import msgspec

ROWS_IN_A_STATEMENT = 32


def json_list(values: Iterable[int]) -> str:
    """Return integers as a parameter for ``json_each``."""
    return msgspec.json.encode(list(values)).decode()


def insert_rows(connection: sqlite3.Connection, table: str, rows: Sequence[tuple]) -> None:
    """Insert rows, a fixed number in each statement so that it is prepared only once."""
    whole = len(rows) - len(rows) % ROWS_IN_A_STATEMENT
    for first in range(0, whole, ROWS_IN_A_STATEMENT):
        block = rows[first : first + ROWS_IN_A_STATEMENT]
        marks = f"({', '.join('?' * len(block[0]))})"
        statement = f"INSERT INTO {table} VALUES {', '.join([marks] * len(block))}"
        connection.execute(statement, [value for row in block for value in row])
    if whole < len(rows):
        marks = ", ".join("?" * len(rows[0]))
        connection.executemany(f"INSERT INTO {table} VALUES ({marks})", rows[whole:])
