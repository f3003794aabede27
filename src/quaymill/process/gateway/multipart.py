"""Reads a ``multipart/form-data`` body as a stream, by the parser of ``python-multipart``."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from python_multipart.exceptions import FormParserError
from python_multipart.multipart import MultipartParser, parse_options_header

from quaymill.request.outcome import NotRun

MAX_FIELD_BYTES = 64 * 1024
_CONTENT_TYPE = b"multipart/form-data"


class FileSink(Protocol):
    """Takes the bytes of the file part."""

    def begin(self, name: str) -> None:
        """The file part with this file name starts."""

    def write(self, block: bytes) -> None:
        """The next bytes of the file."""


class FormReader:
    """Hands the file part to a sink and keeps the small fields.

    Attributes
    ----------
    fields
        Values of the fields that are not files.
    has_file
        Whether a part with the wanted name and a file name was there.
    """

    def __init__(self, file_field: str, sink: FileSink) -> None:
        self.fields: dict[str, str] = {}
        self.has_file = False
        self._file_field = file_field
        self._sink = sink
        self._headers: dict[str, bytes] = {}
        self._header_name = b""
        self._header_value = b""
        self._name = ""
        self._in_file = False
        self._value = b""
        self._ended = False

    def read(self, content_type: str, blocks: Iterable[bytes]) -> NotRun | None:
        """Parse the whole body; return the refusal if it is not a form."""
        kind, options = parse_options_header(content_type)
        boundary = options.get(b"boundary")
        if kind != _CONTENT_TYPE or not boundary:
            return _refused("Content-Type is not multipart/form-data with a boundary")
        try:
            parser = MultipartParser(boundary, self._callbacks())
            for block in blocks:
                parser.write(block)
        except FormParserError as error:
            return _refused(f"the form cannot be read: {error}")
        if not self._ended:
            return _refused("the form ends before its last boundary")
        return None

    def _callbacks(self) -> dict:
        return {
            "on_part_begin": self._begin_part,
            "on_header_field": self._add_header_name,
            "on_header_value": self._add_header_value,
            "on_header_end": self._end_header,
            "on_headers_finished": self._end_headers,
            "on_part_data": self._add_data,
            "on_part_end": self._end_part,
            "on_end": self._end,
        }

    def _begin_part(self) -> None:
        self._headers = {}
        self._value = b""
        self._in_file = False

    def _add_header_name(self, data: bytes, start: int, end: int) -> None:
        self._header_name += data[start:end]

    def _add_header_value(self, data: bytes, start: int, end: int) -> None:
        self._header_value += data[start:end]

    def _end_header(self) -> None:
        self._headers[self._header_name.decode("latin-1").lower()] = self._header_value
        self._header_name = b""
        self._header_value = b""

    def _end_headers(self) -> None:
        _, options = parse_options_header(self._headers.get("content-disposition"))
        self._name = options.get(b"name", b"").decode("utf-8", "replace")
        file_name = options.get(b"filename")
        if self._name == self._file_field and file_name is not None and not self.has_file:
            self._in_file = True
            self.has_file = True
            self._sink.begin(file_name.decode("utf-8", "replace"))

    def _add_data(self, data: bytes, start: int, end: int) -> None:
        if self._in_file:
            self._sink.write(data[start:end])
        elif len(self._value) < MAX_FIELD_BYTES:
            self._value += data[start:end]

    def _end_part(self) -> None:
        if not self._in_file:
            self.fields[self._name] = self._value.decode("utf-8", "replace")

    def _end(self) -> None:
        self._ended = True


def _refused(reason: str) -> NotRun:
    return NotRun(400, reason, "send the fields file and purpose as multipart/form-data")
