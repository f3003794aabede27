"""Whose request is next where several tenants wait: decisions only.

The load it answers: a tenant that sends many times its usual, within its limit, beside many small
ones. In the order of arrival its requests stand before everybody who comes later. Here they
go by start-time fair queueing with equal shares: a request's start tag is one more than that of the
request before it of its tenant, or the virtual time, whichever is later.
"""

from __future__ import annotations

MAX_TENANTS = 4096
"""Tenants that are remembered before those without a share in use are forgotten."""


class FairShares:
    """Gives requests their start tags; guarded by its user's lock.

    A tenant that was idle gains nothing by it: its next request gets the virtual time as its tag,
    which is the largest tag that has been served.
    """

    def __init__(self) -> None:
        self._virtual_time = 0.0
        self._next_tag_by_tenant: dict[str, float] = {}

    def start_tag(self, tenant: str | None) -> float:
        """Return the start tag of a tenant's new request; without tenants all are alike."""
        if tenant is None:
            return 0.0
        tag = max(self._virtual_time, self._next_tag_by_tenant.get(tenant, 0.0))
        self._next_tag_by_tenant[tenant] = tag + 1.0
        if len(self._next_tag_by_tenant) > MAX_TENANTS:
            self._forget_idle()
        return tag

    def serve(self, tag: float) -> None:
        """Note that the request with this tag goes to an engine."""
        self._virtual_time = max(self._virtual_time, tag)

    def take_back(self, tenant: str | None) -> None:
        """Note that a request that has a tag will not be served: it costs its tenant nothing."""
        if tenant in self._next_tag_by_tenant:
            following = self._next_tag_by_tenant[tenant] - 1.0
            self._next_tag_by_tenant[tenant] = max(self._virtual_time, following)

    def _forget_idle(self) -> None:
        self._next_tag_by_tenant = {
            tenant: tag
            for tenant, tag in self._next_tag_by_tenant.items()
            if tag > self._virtual_time
        }
