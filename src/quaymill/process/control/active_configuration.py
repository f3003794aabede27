"""The configuration in force at this gateway: the one with the highest version so far.

A configuration arrives as a whole document from the store, or as a step from a peer. Only what has
changed is decoded; the new version then replaces the old one as a whole.
"""

from __future__ import annotations

import threading
from collections.abc import Callable
from typing import Any

import attrs
import msgspec
from eliot import log_message

from quaymill import boot_clock
from quaymill.process.control.configuration_compiler import ConfigurationCompiler
from quaymill.process.control.configuration_steps import (
    ConfigurationStep,
    ConfigurationSteps,
    EncodedStep,
    InvalidStep,
    decode_step,
    encode_step,
)
from quaymill.version.document_change import apply_change, difference
from quaymill.version.request_routes import NO_ROUTES, CompiledConfiguration, RequestRoutes

ConfigurationListener = Callable[[RequestRoutes], None]


@attrs.frozen
class _Arrival:
    """Where a configuration comes from, its size, and how long transfer and compilation took."""

    source: str
    size_bytes: int
    took_s: float | None
    compile_s: float


class ActiveConfiguration:
    """Holds the configuration in force, and notifies listeners of each newer one."""

    def __init__(self, compiler: ConfigurationCompiler) -> None:
        self._compiler = compiler
        # Held while listeners run, so that they receive the versions in their order.
        self._lock = threading.Lock()
        self._current = CompiledConfiguration(None, NO_ROUTES)
        self._listeners: list[ConfigurationListener] = []
        self.steps = ConfigurationSteps()

    @property
    def routes(self) -> RequestRoutes:
        """The configuration in force; its version is 0 while none is known."""
        return self._current.routes

    @property
    def document(self) -> Any:
        """The operator's document of the configuration in force; ``None`` while none is known."""
        return self._current.document

    def subscribe(self, listener: ConfigurationListener) -> None:
        """Call ``listener`` with each new configuration when it comes into force."""
        self._listeners.append(listener)

    def offer_document(self, document: Any, source: str, took_s: float | None) -> bool:
        """Put a document in force if it is newer; return whether it is now in force.

        Parameters
        ----------
        took_s
            Duration of the call that brought it; ``None`` if it waited for the change.
        """
        with self._lock:
            began = boot_clock.now()
            change = None
            if isinstance(document, dict) and self.document is not None:
                # Unchanged entries are those of the current document, which need no decoding.
                change = difference(self.document, document)
                document = apply_change(self.document, change)
            routes = self._compile(document, source)
            if routes is None or routes.version <= self.routes.version:
                return False
            if change is None:
                step = ConfigurationStep(0, routes.version, document=document)
            else:
                step = ConfigurationStep(self.routes.version, routes.version, change)
            size_bytes = len(msgspec.json.encode(document))
            arrival = _Arrival(source, size_bytes, took_s, boot_clock.now() - began)
            self._put_in_force(CompiledConfiguration(document, routes), encode_step(step), arrival)
            return True

    def offer_step(self, encoded: EncodedStep, source: str, took_s: float) -> bool:
        """Put the version of a step in force if it is newer; return whether it is now in force."""
        step = decode_step(encoded.data)
        if isinstance(step, InvalidStep):
            log_message("control:configuration_unread", source=source, reason=step.reason)
            return False
        if step.change is None:
            return self.offer_document(step.document, source, took_s)
        with self._lock:
            began = boot_clock.now()
            if step.base_version != self.routes.version or self.document is None:
                return False
            try:
                document = apply_change(self.document, step.change)
            except (ValueError, KeyError, TypeError) as error:
                log_message("control:configuration_unread", source=source, reason=repr(error))
                return False
            routes = self._compile(document, source)
            if routes is None or routes.version <= self.routes.version:
                return False
            arrival = _Arrival(source, len(encoded.data), took_s, boot_clock.now() - began)
            self._put_in_force(CompiledConfiguration(document, routes), encoded, arrival)
            return True

    def _compile(self, document: Any, source: str) -> RequestRoutes | None:
        routes = self._compiler.compile(document, self._current)
        if isinstance(routes, RequestRoutes):
            return routes
        log_message("control:configuration_unread", source=source, reason=routes.reason)
        return None

    def _put_in_force(
        self, compiled: CompiledConfiguration, step: EncodedStep, arrival: _Arrival
    ) -> None:
        """Replace the configuration and notify the listeners; the lock is held."""
        routes = compiled.routes
        log_message(
            "control:configuration_read",
            version=routes.version,
            source=arrival.source,
            bytes=arrival.size_bytes,
            took_s=None if arrival.took_s is None else round(arrival.took_s, 3),
            compile_s=round(arrival.compile_s, 3),
        )
        before = self.routes.version
        self._current = compiled
        self.steps.add(step, compiled.document)
        log_message(
            "control:configuration",
            version=routes.version,
            before=before,
            source=arrival.source,
            routes=len(routes.routes),
        )
        for listener in self._listeners:
            listener(routes)
