"""One leased item on this node, with the part of its answer that has arrived so far."""

from __future__ import annotations

import threading
from collections.abc import Callable

from quaymill.connection.job_messages import ItemRef, LeasedItem
from quaymill.process.batch.partial_answer import PartialAnswer


class WorkItem:
    """A leased item, which may run, give way and be resumed several times on this node.

    Attributes
    ----------
    service
        Model or application that the item is for.
    partial
        What previous streams have delivered; a later stream resumes from it.
    broken_streams
        Streams of this lease that ended without a whole answer.
    idle_since_s
        Monotonic time since when the item waits on this node.
    """

    def __init__(self, service: str, leased: LeasedItem, now_s: float) -> None:
        self.service = service
        self.leased = leased
        self.partial = PartialAnswer()
        self.broken_streams = 0
        self.idle_since_s = now_s
        self._lock = threading.Lock()
        self._unwanted = False
        self._cancel: Callable[[], None] | None = None

    @property
    def ref(self) -> ItemRef:
        """The attempt that this node may report."""
        return ItemRef(self.leased.job_id, self.leased.item.index, self.leased.attempt)

    @property
    def unwanted(self) -> bool:
        """Whether the job store has told to stop the item."""
        return self._unwanted

    def on_unwanted(self, cancel: Callable[[], None] | None) -> None:
        """Set what ends the running stream; called at once if the item is unwanted already."""
        with self._lock:
            self._cancel = cancel
            unwanted = self._unwanted
        if unwanted and cancel is not None:
            cancel()

    def stop(self) -> None:
        """Stop the item for good: nobody wants its result any more."""
        with self._lock:
            self._unwanted = True
            cancel = self._cancel
        if cancel is not None:
            cancel()
