"""Agreement without messages: every node that sees the same members ranks them alike."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

import xxhash

from quaymill.connection.member import Member

READERS_PER_ZONE = 2


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


def stronger_half(members: Iterable[Member]) -> tuple[Member, ...]:
    """Return the members that have at least the median of processor time.

    Work that one node does for all others would hold a weak one up; where all have the same, or
    none was told what it has, these are all.
    """
    members = tuple(members)
    if not members:
        return ()
    median = statistics.median(member.cores for member in members)
    return tuple(member for member in members if member.cores >= median)


def reader_nodes(members: Iterable[Member], zone: str) -> tuple[Member, ...]:
    """Return the nodes of a zone that watch the platform for the others."""
    in_zone = (member for member in members if member.zone == zone)
    return rank_nodes(f"platform-reader/{zone}", in_zone)[:READERS_PER_ZONE]
