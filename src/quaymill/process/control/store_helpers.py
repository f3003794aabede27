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

MOST_ASKED = 2
"""Maximum number of gateways asked for one call; the store may refuse the first one as well."""
UNABLE_S = 0.5
"""Time for which a gateway that could not help is left out if it did not say for how long."""


@attrs.define
class StoreHelpers:
    """Which gateways were able to help recently; the caller must hold a lock.

    All times are monotonic, in seconds.

    Attributes
    ----------
    sample
        Returns a random selection of the members, of the given size.
    served_by
        Name of the gateway that made the last shared call; empty if it has failed to help since.
    """

    sample: Callable[[Sequence[Member], int], list[Member]] = random.sample
    served_by: str = ""
    _unable_until_by_name: dict[str, float] = attrs.field(factory=dict)
    _nobody_until: float = -math.inf

    def choose(self, members: Sequence[Member], now: float) -> list[Member]:
        """Return the members to ask for a call, in order; none if all of them failed recently."""
        if now < self._nobody_until:
            return []
        self._forget_past(now)
        first = [member for member in members if member.name == self.served_by]
        able = [
            member
            for member in members
            if member.name != self.served_by and member.name not in self._unable_until_by_name
        ]
        wanted = min(MOST_ASKED - len(first), len(able))
        return first + self.sample(able, wanted)

    def note_served(self, name: str) -> None:
        """Record that the gateway ``name`` made a call for this one."""
        self.served_by = name
        self._nobody_until = -math.inf

    def note_unable(self, name: str, retry_after_s: float, now: float) -> None:
        """Record that the gateway ``name`` could not make a call.

        It is left out for ``retry_after_s``, or for ``UNABLE_S`` if that is 0.
        """
        self._unable_until_by_name[name] = now + (retry_after_s or UNABLE_S)
        if self.served_by == name:
            self.served_by = ""

    def note_nobody_served(self, now: float) -> None:
        """Record that no gateway could help: none is asked until the first of them may be again."""
        self._nobody_until = min(self._unable_until_by_name.values(), default=now)

    def _forget_past(self, now: float) -> None:
        self._unable_until_by_name = {
            name: until for name, until in self._unable_until_by_name.items() if until > now
        }
