"""Compiles configuration documents; routes that have not changed are not decoded again."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs

from quaymill.version.request_routes import CompiledConfiguration, RequestRoutes


@attrs.frozen
class ConfigurationCompiler:
    """Compiles documents that share their unchanged entries with the previous one.

    Attributes
    ----------
    read
        Returns the parsed document, or a value with a ``reason`` if parsing failed.
    routes_key
        Key of the list of routes in a document.
    """

    read: Callable[[Any], RequestRoutes | Any]
    routes_key: str

    def compile(self, document: Any, previous: CompiledConfiguration) -> RequestRoutes | Any:
        """Return the compiled document, or a value with a ``reason`` if it is invalid."""
        if previous.document is None or not self._has_routes(document):
            return self.read(document)
        entries = document[self.routes_key]
        # The previous document is kept, so no other entry can have the identity of one of its own.
        kept = dict(
            zip(map(id, previous.document[self.routes_key]), previous.routes.routes, strict=True)
        )
        changed = [entry for entry in entries if id(entry) not in kept]
        compiled = self.read(document | {self.routes_key: changed})
        if not isinstance(compiled, RequestRoutes):
            return compiled
        by_id = kept | dict(zip(map(id, changed), compiled.routes, strict=True))
        return attrs.evolve(compiled, routes=tuple(by_id[id(entry)] for entry in entries))

    def _has_routes(self, document: Any) -> bool:
        return isinstance(document, dict) and isinstance(document.get(self.routes_key), list)
