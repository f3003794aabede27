"""Checks the lines of a batch input file and turns them into items."""

from __future__ import annotations

from array import array

import msgspec
import numpy
import xxhash

from quaymill.connection.job_messages import Item
from quaymill.request.outcome import NotRun
from quaymill.version.configuration import ServiceKind, ServingConfiguration

CHAT_URL = "/v1/chat/completions"
COMPLETIONS_URL = "/v1/completions"
MODEL_URLS = (CHAT_URL, COMPLETIONS_URL)
SERVICES_PREFIX = "/services/"
METHOD = "POST"
_REMEDY = "mend the line and send the file again with a new Idempotency-Key"


class _Line(msgspec.Struct, frozen=True):
    custom_id: str
    method: str
    url: str
    body: msgspec.Raw


class _ModelBody(msgspec.Struct, frozen=True):
    model: str
    messages: list[msgspec.Raw] | None = None
    prompt: str | list[msgspec.Raw] | None = None


class ItemTarget(msgspec.Struct, frozen=True):
    """What an item is for: the endpoint of its job, and the service that runs it."""

    endpoint: str
    service: str


_line_decoder = msgspec.json.Decoder(_Line)
_body_decoder = msgspec.json.Decoder(_ModelBody)
_object_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])


def target_of(url: str, body: msgspec.Raw) -> ItemTarget:
    """Return what an accepted item is for."""
    if url in MODEL_URLS:
        return ItemTarget(url, _body_decoder.decode(body).model)
    service = url.split("/", 3)[2]
    return ItemTarget(SERVICES_PREFIX + service, service)


class LineChecker:
    """Checks the lines of one file, in order.

    Every line must be for the same endpoint and service as the first one, and every
    ``custom_id`` must be used once. Of each id only a hash of 64 bits is kept.
    """

    def __init__(self, configuration: ServingConfiguration) -> None:
        self._configuration = configuration
        self._target: ItemTarget | None = None
        self._id_hashes = array("Q")
        self._line_numbers = array("Q")

    @property
    def item_count(self) -> int:
        """Items accepted so far."""
        return len(self._id_hashes)

    def check(self, line: bytes, number: int) -> Item | NotRun:
        """Return the item of a line, or the refusal that names the line and the field.

        Parameters
        ----------
        number
            Number of the line in the file, from 1.
        """
        try:
            parsed = _line_decoder.decode(line)
        except msgspec.MsgspecError as error:
            return refused_line(number, str(error))
        fault = self._fault(parsed)
        if fault:
            return refused_line(number, fault)
        item = Item(self.item_count, parsed.custom_id, parsed.url, parsed.body)
        self._id_hashes.append(xxhash.xxh3_64_intdigest(parsed.custom_id.encode()))
        self._line_numbers.append(number)
        return item

    def finish(self) -> NotRun | None:
        """Check what can be seen only at the end of the file."""
        if not self.item_count:
            return NotRun(400, "the file holds no items", "write one request in each line")
        hashes = numpy.frombuffer(self._id_hashes, dtype=numpy.uint64)
        order = numpy.argsort(hashes, kind="stable")
        ordered = hashes[order]
        repeated = numpy.flatnonzero(ordered[1:] == ordered[:-1])
        if not repeated.size:
            return None
        first = self._line_numbers[int(order[repeated[0]])]
        second = self._line_numbers[int(order[repeated[0] + 1])]
        return refused_line(second, f"custom_id is the same as in line {first}")

    def _fault(self, line: _Line) -> str:
        if not line.custom_id:
            return "custom_id is empty"
        if line.method != METHOD:
            return f"method is {line.method!r}, not {METHOD!r}"
        try:
            fault = self._body_fault(line)
        except msgspec.MsgspecError as error:
            return f"body: {error}"
        if fault:
            return fault
        return self._target_fault(target_of(line.url, line.body))

    def _body_fault(self, line: _Line) -> str:
        if line.url in MODEL_URLS:
            body = _body_decoder.decode(line.body)
            if line.url == CHAT_URL and not body.messages:
                return "body.messages is missing or empty"
            if line.url == COMPLETIONS_URL and body.prompt is None:
                return "body.prompt is missing"
            return ""
        if line.url.startswith(SERVICES_PREFIX) and line.url.count("/") >= 3:
            _object_decoder.decode(line.body)
            return ""
        return f"url is {line.url!r}, not one of {', '.join(MODEL_URLS)}, /services/SERVICE/PATH"

    def _target_fault(self, target: ItemTarget) -> str:
        if self._target is not None:
            if target == self._target:
                return ""
            if target.endpoint != self._target.endpoint:
                return f"url is for {target.endpoint}, the first line for {self._target.endpoint}"
            return f"body.model is {target.service!r}, in the first line {self._target.service!r}"
        model = target.endpoint in MODEL_URLS
        kind = ServiceKind.MODEL if model else ServiceKind.APPLICATION
        service = self._configuration.services.get(target.service)
        if service is None or service.kind != kind:
            field = "body.model" if model else "url"
            return f"{field} names {target.service!r}, which is not served here"
        self._target = target
        return ""


def refused_line(number: int, fault: str) -> NotRun:
    """Return the refusal of one line."""
    return NotRun(400, f"line {number}: {fault}", _REMEDY)
