"""Messages between gateways and the one that grants a tenant's credits."""

from __future__ import annotations

import msgspec

from quaymill.connection.peer_link import PeerMessage

AGE_PARTS = 5
"""Parts of the window by which gateways tell how old is what they were granted: one second each
where the window is 5 s. The coarser, the longer a credit counts after it has left the window."""


class GrantedBy(msgspec.Struct, frozen=True, array_like=True):
    """What one gateway was granted of a tenant's requests within the last window.

    Attributes
    ----------
    granter
        Name of the process that granted it.
    by_age
        Requests by their age in parts of the window, newest first.
    """

    granter: str
    by_age: tuple[float, ...]


class BorrowCredits(PeerMessage, frozen=True):
    """Ask for credits of a tenant.

    Attributes
    ----------
    gateway
        Name of the node that will use them.
    requests
        Requests wanted; fewer may be lent.
    tokens
        Tokens that the request at hand may generate; lent whole or not at all.
    slots
        Requests in service at once that the gateway needs in all, not in addition.
    granted
        What the gateway was granted within the last window, by whomever.
    """

    tenant: str
    gateway: str
    requests: int
    tokens: int
    slots: int
    granted: tuple[GrantedBy, ...] = ()


class LentCredits(PeerMessage, frozen=True):
    """Answer to ``BorrowCredits``.

    Attributes
    ----------
    refused_by
        Name of the limit that stands against the request at hand; empty if none does. Then
        no tokens were taken.
    retry_after_s
        When that limit allows a request again, as far as is known.
    granter
        Name of the gateway that grants the tenant's credits, if it is not the one that answers;
        then nothing was lent.
    by
        Name of the process that lent.
    paced
        Whether the refusal is only since the granter does not know yet what others granted.
    """

    requests: int = 0
    slots: int = 0
    refused_by: str = ""
    retry_after_s: float = 0.0
    granter: str = ""
    by: str = ""
    paced: bool = False


class ReturnCredits(PeerMessage, frozen=True):
    """Give back tokens that were not used, and tell the slots still needed."""

    tenant: str
    gateway: str
    tokens: int
    slots: int


class ReturnedCredits(PeerMessage, frozen=True):
    """Answer to ``ReturnCredits``."""


class TakeOverCredits(PeerMessage, frozen=True):
    """Tell who granted a tenant's credits that ``gateway`` does from now on."""

    tenant: str
    gateway: str


class CreditsTakenOver(PeerMessage, frozen=True):
    """Answer to ``TakeOverCredits``: the sender grants none any more.

    Attributes
    ----------
    granted
        Whether it had granted any.
    """

    granted: bool
