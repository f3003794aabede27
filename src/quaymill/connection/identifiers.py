"""Ids of files and jobs, which contain the number of the log group that stores them."""

from __future__ import annotations


def group_number(identifier: str) -> int:
    """Return the log group in the id of a job (``batch_{group}_..``) or file (``file-{group}-..``).

    Raises
    ------
    ValueError
        If ``identifier`` is not such an id.
    """
    parts = identifier.replace("-", "_").split("_")
    if len(parts) < 3 or not parts[1].isdigit():
        raise ValueError(f"{identifier!r} does not contain the number of a log group")
    return int(parts[1])
