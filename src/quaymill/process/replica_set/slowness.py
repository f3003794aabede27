"""How long work takes at one replica now, from what it told of that, by its age.

Replicas share their machines with others, which makes some of them slow for tenths of a second. A
word of it is worth little when it is as old as that: what is believed then goes back to what the
replica has told on the whole.
"""

from __future__ import annotations

from quaymill.connection.replica_entry import USUAL_SLOWNESS, SlownessReading

SLOWNESS_HALF_LIFE_S = 0.05
"""What a machine's other work does to a replica is over in some tenths of a second, and a short
request takes a tenth: a word as old as that says nothing of how the next one is served."""
USUAL_WEIGHT = 0.02
"""Part of a word in what is usual of the replica: fifty of them make it up, so that those that
fell into a slow moment by chance do not stand out for long."""


class SlownessRecord:
    """What one replica has told; the lock of whoever holds the record guards it.

    Attributes
    ----------
    last
        Its newest word.
    tells
        Whether it has ever told anything but that work takes as long as usual.
    """

    def __init__(self) -> None:
        self.tells = False
        self.last: SlownessReading | None = None
        self._usual = USUAL_SLOWNESS

    def take(self, reading: SlownessReading) -> None:
        """Take a word; an older one than the last counts for what is usual alone."""
        self.tells = self.tells or reading.slowness != USUAL_SLOWNESS
        if self.last is None or reading.at > self.last.at:
            self.last = reading
        self._usual += USUAL_WEIGHT * (reading.slowness - self._usual)

    def at(self, now: float) -> float:
        """Return how many times as long as usual work is expected to take now."""
        if self.last is None:
            return USUAL_SLOWNESS
        # A word that it is quick now must not draw work: what is heard of most is what is busy.
        excess = max(0.0, self.last.slowness - self._usual)
        return self._usual + excess * 0.5 ** (max(0.0, now - self.last.at) / SLOWNESS_HALF_LIFE_S)
