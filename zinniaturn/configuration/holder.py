"""The tables in force at one entry."""

__all__ = ('TablesHolder',)

from collections.abc import Callable

from zinniaturn.events import LogEvent, log_event
from zinniaturn.tables import Tables


class TablesHolder:
    """Holds the highest revision seen; it never goes back."""

    def __init__(self) -> None:
        self.tables = Tables()
        self.observers: list[Callable[[Tables], None]] = []

    def install(self, tables: Tables) -> bool:
        """
        Put tables in force if their revision is higher.

        Returns whether they are now in force.
        """
        if tables.revision <= self.tables.revision:
            return False
        self.tables = tables
        log_event(LogEvent.REVISION_INSTALLED, revision=tables.revision)
        for observer in self.observers:
            observer(tables)
        return True
