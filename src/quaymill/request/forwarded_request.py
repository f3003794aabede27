"""A caller's request as it is forwarded to replicas, independent of the caller interface."""

from __future__ import annotations

import attrs
import xxhash

from quaymill.request.deadline import Deadline
from quaymill.request.poison import RequestIdentity, part_key
from quaymill.request.prompt import NO_PROMPT, Prompt
from quaymill.request.stream_version import StreamVersion

Headers = tuple[tuple[str, str], ...]
"""Names and values in the order received; names may repeat."""


@attrs.frozen
class ForwardedRequest:
    """An opaque request, whose method, target and body are forwarded unchanged.

    Attributes
    ----------
    id
        The caller's id for this transmission of the request; replicas echo it.
    target
        Path and query as sent.
    deadline
        The caller's timeout or the route's timeout, whichever ends first.
    last_event_id
        Id of the event after which the answer is resumed; ``None`` for the whole answer.
    began_as
        Id of the request whose answer brought the first event of the stream that is resumed;
        ``None`` if the caller did not say.
    stream_version
        Software version that began the stream that is resumed; ``None`` if any version may serve
        the request.
    tenant
        Name of the tenant, sent to replicas in place of its API key. Empty if the tenant is
        unknown; ``None`` if tenants are not in use.
    priority
        Rank of the tenant, or else of the route; 0 is served first.
    """

    id: str
    method: str
    target: str
    headers: Headers
    body: bytes
    deadline: Deadline
    prompt: Prompt = NO_PROMPT
    last_event_id: str | None = None
    began_as: str | None = None
    stream_version: StreamVersion | None = None
    tenant: str | None = None
    priority: int = 0

    @property
    def content_digest(self) -> str:
        """Content digest: the same whenever the same request is sent again, under any id."""
        return content_digest_of(self.host, self.method, self.target, self.body)

    @property
    def identity(self) -> RequestIdentity:
        """By what this request is recognized when it, or a similar one, is sent again."""
        return RequestIdentity(self.content_digest, shared_part_keys(self.prompt))

    @property
    def host(self) -> str:
        """Value of the ``Host`` header; empty if there is none."""
        return next((value for name, value in self.headers if name.lower() == "host"), "")


def content_digest_of(host: str, method: str, target: str, body: bytes) -> str:
    """Return the content digest of a request; the host is case-insensitive."""
    digest = xxhash.xxh3_128(f"{host.lower()}\0{method}\0{target}\0".encode())
    digest.update(body)
    return digest.hexdigest()


def shared_part_keys(prompt: Prompt) -> tuple[str, ...]:
    """Return keys of the parts that other requests may share: all but the last one."""
    return tuple(part_key(prompt.model, part.id) for part in prompt.parts[:-1])
