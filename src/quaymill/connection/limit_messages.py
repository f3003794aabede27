"""Messages between a gateway and the one that grants the credits of a tenant."""

from __future__ import annotations

import msgspec

from quaymill.connection.peer_link import PeerMessage

AGE_PARTS = 5
"""Number of equal parts into which the window is divided to report the ages of granted requests.
With fewer parts, a request is counted for longer after it has left the window."""


class GrantedBy(msgspec.Struct, frozen=True, array_like=True):
    """Requests of a tenant that one process granted to a gateway within the last window.

    Attributes
    ----------
    granter
        Name of the process that granted them.
    by_age
        Number of requests in each part of the window, newest first.
    """

    granter: str
    by_age: tuple[float, ...]


class BorrowCredits(PeerMessage, frozen=True):
    """Request credits of a tenant.

    Attributes
    ----------
    gateway
        Name of the gateway that will use the credits.
    requests
        Number of requests wanted; fewer may be lent.
    tokens
        Tokens that the current request may generate; all of them are lent, or none.
    slots
        Total number of concurrent requests that the gateway needs, not an increment.
    granted
        Requests granted to the gateway within the last window, for each granting process.
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
    requests, slots
        Number of requests lent, and total number of concurrent requests allowed to the gateway.
    refused_by
        Name of the limit that the current request exceeds, in which case no tokens are lent; empty
        if there is none.
    retry_after_s
        Estimated time after which that limit allows a request again.
    granter
        Name of the gateway (not of a process) that grants the tenant's credits, if it is not the
        answering one, which then lends nothing.
    by
        Name of the process that lent the credits, as in ``GrantedBy.granter``.
    paced
        Whether the request is refused only because the granter does not know yet how many requests
        other granters have granted.
    """

    requests: int = 0
    slots: int = 0
    refused_by: str = ""
    retry_after_s: float = 0.0
    granter: str = ""
    by: str = ""
    paced: bool = False


class ReturnCredits(PeerMessage, frozen=True):
    """Return unused tokens, and report the number of slots that are still needed."""

    tenant: str
    gateway: str
    tokens: int
    slots: int


class ReturnedCredits(PeerMessage, frozen=True):
    """Answer to ``ReturnCredits``."""


class TakeOverCredits(PeerMessage, frozen=True):
    """Notify the former granter that ``gateway`` grants a tenant's credits from now on."""

    tenant: str
    gateway: str


class CreditsTakenOver(PeerMessage, frozen=True):
    """Answer to ``TakeOverCredits``: the former granter has stopped granting credits.

    Attributes
    ----------
    granted
        Whether it had granted any credits of the tenant.
    """

    granted: bool
