"""Tenants, their keys and their limits.

Keys are stored and looked up as digests only, so that the time of a lookup neither depends on the
number of tenants nor reveals how much of a guessed key is correct.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping

import attrs

KEY_SCHEME = "bearer"


@attrs.frozen
class TenantLimits:
    """Limits of one tenant over all gateways; 0 means no limit.

    Attributes
    ----------
    burst
        Requests that are allowed within a window in addition to the rate.
    concurrency
        Maximum number of requests that run at once.
    """

    requests_per_s: float = 0.0
    burst: float = 0.0
    tokens_per_s: float = 0.0
    concurrency: int = 0

    @property
    def any_set(self) -> bool:
        """Whether any limit of rate or concurrency is set."""
        return bool(self.requests_per_s or self.tokens_per_s or self.concurrency)


@attrs.frozen
class RequestTenant:
    """A tenant of request routes.

    Attributes
    ----------
    key_digests
        Digests of its keys, as returned by ``key_digest``.
    priority
        Rank that replaces the rank of the route, 0 first; ``None`` to use the route's rank.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    limits: TenantLimits = TenantLimits()
    priority: int | None = None


def bearer_key(authorization: Iterable[str]) -> str:
    """Return the bearer key in an ``Authorization`` header; empty unless there is exactly one."""
    values = list(authorization)
    if len(values) != 1:
        return ""
    scheme, _, key = values[0].strip().partition(" ")
    key = key.strip()
    return key if scheme.lower() == KEY_SCHEME and len(key.split()) == 1 else ""


def key_digest(key: bytes) -> str:
    """Return the digest that identifies a key: its SHA-256 hash in hexadecimal."""
    return hashlib.sha256(key).hexdigest()


def tenant_by_digest(digests_by_tenant: Mapping[str, Iterable[str]]) -> dict[str, str]:
    """Map the digest of each key to the name of its tenant."""
    return {
        digest.lower(): name for name, digests in digests_by_tenant.items() for digest in digests
    }
