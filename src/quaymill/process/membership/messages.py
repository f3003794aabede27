"""Datagrams of the membership: one JSON line each, at most ``MAX_DATAGRAM_BYTES``.

Every datagram tells its sender's incarnation, generation and machine list version, so that
news of a new configuration costs no message of its own, and carries records of members
that changed lately.
"""

from __future__ import annotations

from typing import Any

import msgspec

from quaymill.connection.endpoint import Endpoint
from quaymill.connection.member import Member, MemberState

# Also bounds what news can cost: a node sends and receives about four datagrams a second.
MAX_DATAGRAM_BYTES = 900


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """A ``Member`` on the wire: an array, since records are most of what is sent.

    A later version may add fields at the end only, with defaults, so that nodes of both
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
        How long ago the versions told here were known to be the platform's newest; -1 if that
        is not known.
    crashes
        Digest of the crashes that the sender knows of; 0 if none.
    records
        Members as the sender sees them, the newest changes first.
    """

    sender: str
    incarnation: int
    generation: int = 0
    machines: int = 0
    confirmed_ms_ago: int = -1
    crashes: int = 0
    records: tuple[MemberRecord, ...] = ()


class Probe(Datagram):
    """Asks for a ``ProbeReply`` with the same sequence number."""

    sequence: int = 0


class ProbeReply(Datagram):
    """Says that ``subject`` answered the probe of this sequence number."""

    sequence: int = 0
    subject: str = ""


class ProbeRequest(Datagram):
    """Asks the receiver to probe ``target`` and to pass its reply on."""

    sequence: int = 0
    target: Endpoint = Endpoint("", 0)


class Notice(Datagram):
    """Carries news and asks for nothing."""


class Sync(Datagram):
    """Compares what two nodes hold.

    Attributes
    ----------
    digests
        One digest for each bucket of names, of the members not known as dead.
    """

    digests: tuple[int, ...] = ()


class SyncAnswer(Datagram):
    """Carries records of the buckets that differ.

    Attributes
    ----------
    wanted
        Buckets whose records the receiver of this answer is asked to send back.
    """

    wanted: tuple[int, ...] = ()


AnyDatagram = Probe | ProbeReply | ProbeRequest | Notice | Sync | SyncAnswer

_ENCODER = msgspec.json.Encoder()
_DECODER = msgspec.json.Decoder(AnyDatagram)


def encode_datagram(datagram: Datagram) -> bytes:
    """Return the line to send."""
    return _ENCODER.encode(datagram) + b"\n"


def decode_datagram(line: bytes) -> Any | None:
    """Return the message of a line, ``None`` if it is not one."""
    try:
        return _DECODER.decode(line)
    except msgspec.MsgspecError:
        return None


def encoded_size(member: Member) -> int:
    """Return how many bytes a record takes in a datagram."""
    return len(_ENCODER.encode(MemberRecord.of(member))) + 1
