"""Rankings of members that are the same on every node that knows the same members."""

from __future__ import annotations

import math
import statistics
from collections import Counter
from collections.abc import Iterable

import xxhash

from quaymill.connection.member import Member

READERS_PER_ZONE = 2
MIN_STRONGEST_MEMBERS = 3
"""Minimum number of members among which work for the whole fleet is distributed, so that two may
fail at once."""
STRONGEST_SHARE = 1 / 16
"""Minimum fraction of the members among which such work is distributed. A larger fraction could
include weak members, which answer too late under load: of 165 gateways 15 had 2.15 cores and the
others 0.52, and an allocator with 0.52 cores gave 193 answers later than the 0.05 s that gateways
wait."""


def rank_nodes(key: str, members: Iterable[Member], zone: str = "") -> tuple[Member, ...]:
    """Return members by rendezvous hashing of ``key``, those in ``zone`` first if one is given.

    Removing a member changes the first-ranked member only of keys for which it ranked first.
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
    """Return members by rendezvous hashing of ``key``, in rounds of one member per zone.

    Each zone is used once before any zone is used again. The first member is the same as that of
    ``rank_nodes``. Removing a member leaves the members before it in place.
    """
    ranked = rank_nodes(key, members)
    round_by_name: dict[str, int] = {}
    rounds_by_zone: Counter[str] = Counter()
    for member in ranked:
        round_by_name[member.name] = rounds_by_zone[member.zone]
        rounds_by_zone[member.zone] += 1
    return tuple(sorted(ranked, key=lambda member: round_by_name[member.name]))


def strongest_members(members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the members with the most cores, including those that tie with the last of them.

    They do work for the whole fleet, which would overload a weak node. If all members have the same
    number of cores or none is known, all are returned. Each returned member has at least the
    median number of cores.
    """
    members = tuple(members)
    if not members:
        return ()
    by_cores = sorted((member.cores for member in members), reverse=True)
    min_members = max(MIN_STRONGEST_MEMBERS, math.ceil(STRONGEST_SHARE * len(members)))
    min_cores = max(statistics.median(by_cores), by_cores[min(min_members, len(members)) - 1])
    return tuple(member for member in members if member.cores >= min_cores)


def reader_nodes(members: Iterable[Member], zone: str) -> tuple[Member, ...]:
    """Return the nodes of a zone that read the platform on behalf of the other nodes."""
    in_zone = (member for member in members if member.zone == zone)
    return rank_nodes(f"platform-reader/{zone}", in_zone)[:READERS_PER_ZONE]
