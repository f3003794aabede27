"""Admits a tenant's requests within its limits."""

from __future__ import annotations

import threading
import time

from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.request.outcome import NotRun


class _TenantState:
    def __init__(self) -> None:
        self.requests = 0.0
        self.tokens = 0.0
        self.refilled_at = 0.0
        self.in_service = 0


class TenantLimiter:
    """Requests/s, tokens/s and concurrency of each tenant on this node."""

    def __init__(self, holder: ConfigurationHolder) -> None:
        self._holder = holder
        self._lock = threading.Lock()
        self._tenants: dict[str, _TenantState] = {}

    def admit(self, tenant: str, tokens: int) -> NotRun | None:
        """Take one request and ``tokens`` off the tenant's limits, or refuse with 429."""
        limits = self._holder.current().tenants.get(tenant)
        if limits is None:
            return None
        with self._lock:
            state = self._tenants.setdefault(tenant, _TenantState())
            now = time.monotonic()
            elapsed_s = now - state.refilled_at
            state.refilled_at = now
            state.requests = min(
                limits.requests_per_s, state.requests + elapsed_s * limits.requests_per_s
            )
            state.tokens = min(limits.tokens_per_s, state.tokens + elapsed_s * limits.tokens_per_s)
            if limits.concurrency and state.in_service >= limits.concurrency:
                return _refusal(tenant, "concurrency", limits.concurrency, 1.0)
            if limits.requests_per_s and state.requests < 1.0:
                wait_s = (1.0 - state.requests) / limits.requests_per_s
                return _refusal(tenant, "requests_per_s", limits.requests_per_s, wait_s)
            if limits.tokens_per_s and state.tokens <= 0.0:
                wait_s = -state.tokens / limits.tokens_per_s
                return _refusal(tenant, "tokens_per_s", limits.tokens_per_s, wait_s)
            state.requests -= 1.0
            state.tokens -= tokens
            state.in_service += 1
            return None

    def release(self, tenant: str, reserved_tokens: int, used_tokens: int) -> None:
        """End a request that was admitted; tokens that it did not use are given back."""
        with self._lock:
            state = self._tenants.get(tenant)
            if state is not None:
                state.in_service -= 1
                state.tokens += reserved_tokens - used_tokens


def _refusal(tenant: str, limit: str, value: float, wait_s: float) -> NotRun:
    return NotRun(
        429,
        f"tenant {tenant} is at its limit {limit} = {value:g}",
        f"send less, or ask the operator to raise tenants/{tenant}/{limit}",
        wait_s,
    )
