"""The tables in force at one entry."""

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
    Holds the tables in force; they only move on along their own history.

    ``observers`` get the tables and ``followers`` the snapshot whenever
    others come into force.
    """

    def __init__(self) -> None:
        self.tables = Tables()
        self.snapshot: Snapshot = EMPTY_SNAPSHOT
        self.tables_observers: list[Callable[[Tables], None]] = []
        self.snapshot_observers: list[Callable[[Snapshot], None]] = []

    @property
    def head(self) -> Head:
        """Return the head of the snapshot in force."""
        return self.snapshot.head

    def compare(self, head: Head) -> HeadComparison:
        """Return what an offered head is to the one in force."""
        return compare_heads(self.head, head)

    def install_snapshot(self, snapshot: Snapshot) -> HeadComparison:
        """Put a snapshot in force if it moves on; return the judgement."""
        comparison = self.compare(snapshot.head)
        if comparison is HeadComparison.INSTALL:
            self.snapshot = snapshot
            self.install(snapshot.tables)
            for observer in self.snapshot_observers:
                observer(snapshot)
        return comparison

    def install_head(self, head: Head, texts: Mapping[str, str]) -> bool:
        """
        Put a head in force, given segments' texts by digest.

        Returns whether its revision is in force then. Raises
        `StoredStateError` where a segment is absent or damaged.
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
        Put tables in force if their revision is higher.

        Returns whether they are now in force.
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
        """Return the texts of the segments in force by digest."""
        return {
            segment.digest: segment.text
            for segment in self.snapshot.segments.values()
        }
