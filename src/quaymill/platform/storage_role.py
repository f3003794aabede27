"""A storage node on the platform: its parts, with what speaks the platform's language."""

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
    """Return a storage node's parts, not started yet; it serves no metrics and no callers."""
    del context
    return StorageNode(settings, PlatformObjectStore(settings.store_endpoint), STORAGE_PROTOCOL)
