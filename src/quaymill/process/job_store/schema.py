"""Tables of one replica's database.

The state tables are filled by the state machine alone; a snapshot consists of their rows.
Log and replica tables belong to this replica and are never sent.

Items and results are keyed by one integer, the job's number and the item's index, which
keeps their trees small and lets a job's rows lie side by side.
"""

from __future__ import annotations

import msgspec

INDEX_BITS = 32


def item_key(job_number: int, index: int) -> int:
    """Return the key of an item; the keys of a job's items follow one another."""
    return (job_number << INDEX_BITS) | index


def item_index(key: int) -> int:
    """Return the item's index within its job."""
    return key & ((1 << INDEX_BITS) - 1)


class StateTable(msgspec.Struct, frozen=True):
    """One state table.

    Attributes
    ----------
    columns
        Column names with their SQL types, in the order in which snapshots carry them.
    constraint
        Primary key, as SQL.
    options
        SQL after the closing bracket.
    indexes
        Index name and what follows ``ON table`` in SQL.
    """

    name: str
    columns: tuple[tuple[str, str], ...]
    constraint: str
    options: str = ""
    indexes: tuple[tuple[str, str], ...] = ()

    def create_statement(self, name: str) -> str:
        """Return the SQL that creates the table under ``name``, without its indexes."""
        columns = ", ".join(f"{column} {kind}" for column, kind in self.columns)
        return f"CREATE TABLE IF NOT EXISTS {name} ({columns}, {self.constraint}) {self.options}"

    def index_statements(self) -> list[str]:
        """Return the SQL that creates the indexes."""
        return [
            f"CREATE INDEX IF NOT EXISTS {name} ON {self.name} {what}"
            for name, what in self.indexes
        ]


FILES = StateTable(
    name="files",
    columns=(
        ("file_id", "TEXT"),
        ("tenant", "TEXT"),
        ("name", "TEXT"),
        ("idempotency_key", "TEXT"),
        ("sealed", "INTEGER"),
        ("chunk_count", "INTEGER"),
        ("item_count", "INTEGER"),
        ("byte_count", "INTEGER"),
        ("digest", "TEXT"),
        ("created_unix_s", "REAL"),
    ),
    constraint="PRIMARY KEY (file_id)",
    options="WITHOUT ROWID",
    indexes=(
        ("files_by_key", "(tenant, idempotency_key) WHERE idempotency_key <> ''"),
        ("files_by_age", "(created_unix_s)"),
    ),
)

CHUNKS = StateTable(
    name="chunks",
    columns=(
        ("file_id", "TEXT"),
        ("chunk_index", "INTEGER"),
        ("first_index", "INTEGER"),
        ("item_count", "INTEGER"),
        ("digest", "TEXT"),
        ("items", "BLOB"),
    ),
    constraint="PRIMARY KEY (file_id, chunk_index)",
    indexes=(("chunks_by_first_index", "(file_id, first_index)"),),
)

JOBS = StateTable(
    name="jobs",
    columns=(
        ("job_id", "TEXT"),
        ("job_number", "INTEGER"),
        ("file_id", "TEXT"),
        ("tenant", "TEXT"),
        ("endpoint", "TEXT"),
        ("service", "TEXT"),
        ("state", "TEXT"),
        ("created_unix_s", "REAL"),
        ("deadline_unix_s", "REAL"),
        ("ended_unix_s", "REAL"),
        ("metadata", "TEXT"),
        ("idempotency_key", "TEXT"),
        ("total", "INTEGER"),
        ("completed", "INTEGER"),
        ("failed", "INTEGER"),
        ("next_index", "INTEGER"),
        ("available", "INTEGER"),
    ),
    constraint="PRIMARY KEY (job_id)",
    options="WITHOUT ROWID",
    indexes=(
        ("jobs_by_number", "(job_number)"),
        ("jobs_by_key", "(tenant, idempotency_key) WHERE idempotency_key <> ''"),
        ("jobs_by_tenant", "(tenant, created_unix_s)"),
        ("jobs_by_file", "(file_id)"),
        ("jobs_by_end", "(ended_unix_s) WHERE ended_unix_s IS NOT NULL"),
        ("jobs_with_work", "(service, tenant, deadline_unix_s, job_id) WHERE available > 0"),
    ),
)

ITEMS = StateTable(
    name="items",
    columns=(
        ("item_key", "INTEGER"),
        ("leased", "INTEGER"),
        ("attempt", "INTEGER"),
        ("worker", "TEXT"),
        ("lease_s", "REAL"),
        ("failures", "INTEGER"),
        ("last_failed_attempt", "INTEGER"),
    ),
    constraint="PRIMARY KEY (item_key)",
    indexes=(("items_returned", "(item_key) WHERE leased = 0"),),
)

RESULTS = StateTable(
    name="results",
    columns=(
        ("item_key", "INTEGER"),
        ("attempt", "INTEGER"),
        ("failed", "INTEGER"),
        ("status", "INTEGER"),
        ("response", "BLOB"),
    ),
    constraint="PRIMARY KEY (item_key)",
    indexes=(("results_failed", "(item_key) WHERE failed = 1"),),
)

CALLS = StateTable(
    name="calls",
    columns=(
        ("tenant", "TEXT"),
        ("service", "TEXT"),
        ("call_key", "TEXT"),
        ("state", "TEXT"),
        ("attempt", "TEXT"),
        ("digest", "TEXT"),
        ("node", "TEXT"),
        ("begun_unix_s", "REAL"),
        ("status", "INTEGER"),
        ("content_type", "TEXT"),
        ("body", "BLOB"),
    ),
    constraint="PRIMARY KEY (tenant, service, call_key)",
    indexes=(("calls_by_age", "(begun_unix_s)"),),
)

TURNS = StateTable(
    name="turns",
    columns=(("service", "TEXT"), ("last_tenant", "TEXT")),
    constraint="PRIMARY KEY (service)",
    options="WITHOUT ROWID",
)

LEASE_REQUESTS = StateTable(
    name="lease_requests",
    columns=(
        ("worker", "TEXT"),
        ("service", "TEXT"),
        ("request_id", "TEXT"),
        ("items", "BLOB"),
        ("at_unix_s", "REAL"),
    ),
    constraint="PRIMARY KEY (worker, service)",
    options="WITHOUT ROWID",
)

STATE_TABLES = (FILES, CHUNKS, JOBS, ITEMS, RESULTS, CALLS, TURNS, LEASE_REQUESTS)

LOG_STATEMENTS = (
    "CREATE TABLE IF NOT EXISTS log ("
    "log_index INTEGER PRIMARY KEY, term INTEGER, changes_membership INTEGER, command BLOB)",
    "CREATE TABLE IF NOT EXISTS memberships (log_index INTEGER PRIMARY KEY, membership BLOB)",
    "CREATE TABLE IF NOT EXISTS replica ("
    "one INTEGER PRIMARY KEY CHECK (one = 1), identity TEXT, term INTEGER, voted_for TEXT, "
    "applied_index INTEGER, snapshot_index INTEGER, snapshot_term INTEGER)",
)
