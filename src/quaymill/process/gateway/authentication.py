"""Finds the tenant of a bearer key; keys are kept only as hashes."""

from __future__ import annotations

import hashlib
import threading

from quaymill.process.configuration_holder import ConfigurationHolder
from quaymill.request.outcome import NotRun
from quaymill.version.configuration import ServingConfiguration

BEARER_PREFIX = "bearer "


class Authenticator:
    """Maps key hashes to tenants, by the configuration in force."""

    def __init__(self, holder: ConfigurationHolder) -> None:
        self._lock = threading.Lock()
        self._tenant_by_hash: dict[str, str] = {}
        holder.subscribe(self._take_configuration)

    def tenant_of(self, authorization: str) -> str | NotRun:
        """Return the tenant's name for the value of the header ``Authorization``."""
        if not authorization.lower().startswith(BEARER_PREFIX):
            return NotRun(
                401,
                "the request has no bearer key",
                "send the header Authorization: Bearer KEY",
            )
        key = authorization[len(BEARER_PREFIX) :].strip()
        digest = hashlib.sha256(key.encode(errors="surrogateescape")).hexdigest()
        tenant = self._tenant_by_hash.get(digest)
        if tenant is None:
            return NotRun(
                401,
                "the bearer key is unknown",
                "check the key, or ask the operator to enter its hash",
            )
        return tenant

    def _take_configuration(self, configuration: ServingConfiguration) -> None:
        tenant_by_hash = {
            digest.lower(): name
            for name, tenant in configuration.tenants.items()
            for digest in tenant.key_hashes
        }
        with self._lock:
            self._tenant_by_hash = tenant_by_hash
