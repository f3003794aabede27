"""Structured logs: one JSON object a line, by eliot, to a file or to standard error."""

from __future__ import annotations

import sys

from eliot import FileDestination, add_destinations, add_global_fields


def start_logs(node_name: str, log_file: str) -> None:
    """Send every log message of this process to ``log_file``, or to standard error if empty.

    Parameters
    ----------
    node_name
        Written into each message, so that logs of many nodes can be read together.
    """
    add_global_fields(node=node_name)
    stream = open(log_file, "a", buffering=1) if log_file else sys.stderr  # noqa: SIM115
    add_destinations(FileDestination(file=stream))
