"""Chooses the gateways that are asked to make a call to the platform's store for this one.

If the store is unavailable to all gateways, asking others would multiply the calls that cannot
succeed, so gateways that could not help are left out for a while. If the store refuses only some
machines, the gateway that helped last is asked first.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence

import attrs

from quaymill.connection.member import Member

MAX_HELPERS_ASKED = 2
"""Maximum number of gateways asked for one call; the store may refuse the first one as well."""
HELPER_RETRY_S = 0.5
"""Time for which a gateway that could not help is left out if it did not say for how long."""


@attrs.define
class StoreHelpers:
    """Which gateways were able to help recently; the caller must hold a lock.

    All times are monotonic, in seconds.

    Attributes
    ----------
    sample
        Returns a random selection of the members, of the given size.
    last_helper
        Name of the gateway that made the last shared call; empty if it has failed to help since.
    """

    sample: Callable[[Sequence[Member], int], list[Member]] = random.sample
    last_helper: str = ""
    _unable_until_by_name: dict[str, float] = attrs.field(factory=dict)
    _none_able_until: float = -math.inf

    def choose(self, members: Sequence[Member], now: float) -> list[Member]:
        """Return the members to ask for a call, in order; none after a recent failure."""
        if now < self._none_able_until:
            return []
        self._drop_expired(now)
        first = [member for member in members if member.name == self.last_helper]
        able = [
            member
            for member in members
            if member.name != self.last_helper and member.name not in self._unable_until_by_name
        ]
        wanted = min(MAX_HELPERS_ASKED - len(first), len(able))
        return first + self.sample(able, wanted)

    def record_helped(self, name: str) -> None:
        """Record that the gateway ``name`` made a call for this one."""
        self.last_helper = name
        self._none_able_until = -math.inf

    def record_unable(self, name: str, retry_after_s: float, now: float) -> None:
        """Record that the gateway ``name`` could not make a call.

        It is left out for ``retry_after_s``, or for ``HELPER_RETRY_S`` if that is 0.
        """
        self._unable_until_by_name[name] = now + (retry_after_s or HELPER_RETRY_S)
        if self.last_helper == name:
            self.last_helper = ""

    def record_none_able(self, now: float) -> None:
        """Record that no gateway asked could help.

        None is asked again until the first retry time of a gateway that was unable to help.
        """
        self._none_able_until = min(self._unable_until_by_name.values(), default=now)

    def _drop_expired(self, now: float) -> None:
        self._unable_until_by_name = {
            name: until for name, until in self._unable_until_by_name.items() if until > now
        }
