"""Who sends a request, by the configuration in force as it is looked at.

Which version decides, and when:

======================  ===========================================================
a request's head read   the version in force then: 401, or whose request it is
while it waits          looked at again before its first run: a key that was taken
                        away meanwhile starts nothing, one that was given to another
                        tenant is sent again by its caller, under the new name
once it has run         none: what was begun goes on, and is taken up elsewhere
a call about a job      the version in force then; the job stays its tenant's, whatever
                        becomes of the key by which it came
======================  ===========================================================
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
    """Who sends a request.

    Attributes
    ----------
    tenant
        ``None`` where requests need no key and none that is known came.
    has_tenants
        Whether the configuration has tenants at all.
    digest
        Of the key; empty without one.
    version
        Of the configuration by which it was told.
    """

    tenant: RequestTenant | None
    has_tenants: bool
    digest: str = ""
    version: int = 0

    @property
    def told_name(self) -> str | None:
        """What replicas are told; ``None`` where there are no tenants."""
        if not self.has_tenants:
            return None
        return self.tenant.name if self.tenant else ""

    def rank(self, route_priority: int) -> int:
        """Return the rank of a request: the tenant's own goes before its route's."""
        if self.tenant is None or self.tenant.priority is None:
            return route_priority
        return self.tenant.priority

    def job_name(self, job_id: str) -> str:
        """Return the name under which a job of this caller is kept.

        Two tenants may give their jobs the same id: these are two jobs, and whoever asks for
        another's is told what is told of any job that is not there.
        """
        if not self.has_tenants:
            return job_id
        return quote(self.told_name, safe="").replace(JOB_NAME_SEPARATOR, "%7E") + (
            JOB_NAME_SEPARATOR + job_id
        )


class KeyState(enum.Enum):
    """What has become of the key by which a request was taken."""

    HELD = enum.auto()
    GIVEN_TO_ANOTHER = enum.auto()
    TAKEN_AWAY = enum.auto()


def identify(routes: RequestRoutes, key: bytes, *, key_needed: bool) -> Caller | None:
    """Return who holds a key; ``None`` if a key is needed and this one is not known."""
    if routes.tenants is None:
        return Caller(None, has_tenants=False, version=routes.version)
    digest = key_digest(key) if key else ""
    tenant = routes.holder_of(digest) if digest else None
    if tenant is None and key_needed:
        return None
    return Caller(tenant, True, digest, routes.version)


def key_state(caller: Caller, routes: RequestRoutes) -> KeyState:
    """Return what the configuration says now of the key of a caller that was identified before."""
    if caller.tenant is None or routes.version == caller.version:
        return KeyState.HELD
    holder = routes.holder_of(caller.digest)
    if holder is None:
        return KeyState.TAKEN_AWAY
    same = holder.name == caller.tenant.name
    return KeyState.HELD if same else KeyState.GIVEN_TO_ANOTHER
