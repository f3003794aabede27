"""Whose request is next where several tenants wait: decisions only.

The load it answers: a tenant that sends many times its usual, within its limit, beside many small
ones. In the order of arrival its requests stand before everybody who comes later. Here each
tenant's requests get numbers of their own (start-time fair queueing, equal shares): a request is
numbered after the one before it of its tenant, or with what is being served, whichever is later.
"""

from __future__ import annotations

MAX_TENANTS = 4096
"""Tenants that are remembered before those without a share in use are forgotten."""


class FairShares:
    """Numbers requests; guarded by its user's lock.

    A tenant that was idle gains nothing by it: its next request is numbered like one of
    whoever is served now.
    """

    def __init__(self) -> None:
        self._served = 0.0
        self._next_by_tenant: dict[str, float] = {}

    def number(self, tenant: str | None) -> float:
        """Return the place of a tenant's new request; without tenants all are alike."""
        if tenant is None:
            return 0.0
        number = max(self._served, self._next_by_tenant.get(tenant, 0.0))
        self._next_by_tenant[tenant] = number + 1.0
        if len(self._next_by_tenant) > MAX_TENANTS:
            self._forget_idle()
        return number

    def serve(self, number: float) -> None:
        """Note that the request with this number goes to an engine."""
        self._served = max(self._served, number)

    def take_back(self, tenant: str | None, number: float) -> None:
        """Note that the request with this number will not be served, if it was the newest."""
        if tenant is not None and self._next_by_tenant.get(tenant) == number + 1.0:
            self._next_by_tenant[tenant] = number

    def _forget_idle(self) -> None:
        self._next_by_tenant = {
            tenant: number
            for tenant, number in self._next_by_tenant.items()
            if number > self._served
        }
