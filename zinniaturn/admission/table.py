"""The admissions of all servers, as shared between the parts of the process."""

__all__ = ('AdmissionTable',)

from collections.abc import Collection
from dataclasses import dataclass, field

from zinniaturn.admission.admission import Admission, ServerNotice
from zinniaturn.clock import Clock

_MOST_UNKNOWN_SERVERS = 1024


@dataclass(slots=True)
class AdmissionTable:
    """
    Admissions by the name of the server.

    The admission of a server that the store no longer lists is kept, as the
    store may only have lost the server's entry for a while. ``unlisted`` holds
    the names of these, the latest last; the oldest are dropped when there are
    too many. ``active`` holds those of servers with a limit or on their leave.
    """

    clock: Clock
    admissions: dict[str, Admission] = field(default_factory=dict)
    unlisted: dict[str, None] = field(default_factory=dict)
    active: dict[str, Admission] = field(default_factory=dict)

    def of_process(self, server: str, started_ms: int) -> Admission:
        """Return the admission of a server's process that the store lists."""
        self.unlisted.pop(server, None)
        admission = self.admissions.get(server)
        if admission is None or admission.notice.started_ms != started_ms:
            known = admission
            admission = Admission(self.clock, ServerNotice(server, started_ms))
            if known is not None:
                # A restarted server says that it is cold before its entry does.
                admission.cold_until = known.cold_until
            self.admissions[server] = admission
            self.active.pop(server, None)
        return admission

    def has_notice(self, server: str) -> bool:
        """Return whether there is anything to tell of a server's process."""
        admission = self.admissions.get(server)
        if admission is None:
            return False
        return admission.notice.is_heard or admission.is_cold

    def retain(self, listed: Collection[str]) -> None:
        """Note which servers the store lists."""
        for server in self.admissions:
            if server not in listed:
                self.unlisted.setdefault(server)
        self._drop_unlisted()

    def adopt(
        self, notice: ServerNotice, hand_over_seconds: float = 0
    ) -> Admission | None:
        """
        Apply another VM's notice; return the admission if it changed.

        ``hand_over_seconds`` is the time for which the server's warm-up limits
        its requests. It counts for any process of the server, as the next one
        may have said so before this VM knows of it.
        """
        admission = self.admissions.get(notice.server)
        if admission is None:
            admission = Admission(
                self.clock, ServerNotice(notice.server, notice.started_ms)
            )
            self.admissions[notice.server] = admission
            self.unlisted[notice.server] = None
            self._drop_unlisted()
        changed = admission.adopt(notice)
        changed = admission.note_hand_over(hand_over_seconds) or changed
        self.update_active(admission)
        return admission if changed else None

    def update_active(self, admission: Admission) -> None:
        """Keep ``active`` in line with an admission that has changed."""
        server = admission.notice.server
        if admission.notice.is_active:
            self.active[server] = admission
        else:
            self.active.pop(server, None)

    def _drop_unlisted(self) -> None:
        while len(self.unlisted) > _MOST_UNKNOWN_SERVERS:
            server = next(iter(self.unlisted))
            self.unlisted.pop(server)
            self.admissions.pop(server)
            self.active.pop(server, None)
