"""The tables installed at one entry."""

__all__ = ('InstalledTables',)

from collections.abc import Callable, Mapping

from zinniaturn.configuration.comparison import HeadComparison, compare_heads
from zinniaturn.configuration.head import Head
from zinniaturn.configuration.snapshot import (
    EMPTY_SNAPSHOT,
    Snapshot,
    assemble_snapshot,
    missing_segments,
)
from zinniaturn.events import LogEvent, log_event
from zinniaturn.tables import Tables


class InstalledTables:
    """
    The installed tables, which are only replaced by their own descendants.

    After each installation ``tables_observers`` are called with the tables
    and ``snapshot_observers`` with the snapshot.
    """

    def __init__(self) -> None:
        self.tables = Tables()
        self.snapshot: Snapshot = EMPTY_SNAPSHOT
        self.tables_observers: list[Callable[[Tables], None]] = []
        self.snapshot_observers: list[Callable[[Snapshot], None]] = []

    @property
    def head(self) -> Head:
        """Return the head of the installed snapshot."""
        return self.snapshot.head

    def compare(self, head: Head) -> HeadComparison:
        """Return how an offered head relates to the installed one."""
        return compare_heads(self.head, head)

    def install_snapshot(self, snapshot: Snapshot) -> HeadComparison:
        """Install a snapshot if it is newer; return how its head compared."""
        comparison = self.compare(snapshot.head)
        if comparison is HeadComparison.INSTALL:
            self.snapshot = snapshot
            self.install(snapshot.tables)
            for observer in self.snapshot_observers:
                observer(snapshot)
        return comparison

    def install_head(self, head: Head, texts: Mapping[str, str]) -> bool:
        """
        Install a head if it is newer, given segment texts by digest.

        Returns whether this revision or a descendant is then installed. Raises
        `StoredStateError` if a segment is missing or damaged.
        """
        comparison = self.compare(head)
        if comparison is HeadComparison.INSTALL:
            missing = missing_segments(head, self.snapshot)
            found = {
                bucket: texts[ref.digest]
                for bucket, ref in missing.items()
                if ref.digest in texts
            }
            comparison = self.install_snapshot(
                assemble_snapshot(head, found, self.snapshot)
            )
            return comparison is HeadComparison.INSTALL
        return comparison in {HeadComparison.SAME, HeadComparison.OLDER}

    def install(self, tables: Tables) -> bool:
        """
        Install tables if their revision is higher.

        Returns whether they were installed.
        """
        if tables.revision <= self.tables.revision:
            return False
        self.tables = tables
        log_event(
            LogEvent.REVISION_INSTALLED,
            revision=tables.revision,
            chain=self.head.chain,
        )
        for observer in self.tables_observers:
            observer(tables)
        return True

    def segment_texts(self) -> Mapping[str, str]:
        """Return the texts of the installed segments by digest."""
        return {
            segment.digest: segment.text
            for segment in self.snapshot.segments.values()
        }
