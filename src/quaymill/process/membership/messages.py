"""Datagrams of the membership: one JSON line each, at most ``MAX_DATAGRAM_BYTES``.

Every datagram contains its sender's incarnation, generation, machine list version and the revision
of its set of evacuated zones, so that a new configuration becomes known without a message of its
own. It may also contain records of members that have changed recently.
"""

from __future__ import annotations

from typing import Any

import msgspec

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member, MemberState

# Bounds the traffic of updates, since a node sends only a few datagrams per second.
MAX_DATAGRAM_BYTES = 900


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """A ``Member`` on the wire, encoded as an array because records make up most of the traffic.

    New fields may only be added at the end and with defaults, so that nodes of different
    versions understand each other.
    """

    name: str
    zone: str
    region: str
    peer_host: str
    peer_port: int
    http_host: str
    http_port: int
    state: MemberState
    incarnation: int
    generation: int
    machines: int
    has_disk: bool
    draining: bool
    process_id: str = ""
    cores: float = 0.0

    @classmethod
    def of(cls, member: Member) -> MemberRecord:
        """Return the record of a member."""
        return cls(
            member.name,
            member.zone,
            member.region,
            member.peer.host,
            member.peer.port,
            member.http.host,
            member.http.port,
            member.state,
            member.incarnation,
            member.configuration_generation,
            member.machine_list_version,
            member.has_disk,
            member.draining,
            member.process_id,
            member.cores,
        )

    def member(self) -> Member:
        """Return the member of a record."""
        return Member(
            self.name,
            self.zone,
            self.region,
            Endpoint(self.peer_host, self.peer_port),
            Endpoint(self.http_host, self.http_port),
            self.state,
            self.incarnation,
            self.generation,
            self.machines,
            self.has_disk,
            self.draining,
            self.process_id,
            self.cores,
        )


class Datagram(msgspec.Struct, tag_field="kind", tag=True, omit_defaults=True):
    """Base of the datagrams.

    Attributes
    ----------
    confirmed_ms_ago
        How long ago, in milliseconds, ``generation``, ``machines`` and ``evacuations`` were known
        to be the platform's newest; -1 if that is not known.
    crashes
        Digest of the crashes that the sender knows of; 0 if none.
    records
        Records of members as the sender knows them.
    evacuations
        Revision of the sender's set of evacuated zones; 0, and not sent, if it has none.
    """

    sender: str
    incarnation: int
    generation: int = 0
    machines: int = 0
    confirmed_ms_ago: int = -1
    crashes: int = 0
    records: tuple[MemberRecord, ...] = ()
    evacuations: int = 0


class Probe(Datagram):
    """Requests a ``ProbeReply`` with the same sequence number."""

    sequence: int = 0


class ProbeReply(Datagram):
    """Reports that ``subject`` replied to the probe with this sequence number."""

    sequence: int = 0
    subject: str = ""


class ProbeRequest(Datagram):
    """Requests that the receiver probe ``target`` and forward its reply."""

    sequence: int = 0
    target: Endpoint = Endpoint("", 0)


class Notice(Datagram):
    """Carries updates and requires no reply."""


class Sync(Datagram):
    """Starts a comparison of two nodes' tables.

    Attributes
    ----------
    digests
        One digest for each bucket of names, over the members not marked as dead.
    """

    digests: tuple[int, ...] = ()


class SyncAnswer(Datagram):
    """Carries records of the buckets that differ.

    Attributes
    ----------
    wanted
        Buckets whose records the receiver is to send back.
    """

    wanted: tuple[int, ...] = ()


AnyDatagram = Probe | ProbeReply | ProbeRequest | Notice | Sync | SyncAnswer

_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(AnyDatagram)


def encode_datagram(datagram: Datagram) -> bytes:
    """Return the datagram as a JSON line."""
    return _ENCODER.encode(datagram) + b"\n"


def decode_datagram(line: bytes) -> Any | None:
    """Return the datagram of a line, or ``None`` if the line is not a valid datagram."""
    try:
        return _DECODER.decode(line)
    except msgspec.MsgspecError:
        return None


def encoded_size(member: Member) -> int:
    """Return how many bytes a record takes in a datagram."""
    return len(_ENCODER.encode(MemberRecord.of(member))) + 1
