"""Agreement without messages: every node that sees the same members ranks them alike."""

from __future__ import annotations

import math
import statistics
from collections import Counter
from collections.abc import Iterable

import xxhash

from quaymill.connection.member import Member

READERS_PER_ZONE = 2
MIN_STRONGEST_MEMBERS = 3
"""Strong nodes among which work for all others is shared out at least: two may be lost at once."""
STRONGEST_SHARE = 1 / 16
"""Part of the nodes that are strong enough for such work at least. Of 165 gateways 15 had 2.15
cores and the others 0.52; one of these kept room for all, and 193 of its answers to gateways came
later than the 0.05 s that they wait, all in the bursts of 18 s of a day with trouble."""


def rank_nodes(key: str, members: Iterable[Member], zone: str = "") -> tuple[Member, ...]:
    """Return members by rendezvous hashing of ``key``, those in ``zone`` first if one is given.

    Removing a member moves only the keys on which it ranked first.
    """
    return tuple(
        sorted(
            members,
            key=lambda member: (
                bool(zone) and member.zone != zone,
                -xxhash.xxh3_64_intdigest(f"{key}\0{member.name}".encode()),
            ),
        )
    )


def rank_across_zones(key: str, members: Iterable[Member]) -> tuple[Member, ...]:
    """Return members by rendezvous hashing of ``key``, one of each zone in turn.

    No zone comes a second time before each has come once. The first of all is the one that
    ``rank_nodes`` puts first; removing a member moves only the keys that it was among the first
    for.
    """
    ranked = rank_nodes(key, members)
    round_by_name: dict[str, int] = {}
    rounds_by_zone: Counter[str] = Counter()
    for member in ranked:
        round_by_name[member.name] = rounds_by_zone[member.zone]
        rounds_by_zone[member.zone] += 1
    return tuple(sorted(ranked, key=lambda member: round_by_name[member.name]))


def strongest(members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the members with the most processor time, those that have as much included.

    Work that one node does for all others would hold a weak one up; where all have the same, or
    none was told what it has, these are all. At least the median is asked for, so that in a small
    fleet one strong node does not get all such work.
    """
    members = tuple(members)
    if not members:
        return ()
    by_cores = sorted((member.cores for member in members), reverse=True)
    considered = max(MIN_STRONGEST_MEMBERS, math.ceil(STRONGEST_SHARE * len(members)))
    min_cores = max(statistics.median(by_cores), by_cores[min(considered, len(members)) - 1])
    return tuple(member for member in members if member.cores >= min_cores)


def reader_nodes(members: Iterable[Member], zone: str) -> tuple[Member, ...]:
    """Return the nodes of a zone that watch the platform for the others."""
    in_zone = (member for member in members if member.zone == zone)
    return rank_nodes(f"platform-reader/{zone}", in_zone)[:READERS_PER_ZONE]
