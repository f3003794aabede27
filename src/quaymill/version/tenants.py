"""Tenants as requests meet them: who holds a key, and what each may send.

A key is kept only as its digest and looked up by it, so that the time of a lookup neither grows
with the number of tenants nor tells how much of a key was right.
"""

from __future__ import annotations

import hashlib
from collections.abc import Iterable, Mapping

import attrs

KEY_SCHEME = "bearer"


@attrs.frozen
class TenantLimits:
    """What one tenant may send over all gateways; 0 stands for no limit.

    Attributes
    ----------
    burst
        Requests that may come within a window on top of those of the rate.
    concurrency
        Requests in service at once.
    """

    requests_per_s: float = 0.0
    burst: float = 0.0
    tokens_per_s: float = 0.0
    concurrency: int = 0

    @property
    def any_set(self) -> bool:
        """Whether there is a limit at all."""
        return bool(self.requests_per_s or self.tokens_per_s or self.concurrency)


@attrs.frozen
class RequestTenant:
    """A tenant whose requests are opaque.

    Attributes
    ----------
    key_digests
        Of its keys, by ``key_digest``.
    priority
        Rank that goes before its routes' ranks, 0 first; ``None`` if it has none of its own.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    limits: TenantLimits = TenantLimits()
    priority: int | None = None


def bearer_key(authorization: Iterable[str]) -> str:
    """Return the key in the values of the header; empty unless it is exactly one bearer key."""
    values = list(authorization)
    if len(values) != 1:
        return ""
    scheme, _, key = values[0].strip().partition(" ")
    key = key.strip()
    return key if scheme.lower() == KEY_SCHEME and len(key.split()) == 1 else ""


def key_digest(key: bytes) -> str:
    """Return the digest under which a key is known: SHA-256 in hexadecimal."""
    return hashlib.sha256(key).hexdigest()


def tenant_by_digest(digests_by_tenant: Mapping[str, Iterable[str]]) -> dict[str, str]:
    """Return the tenants' names by the digests of their keys."""
    return {
        digest.lower(): name for name, digests in digests_by_tenant.items() for digest in digests
    }
