"""Finds the tenant of a bearer key; keys are kept only as hashes."""

from __future__ import annotations

import threading

from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.request.outcome import NotRun
from quaymill.version.configuration import ServingConfiguration
from quaymill.version.tenants import bearer_key, key_digest, tenant_by_digest


class Authenticator:
    """Maps key hashes to tenants, by the configuration in force."""

    def __init__(self, holder: ConfigurationHolder) -> None:
        self._lock = threading.Lock()
        self._tenant_by_hash: dict[str, str] = {}
        holder.subscribe(self._take_configuration)

    def tenant_of(self, authorization: str) -> str | NotRun:
        """Return the tenant's name for the value of the header ``Authorization``."""
        key = bearer_key([authorization])
        if not key:
            return NotRun(
                401,
                "the request has no bearer key",
                "send the header Authorization: Bearer KEY",
            )
        digest = key_digest(key.encode(errors="surrogateescape"))
        tenant = self._tenant_by_hash.get(digest)
        if tenant is None:
            return NotRun(
                401,
                "the bearer key is unknown",
                "check the key, or ask the operator to enter its hash",
            )
        return tenant

    def _take_configuration(self, configuration: ServingConfiguration) -> None:
        tenants = configuration.tenants.items()
        tenant_by_hash = tenant_by_digest({name: one.key_hashes for name, one in tenants})
        with self._lock:
            self._tenant_by_hash = tenant_by_hash
