"""A caller's request on its way to a replica, whatever the interface it came by."""

from __future__ import annotations

import attrs
import xxhash

from quaymill.request.deadline import Deadline
from quaymill.request.prompt import NO_PROMPT, Prompt

Headers = tuple[tuple[str, str], ...]
"""Names and values in the order received, repeated names kept."""


@attrs.frozen
class ForwardedRequest:
    """An opaque request: it reaches a replica with method, target and body unchanged.

    Attributes
    ----------
    id
        The caller's id for this sending; replicas echo it.
    target
        Path and query as sent.
    deadline
        When the caller stops waiting, or the route's timeout ends, whichever comes first.
    last_event_id
        The event after which the answer is to go on; ``None`` from the beginning.
    tenant
        Who sends it, as replicas are told in place of its key; empty for nobody known, ``None``
        where there are no tenants and headers mean nothing of the kind.
    priority
        Rank of its tenant, or else of its route; 0 goes first.
    """

    id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    deadline: Deadline
    prompt: Prompt = NO_PROMPT
    last_event_id: str | None = None
    tenant: str | None = None
    priority: int = 0

    @property
    def content(self) -> str:
        """Names what is asked for: the same for each sending, whatever its id."""
        return content_of(self.host, self.method, self.target, self.body)

    @property
    def host(self) -> str:
        """The ``Host`` header as sent; empty without one."""
        return next((value for name, value in self.headers if name.lower() == "host"), "")


def content_of(host: str, method: str, target: str, body: bytes) -> str:
    """Return a digest of what a request asks for; two that ask for the same have the same."""
    digest = xxhash.xxh3_128(f"{host.lower()}\0{method}\0{target}\0".encode())
    digest.update(body)
    return digest.hexdigest()
