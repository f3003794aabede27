"""Which gateways may be asked to make a call of the platform's store for this one.

Load answered: where the store is away for all, each gateway asking others would multiply the
calls that cannot succeed. Where it turns only some machines away, the gateway that could help
once is asked first again.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence

import attrs

from quaymill.connection.member import Member

MOST_ASKED = 2
"""Gateways asked for one call: a second one in case that the first is turned away as well."""
UNABLE_S = 0.5
"""Time for which a gateway is not asked again that could not help and did not tell for how long."""


@attrs.define
class StoreHelpers:
    """What this gateway knows of those that could help; to be used under a lock.

    All times are monotonic, in seconds.

    Attributes
    ----------
    sample
        Draws some of the members.
    served_by
        Name of the gateway that made the last call for this one; empty if none could since.
    """

    sample: Callable[[Sequence[Member], int], list[Member]] = random.sample
    served_by: str = ""
    _unable_until_by_name: dict[str, float] = attrs.field(factory=dict)
    _nobody_until: float = -math.inf

    def choose(self, members: Sequence[Member], now: float) -> list[Member]:
        """Return whom to ask for a call, in this order; nobody where all were unable just now."""
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
        """Note who made a call for this gateway."""
        self.served_by = name
        self._nobody_until = -math.inf

    def note_unable(self, name: str, retry_after_s: float, now: float) -> None:
        """Note who could not make a call, and for how long that is likely to last."""
        self._unable_until_by_name[name] = now + (retry_after_s or UNABLE_S)
        if self.served_by == name:
            self.served_by = ""

    def note_nobody_served(self, now: float) -> None:
        """Note that all who were asked were unable: nobody is asked until one may be again."""
        self._nobody_until = min(self._unable_until_by_name.values(), default=now)

    def _forget_past(self, now: float) -> None:
        self._unable_until_by_name = {
            name: until for name, until in self._unable_until_by_name.items() if until > now
        }
