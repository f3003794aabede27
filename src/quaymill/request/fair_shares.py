"""Start-time fair queueing of requests among tenants, with equal shares.

It prevents a tenant that suddenly sends many requests from delaying all others, as it would in the
order of arrival. The start tag of a request is one more than the tag of the tenant's previous
request, or the virtual time if that is larger. Requests are served in the order of their tags.
"""

from __future__ import annotations

MAX_TENANTS = 4096
"""Number of tenants above which idle tenants are removed."""


class FairShares:
    """Assigns start tags to requests; not thread-safe, the caller must hold a lock.

    The virtual time is the largest tag that has been served. The next request of an idle tenant
    gets the virtual time as its tag, so a tenant cannot save up shares while it is idle.
    """

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._next_tag_by_tenant: dict[str, float] = {}

    def start_tag(self, tenant: str | None) -> float:
        """Return the start tag of a tenant's new request; always 0 without a tenant."""
        if tenant is None:
            return 0.0
        tag = max(self._virtual_time, self._next_tag_by_tenant.get(tenant, 0.0))
        self._next_tag_by_tenant[tenant] = tag + 1.0
        if len(self._next_tag_by_tenant) > MAX_TENANTS:
            self._remove_idle()
        return tag

    def serve(self, tag: float) -> None:
        """Record that the request with this tag is dispatched to an engine."""
        self._virtual_time = max(self._virtual_time, tag)

    def cancel(self, tenant: str | None) -> None:
        """Undo ``start_tag`` for a request that will not be served."""
        if tenant in self._next_tag_by_tenant:
            next_tag = self._next_tag_by_tenant[tenant] - 1.0
            self._next_tag_by_tenant[tenant] = max(self._virtual_time, next_tag)

    def _remove_idle(self) -> None:
        self._next_tag_by_tenant = {
            tenant: tag
            for tenant, tag in self._next_tag_by_tenant.items()
            if tag > self._virtual_time
        }
