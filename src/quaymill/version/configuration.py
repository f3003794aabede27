"""The serving configuration: the operators' tables as one versioned document.

The tables are zone groups, services, routes (services by zone group), tenants and tuning. A cell
is identified by a path such as ``routes/drafting/old-site/weight``. The document is stored as the
``spec`` of one object of the platform and changed only by compare-and-swap.
"""

from __future__ import annotations

import enum

import msgspec

from quaymill.version.tenants import TenantLimits

CellValue = bool | int | float | str | tuple[str, ...] | None


class ServiceKind(enum.StrEnum):
    """What serves the requests of a service."""

    MODEL = "model"
    APPLICATION = "application"


class ZoneGroup(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A named set of zones that takes a share of a service's traffic, such as one site."""

    zones: tuple[str, ...]


class Service(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A model or an application.

    Attributes
    ----------
    idempotent
        Whether a request may be repeated; if not, each call runs at most once.
    """

    kind: ServiceKind
    idempotent: bool = True


class Route(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The cells of one service in one zone group.

    Attributes
    ----------
    weight
        Share of the online traffic, relative to the other zone groups; 0 for no traffic.
    online_limit
        Maximum number of online requests that run at one replica.
    batch_limit
        Maximum number of batch items that run at one replica (batch concurrency).
    """

    weight: float = 1.0
    online_limit: int = 64
    batch_limit: int = 16


class Tenant(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Keys and limits of a tenant; 0 means no limit.

    Attributes
    ----------
    key_hashes
        SHA-256 of each bearer key, in hexadecimal.
    """

    key_hashes: tuple[str, ...] = ()
    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    concurrency: int = 0

    @property
    def limits(self) -> TenantLimits:
        """The limits of the tenant's requests."""
        return TenantLimits(
            requests_per_s=self.requests_per_s,
            tokens_per_s=self.tokens_per_s,
            concurrency=self.concurrency,
        )


class Tuning(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Cells that apply to the whole fleet.

    Attributes
    ----------
    batch_reserve
        Engine slots that batch schedulers keep free at each replica for online bursts.
    result_retention_s
        How long results of a finished job stay readable.
    item_max_attempts
        Failed attempts after which an item ends as failed.
    """

    batch_reserve: int = 1
    result_retention_s: float = 30 * 24 * 3600.0
    item_max_attempts: int = 5


class RecordedChange(msgspec.Struct, frozen=True):
    """One cell that an edit changed; the value is ``None`` where its row does not exist."""

    cell: str
    before: CellValue
    after: CellValue


class EditRecord(msgspec.Struct, frozen=True):
    """One accepted edit, kept to name the author of a cell's latest value.

    Attributes
    ----------
    generation
        The generation that the edit created.
    changes
        The changed cells; empty, with ``truncated`` set, if there are too many to keep.
    """

    id: str
    author: str
    generation: int
    committed_unix_s: float
    changes: tuple[RecordedChange, ...]
    truncated: bool = False


class ServingConfiguration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One committed version of the table.

    Attributes
    ----------
    generation
        Incremented by each accepted edit; nodes use the highest one that they have received.
    routes
        Service name -> zone group name -> cells.
    recent_edits
        Ids of the latest accepted edits, newest last, so that an edit is recognised when it is
        submitted again after its answer was lost.
    edit_records
        Records of the latest of these edits, newest last.
    """

    generation: int = 0
    zone_groups: dict[str, ZoneGroup] = {}
    services: dict[str, Service] = {}
    routes: dict[str, dict[str, Route]] = {}
    tenants: dict[str, Tenant] = {}
    tuning: Tuning = Tuning()
    recent_edits: tuple[str, ...] = ()
    edit_records: tuple[EditRecord, ...] = ()


EMPTY_CONFIGURATION = ServingConfiguration()
