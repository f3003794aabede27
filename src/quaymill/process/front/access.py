"""Identifies callers by their keys, using the configuration in force when the key is checked.

Which configuration version is used at which point:

=======================  =====================================================================
head of a request read   the version in force then: 401, or the tenant is identified
before the first run     the version in force then: if the key has been revoked, the request is
                         refused with 401; if it belongs to another tenant now, with 503, so that
                         the caller sends it again
after the first run      none: the request continues, on another replica if necessary
call about a job         the version in force then; a job stays with its tenant even if the key
                         with which it was submitted is revoked or reassigned
=======================  =====================================================================
"""

from __future__ import annotations

import enum
from urllib.parse import quote

import attrs

from quaymill.version.request_routes import RequestRoutes
from quaymill.version.tenants import RequestTenant, key_digest

JOB_NAME_SEPARATOR = "~"


@attrs.frozen
class Caller:
    """The sender of a request.

    Attributes
    ----------
    tenant
        ``None`` where requests need no key and the request carried no known key.
    has_tenants
        Whether the configuration has tenants at all.
    digest
        Digest of the key; empty without a key.
    version
        Version of the configuration that identified the caller.
    """

    tenant: RequestTenant | None
    has_tenants: bool
    digest: str = ""
    version: int = 0

    @property
    def tenant_name(self) -> str | None:
        """Tenant name sent to replicas: ``None`` without tenants, empty for an unknown caller."""
        if not self.has_tenants:
            return None
        return self.tenant.name if self.tenant else ""

    def rank(self, route_priority: int) -> int:
        """Return the rank of a request; the tenant's priority overrides the route's."""
        if self.tenant is None or self.tenant.priority is None:
            return route_priority
        return self.tenant.priority

    def job_name(self, job_id: str) -> str:
        """Return the name under which a job of this caller is stored.

        Two tenants may use the same job id for different jobs. A request for another tenant's job
        gets the same response as one for a job that does not exist.
        """
        if not self.has_tenants:
            return job_id
        return quote(self.tenant_name, safe="").replace(JOB_NAME_SEPARATOR, "%7E") + (
            JOB_NAME_SEPARATOR + job_id
        )


class KeyState(enum.Enum):
    """Current state of the key with which a request was accepted."""

    UNCHANGED = enum.auto()
    REASSIGNED = enum.auto()
    REVOKED = enum.auto()


def identify(routes: RequestRoutes, key: bytes, *, key_needed: bool) -> Caller | None:
    """Return the caller with a key; ``None`` if a key is needed and this one is unknown."""
    if routes.tenants is None:
        return Caller(None, has_tenants=False, version=routes.version)
    digest = key_digest(key) if key else ""
    tenant = routes.find_tenant(digest) if digest else None
    if tenant is None and key_needed:
        return None
    return Caller(tenant, True, digest, routes.version)


def key_state(caller: Caller, routes: RequestRoutes) -> KeyState:
    """Return the state of an identified caller's key in the given configuration."""
    if caller.tenant is None or routes.version == caller.version:
        return KeyState.UNCHANGED
    holder = routes.find_tenant(caller.digest)
    if holder is None:
        return KeyState.REVOKED
    same = holder.name == caller.tenant.name
    return KeyState.UNCHANGED if same else KeyState.REASSIGNED
