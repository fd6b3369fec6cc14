"""The tables in force at one entry."""

__all__ = ('TablesHolder',)

from collections.abc import Callable, Mapping

from zinniaturn.configuration.head import Head
from zinniaturn.configuration.judgement import Judgement, judge
from zinniaturn.configuration.snapshot import (
    EMPTY,
    Snapshot,
    assemble,
    missing_segments,
)
from zinniaturn.events import LogEvent, log_event
from zinniaturn.tables import Tables


class TablesHolder:
    """
    Holds the tables in force; they only move on along their own history.

    ``observers`` get the tables and ``followers`` the snapshot whenever
    others come into force.
    """

    def __init__(self) -> None:
        self.tables = Tables()
        self.snapshot: Snapshot = EMPTY
        self.observers: list[Callable[[Tables], None]] = []
        self.followers: list[Callable[[Snapshot], None]] = []

    @property
    def head(self) -> Head:
        """Return the head of the snapshot in force."""
        return self.snapshot.head

    def judge(self, head: Head) -> Judgement:
        """Return what an offered head is to the one in force."""
        return judge(self.head, head)

    def offer(self, snapshot: Snapshot) -> Judgement:
        """Put a snapshot in force if it moves on; return the judgement."""
        judgement = self.judge(snapshot.head)
        if judgement is Judgement.INSTALL:
            self.snapshot = snapshot
            self.install(snapshot.tables)
            for follower in self.followers:
                follower(snapshot)
        return judgement

    def take(self, head: Head, texts: Mapping[str, str]) -> bool:
        """
        Put a head in force, given segments' texts by digest.

        Returns whether its revision is in force then. Raises
        `StoredStateError` where a segment is absent or damaged.
        """
        judgement = self.judge(head)
        if judgement is Judgement.INSTALL:
            missing = missing_segments(head, self.snapshot)
            found = {
                bucket: texts[ref.digest]
                for bucket, ref in missing.items()
                if ref.digest in texts
            }
            judgement = self.offer(assemble(head, found, self.snapshot))
            return judgement is Judgement.INSTALL
        return judgement in {Judgement.SAME, Judgement.OLDER}

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
        for observer in self.observers:
            observer(tables)
        return True

    def texts(self) -> Mapping[str, str]:
        """Return the texts of the segments in force by digest."""
        return {
            segment.digest: segment.text
            for segment in self.snapshot.segments.values()
        }
