"""Builds a storage node that uses the platform's protocols."""

from __future__ import annotations

from quaymill.platform import names
from quaymill.platform.object_store import PlatformObjectStore
from quaymill.process.process_context import ProcessContext
from quaymill.process.serving_settings import ServingSettings
from quaymill.process.storage_node import StorageNode, StorageProtocol

STORAGE_PROTOCOL = StorageProtocol(
    {"state": names.RETIREMENT_ACTIVE}, {"state": names.RETIREMENT_SUCCEEDED}
)


def build_storage_node(settings: ServingSettings, context: ProcessContext) -> StorageNode:
    """Build a storage node without starting it; it serves no metrics and no callers."""
    del context
    return StorageNode(settings, PlatformObjectStore(settings.store_endpoint), STORAGE_PROTOCOL)
